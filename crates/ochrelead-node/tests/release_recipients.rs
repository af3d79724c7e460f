//! Which callers are sent a release after the connection of its call has closed.

mod helper;

use helper::{Response, TestNode, call_id};
use ochrelead_node::io::ServerConnectionId;
use serde_json::{Value, json};
use test_case::test_case;

/// The call whose release is pending in most tests.
const ENDED: u64 = 7;
/// A call that callers reported together with it.
const OTHER: u64 = 8;
/// A call that no server knows.
const MADE_UP: u64 = 0xbad;

fn report_line(call: u64) -> Value {
    json!({"t": "new", "ref": call_id(call), "f": {"extras": "at:s-0"}})
}

fn hang_up_line(call: u64) -> Value {
    json!({"t": "down", "ref": call_id(call), "f": {}, "c": 16})
}

/// The server answers the last BYE.
fn answer_bye(node: &mut TestNode, status: &str) {
    let (connection, text) = node.sent_to_servers("BYE").pop().expect("a BYE");
    let call = text.lines().find_map(|line| line.strip_prefix("Call-ID: ")).unwrap();
    let head = format!("SIP/2.0 {status}\r\nCall-ID: {call}\r\nCSeq: 9 BYE\r\nContent-Length: 0\r\n\r\n");
    node.server_sends(connection, head.as_bytes());
}

/// The callers that the release of the ended call was sent to.
fn notified(node: &TestNode) -> Vec<u64> {
    let is_release = |line: &Value| line["t"] == "down" && line["ref"] == call_id(ENDED);
    node.sent_to_callers().iter().filter(|(_, line)| is_release(line)).map(|(caller, _)| *caller).collect()
}

/// A restarted node to which caller 1 has reported two calls. Its connection is closed again, and the server has released
/// one of the calls.
fn restarted_node_with_pending_release() -> (TestNode, ServerConnectionId) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.send_line(1, &report_line(ENDED));
    node.send_line(1, &report_line(OTHER));
    node.disconnect_caller(1);
    let connection = *node.connections.keys().next().unwrap();
    node.server_releases(connection, ENDED, 16);
    node.connect_caller(2);
    node.outputs.clear();
    (node, connection)
}

/// Review case 3: callers reported their calls to a restarted node and closed that connection. Later they ended other calls
/// on new connections, and the release was sent on none of them, as long as nobody set up a call.
#[test]
fn release_reaches_a_caller_that_ends_another_reported_call() {
    let (mut node, _) = restarted_node_with_pending_release();
    node.send_line(2, &hang_up_line(OTHER));
    answer_bye(&mut node, "200 OK");
    assert_eq!(notified(&node), [2]);
    node.send_line(2, &json!({"t": "ack", "ref": call_id(ENDED), "f": {}}));
    node.connect_caller(3);
    node.set_up(3, 9, 0);
    assert_eq!(notified(&node), [2], "the release is confirmed");
}

/// Nobody gets a release for an id that no server has confirmed.
#[test_case(&[], &[hang_up_line(MADE_UP)], "200 OK"; "a made up call is ended")]
#[test_case(&[], &[report_line(MADE_UP)], "200 OK"; "a made up call is reported")]
#[test_case(&[], &[report_line(MADE_UP), hang_up_line(MADE_UP)], "200 OK"; "a made up call is reported and ended")]
#[test_case(&[report_line(MADE_UP)], &[hang_up_line(MADE_UP)], "481 Unknown"; "a made up call is reported on another connection")]
#[test_case(&[], &[json!({"t": "hb", "ref": call_id(1), "f": {}, "c": 0})], "200 OK"; "only a heartbeat is sent")]
#[test_case(&[], &[json!({"t": "ack", "ref": call_id(ENDED), "f": {}})], "200 OK"; "a release is confirmed that was not offered")]
fn release_is_not_sent_to_a_caller_that_shows_nothing(reports: &[Value], lines: &[Value], bye_status: &str) {
    let (mut node, _) = restarted_node_with_pending_release();
    node.connect_caller(3);
    reports.iter().for_each(|line| node.send_line(3, line));
    node.disconnect_caller(3);
    lines.iter().for_each(|line| node.send_line(2, line));
    if !node.sent_to_servers("BYE").is_empty() {
        answer_bye(&mut node, bye_status);
    }
    node.advance(2_000);
    assert_eq!(notified(&node), [0_u64; 0]);
    node.connect_caller(4);
    node.set_up(4, 9, 0);
    assert_eq!(notified(&node), [4], "the release is still pending");
}

/// Only the caller of a call that was set up here knows its id.
#[test_case(&hang_up_line(OTHER); "ends it")]
#[test_case(&report_line(OTHER); "reports it")]
fn release_reaches_a_caller_that_names_a_call_set_up_here(line: &Value) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, ENDED, 0);
    node.establish(1, OTHER, 0);
    node.disconnect_caller(1);
    node.server_releases(connection, ENDED, 16);
    node.connect_caller(2);
    node.send_line(2, line);
    assert_eq!(notified(&node), [2]);
}

/// Callers report a call again when the connection closes on which they had reported it.
#[test]
fn release_is_sent_on_the_connection_of_the_last_report() {
    let (mut node, connection) = restarted_node_with_pending_release();
    node.send_line(2, &report_line(OTHER));
    node.server_releases(connection, OTHER, 16);
    let released: Vec<Value> =
        node.sent_to_callers().into_iter().map(|(_, line)| line["ref"].clone()).collect();
    assert!(released.contains(&json!(call_id(OTHER))), "{released:?}");
    assert_eq!(notified(&node), [2], "the server has confirmed the report, so the other release follows");
}

#[test]
fn report_of_a_call_whose_release_is_pending_is_answered_with_it() {
    let (mut node, _) = restarted_node_with_pending_release();
    node.send_line(2, &report_line(ENDED));
    assert_eq!(node.answers(), [(2, "down".to_owned(), Some(16))]);
    assert_eq!(node.engine.load().calls, 1, "the ended call is not taken over");
}

/// The release came while a caller waited for the answer to its first set-up, which its server then refused. The release was
/// offered only to callers that sent a set-up later.
#[test]
fn release_is_offered_to_a_caller_that_has_sent_a_set_up_before() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, ENDED, 0);
    node.connect_caller(2);
    node.set_up(2, 9, 0);
    let (invited_on, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.disconnect_caller(1);
    node.server_releases(connection, ENDED, 16);
    node.respond(invited_on, &Response::refused(9, 1, 486, "X-Diagnosis: user_busy\r\n"));
    assert_eq!(notified(&node), [2]);
}
