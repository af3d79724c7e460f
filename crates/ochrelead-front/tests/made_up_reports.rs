//! Callers that report calls which no server knows, beside usual callers, on sockets.

mod scripted;

use scripted::{TestNode, call_id};
use serde_json::json;

const MADE_UP_CALLS: u64 = 100_000;
/// The first of the ids that no server knows.
const FIRST_MADE_UP: u64 = 1 << 32;
const USUAL_CALLS: u64 = 50;
/// The memory limit in the node's configuration.
const MEMORY_LIMIT_KIB: u64 = 32 * 1024;

/// Issue 60: after one connection had reported 100,000 made up calls, the node refused every set-up until its restart.
#[test]
fn usual_calls_are_set_up_beside_a_hundred_thousand_made_up_reports() {
    let node = TestNode::start("made-up");
    let report = |call| format!("{}\n", json!({"t": "new", "ref": call_id(call), "f": {"extras": "at:s-0"}}));
    let mut reporter = node.connect();
    reporter.write_and_discard_answers(
        &(0..MADE_UP_CALLS).map(|call| report(FIRST_MADE_UP + call)).collect::<String>(),
    );
    let mut caller = node.connect();
    for call in 1..=USUAL_CALLS {
        caller.send_set_up(call);
        let invite = node.server.wait_for("INVITE");
        assert_eq!(invite.call, call_id(call));
        node.server.accept_invite(&invite);
        let answer = caller.next_line().unwrap();
        assert_eq!((&answer["t"], &answer["ref"]), (&json!("up"), &json!(call_id(call))));
    }
    assert!(node.peak_memory_kib() < MEMORY_LIMIT_KIB, "{} KiB", node.peak_memory_kib());
}
