//! Calls that callers report as established (`at`) after their node restarted, at servers that restart as well.

mod helper;

use helper::{TestNode, call_id, endpoint};
use ochrelead_node::io::ServerConnectionId;
use serde_json::json;
use test_case::test_case;

/// The time within which a caller must be notified of the end of its call if no release reached the node.
const RELEASE_DEADLINE_MS: u64 = 8_000;
/// A time after the start of the test at which the node takes over the call.
const REPORTED_AT_MS: u64 = 100_000;

fn report_call(node: &mut TestNode, caller: u64) {
    node.send_line(caller, &json!({"t": "new", "ref": call_id(7), "f": {"extras": "at:s-0"}}));
}

/// Advances while the servers stay audible and caller 1 keeps its connection in use.
fn advance_audibly(node: &mut TestNode, ms: u64) {
    for _ in 0..ms / 100 {
        node.all_servers_notify();
        node.advance(100);
    }
}

/// A node to which a caller is about to report call 7.
fn node_before_report() -> TestNode {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(2);
    node.establish(2, 8, 0);
    advance_audibly(&mut node, REPORTED_AT_MS);
    node.connect_caller(1);
    node.outputs.clear();
    node
}

fn list_restart(node: &mut TestNode, index: u64, started_ms: u64) {
    node.coordinator_updates(index, &json!([endpoint(0, 10, "up", started_ms)]));
}

/// The causes of the releases of call 7 that caller 1 was sent.
fn released_with(node: &TestNode) -> Vec<u64> {
    let lines = node.sent_to_callers().into_iter();
    let releases = lines.filter(|(caller, line)| *caller == 1 && line["ref"] == call_id(7));
    releases.map(|(_, line)| line["c"].as_u64().expect("a cause")).collect()
}

/// Review case 2: a server and a node restarted together. The call counted from its report, which came after the server's
/// start, and so it outlived the event that told of the start.
#[test_case(300, &[41]; "a moment before the report")]
#[test_case(20_000, &[41]; "while the node was away for long")]
#[test_case(60_000, &[]; "long before the report, when another node held the call")]
fn call_reported_before_the_list_tells_of_its_servers_restart(before_report_ms: u64, expected: &[u64]) {
    let mut node = node_before_report();
    report_call(&mut node, 1);
    advance_audibly(&mut node, 1_000);
    list_restart(&mut node, 2, REPORTED_AT_MS - before_report_ms);
    assert_eq!(released_with(&node), expected);
    assert_eq!(node.sent_to_servers("BYE").len(), expected.len(), "the present process is told as well");
}

/// As above, but the list has told of the restart when the caller reports the call: no later event ends it.
#[test]
fn call_reported_shortly_after_its_servers_restart_was_listed_is_released_in_time() {
    let mut node = node_before_report();
    list_restart(&mut node, 2, REPORTED_AT_MS - 300);
    report_call(&mut node, 1);
    advance_audibly(&mut node, RELEASE_DEADLINE_MS - 300);
    assert_eq!(released_with(&node), [41]);
    assert_eq!(node.sent_to_servers("BYE").len(), 1);
    assert_eq!(node.engine.load().calls, 0);
}

/// The call may have been established at the new process: its server's release comes first then.
#[test]
fn call_established_after_its_servers_restart_is_released_by_its_server() {
    let mut node = node_before_report();
    list_restart(&mut node, 2, REPORTED_AT_MS - 3_000);
    report_call(&mut node, 1);
    advance_audibly(&mut node, 2_000);
    assert_eq!(released_with(&node), [0_u64; 0]);
    let connection: ServerConnectionId = *node.connections.keys().next().unwrap();
    node.server_releases(connection, 7, 16);
    advance_audibly(&mut node, RELEASE_DEADLINE_MS);
    assert_eq!(released_with(&node), [16]);
}

#[test_case(REPORTED_AT_MS - 20_000, true; "its server restarted long before the report")]
#[test_case(REPORTED_AT_MS - 2_000, false; "its server was new when it was listed first")]
fn reported_call_is_kept_if(started_ms: u64, was_known: bool) {
    let mut node = node_before_report();
    let (id, call) = if was_known { (0, "at:s-0") } else { (5, "at:s-5") };
    node.coordinator_updates(2, &json!([endpoint(id, 10 + id, "up", started_ms)]));
    node.send_line(1, &json!({"t": "new", "ref": call_id(7), "f": {"extras": call}}));
    advance_audibly(&mut node, 2 * RELEASE_DEADLINE_MS);
    assert_eq!(released_with(&node), [0_u64; 0]);
}

/// The list names the same start again when a server that drained is in service again.
#[test]
fn reported_call_is_kept_while_its_server_drains_and_returns() {
    let mut node = node_before_report();
    list_restart(&mut node, 2, REPORTED_AT_MS - 20_000);
    report_call(&mut node, 1);
    node.coordinator_updates(3, &json!([endpoint(0, 10, "draining", REPORTED_AT_MS - 20_000)]));
    advance_audibly(&mut node, 1_000);
    list_restart(&mut node, 4, REPORTED_AT_MS - 20_000);
    assert_eq!(released_with(&node), [0_u64; 0]);
}

/// A node that was paused reads an answer after the server's process that gave it has ended.
#[test]
fn call_whose_answer_is_read_after_its_servers_restart_is_released() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.now_ms += 900;
    node.respond(connection, &helper::Response::accepted(7, 1));
    node.outputs.clear();
    list_restart(&mut node, 2, 500);
    assert_eq!(released_with(&node), [41]);
}

/// A caller reports a call that has ended here a moment before, on another connection. No further release would come.
#[test]
fn call_reported_after_its_end_is_answered_at_once() {
    let mut node = node_before_report();
    report_call(&mut node, 1);
    let connection = *node.connections.keys().next().unwrap();
    node.server_releases(connection, 7, 16);
    node.connect_caller(3);
    report_call(&mut node, 3);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16)), (3, "down".to_owned(), Some(41))]);
}

/// Lets caller 1 report call 7 at this server while caller 2 has a call of its own, and returns the releases of call 7
/// that were sent by `until_ms`, with the number of BYEs.
fn releases_of_report_at(node: &mut TestNode, server: &str, until_ms: u64) -> (Vec<u64>, usize) {
    node.connect_caller(2);
    node.establish(2, 8, 0);
    node.connect_caller(1);
    node.send_line(1, &json!({"t": "new", "ref": call_id(7), "f": {"extras": format!("at:{server}")}}));
    advance_audibly(node, until_ms.saturating_sub(node.now_ms));
    (released_with(node), node.sent_to_servers("BYE").len())
}

/// Review case 6: the first list of a new node tells of its servers' restart, which was taken for the start of a new
/// server. A call that the earlier process held was never released.
#[test_case(2_500, &[41]; "while the node was down")]
#[test_case(7_500, &[41]; "just within the deadline")]
#[test_case(20_000, &[]; "long before the node started")]
fn call_reported_to_a_new_node_whose_server_restarted(before_ms: u64, expected: &[u64]) {
    let mut node = TestNode::with_server_started_before(before_ms);
    let until_ms = if expected.is_empty() { 20_000 } else { RELEASE_DEADLINE_MS - before_ms };
    assert_eq!(releases_of_report_at(&mut node, "s-0", until_ms), (expected.to_vec(), expected.len()));
}

/// As above, but the first list lacks the server, since its earlier process had ended and the present one had not started.
#[test]
fn call_reported_to_a_new_node_whose_server_returns_after_the_first_list_is_released() {
    let mut node = TestNode::with_servers(1);
    advance_audibly(&mut node, 3_000);
    node.coordinator_updates(2, &json!([endpoint(5, 15, "up", 2_900)]));
    let releases = releases_of_report_at(&mut node, "s-5", 2_900 + RELEASE_DEADLINE_MS);
    assert_eq!(releases, (vec![41], 1));
}

/// A call of the present process is released by its server before the node gives it up.
#[test]
fn call_reported_to_a_new_node_is_released_by_its_restarted_server() {
    let mut node = TestNode::with_server_started_before(2_500);
    assert_eq!(releases_of_report_at(&mut node, "s-0", 2_000), (Vec::new(), 0));
    let connection = *node.connections.keys().next().unwrap();
    node.server_releases(connection, 7, 16);
    advance_audibly(&mut node, RELEASE_DEADLINE_MS);
    assert_eq!(released_with(&node), [16]);
}

/// Made-up ids at a restarted server displace no call that a server released, and cost that server one BYE each at most.
#[test]
fn made_up_reports_at_a_restarted_server_stay_within_their_bound() {
    let mut node = TestNode::with_server_started_before(2_500);
    node.connect_caller(2);
    node.establish(2, 8, 0);
    node.connect_caller(1);
    for call in 1_000..4_000 {
        node.send_line(1, &json!({"t": "new", "ref": call_id(call), "f": {"extras": "at:s-0"}}));
    }
    let held = node.engine.load().calls - 1;
    assert!(held < 3_000, "one connection keeps {held} reported calls");
    advance_audibly(&mut node, RELEASE_DEADLINE_MS);
    assert_eq!(node.engine.load().calls, 1, "the call of caller 2 stands");
    assert_eq!(node.sent_to_servers("BYE").len(), held);
}
