//! Case 3: after a quiet time two connections to a healthy signalling server come up late. The front node takes the
//! server for dead and tells its callers that their calls are over; they still stand at the server.

#[path = "../harness/standins.rs"]
mod standins;

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use standins::*;

const CALLS: u64 = 3;

fn call_id(number: u64) -> String {
    format!("{:016x}", 0xf_0000 + number)
}

fn run() -> i32 {
    let rec = Record::create(Path::new("record.txt"));
    let folder = Folder::create("3");
    let servers: Vec<Arc<Server>> =
        (0..2).map(|number| Server::start(&format!("s-{number:08x}"), ms(40), ms(3_000), &rec)).collect();
    let list: Vec<String> =
        (0..2).map(|number| instance(&servers[number].id, servers[number].address, number as u64, "up", 0)).collect();
    let coordinator = Coordinator::start(&list, &rec);
    let book = Arc::new(Book::default());
    let mut node = Node::start(&folder, free_address(), &coordinator, "8c1f30d27a5be964", &rec);
    let caller = node.wait_ready(&book, &rec);
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
    // Quiet at the first server, but for the calls that stand there; a call now and then at the second one.
    let mut next = 0x1000_u64;
    let mut quiet = |until: Instant| {
        while Instant::now() < until {
            next += 1;
            let id = format!("{next:016x}");
            caller.set_up(&id, &id, 1, 3_000);
            let left = until.saturating_duration_since(Instant::now());
            thread::sleep(left.min(ms(700)));
        }
    };
    quiet(Instant::now() + ms(8_000));
    // The node tests a server from which it has heard nothing for 2 s by a new connection. From shortly before that,
    // connections to it come up a second late.
    quiet(servers[0].last_written() + ms(1_900));
    if has_trouble() {
        servers[0].delay_connections(ms(1_000));
    }
    quiet(Instant::now() + ms(6_000));

    let mut code = HELD;
    for number in 0..CALLS {
        let id = call_id(number);
        let stands = servers[0].has_standing(&id);
        match book.call(&id).down {
            Some((_, cause)) if stands => {
                rec.say(format!("BROKEN: the caller of {id} got a release (cause {cause}); the call stands at the server"));
                code = BROKEN;
            }
            down => rec.log(format!("call {id}: stands at the server: {stands}, released: {}", down.is_some())),
        }
    }
    // The calls end.
    (0..CALLS).for_each(|number| servers[0].release(&call_id(number), 16));
    thread::sleep(ms(1_500));
    let released = (0..CALLS).filter(|number| book.call(&call_id(*number)).downs > 0).count();
    rec.say(format!("released after the end of the calls: {released} of {CALLS}"));
    append_log(&folder, &rec);
    if let Some(exit) = node.exit() {
        rec.say(format!("the node has ended: {exit}"));
        return BROKEN;
    }
    code
}

fn main() {
    let code = run();
    std::process::exit(code);
}
