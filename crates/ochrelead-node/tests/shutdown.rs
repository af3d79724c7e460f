//! A node that leaves service.

mod helper;

use helper::{Response, TestNode, call_id};
use ochrelead_node::io::{CallerId, Input};
use serde_json::json;

#[test]
fn leaving_node_accepts_and_answers_set_ups_to_the_end() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.input(Input::Shutdown);
    node.send_line(1, &json!({"t": "hb", "ref": call_id(1), "f": {}, "c": 0}));
    assert_eq!(node.answers(), [(1, "hb_ok".to_owned(), Some(0))], "the heartbeat says that it leaves");
    node.advance(500);
    node.set_up(1, 7, 0);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.advance(400);
    assert!(!node.engine.is_closed(), "an answer is owed");
    node.respond(connection, &Response::accepted(7, 1));
    assert!(node.engine.is_closed());
}

#[test]
fn leaving_node_waits_for_set_ups_that_may_still_arrive() {
    let mut node = TestNode::with_servers(1);
    node.input(Input::Shutdown);
    node.advance(690);
    assert!(!node.engine.is_closed());
    node.advance(20);
    assert!(node.engine.is_closed());
}

#[test]
fn leaving_node_sends_a_release_on_any_connection() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.input(Input::CallerDisconnected(CallerId(1)));
    node.connect_caller(2);
    node.server_releases(connection, 7, 16);
    assert_eq!(node.answers(), [], "no caller is verified");
    node.input_and_process(Input::Shutdown);
    assert_eq!(node.answers(), [(2, "down".to_owned(), Some(16))]);
}

#[test]
fn leaving_node_that_owes_a_release_waits_for_a_caller() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.input(Input::CallerDisconnected(CallerId(1)));
    node.input(Input::Shutdown);
    node.server_releases(connection, 7, 16);
    node.advance(1_000);
    assert!(!node.engine.is_closed(), "it owes a release");
    node.connect_caller(2);
    node.advance(100);
    assert_eq!(node.answers(), [(2, "down".to_owned(), Some(16))]);
    assert!(node.engine.is_closed());
}
