//! Releases of established calls towards their callers, whatever ended the call and whatever became of the connection.

mod helper;

use helper::{EstablishedCalls, Response, TestNode, call_id};
use ochrelead_node::io::{CallerId, Input};
use serde_json::json;
use test_case::test_case;

#[test_case(true; "by its server")]
#[test_case(false; "by its caller, on another connection")]
fn call_of_a_former_incarnation_is_released(by_server: bool) {
    let mut node = TestNode::with_servers(1);
    (1..=2).for_each(|caller| node.connect_caller(caller));
    node.send_line(1, &json!({"t": "new", "ref": call_id(7), "f": {"extras": "at:s-0"}}));
    assert_eq!(node.answers(), [], "nobody waits for an answer");
    if by_server {
        let connection = *node.connections.keys().next().unwrap();
        node.server_releases(connection, 7, 16);
        assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16))]);
    } else {
        node.send_line(2, &json!({"t": "down", "ref": call_id(7), "f": {}, "c": 16}));
        assert_eq!(node.sent_to_servers("BYE").len(), 1);
    }
    assert_eq!(node.engine.load().calls, 0);
}

#[test_case(true, &[2]; "closed before: on another verified caller's")]
#[test_case(false, &[1, 2]; "closed before it was confirmed: once more there")]
fn release_reaches_the_caller_although_its_connection_closes(before: bool, told: &[u64]) {
    let mut node = TestNode::with_servers(1);
    (1..=3).for_each(|caller| node.connect_caller(caller));
    let connection = node.establish(1, 7, 0);
    node.establish(2, 8, 0);
    if before {
        node.input(Input::CallerDisconnected(CallerId(1)));
        node.server_releases(connection, 7, 16);
    } else {
        node.server_releases(connection, 7, 16);
        node.disconnect_caller(1);
    }
    assert_eq!(node.answers().iter().map(|(caller, ..)| *caller).collect::<Vec<_>>(), told);
}

#[test]
fn release_waits_for_a_verified_caller() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.input(Input::CallerDisconnected(CallerId(1)));
    node.server_releases(connection, 7, 16);
    node.connect_caller(2);
    node.set_up(2, 8, 0);
    assert_eq!(node.answers(), [(2, "down".to_owned(), Some(16))], "the caller may be a regular one");
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.respond(connection, &Response::accepted(8, 1));
    let told = [(2, "up".to_owned(), None), (2, "down".to_owned(), Some(16))];
    assert_eq!(node.answers()[1..], told, "the caller is verified and has not confirmed it");
}

#[test]
fn release_before_the_call_was_named_is_sent_at_once() {
    let mut node = TestNode::with_servers(1);
    let connection = *node.connections.keys().next().unwrap();
    node.server_releases(connection, 7, 16);
    node.connect_caller(1);
    node.send_line(1, &json!({"t": "new", "ref": call_id(7), "f": {"extras": "at:s-0"}}));
    assert_eq!(node.answers().len(), 1, "{:?}", node.answers());
    assert_eq!(node.engine.load().calls, 0, "no call is left");
}

/// Hundreds of calls end at once and their caller's connection is closed: all releases are sent on another, at a rate that
/// one reader can take, and all again where that one closes too.
#[test]
fn many_releases_are_paced_on_another_callers_connection() {
    let mut node = TestNode::with_servers(1);
    (1..=3).for_each(|caller| node.connect_caller(caller));
    let mut calls = Vec::new();
    for call in 100..800 {
        calls.push((node.establish(1, call, 0), call));
    }
    node.establish(2, 7, 0);
    node.input(Input::CallerDisconnected(CallerId(1)));
    calls.iter().for_each(|(connection, call)| node.server_releases(*connection, *call, 16));
    let told = |node: &TestNode, to: u64| {
        node.sent_to_callers().iter().filter(|(caller, value)| *caller == to && value["t"] == "down").count()
    };
    assert!(told(&node, 2) < 400, "no more at once than a reader can take: {}", told(&node, 2));
    node.advance(900);
    assert_eq!(told(&node, 2), 700);
    node.establish(3, 8, 0);
    node.disconnect_caller(2);
    node.advance(900);
    assert_eq!(told(&node, 3), 700);
}

/// A release that a caller has confirmed is not sent again; one that no verified caller has confirmed is.
#[test]
fn confirmed_release_is_not_sent_again() {
    let EstablishedCalls { mut node, connection, .. } = EstablishedCalls::new();
    for caller in 1..=2 {
        node.input(Input::CallerDisconnected(CallerId(caller)));
    }
    node.server_releases(connection, 7, 16);
    node.outputs.clear();
    node.connect_caller(3);
    node.set_up(3, 9, 0);
    assert_eq!(node.answers(), [(3, "down".to_owned(), Some(16))]);
    node.send_line(3, &json!({"t": "ack", "ref": call_id(7), "f": {}}));
    let (invited_on, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.respond(invited_on, &Response::accepted(9, 1));
    node.advance(500);
    assert_eq!(node.answers().len(), 2, "the release and the answer: {:?}", node.answers());
}
