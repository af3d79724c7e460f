//! Case 8: a signalling server answers with a description that makes its message almost 16 KiB long.
#[path = "../harness-2/common.rs"]
mod common;
use common::*;

fn main() {
    let trouble = begin();
    let server = Server::start("s-00c41f7a");
    let coordinator = Coordinator::start(&[instance(&server, 0, "up", 0)]);
    let mut node = Node::new(Limits { memory_mb: 64, sockets: 512 }, 1);
    node.start(&coordinator);
    // A session description of short lines, as SDP has them; it is plain text and ends with CRLF.
    let mut description = String::from(DESCRIPTION);
    let length = if trouble { 16_100 } else { 8_000 };
    let mut number = 1;
    while description.len() < length - 40 {
        description.push_str(&format!("a=candidate:{number} 1 UDP {number:04}\r\n"));
        number += 1;
    }
    server.describe(&description);
    let mut caller = Caller::connect(&node);
    sleep(0.3);
    let call = call_id(1);
    caller.set_up(&call, 0, 3000);
    let unreadable = || caller.told.lock().unwrap().unreadable;
    // The answer is owed within the caller's 3 s; up to half a second after that it only earns nothing.
    wait_until(3.55, || caller.is_answered(&call) || unreadable() > 0);
    if !node.runs() || server.set_ups_after(0.0).is_empty() {
        end(COULD_NOT_RUN, "no set-up reached the server");
    }
    let longest = caller.told.lock().unwrap().longest_line;
    record(&format!("the longest message to the caller has {longest} bytes"));
    // A message that holds more than 16 KiB can't be read. An answer that is none, or a refusal, would be read.
    wait_until(1.0, || caller.is_answered(&call));
    if !caller.is_answered(&call) {
        end(BROKEN, &format!("the only answer is a message of {longest} bytes, which the caller can't read"));
    }
    match caller.up(&call) {
        Some((_, answered)) if answered != description => end(BROKEN, "the description was changed"),
        _ => end(HELD, "the answer can be read"),
    }
}
