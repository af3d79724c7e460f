//! When connections to servers and of callers are opened, kept and closed.

mod helper;

use helper::{EstablishedCalls, Response, TestNode, call_id, endpoint, event};
use ochrelead_node::io::{CallerId, Input, Output, ServerConnectionId};
use serde_json::json;
use test_case::{test_case, test_matrix};

/// Many servers leave few connections to each: one that has all of its share and falls silent is probed nevertheless.
#[test_case(2; "a few servers")]
#[test_case(12; "so many that each has two connections")]
fn vanished_server_is_noticed_with_few_connections(servers: u64) {
    let mut node = TestNode::with_servers(servers);
    node.connect_caller(1);
    node.establish(1, 7, 1);
    node.connects_succeed = false;
    node.advance(8_000);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(41))]);
}

#[test_case(true; "with a set-up on it")]
#[test_case(false; "with nothing on it")]
fn idle_caller_connection_is_closed_only_if_nothing_arrived(asks: bool) {
    let mut node = TestNode::with_servers(1);
    node.drains_input = false;
    node.connect_caller(1);
    node.advance(2_900);
    assert!(node.outputs.contains(&Output::DrainInput(CallerId(1))));
    assert!(!node.has_closed(1));
    node.drains_input = true;
    if asks {
        node.set_up(1, 7, 0);
    } else {
        node.input_and_process(Input::InputDrained(CallerId(1)));
    }
    assert_eq!((node.has_closed(1), node.sent_to_servers("INVITE").len()), (!asks, usize::from(asks)));
}

/// Callers leave a connection open while a call stands on it, however long nothing is sent there.
#[test_case(false; "set up on it")]
#[test_case(true; "of a former incarnation, named on it")]
fn caller_connection_is_kept_while_a_call_stands_on_it(is_named: bool) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = if is_named {
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
    assert!(node.has_closed(1), "nothing stands on it any more");
}

/// Beyond the bound, the connections go first on which no call stands, also where those were used later.
#[test]
fn caller_connections_without_a_call_are_evicted_first() {
    let mut node = TestNode::with_limits(1, 64, json!({}));
    let bound = 24;
    node.connect_caller(1);
    node.establish(1, 7, 0);
    for caller in 2..=bound {
        node.advance(100);
        node.connect_caller(caller);
        let connection = node.establish(caller, 100 + caller, 0);
        node.server_releases(connection, 100 + caller, 16);
        node.send_line(caller, &json!({"t": "ack", "ref": call_id(100 + caller)}));
    }
    // One more has written its set-up before its connection is looked at.
    node.drains_input = false;
    node.connect_caller(bound + 1);
    node.set_up(bound + 1, 7_000, 0);
    node.drains_input = true;
    node.input_and_process(Input::InputDrained(CallerId(bound + 1)));
    node.advance(200);
    let closed: Vec<u64> = (1..=bound + 1).filter(|caller| node.has_closed(*caller)).collect();
    assert_eq!(closed, [2]);
}

#[test_case(4_000, 3_500; "a connect time-out before its server does")]
#[test_case(1_000, 750; "a quarter before, where that is short")]
fn idle_server_connection_is_closed_before_its_server_does(limit: u64, rested: u64) {
    let mut node = TestNode::with_limits(1, 64, json!({"connIdleMs": limit}));
    let first: Vec<ServerConnectionId> = node.connections.keys().copied().collect();
    let ended = |node: &TestNode, connection: &ServerConnectionId| {
        node.outputs.contains(&Output::HalfCloseServerConnection(*connection))
    };
    node.advance(rested - 100);
    node.all_servers_notify();
    assert!(first.iter().all(|connection| !ended(&node, connection)));
    node.advance(200);
    assert!(first.iter().all(|connection| ended(&node, connection)), "{first:?}");
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let (connection, _) = node.sent_to_servers("INVITE").pop().expect("on another");
    assert!(!first.contains(&connection));
}

#[test_matrix([24, 64], [128, 256])]
fn server_connections_stay_within_their_share_of_descriptors(servers: u64, sockets: u64) {
    let mut node = TestNode::with_limits(servers, sockets, json!({}));
    node.servers_close_too = true;
    node.connect_caller(1);
    for call in 0..40 {
        // To any server: some have no connection yet.
        let mut line = TestNode::set_up_line(call, 0);
        line["f"]["extras"] = json!("width:1;via:-1");
        node.send_line(1, &line);
        // None is silent for so long that it is probed.
        node.all_servers_notify();
        node.advance(100);
        assert!(node.engine.load().server_connections as u64 <= sockets / 3, "{:?}", node.engine.load());
        let (connection, _) = node.sent_to_servers("INVITE").pop().expect("one is sent");
        node.respond(connection, &Response::accepted(call, 1));
    }
    assert_eq!(node.sent_to_servers("INVITE").len(), 40, "each reaches its server");
    node.outputs.clear();
    node.all_servers_notify();
    node.advance(500);
    let attempts = node.outputs.iter().filter(|output| matches!(output, Output::ConnectServer(..))).count();
    assert!(attempts <= 4, "no connection is attempted over and over: {attempts}");
}

#[test]
fn displaced_server_is_not_connected_to_again() {
    let mut node = TestNode::with_servers(2);
    node.coordinator_updates(2, &json!([endpoint(21, 11, "up", 100)]));
    node.advance(1_000);
    let there = node.connections.values().filter(|to| *to == "127.0.0.11").count();
    assert_eq!(there, 2, "those to the new server");
}

#[test]
fn silent_server_that_accepts_connections_keeps_its_calls() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.establish(1, 7, 0);
    node.advance(15_000);
    assert_eq!(node.answers(), []);
}

/// Servers come and go without end: tables stay bounded, and the controller knows each server by its own index.
#[test]
fn removed_servers_leave_nothing_behind() {
    let mut node = TestNode::with_servers(1);
    for round in 0..2_000_u64 {
        let (now, before) = (10 * (round + 1) + 1, 10 * round + 1);
        let mut list = vec![endpoint(now, 11 + round % 200, "up", node.now_ms.max(1))];
        if round > 0 {
            list.push(endpoint(before, 11 + (round - 1) % 200, "removed", 0));
        }
        node.coordinator_updates(round + 2, &json!(list));
        node.now_ms += 50;
    }
    node.advance(6_000);
    assert!(node.engine.load().server_connections < 32, "{:?}", node.engine.load());
    node.connect_caller(1);
    node.set_up(1, 7, 1);
    let to: Vec<_> = node
        .sent_to_servers("INVITE")
        .iter()
        .map(|(connection, _)| node.connections[connection].clone())
        .collect();
    assert_eq!(to, ["127.0.0.210"], "the last server");
}

#[test_case(true; "its server closes it too")]
#[test_case(false; "its server keeps silent")]
fn half_closed_connection_is_read_until_its_server_closes_it(closes: bool) {
    let EstablishedCalls { mut node, half_closed, .. } = EstablishedCalls::new();
    node.outputs.clear();
    node.advance(1_500);
    assert!(!node.outputs.contains(&Output::CloseServerConnection(half_closed)), "still read");
    let connections = node.engine.load().server_connections;
    if closes {
        node.disconnect_server(half_closed, false);
        assert_eq!(node.engine.load().server_connections, connections - 1);
    } else {
        node.advance(600);
        assert!(node.outputs.contains(&Output::CloseServerConnection(half_closed)), "given up");
    }
    node.all_servers_notify();
    let is_sent_there =
        |output: &Output| matches!(output, Output::SendToServer(connection, _) if *connection == half_closed);
    assert!(node.outputs.iter().all(|output| !is_sent_there(output)));
}

/// A release that was written behind an answer that can't be read is lost; a server repeats it on its next connection.
#[test_case("up"; "of a server in service")]
#[test_case("draining"; "of a draining server")]
fn connection_that_ends_beside_established_calls_is_followed_by_a_new_one(lifecycle: &str) {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let used = node.establish(1, 7, 0);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    node.coordinator_sends(&format!("{}\n", event(2, false, &json!([endpoint(0, 10, lifecycle, 0)]))));
    // More than enough idle connections are open.
    node.advance(1_000);
    let before: Vec<ServerConnectionId> = node.connections.keys().copied().collect();
    assert!(before.len() > 1);
    node.server_sends(used, b"\x01noise\r\n\r\n");
    node.advance(300);
    let after: Vec<ServerConnectionId> = node.connections.keys().copied().collect();
    let new = after.iter().find(|connection| !before.contains(connection)).expect("a new connection");
    node.server_releases(*new, 7, 16);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16))]);
}

#[test]
fn idle_caller_connection_is_not_closed_in_the_middle_of_a_set_up() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.server_releases(connection, 7, 16);
    node.send_line(1, &json!({"t": "ack", "ref": call_id(7)}));
    node.drains_input = false;
    // Its idle time is over, and what has arrived meanwhile is read before it is closed.
    node.advance(5_600);
    let line = format!("{}\n", TestNode::set_up_line(8, 0));
    let (first, rest) = line.split_at(line.len() / 2);
    node.send_bytes(1, first.as_bytes());
    node.input_and_process(Input::InputDrained(CallerId(1)));
    assert!(!node.has_closed(1));
    node.drains_input = true;
    node.send_bytes(1, rest.as_bytes());
    assert_eq!(node.sent_to_servers("INVITE").len(), 1);
}

/// A server that holds too many connections ends some: no other is opened in their place beyond need.
#[test]
fn orderly_end_of_an_idle_server_connection_opens_no_further_one() {
    let mut node = TestNode::with_servers(1);
    node.connect_caller(1);
    node.establish(1, 7, 0);
    node.advance(1_000);
    let before: Vec<ServerConnectionId> = node.connections.keys().copied().collect();
    assert!(before.len() > 2, "one more than are kept ready");
    let ended = before[0];
    node.connections.remove(&ended);
    node.input_and_process(Input::ServerDisconnected { connection: ended, refused: false });
    node.advance(300);
    let opened = node.connections.keys().filter(|connection| !before.contains(connection)).count();
    assert_eq!(opened, 0);
}
