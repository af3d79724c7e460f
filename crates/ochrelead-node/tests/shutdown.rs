//! The shutdown of a node: which set-ups and releases it still handles, and when it is complete.

mod helper;

use helper::{Response, TestNode, call_id};
use ochrelead_node::io::{CallerId, ConnectionEnd, Input};
use serde_json::json;
use test_case::test_case;

#[test]
fn node_in_shutdown_accepts_and_answers_set_ups() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.input(Input::Shutdown);
    node.send_line(1, &json!({"t": "hb", "ref": call_id(1), "f": {}, "c": 0}));
    assert_eq!(
        node.answers(),
        [(1, "hb_ok".to_owned(), Some(0))],
        "the heartbeat reply reports the shutdown"
    );
    node.advance(500);
    node.set_up(1, 7, 0);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.advance(400);
    assert!(!node.engine.is_closed(), "a set-up is unanswered");
    node.respond(connection, &Response::accepted(7, 1));
    assert!(node.engine.is_closed());
}

#[test]
fn shutdown_lasts_for_the_grace_period() {
    let mut node = TestNode::with_servers(1);
    node.input(Input::Shutdown);
    node.advance(690);
    assert!(!node.engine.is_closed());
    node.advance(20);
    assert!(node.engine.is_closed());
}

#[test]
fn node_in_shutdown_sends_a_release_to_an_unverified_caller() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.input(Input::CallerDisconnected(CallerId(1)));
    node.connect_caller(2);
    node.server_releases(connection, 7, 16);
    assert_eq!(node.answers(), [], "no connected caller is verified");
    node.input_and_process(Input::Shutdown);
    assert_eq!(node.answers(), [(2, "down".to_owned(), Some(16))]);
}

#[test]
fn shutdown_waits_for_a_caller_if_a_release_is_pending() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.input(Input::CallerDisconnected(CallerId(1)));
    node.input(Input::Shutdown);
    node.server_releases(connection, 7, 16);
    node.advance(1_000);
    assert!(!node.engine.is_closed(), "a release is pending");
    node.connect_caller(2);
    node.advance(100);
    assert_eq!(node.answers(), [(2, "down".to_owned(), Some(16))]);
    assert!(node.engine.is_closed());
}

/// If callers wait for up to 3 s, the node may be killed from 3.7 s after SIGTERM.
#[test_case(300; "set-up before the grace period ends")]
#[test_case(2_500; "set-up after the grace period")]
fn node_in_shutdown_answers_all_calls_before_it_may_be_killed(set_up_at_ms: u64) {
    let mut node = TestNode::with_servers(2);
    node.connect_caller(1);
    // An established call keeps the connection open.
    node.establish(1, 99, 1);
    node.input_and_process(Input::Shutdown);
    node.advance(set_up_at_ms);
    // The server does not answer, and the caller's deadline is later than the time at which the node may be killed.
    let mut line = TestNode::set_up_line(7, 0);
    line["f"]["left"] = json!("3000");
    node.send_line(1, &line);
    assert_eq!(node.sent_to_servers("INVITE").len(), 1);
    while node.now_ms < 3_690 {
        node.advance(10);
    }
    let answers = node.answers();
    assert_eq!(answers.len(), 1, "{answers:?}");
    assert_eq!((answers[0].0, answers[0].1.as_str()), (1, "down"));
    assert!(node.engine.is_closed());
    assert!(node.sent_to_servers("CANCEL").len() == 1, "the server receives a CANCEL");
}

#[test]
fn set_up_after_the_shutdown_answer_deadline_is_refused() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.establish(1, 99, 0);
    node.input_and_process(Input::Shutdown);
    node.advance(3_650);
    node.set_up(1, 7, 0);
    assert_eq!(node.sent_to_servers("INVITE").len(), 0);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(42))]);
}

#[test]
fn shutdown_waits_for_the_rest_of_a_set_up() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.input_and_process(Input::Shutdown);
    node.advance(600);
    let line = format!("{}\n", TestNode::set_up_line(7, 0));
    let (first, rest) = line.split_at(line.len() / 2);
    node.send_bytes(1, first.as_bytes());
    node.advance(200);
    assert!(!node.engine.is_closed(), "the rest of the set-up has not arrived");
    node.send_bytes(1, rest.as_bytes());
    let (connection, _) = node.sent_to_servers("INVITE").pop().expect("an INVITE is sent");
    node.respond(connection, &Response::accepted(7, 1));
    assert!(node.engine.is_closed());
}

#[test]
fn shutdown_does_not_wait_for_a_stalled_line() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.input_and_process(Input::Shutdown);
    node.advance(600);
    node.send_bytes(1, b"{\"t\":\"new\"");
    node.advance(400);
    assert!(node.engine.is_closed());
}

/// A caller ended its call while the node had no connection to the server: the node ended with the BYE unsent, and the server
/// kept the line.
#[test]
fn shutdown_waits_for_a_connection_if_a_bye_is_pending() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.establish(1, 7, 0);
    node.connects_succeed = false;
    for connection in node.connections.keys().copied().collect::<Vec<_>>() {
        node.disconnect_server(connection, ConnectionEnd::Closed);
    }
    node.send_line(1, &json!({"t": "down", "ref": call_id(7), "f": {}, "c": 16}));
    node.input_and_process(Input::Shutdown);
    node.advance(800);
    assert!(!node.engine.is_closed(), "a BYE is pending");
    node.connects_succeed = true;
    node.advance(1_000);
    assert_eq!(node.sent_to_servers("BYE").len(), 1);
    assert!(node.engine.is_closed());
}

/// In a shutdown a release goes to callers that have shown nothing yet. If none confirms it, the server has to repeat it to the
/// node's successor.
#[test]
fn release_offered_in_a_shutdown_is_confirmed_to_its_server_only_after_its_caller_has_confirmed_it() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.disconnect_caller(1);
    node.input_and_process(Input::Shutdown);
    node.connect_caller(2);
    node.server_releases(connection, 7, 16);
    assert_eq!(node.answers(), [(2, "down".to_owned(), Some(16))]);
    node.server_releases(connection, 7, 16);
    assert_eq!(node.sent_to_servers("SIP/2.0 200").len(), 0);
    node.send_line(2, &json!({"t": "ack", "ref": call_id(7), "f": {}}));
    node.server_releases(connection, 7, 16);
    assert_eq!(node.sent_to_servers("SIP/2.0 200").len(), 1);
}
