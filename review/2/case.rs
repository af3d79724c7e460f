//! Case 2: a front node and a signalling server are restarted together. The call that the server's end has cut is named
//! to the new front node by its caller, and is never released.

#[path = "../harness/standins.rs"]
mod standins;

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

/// The bound of the rule where no release could be sent, with the 50 ms by which each limit is longer on sockets.
const BOUND: Duration = Duration::from_millis(8_050);
const CALLS: u64 = 3;

fn call_id(number: u64) -> String {
    format!("{:016x}", 0xf_0000 + number)
}

fn run() -> i32 {
    let rec = Record::create(Path::new("record.txt"));
    let folder = Folder::create("2");
    let servers: Vec<Arc<Server>> =
        (0..4).map(|number| Server::start(&format!("s-{number:08x}"), ms(40), ms(3_000), &rec)).collect();
    let entry = |number: usize, started: u64| {
        instance(&servers[number].id, servers[number].address, number as u64, "up", started)
    };
    let coordinator = Coordinator::start(&[entry(0, 0), entry(1, 0), entry(2, 0), entry(3, 0)], &rec);
    let listen = free_address();
    let book = Arc::new(Book::default());
    let mut node = Node::start(&folder, listen, &coordinator, "8c1f30d27a5be964", &rec);
    let mut caller = node.wait_ready(&book, &rec);

    for number in 0..CALLS {
        caller.set_up(&call_id(number), &format!("f3a9c21e0b4d655{number}"), 0, 3_000);
        thread::sleep(ms(400));
    }
    let stands = |number: u64| {
        let call = book.call(&call_id(number));
        call.up_at.is_some() && call.down.is_none() && servers[0].has_standing(&call_id(number))
    };
    if !(0..CALLS).all(stands) {
        append_log(&folder, &rec);
        rec.say("the calls do not stand at the first server");
        return COULD_NOT_RUN;
    }

    // A planned restart of the front node: nothing is sent to it after SIGTERM, and it ends by itself.
    node.signal(SIGTERM);
    if !wait_until(Duration::from_secs(10), || node.exit().is_some()) {
        append_log(&folder, &rec);
        rec.say("the node does not end after SIGTERM");
        return COULD_NOT_RUN;
    }
    rec.log("node has ended");
    caller.close();
    let mut restarted_at = 0;
    if has_trouble() {
        // The server's process is restarted while the front node is away.
        servers[0].die();
        thread::sleep(ms(600));
        servers[0].start_again();
        restarted_at = unix_ms();
    } else {
        thread::sleep(ms(600));
    }
    thread::sleep(ms(300));
    node = Node::start(&folder, listen, &coordinator, "0d41c27a5be9648c", &rec);
    caller = node.wait_ready(&book, &rec);
    for number in 0..CALLS {
        caller.name_standing(&call_id(number), &format!("f3a9c21e0b4d655{number}"), 0, &servers[0].id);
    }
    // The list tells of the server's start a second later; calls go on meanwhile and afterwards. Without the
    // disruption, the server ends the calls then.
    let mut next = 0x1000_u64;
    let mut traffic = |span: Duration| {
        let end = Instant::now() + span;
        while Instant::now() < end {
            next += 1;
            let id = format!("{next:016x}");
            caller.set_up(&id, &id, next % 4, 3_000);
            thread::sleep(ms(350));
        }
    };
    traffic(Duration::from_millis(1_000));
    if has_trouble() {
        coordinator.tell(false, &[entry(0, restarted_at)]);
    } else {
        (0..CALLS).for_each(|number| servers[0].release(&call_id(number), 16));
    }
    let told_at = Instant::now();
    traffic(Duration::from_secs(12));
    thread::sleep(ms(3_500));

    append_log(&folder, &rec);
    if let Some(exit) = node.exit() {
        rec.say(format!("the node has ended: {exit}"));
        return BROKEN;
    }
    let others = book.all();
    let answered = others.iter().filter(|(_, call)| call.ups + call.downs > 0).count();
    rec.say(format!("calls: {}, with an answer: {answered}", others.len()));
    let mut code = HELD;
    for number in 0..CALLS {
        let id = call_id(number);
        match book.call(&id).down {
            Some((at, cause)) if at.saturating_duration_since(told_at) <= BOUND => {
                let after = at.saturating_duration_since(told_at);
                rec.say(format!("call {id}: released {after:?} after that time, cause {cause}"));
            }
            late => {
                let at = late.map(|(at, _)| at - told_at);
                let waited = told_at.elapsed();
                rec.say(format!("BROKEN: call {id} is left standing {waited:?} after the list told of the server's start; released after: {at:?}"));
                code = BROKEN;
            }
        }
    }
    code
}

fn main() {
    let code = run();
    std::process::exit(code);
}
