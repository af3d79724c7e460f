//! Case 3: after a planned restart of a front node, in a quiet time, the release of a call is sent on none of the
//! connections that callers open, as long as none of them sets up a new call.

#[path = "../harness/standins.rs"]
mod standins;

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

/// The bounds of the rule, each with the 50 ms by which limits are longer on sockets.
const BOUND_ONCE_POSSIBLE: Duration = Duration::from_millis(1_050);
const BOUND: Duration = Duration::from_millis(8_050);
const CALLS: u64 = 5;
/// After this time callers close a connection without a call on it.
const CALLER_IDLE: Duration = Duration::from_secs(4);

fn call_id(number: u64) -> String {
    format!("{:016x}", 0xf_0000 + number)
}

fn key(number: u64) -> String {
    format!("f3a9c21e0b4d655{number}")
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
    let listen = free_address();
    let mut node = Node::start(&folder, listen, &coordinator, "8c1f30d27a5be964", &rec);
    let mut caller = node.wait_ready(&book, &rec);
    for number in 0..CALLS {
        caller.set_up(&call_id(number), &key(number), 0, 3_000);
        thread::sleep(ms(300));
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

    if has_trouble() {
        // A planned restart: nothing is sent to the node after SIGTERM, and it ends by itself.
        node.signal(SIGTERM);
        if !wait_until(Duration::from_secs(10), || node.exit().is_some()) {
            append_log(&folder, &rec);
            rec.say("the node does not end after SIGTERM");
            return COULD_NOT_RUN;
        }
        rec.log("node has ended");
        node = Node::start(&folder, listen, &coordinator, "0d41c27a5be9648c", &rec);
        caller = node.wait_ready(&book, &rec);
        for number in 0..CALLS {
            caller.name_standing(&call_id(number), &key(number), 0, &servers[0].id);
        }
        // No call was set up on this connection; the caller closes it after its usual time.
        thread::sleep(CALLER_IDLE);
        caller.close();
    } else {
        // The calls stand on the connection on which they were set up, and it stays open.
        thread::sleep(CALLER_IDLE);
    }
    thread::sleep(ms(500));

    // A quiet time: the server ends the first call, and callers end the others one by one. No new call comes.
    let ended_at = Instant::now();
    servers[0].release(&call_id(0), 16);
    let mut released_at = None;
    let mut connection_open_for = Duration::ZERO;
    for number in 1..CALLS {
        thread::sleep(ms(500));
        let Some(other) = Caller::connect(listen, &book, &rec) else {
            append_log(&folder, &rec);
            rec.say("the node accepts no connection");
            return BROKEN;
        };
        let opened_at = Instant::now();
        other.hang_up(&call_id(number));
        wait_until(CALLER_IDLE, || !other.is_open());
        connection_open_for = connection_open_for.max(opened_at.elapsed());
        other.close();
        released_at = book.call(&call_id(0)).down.map(|(at, _)| at);
    }
    let waited = ended_at.elapsed();
    append_log(&folder, &rec);
    if let Some(exit) = node.exit() {
        rec.say(format!("the node has ended: {exit}"));
        return BROKEN;
    }
    if connection_open_for < BOUND_ONCE_POSSIBLE || waited < BOUND {
        rec.say(format!("too short to judge: {connection_open_for:?}, {waited:?}"));
        return COULD_NOT_RUN;
    }
    match released_at.map(|at| at.saturating_duration_since(ended_at)) {
        Some(after) if after <= BOUND => {
            rec.say(format!("held: the caller got the release {after:?} after the end of the call"));
            HELD
        }
        late => {
            rec.say(format!(
                "BROKEN: no release within {BOUND:?} of the end of the call (seen for {waited:?}; released after: {late:?}), \
                 though callers' connections were open for up to {connection_open_for:?} each"
            ));
            BROKEN
        }
    }
}

fn main() {
    let code = run();
    std::process::exit(code);
}
