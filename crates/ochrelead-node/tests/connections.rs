//! When the node opens, keeps and closes connections to servers and connections of callers.

mod helper;

use helper::{EstablishedCalls, Response, TestNode, call_id, endpoint, event};
use ochrelead_node::io::{CallerId, ConnectionEnd, Input, Output, ServerConnectionId};
use serde_json::json;
use test_case::{test_case, test_matrix};

/// With many servers, each has a small share of the connections. A server that has used up its share and falls silent
/// must be probed nevertheless.
#[test_case(2; "a few servers")]
#[test_case(12; "each server with a share of two connections")]
fn call_is_released_when_its_server_vanishes_with_its_share_used_up(servers: u64) {
    let mut node = TestNode::with_servers(servers);
    node.connect_caller(1);
    node.establish(1, 7, 1);
    node.connects_succeed = false;
    node.advance(8_000);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(41))]);
}

#[test_case(true; "a set-up arrived")]
#[test_case(false; "nothing arrived")]
fn idle_caller_connection_is_closed_only_if_no_set_up_arrived(set_up_arrives: bool) {
    let mut node = TestNode::with_servers(1);
    node.drains_input = false;
    node.connect_caller(1);
    node.advance(2_900);
    assert!(node.outputs.contains(&Output::DrainInput(CallerId(1))));
    assert!(!node.has_closed(1));
    node.drains_input = true;
    if set_up_arrives {
        node.set_up(1, 7, 0);
    } else {
        node.input_and_process(Input::InputDrained(CallerId(1)));
    }
    let invites = node.sent_to_servers("INVITE").len();
    assert_eq!((node.has_closed(1), invites), (!set_up_arrives, usize::from(set_up_arrives)));
}

/// Callers keep a connection open while it has an established call, however long it is silent. The node must do the
/// same.
#[test_case(false; "call set up on the connection")]
#[test_case(true; "call of a previous incarnation, resumed on the connection")]
fn caller_connection_is_kept_open_during_an_established_call(is_resumed: bool) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = if is_resumed {
        node.send_line(1, &json!({"t": "new", "ref": call_id(7), "f": {"extras": "at:s-0"}}));
        *node.connections.keys().next().unwrap()
    } else {
        node.establish(1, 7, 0)
    };
    for _ in 0..60 {
        node.advance(500);
        node.all_servers_notify();
    }
    assert!(!node.has_closed(1));
    node.server_releases(connection, 7, 16);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16))]);
    node.advance(20_000);
    assert!(node.has_closed(1), "no call is left on the connection");
}

/// Beyond the limit on callers, connections without an established call are evicted before one with a call, even if
/// they were used more recently.
#[test]
fn caller_connections_without_a_call_are_evicted_first() {
    let mut node = TestNode::with_limits(1, 64, json!({}));
    let max_callers = 24;
    node.connect_caller(1);
    node.establish(1, 7, 0);
    for caller in 2..=max_callers {
        node.advance(100);
        node.connect_caller(caller);
        let connection = node.establish(caller, 100 + caller, 0);
        node.server_releases(connection, 100 + caller, 16);
        node.send_line(caller, &json!({"t": "ack", "ref": call_id(100 + caller)}));
    }
    // One more caller connects and sends a set-up before the node evicts a connection.
    node.drains_input = false;
    node.connect_caller(max_callers + 1);
    node.set_up(max_callers + 1, 7_000, 0);
    node.drains_input = true;
    node.input_and_process(Input::InputDrained(CallerId(max_callers + 1)));
    node.advance(200);
    let closed: Vec<u64> = (1..=max_callers + 1).filter(|caller| node.has_closed(*caller)).collect();
    assert_eq!(closed, [2]);
}

#[test_case(4_000, 3_500; "a connect time-out earlier")]
#[test_case(1_000, 750; "a quarter of a short limit earlier")]
fn idle_server_connection_is_closed_before_the_idle_limit_of_its_server(limit_ms: u64, closed_after_ms: u64) {
    let mut node = TestNode::with_limits(1, 64, json!({"connIdleMs": limit_ms}));
    let first: Vec<ServerConnectionId> = node.connections.keys().copied().collect();
    let is_half_closed = |node: &TestNode, connection: &ServerConnectionId| {
        node.outputs.contains(&Output::HalfCloseServerConnection(*connection))
    };
    node.advance(closed_after_ms - 100);
    node.all_servers_notify();
    assert!(first.iter().all(|connection| !is_half_closed(&node, connection)));
    node.advance(200);
    assert!(first.iter().all(|connection| is_half_closed(&node, connection)), "{first:?}");
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let (connection, _) = node.sent_to_servers("INVITE").pop().expect("an INVITE on another connection");
    assert!(!first.contains(&connection));
}

#[test_matrix([24, 64], [128, 256])]
fn server_connections_stay_within_their_share_of_descriptors(servers: u64, sockets: u64) {
    let mut node = TestNode::with_limits(servers, sockets, json!({}));
    node.servers_close_too = true;
    node.connect_caller(1);
    for call in 0..40 {
        // Without a destination: the node may choose any server, some of which have no connection yet.
        let mut line = TestNode::set_up_line(call, 0);
        line["f"]["extras"] = json!("width:1;via:-1");
        node.send_line(1, &line);
        // Keeps each server from being silent for so long that it would be probed.
        node.all_servers_notify();
        node.advance(100);
        assert!(node.engine.load().server_connections as u64 <= sockets / 3, "{:?}", node.engine.load());
        let (connection, _) = node.sent_to_servers("INVITE").pop().expect("an INVITE");
        node.respond(connection, &Response::accepted(call, 1));
    }
    assert_eq!(node.sent_to_servers("INVITE").len(), 40, "an INVITE for each set-up");
    node.outputs.clear();
    node.all_servers_notify();
    node.advance(500);
    let attempts = node.outputs.iter().filter(|output| matches!(output, Output::ConnectServer(..))).count();
    assert!(attempts <= 4, "{attempts} connection attempts within 500 ms");
}

#[test]
fn displaced_server_is_not_connected_to_again() {
    let mut node = TestNode::with_servers(2);
    node.coordinator_updates(2, &json!([endpoint(21, 11, "up", 100)]));
    node.advance(1_000);
    let connections = node.connections.values().filter(|address| *address == "127.0.0.11").count();
    assert_eq!(connections, 2, "only those to the new server");
}

/// Issue 66 d, review case 7: a server that had ended, and was listed with or after the one that had taken its address, displaced
/// it. The present one counted as gone and the former one as up, at one address: set-ups reached a draining server, and
/// calls were released that stood.
#[test_case(&[21, 11], &[]; "the present one is listed first")]
#[test_case(&[21], &[11]; "the former one is listed later")]
#[test_case(&[11, 21], &[]; "the former one is listed first")]
#[test_case(&[11, 21], &[11]; "the former one is listed again")]
fn server_that_has_ended_does_not_displace_its_successor_if(listed: &[u64], then_listed: &[u64]) {
    let entry = |number: u64, lifecycle| endpoint(number, 30, lifecycle, if number == 21 { 100 } else { 0 });
    let entries =
        |numbers: &[u64]| json!(numbers.iter().map(|number| entry(*number, "up")).collect::<Vec<_>>());
    let mut node = TestNode::with_servers(1);
    node.coordinator_updates(2, &entries(listed));
    node.coordinator_updates(3, &entries(then_listed));
    node.advance(1_000);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 1);
    assert_eq!(node.connections[&connection], "127.0.0.30");
    node.coordinator_updates(4, &json!([entry(21, "draining")]));
    node.set_up(1, 8, 1);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    assert_eq!(node.connections[&connection], "127.0.0.10", "nothing new goes to the draining server");
    node.coordinator_updates(5, &json!([entry(11, "removed")]));
    node.advance(500);
    assert_eq!(node.answers(), [], "the call at the present server stands");
}

/// Issue 66 d: connections that were being opened to a server reached the one that took its address, whose releases on them
/// were taken for those of the former one and lost.
#[test]
fn connections_being_opened_to_a_displaced_server_are_closed() {
    let mut node = TestNode::with_servers(1);
    node.connects_succeed = false;
    for connection in node.connections.keys().copied().collect::<Vec<_>>() {
        node.disconnect_server(connection, ConnectionEnd::Closed);
    }
    node.advance(100);
    let opening: Vec<_> = node.connections.keys().copied().collect();
    assert!(!opening.is_empty());
    node.outputs.clear();
    node.coordinator_updates(2, &json!([endpoint(21, 10, "up", 100)]));
    for connection in opening {
        assert!(node.outputs.contains(&Output::CloseServerConnection(connection)), "{connection:?}");
    }
}

#[test]
fn calls_of_a_silent_server_that_accepts_connections_are_kept() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.establish(1, 7, 0);
    node.advance(15_000);
    assert_eq!(node.answers(), []);
}

/// With a constant replacement of servers, the tables stay bounded and the controller tells the servers apart by index.
#[test]
fn replaced_servers_leave_no_connections_and_new_ones_are_reached() {
    let mut node = TestNode::with_servers(1);
    for round in 0..2_000_u64 {
        let (current, replaced) = (10 * (round + 1) + 1, 10 * round + 1);
        let mut list = vec![endpoint(current, 11 + round % 200, "up", node.now_ms.max(1))];
        if round > 0 {
            list.push(endpoint(replaced, 11 + (round - 1) % 200, "removed", 0));
        }
        node.coordinator_updates(round + 2, &json!(list));
        node.now_ms += 50;
    }
    node.advance(6_000);
    assert!(node.engine.load().server_connections < 32, "{:?}", node.engine.load());
    node.connect_caller(1);
    node.set_up(1, 7, 1);
    let addresses: Vec<_> = node
        .sent_to_servers("INVITE")
        .iter()
        .map(|(connection, _)| node.connections[connection].clone())
        .collect();
    assert_eq!(addresses, ["127.0.0.210"], "the address of the newest server");
}

#[test_case(true; "the server closes it too")]
#[test_case(false; "the server stays silent")]
fn half_closed_connection_is_read_until_closed_by_its_server_or_timed_out(server_closes: bool) {
    let EstablishedCalls { mut node, half_closed, .. } = EstablishedCalls::new();
    node.outputs.clear();
    node.advance(1_500);
    assert!(
        !node.outputs.contains(&Output::CloseServerConnection(half_closed)),
        "closed although the server may still send"
    );
    let connections = node.engine.load().server_connections;
    if server_closes {
        node.disconnect_server(half_closed, ConnectionEnd::Closed);
        assert_eq!(node.engine.load().server_connections, connections - 1);
    } else {
        node.advance(600);
        assert!(
            node.outputs.contains(&Output::CloseServerConnection(half_closed)),
            "not closed after the time-out"
        );
    }
    node.all_servers_notify();
    let is_sent_on_half_closed =
        |output: &Output| matches!(output, Output::SendToServer(connection, _) if *connection == half_closed);
    assert!(node.outputs.iter().all(|output| !is_sent_on_half_closed(output)));
}

/// A release that follows an unreadable message on a connection is lost, and the server repeats it on its next
/// connection. The node therefore opens a new one as long as the server has established calls.
#[test_case("up"; "of a server in service")]
#[test_case("draining"; "of a draining server")]
fn connection_lost_during_an_established_call_is_replaced(lifecycle: &str) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    node.coordinator_sends(&format!("{}\n", event(2, false, &json!([endpoint(0, 10, lifecycle, 0)]))));
    // There are surplus idle connections: the new one is not opened for lack of connections.
    node.advance(1_000);
    let before: Vec<ServerConnectionId> = node.connections.keys().copied().collect();
    assert!(before.len() > 1);
    node.server_sends(connection, b"\x01noise\r\n\r\n");
    node.advance(300);
    let after: Vec<ServerConnectionId> = node.connections.keys().copied().collect();
    let replacement = after.iter().find(|connection| !before.contains(connection)).expect("a new connection");
    node.server_releases(*replacement, 7, 16);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16))]);
}

#[test]
fn idle_caller_connection_is_not_closed_while_a_set_up_is_partially_received() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.server_releases(connection, 7, 16);
    node.send_line(1, &json!({"t": "ack", "ref": call_id(7)}));
    node.drains_input = false;
    // The idle time is over. Before it closes the connection, the node reads what has arrived meanwhile.
    node.advance(5_600);
    let line = format!("{}\n", TestNode::set_up_line(8, 0));
    let (first_half, second_half) = line.split_at(line.len() / 2);
    node.send_bytes(1, first_half.as_bytes());
    node.input_and_process(Input::InputDrained(CallerId(1)));
    assert!(!node.has_closed(1));
    node.drains_input = true;
    node.send_bytes(1, second_half.as_bytes());
    assert_eq!(node.sent_to_servers("INVITE").len(), 1);
}

/// A server with too many connections closes some. The node does not replace a surplus connection.
#[test]
fn surplus_idle_connection_closed_by_its_server_is_not_replaced() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.establish(1, 7, 0);
    node.advance(1_000);
    let before: Vec<ServerConnectionId> = node.connections.keys().copied().collect();
    assert!(before.len() > 2, "more connections than the node keeps idle");
    let closed = before[0];
    node.disconnect_server(closed, ConnectionEnd::Closed);
    node.advance(300);
    let opened = node.connections.keys().filter(|connection| !before.contains(connection)).count();
    assert_eq!(opened, 0);
}
