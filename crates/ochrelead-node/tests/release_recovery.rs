//! Releases that are lost with a connection to a server: the server repeats them on the next connection that is opened.

mod helper;

use std::collections::BTreeSet;

use helper::{EstablishedCalls, Response, TestNode, endpoint, event};
use ochrelead_node::io::{ConnectionEnd, Input, Output, ServerConnectionId};
use serde_json::json;
use test_case::test_case;

/// The time within which a caller must be notified of the end of its call if no release reached the node.
const RELEASE_DEADLINE_MS: u64 = 8_000;

const SEEDS: [&str; 12] = ["01", "02", "03", "04", "05", "06", "07", "08", "09", "0a", "0b", "0c"];

fn open_connections(node: &TestNode) -> BTreeSet<ServerConnectionId> {
    node.connections.keys().copied().collect()
}

/// A node whose call 7 is established at server 0, with more idle connections than it needs. Returns the connection of
/// the call.
fn node_with_spare_connections(seed: &'static str) -> (TestNode, ServerConnectionId) {
    let mut node = TestNode::with_seed(seed);
    node.connect_caller(1);
    let connection = node.establish(1, 7, 0);
    node.advance(1_000);
    assert!(node.connections.len() > 2, "more connections than the node keeps idle");
    node.outputs.clear();
    (node, connection)
}

/// Advances until the node has opened a connection. The servers stay audible meanwhile. Returns the connection and the
/// time that it took, in ms.
fn advance_to_new_connection(node: &mut TestNode, within_ms: u64) -> Option<(ServerConnectionId, u64)> {
    let before = open_connections(node);
    for elapsed_ms in (20..=within_ms).step_by(20) {
        node.advance(20);
        node.all_servers_notify();
        if let Some(new) = open_connections(node).difference(&before).next() {
            return Some((*new, elapsed_ms));
        }
    }
    None
}

/// Review case 1: a release was lost with an idle connection that was reset. The node kept its other connections to the
/// server and opened no further one, so that the caller was never notified.
#[test_case("up"; "of a server in service")]
#[test_case("draining"; "of a draining server")]
fn release_lost_with_an_idle_connection_reaches_the_caller(lifecycle: &str) {
    let (mut node, connection) = node_with_spare_connections("07");
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    node.coordinator_sends(&format!("{}\n", event(2, false, &json!([endpoint(0, 10, lifecycle, 0)]))));
    node.disconnect_server(connection, ConnectionEnd::Reset);
    let next = advance_to_new_connection(&mut node, 1_000);
    let (next, _) = next.expect("a connection on which the server repeats the release");
    node.server_releases(next, 7, 16);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16))]);
}

/// As above, for a connection that the node had half-closed to read what was still on its way.
#[test]
fn release_lost_with_a_half_closed_connection_reaches_the_caller() {
    let EstablishedCalls { mut node, half_closed, .. } = EstablishedCalls::new();
    node.all_servers_notify();
    node.outputs.clear();
    node.disconnect_server(half_closed, ConnectionEnd::Reset);
    let (next, _) = advance_to_new_connection(&mut node, 1_000).expect("a new connection");
    node.server_releases(next, 7, 16);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16))]);
}

/// A connection that was requested before the loss may have been accepted before the server sent the release: the server
/// does not repeat the release on it.
#[test]
fn connection_requested_before_the_loss_is_not_taken_for_the_next_one() {
    let (mut node, connection) = node_with_spare_connections("07");
    node.connects_succeed = false;
    // INVITEs in flight leave too few idle connections: the node requests another one. Then the INVITEs are answered.
    let open = open_connections(&node);
    let calls: Vec<u64> = (100..).take(open.len()).collect();
    calls.iter().for_each(|call| node.set_up(1, *call, 0));
    let earlier = *open_connections(&node).difference(&open).next().expect("an attempt in progress");
    for (call, (invited_on, _)) in calls.iter().zip(node.sent_to_servers("INVITE")) {
        node.respond(invited_on, &Response::accepted(*call, 1));
    }
    node.disconnect_server(connection, ConnectionEnd::Reset);
    node.connects_succeed = true;
    node.input_and_process(Input::ServerConnected(earlier));
    let requested_later = advance_to_new_connection(&mut node, 1_000);
    assert!(requested_later.is_some(), "a connection requested after the loss");
}

/// Connections also get reset while new: the release repeated on one of them is lost again.
#[test]
fn release_lost_again_with_a_new_connection_reaches_the_caller() {
    let (mut node, connection) = node_with_spare_connections("07");
    node.disconnect_server(connection, ConnectionEnd::Reset);
    let (second, _) = advance_to_new_connection(&mut node, 1_000).expect("a new connection");
    node.disconnect_server(second, ConnectionEnd::Reset);
    let (third, _) = advance_to_new_connection(&mut node, 1_000).expect("another new connection");
    node.server_releases(third, 7, 16);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16))]);
}

/// A server that has as many connections as it accepts ends each further one at once. The attempts become rarer, and the
/// node gives up idle connections to make room.
#[test_case(ConnectionEnd::Closed)]
#[test_case(ConnectionEnd::Reset)]
fn server_that_ends_new_connections_at_once_is_asked_more_and_more_rarely(end: ConnectionEnd) {
    let (mut node, connection) = node_with_spare_connections("07");
    node.servers_close_too = true;
    node.disconnect_server(connection, ConnectionEnd::Reset);
    let at_most = open_connections(&node).len() + 1;
    let mut gaps_ms = Vec::new();
    while gaps_ms.iter().sum::<u64>() < RELEASE_DEADLINE_MS {
        let Some((new, gap_ms)) = advance_to_new_connection(&mut node, RELEASE_DEADLINE_MS) else { break };
        gaps_ms.push(gap_ms);
        assert!(node.engine.load().server_connections <= at_most, "{:?}", node.engine.load());
        node.disconnect_server(new, end);
    }
    assert!(gaps_ms.len() > 2, "the node gives up: {gaps_ms:?}");
    assert!(*gaps_ms.last().unwrap() >= 1_000, "{gaps_ms:?}");
    assert!(!node.outputs.iter().any(|output| matches!(output, Output::CloseServerConnection(_))));
}

/// A server that has too many connections may reset idle ones, one after another, and what replaces them too.
#[test]
fn server_that_keeps_resetting_idle_connections_gets_a_new_one_every_two_seconds() {
    let (mut node, connection) = node_with_spare_connections("07");
    let mut reset = connection;
    let mut opened = 0;
    while node.now_ms < 1_000 + RELEASE_DEADLINE_MS {
        node.disconnect_server(reset, ConnectionEnd::Reset);
        let Some((new, _)) = advance_to_new_connection(&mut node, RELEASE_DEADLINE_MS) else { break };
        opened += 1;
        node.advance(100);
        reset = new;
    }
    assert!((3..=5).contains(&opened), "{opened}");
}

/// Each loss asks for a new connection after a part of the connect time-out. A later loss does not put that off.
#[test]
fn further_losses_do_not_put_off_the_recovery() {
    // The node probes a silent server on new connections, until there are enough for two losses.
    let prepare = |seed| {
        let (mut node, connection) = node_with_spare_connections(seed);
        node.advance(3_000);
        node.all_servers_notify();
        assert!(node.connections.len() >= 4);
        node.disconnect_server(connection, ConnectionEnd::Reset);
        node
    };
    for seed in SEEDS {
        let mut node = prepare(seed);
        let (_, alone_ms) = advance_to_new_connection(&mut node, 1_000).expect("a new connection");
        let mut node = prepare(seed);
        let other = *open_connections(&node).first().unwrap();
        node.disconnect_server(other, ConnectionEnd::Reset);
        let (_, both_ms) = advance_to_new_connection(&mut node, 1_000).expect("a new connection");
        assert!(both_ms <= alone_ms, "seed {seed}: {both_ms} ms in place of {alone_ms} ms");
    }
}

/// A server may refuse the new connection for the time being.
#[test]
fn refused_recovery_is_repeated() {
    let (mut node, connection) = node_with_spare_connections("07");
    node.connects_succeed = false;
    node.disconnect_server(connection, ConnectionEnd::Reset);
    let (refused, _) = advance_to_new_connection(&mut node, 1_000).expect("an attempt");
    node.disconnect_server(refused, ConnectionEnd::Refused);
    node.connects_succeed = true;
    let (next, _) = advance_to_new_connection(&mut node, 2_000).expect("another attempt");
    node.server_releases(next, 7, 16);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(16))]);
}

/// What resets one idle connection may reset those of all fronts at the same moment.
#[test]
fn fronts_whose_connections_are_reset_together_do_not_reconnect_together() {
    let delays_ms: Vec<u64> = SEEDS
        .map(|seed| {
            let (mut node, connection) = node_with_spare_connections(seed);
            node.disconnect_server(connection, ConnectionEnd::Reset);
            advance_to_new_connection(&mut node, 1_000).expect("a new connection").1
        })
        .to_vec();
    let busiest =
        delays_ms.iter().map(|delay| delays_ms.iter().filter(|other| *other == delay).count()).max();
    assert!(busiest <= Some(SEEDS.len() / 3), "{delays_ms:?}");
}

/// Without an established call no release can have been lost.
#[test]
fn reset_surplus_connection_to_a_server_without_calls_is_not_replaced() {
    let (mut node, connection) = node_with_spare_connections("07");
    node.server_releases(connection, 7, 16);
    node.disconnect_server(connection, ConnectionEnd::Reset);
    assert_eq!(advance_to_new_connection(&mut node, 1_000), None);
}
