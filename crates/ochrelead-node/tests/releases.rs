//! Releases of established calls: on which caller's connection and how often they are sent.

mod helper;

use helper::{EstablishedCalls, Response, TestNode, call_id, endpoint};
use ochrelead_node::io::{CallerId, ConnectionEnd, Input, ServerConnectionId};
use serde_json::json;
use test_case::test_case;

#[test_case(true; "by its server")]
#[test_case(false; "by its caller, on another connection")]
fn call_of_a_former_incarnation_is_released(by_server: bool) {
    let mut node = TestNode::with_servers(1);
    (1..=2).for_each(|caller| node.connect_caller(caller));
    node.send_line(1, &json!({"t": "new", "ref": call_id(7), "f": {"extras": "at:s-0"}}));
    assert_eq!(node.answers(), [], "a report of an established call gets no answer");
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

#[test_case(true, &[2]; "closed before the release, sent on another connection")]
#[test_case(false, &[1, 2]; "closed before the confirmation, sent again on another connection")]
fn release_is_sent_on_another_connection_if_its_own_closes(before: bool, notified: &[u64]) {
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
    assert_eq!(node.answers().iter().map(|(caller, ..)| *caller).collect::<Vec<_>>(), notified);
}

#[test]
fn release_stays_pending_until_a_caller_is_verified() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.input(Input::CallerDisconnected(CallerId(1)));
    node.server_releases(connection, 7, 16);
    node.connect_caller(2);
    node.set_up(2, 8, 0);
    assert_eq!(
        node.answers(),
        [(2, "down".to_owned(), Some(16))],
        "the release is offered to an unverified caller"
    );
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    node.respond(connection, &Response::accepted(8, 1));
    let expected = [(2, "up".to_owned(), None), (2, "down".to_owned(), Some(16))];
    assert_eq!(
        node.answers()[1..],
        expected,
        "the release is sent again once the caller is verified, as it is unconfirmed"
    );
}

#[test]
fn call_released_before_it_is_reported_is_answered_at_once() {
    let mut node = TestNode::with_servers(1);
    let connection = *node.connections.keys().next().unwrap();
    node.server_releases(connection, 7, 16);
    node.connect_caller(1);
    node.send_line(1, &json!({"t": "new", "ref": call_id(7), "f": {"extras": "at:s-0"}}));
    assert_eq!(node.answers().len(), 1, "{:?}", node.answers());
    assert_eq!(node.engine.load().calls, 0, "no call is left");
}

/// Hundreds of calls end at once after the connection of their caller has closed. All releases are sent on the connection
/// of another caller, at a rate that one slow reader can take. They are sent again on a third connection when that one
/// closes too.
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
    let releases_sent = |node: &TestNode, to: u64| {
        node.sent_to_callers().iter().filter(|(caller, value)| *caller == to && value["t"] == "down").count()
    };
    assert!(
        releases_sent(&node, 2) < 400,
        "releases sent at once to one reader are limited: {}",
        releases_sent(&node, 2)
    );
    node.advance(900);
    assert_eq!(releases_sent(&node, 2), 700);
    node.establish(3, 8, 0);
    node.disconnect_caller(2);
    node.advance(900);
    assert_eq!(releases_sent(&node, 3), 700);
}

/// An unverified caller that has confirmed a release does not receive it again once it is verified.
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

/// A node whose caller 1 has ended its call 7. Returns the connection on which the BYE was sent.
fn node_after_hang_up() -> (TestNode, ServerConnectionId) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.establish(1, 7, 0);
    node.send_line(1, &json!({"t": "down", "ref": call_id(7), "f": {}, "c": 16}));
    let (connection, _) = node.sent_to_servers("BYE").pop().expect("a BYE");
    node.outputs.clear();
    (node, connection)
}

/// A caller ended its call, and the BYE was lost with its connection: the server kept the line of the call.
#[test_case(ConnectionEnd::Reset, 100, 1; "shortly after it was sent")]
#[test_case(ConnectionEnd::Closed, 100, 1; "shortly after it was sent, by an orderly close")]
#[test_case(ConnectionEnd::Reset, 3_000, 0; "long after it was sent")]
fn bye_lost_with_its_connection_is_sent_again(end: ConnectionEnd, after_ms: u64, expected: usize) {
    let (mut node, connection) = node_after_hang_up();
    node.advance(after_ms);
    node.disconnect_server(connection, end);
    node.advance(1_000);
    let byes = node.sent_to_servers("BYE");
    assert_eq!(byes.len(), expected);
    assert!(byes.iter().all(|(other, text)| *other != connection && text.contains(&call_id(7))));
}

/// The BYEs themselves may be what the server does not read fast enough.
#[test]
fn bye_lost_again_and_again_is_given_up() {
    let (mut node, mut connection) = node_after_hang_up();
    let lost_for_ms = |node: &mut TestNode, connection: &mut ServerConnectionId| {
        node.advance(1_000);
        node.outputs.clear();
        node.disconnect_server(*connection, ConnectionEnd::Reset);
        node.advance(500);
        node.sent_to_servers("BYE").pop().map(|(next, _)| *connection = next)
    };
    let repetitions = (0..20).take_while(|_| lost_for_ms(&mut node, &mut connection).is_some()).count();
    assert!((2..8).contains(&repetitions), "{repetitions}");
}

#[test_case("200 OK")]
#[test_case("481 Call/Transaction Does Not Exist")]
fn answered_bye_is_not_sent_again(status: &str) {
    let (mut node, connection) = node_after_hang_up();
    let head = format!("SIP/2.0 {status}\r\nCall-ID: {}\r\nCSeq: 9 BYE\r\n", call_id(7));
    node.server_sends(connection, format!("{head}Content-Length: 0\r\n\r\n").as_bytes());
    node.disconnect_server(connection, ConnectionEnd::Reset);
    node.advance(1_000);
    assert_eq!(node.sent_to_servers("BYE").len(), 0);
}

/// The last connection to a draining server ended with the BYE of its last call: the node opened no other one for it.
#[test]
fn lost_bye_to_a_draining_server_gets_a_connection() {
    let (mut node, connection) = node_after_hang_up();
    node.coordinator_updates(2, &json!([endpoint(0, 10, "draining", 0)]));
    let others: Vec<ServerConnectionId> =
        node.connections.keys().copied().filter(|id| *id != connection).collect();
    others.iter().for_each(|other| node.disconnect_server(*other, ConnectionEnd::Closed));
    node.disconnect_server(connection, ConnectionEnd::Reset);
    node.advance(1_000);
    assert_eq!(node.sent_to_servers("BYE").len(), 1);
}

/// A node confirmed a release that it could send to nobody, and ended. The server did not repeat it to its successor, to
/// which the caller reported the call.
#[test]
fn release_without_a_recipient_is_not_confirmed_to_its_server() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.disconnect_caller(1);
    node.server_releases(connection, 7, 16);
    assert_eq!(node.sent_to_servers("SIP/2.0 200").len(), 0);
    node.connect_caller(2);
    node.establish(2, 8, 0);
    node.server_releases(connection, 7, 16);
    assert_eq!(node.sent_to_servers("SIP/2.0 200").len(), 1, "the caller has been sent the release");
}

/// After a call of more than 16 s the caller's connection was closed in the moment of its release, before the caller could
/// confirm it, and the release was sent again to others.
#[test]
fn connection_stays_open_for_the_confirmation_after_a_long_call() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.establish(1, 7, 0);
    for _ in 0..40 {
        node.advance(500);
        node.all_servers_notify();
    }
    let connection = *node.connections.keys().next().unwrap();
    node.server_releases(connection, 7, 16);
    node.advance(1_000);
    assert!(!node.has_closed(1));
    node.send_line(1, &json!({"t": "ack", "ref": call_id(7), "f": {}}));
    node.advance(6_000);
    assert!(node.has_closed(1), "confirmed and idle");
}
