//! Case 1: a connection to a signalling server is reset while it is idle, and the release on its way is lost with it.

#[path = "../harness/standins.rs"]
mod standins;

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

/// The bound of the rule where no release could be sent, with the 50 ms by which each limit is longer on sockets.
const BOUND: Duration = Duration::from_millis(8_050);
const OBSERVED: Duration = Duration::from_secs(12);
const LONG_CALL: &str = "00000000000f0001";

fn run() -> i32 {
    let rec = Record::create(Path::new("record.txt"));
    let folder = Folder::create("1");
    // Answers take as long as at a quiet server; calls last a few seconds.
    let servers: Vec<Arc<Server>> =
        (0..2).map(|number| Server::start(&format!("s-{number:08x}"), ms(40), ms(3_000), &rec)).collect();
    let relays: Vec<Arc<Relay>> = servers.iter().map(|server| Relay::start(server.address, &rec)).collect();
    let list: Vec<String> =
        (0..2).map(|number| instance(&servers[number].id, relays[number].address, number as u64, "up", 0)).collect();
    let coordinator = Coordinator::start(&list, &rec);
    let mut node = Node::start(&folder, free_address(), &coordinator, "8c1f30d27a5be964", &rec);
    let book = Arc::new(Book::default());
    let caller = node.wait_ready(&book, &rec);

    // Two callers at the same moment, twice: the node opens its usual spare connections.
    let mut next = 0x1000_u64;
    let mut call = |destination: u64| {
        next += 1;
        let id = format!("{next:016x}");
        caller.set_up(&id, &id, destination, 3_000);
    };
    caller.set_up(LONG_CALL, "f3a9c21e0b4d6550", 0, 3_000);
    for _ in 0..4 {
        call(0);
        call(0);
        thread::sleep(ms(300));
    }
    // A quiet hour: one call to each server every 700 ms.
    let quiet = |call: &mut dyn FnMut(u64), until: &dyn Fn() -> bool, most: Duration| {
        let end = Instant::now() + most;
        while Instant::now() < end && !until() {
            call(0);
            thread::sleep(ms(350));
            call(1);
            thread::sleep(ms(350));
        }
    };
    quiet(&mut call, &|| false, Duration::from_secs(6));
    let stood = book.call(LONG_CALL);
    if stood.up_at.is_none() || stood.down.is_some() || !servers[0].has_standing(LONG_CALL) {
        append_log(&folder, &rec);
        rec.say(format!("the long call does not stand: {stood:?}"));
        return COULD_NOT_RUN;
    }
    rec.log(format!("the long call stands; {} connections to {}", servers[0].connections(), servers[0].id));

    if has_trouble() {
        relays[0].cut_release_of(LONG_CALL);
    }
    let ended_at = Instant::now();
    servers[0].release(LONG_CALL, 16);
    // No set-up is under way when the connection is reset, nor just after.
    thread::sleep(ms(200));
    quiet(&mut call, &|| false, OBSERVED);
    thread::sleep(ms(3_500));

    append_log(&folder, &rec);
    if let Some(exit) = node.exit() {
        rec.say(format!("the node has ended: {exit}"));
        return BROKEN;
    }
    let unanswered = book.all().iter().filter(|(_, call)| call.ups == 0 && call.downs == 0).count();
    let established = book.all().iter().filter(|(_, call)| call.ups > 0).count();
    rec.say(format!("calls: {}, answered as standing: {established}, unanswered: {unanswered}", book.all().len()));
    match book.call(LONG_CALL).down {
        Some((at, cause)) if at.saturating_duration_since(ended_at) <= BOUND => {
            let after = at.saturating_duration_since(ended_at);
            rec.say(format!("held: the caller got the release {after:?} after the end of the call, cause {cause}"));
            HELD
        }
        Some((at, _)) => {
            rec.say(format!("BROKEN: the release came {:?} after the end of the call", at - ended_at));
            BROKEN
        }
        None => {
            rec.say(format!("BROKEN: no release within {:?} of the end of the call", ended_at.elapsed()));
            BROKEN
        }
    }
}

fn main() {
    let code = run();
    std::process::exit(code);
}
