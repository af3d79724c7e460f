//! The subscription to the coordinator: reconnects, repeated requests, gaps in the events and unreadable lines.

mod helper;

use helper::{TestNode, endpoint, event};
use ochrelead_node::io::{Input, Output, ServerConnectionId, WatchAction, WatchId};
use ochrelead_platform::events::{EndpointChange, EventCursor};
use serde_json::json;
use test_case::test_case;

#[test_case(true; "connection closed by the coordinator")]
#[test_case(false; "coordinator silent")]
fn reconnect_resumes_after_the_last_received_event(is_closed: bool) {
    let mut node = TestNode::with_servers(1);
    node.coordinator_updates(2, &json!([endpoint(1, 11, "up", 0)]));
    let (watch, _) = node.watch.clone().unwrap();
    node.coordinator_sends("{\"index\":3,\"endpoints\":{\"reset\":false,\"instan");
    if is_closed {
        node.input_and_process(Input::WatchDisconnected(watch));
    }
    node.advance(1_700);
    let (new_watch, _) = node.watch.clone().unwrap();
    assert_ne!(watch, new_watch);
    node.outputs.clear();
    node.input_and_process(Input::WatchConnected(new_watch));
    assert!(
        node.outputs
            .contains(&Output::Watch(WatchAction::Send { watch: new_watch, line: "follow 2\n".to_owned() }))
    );
    node.outputs.clear();
    node.coordinator_sends(&format!("{}\n", event(3, false, &json!([endpoint(1, 11, "draining", 0)]))));
    node.connect_caller(1);
    node.set_up(1, 7, 1);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    assert_eq!(node.connections[&connection], "127.0.0.10", "no new call may be sent to a draining server");
}

#[test]
fn changed_coordinator_address_closes_the_old_connection_and_connects_to_the_new_address() {
    let mut node = TestNode::with_servers(1);
    node.coordinator_updates(2, &json!([endpoint(1, 11, "up", 0)]));
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::CoordinatorMoved("127.0.0.9:8501".parse().unwrap()));
    assert!(node.outputs.contains(&Output::Watch(WatchAction::Close { watch })));
    let (new_watch, address) = node.watch.clone().unwrap();
    assert_eq!((new_watch != watch, address.as_str()), (true, "127.0.0.9:8501"));
}

/// Bytes of a line that never ends must not keep a connection live.
#[test]
fn coordinator_that_sends_an_endless_line_counts_as_silent() {
    let mut node = TestNode::with_servers(1);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    node.coordinator_sends("{\"index\":1}\n");
    for _ in 0..20 {
        let current = node.watch.clone();
        node.watch = Some((watch, String::new()));
        node.coordinator_sends("x");
        node.watch = current;
        node.advance(100);
    }
    let (new_watch, _) = node.watch.clone().unwrap();
    assert_ne!(new_watch, watch, "the events must be requested on another connection");
    node.input_and_process(Input::WatchConnected(new_watch));
    node.coordinator_sends("{\"index\":1}\n");
    assert!(
        node.outputs.contains(&Output::Watch(WatchAction::Close { watch })),
        "the old connection must be closed"
    );
}

/// The connections to the coordinator that the node has opened since the outputs were last cleared.
fn opened_watches(node: &TestNode) -> Vec<WatchId> {
    let opened = |output: &Output| match output {
        Output::Watch(WatchAction::Connect { watch, .. }) => Some(*watch),
        _ => None,
    };
    node.outputs.iter().filter_map(opened).collect()
}

fn coordinator_sends_on(node: &mut TestNode, watch: WatchId, text: &str) {
    node.input_and_process(Input::WatchData(watch, text.as_bytes()));
}

/// The coordinator sends event 2 on a connection: server 0 is draining.
fn coordinator_drains_server_0(node: &mut TestNode, watch: WatchId) {
    let event = event(2, false, &json!([endpoint(0, 10, "draining", 0)]));
    coordinator_sends_on(node, watch, &format!("{event}\n"));
}

/// Sets a call up whose first-choice server is server 0, and returns the number of INVITEs sent.
fn set_up_at_draining_server(node: &mut TestNode) -> usize {
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    node.sent_to_servers("INVITE").len()
}

/// A node whose coordinator accepts connections and has answered no request for `ms` milliseconds.
fn node_with_unanswered_requests(ms: u64) -> TestNode {
    let mut node = TestNode::with_servers(1);
    let (first, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(first));
    let until = node.now_ms + ms;
    while node.now_ms < until {
        node.outputs.clear();
        node.advance(5);
        for watch in opened_watches(&node) {
            node.input_and_process(Input::WatchConnected(watch));
        }
    }
    node
}

#[test]
fn unresponsive_coordinator_is_requested_again_within_the_drain_grace() {
    let mut node = node_with_unanswered_requests(3_000);
    node.outputs.clear();
    // Requests sent while the coordinator was silent are lost: it answers only those sent from now on.
    node.advance(200);
    let recent_watches = opened_watches(&node);
    assert!(!recent_watches.is_empty(), "no request within 200 ms");
    let watch = *recent_watches.last().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    coordinator_drains_server_0(&mut node, watch);
    assert_eq!(set_up_at_draining_server(&mut node), 0);
}

#[test]
fn late_answer_on_the_first_connection_is_used() {
    let mut node = TestNode::with_servers(1);
    let (first, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(first));
    node.advance(4_000);
    assert!(
        !node.outputs.contains(&Output::Watch(WatchAction::Close { watch: first })),
        "the unanswered connection must stay open"
    );
    coordinator_drains_server_0(&mut node, first);
    assert_eq!(set_up_at_draining_server(&mut node), 0);
}

#[test]
fn number_of_unanswered_coordinator_connections_is_limited() {
    let mut node = TestNode::with_servers(1);
    node.advance(20_000);
    let mut open = 0_i64;
    let mut max_open = 0;
    for output in &node.outputs {
        match output {
            Output::Watch(WatchAction::Connect { .. }) => open += 1,
            Output::Watch(WatchAction::Close { .. }) => open -= 1,
            _ => {}
        }
        max_open = max_open.max(open);
    }
    // The first connection was opened before the outputs are recorded.
    assert!((1..=4).contains(&max_open), "{max_open} connections open in addition to the first");
}

/// If older connections were closed too early, no request would stay open long enough for a slow answer.
#[test_case(50; "50 ms")]
#[test_case(300; "300 ms")]
#[test_case(1_500; "1.5 s")]
fn slow_answers_after_an_outage_arrive_on_an_open_connection(answer_ms: u64) {
    let mut node = node_with_unanswered_requests(3_000);
    let returned_ms = node.now_ms;
    let mut requests = Vec::new();
    let mut closed = Vec::new();
    loop {
        node.outputs.clear();
        node.advance(5);
        for output in node.outputs.clone() {
            match output {
                Output::Watch(WatchAction::Connect { watch, .. }) => {
                    requests.push((watch, node.now_ms));
                    node.input_and_process(Input::WatchConnected(watch));
                }
                Output::Watch(WatchAction::Close { watch }) => closed.push(watch),
                _ => {}
            }
        }
        let is_answered = |(watch, sent_ms): &&(WatchId, u64)| {
            sent_ms + answer_ms <= node.now_ms && !closed.contains(watch)
        };
        if requests.iter().any(|request| is_answered(&request)) {
            break;
        }
        assert!(node.now_ms < returned_ms + 3 * answer_ms + 300, "no request stayed open for {answer_ms} ms");
    }
}

#[test]
fn event_that_arrives_after_its_index_was_announced_is_applied() {
    let mut node = TestNode::with_servers(1);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    coordinator_sends_on(&mut node, watch, "{\"index\":1}\n{\"index\":2}\n");
    node.advance(40);
    coordinator_drains_server_0(&mut node, watch);
    assert_eq!(set_up_at_draining_server(&mut node), 0);
}

/// Each connection delivers a valid line and then an unreadable one: the earlier unreadable lines must not lengthen the
/// delay before the next request.
#[test]
fn earlier_unreadable_lines_do_not_delay_the_next_request() {
    let mut node = TestNode::with_servers(1);
    for _ in 0..6 {
        let (watch, _) = node.watch.clone().unwrap();
        node.input_and_process(Input::WatchConnected(watch));
        coordinator_sends_on(&mut node, watch, "{\"index\":1}\n");
        node.outputs.clear();
        coordinator_sends_on(&mut node, watch, "noise\n");
        node.advance(160);
        assert!(!opened_watches(&node).is_empty(), "no further request within 160 ms");
    }
}

#[test_case("noise\n"; "unreadable line")]
#[test_case("{\"index\":9,\"endpoints\":{\"instances\":[]}}\n"; "event after a missing one")]
fn connection_with_a_gap_is_still_read_while_events_are_requested_on_another(line: &str) {
    let mut node = TestNode::with_servers(1);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    coordinator_sends_on(&mut node, watch, "{\"index\":1}\n");
    node.advance(1_000);
    node.outputs.clear();
    coordinator_sends_on(&mut node, watch, line);
    node.advance(150);
    assert!(!opened_watches(&node).is_empty(), "no further request within 150 ms");
    coordinator_drains_server_0(&mut node, watch);
    assert_eq!(set_up_at_draining_server(&mut node), 0);
}

/// Every line of the coordinator is unreadable: the node keeps a connection open, and neither stops requesting nor
/// floods the coordinator with requests.
#[test]
fn coordinator_with_unreadable_heartbeats_stays_connected_and_requests_are_limited() {
    let mut node = TestNode::with_seed("3ff");
    let mut open: Vec<(WatchId, u64)> = Vec::new();
    let mut requests = 0;
    let (first, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(first));
    open.push((first, 0));
    while node.now_ms < 20_000 {
        for output in node.outputs.split_off(0) {
            match output {
                Output::Watch(WatchAction::Connect { watch, .. }) => {
                    requests += 1;
                    node.input_and_process(Input::WatchConnected(watch));
                    open.push((watch, node.now_ms));
                }
                Output::Watch(WatchAction::Close { watch }) => open.retain(|(other, _)| *other != watch),
                _ => {}
            }
        }
        let due = |(_, opened): &&(WatchId, u64)| (node.now_ms - opened) % 1_000 == 990;
        for (watch, _) in open.iter().filter(due).copied().collect::<Vec<_>>() {
            coordinator_sends_on(&mut node, watch, "{\"index\":1,\"\n");
        }
        assert!(!open.is_empty(), "no open connection at {} ms", node.now_ms);
        node.advance(10);
    }
    assert!((20..=400).contains(&requests), "{requests} requests in 20 s");
}

#[test]
fn incomplete_event_line_is_requested_again_within_the_drain_grace() {
    let mut node = TestNode::with_servers(1);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    coordinator_sends_on(&mut node, watch, "{\"index\":1}\n");
    let line = event(2, false, &json!([endpoint(0, 10, "draining", 0)])).to_string();
    let (first_part, second_part) = line.split_at(40);
    coordinator_sends_on(&mut node, watch, first_part);
    node.outputs.clear();
    node.advance(250);
    assert!(!opened_watches(&node).is_empty(), "no further request within the drain grace");
    assert!(
        !node.outputs.contains(&Output::Watch(WatchAction::Close { watch })),
        "the connection must stay open for the rest of the line"
    );
    coordinator_sends_on(&mut node, watch, &format!("{second_part}\n"));
    assert_eq!(set_up_at_draining_server(&mut node), 0);
}

#[test]
fn connection_with_only_unreadable_lines_is_closed() {
    let mut node = TestNode::with_servers(1);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    coordinator_sends_on(&mut node, watch, &"noise\n".repeat(100));
    assert!(node.outputs.contains(&Output::Watch(WatchAction::Close { watch })));
}

#[test]
fn coordinator_that_closes_after_the_first_heartbeat_is_reconnected_with_a_delay() {
    let mut node = TestNode::with_servers(1);
    let mut requests = 0;
    while node.now_ms < 1_000 {
        for watch in opened_watches(&node) {
            requests += 1;
            node.outputs.clear();
            node.input_and_process(Input::WatchConnected(watch));
            coordinator_sends_on(&mut node, watch, "{\"index\":1}\n");
            node.input_and_process(Input::WatchDisconnected(watch));
        }
        node.advance(1);
    }
    assert!((5..=25).contains(&requests), "{requests} requests in 1 s");
}

/// The coordinator announces an event index and never delivers the events, so that every request would make it send a
/// full list: the requests back off.
#[test]
fn requests_back_off_if_announced_events_never_arrive() {
    let mut node = TestNode::with_servers(1);
    let mut requests = 0;
    let mut iterations = 0;
    while node.now_ms < 10_000 {
        for output in node.outputs.split_off(0) {
            if let Output::Watch(WatchAction::Connect { watch, .. }) = output {
                requests += 1;
                node.input_and_process(Input::WatchConnected(watch));
                node.coordinator_sends("{\"index\":7}\n");
            }
        }
        iterations += 1;
        node.advance(10);
    }
    assert!(iterations > 100 && (5..=25).contains(&requests), "{requests} requests in 10 s");
}

#[test]
fn fronts_with_different_seeds_reconnect_after_different_delays() {
    let reconnect_delay = |seed: &'static str| {
        let mut node = TestNode::with_seed(seed);
        let (watch, _) = node.watch.clone().unwrap();
        node.input(Input::WatchDisconnected(watch));
        node.outputs.clear();
        while !node.outputs.iter().any(|output| matches!(output, Output::Watch(WatchAction::Connect { .. })))
        {
            node.advance(1);
        }
        node.now_ms
    };
    let delays: Vec<u64> = ["10", "110", "210", "310"].map(reconnect_delay).to_vec();
    assert!(delays.iter().all(|ms| (50..=150).contains(ms)), "{delays:?}");
    assert!(delays.windows(2).all(|pair| pair[0] != pair[1]), "{delays:?}");
}

#[test]
fn reload_with_the_same_coordinator_keeps_the_connection() {
    let mut node = TestNode::with_servers(1);
    let (watch, address) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    node.outputs.clear();
    node.input_and_process(Input::CoordinatorMoved(address.parse().unwrap()));
    assert!(node.outputs.is_empty(), "{:?}", node.outputs);
    node.coordinator_sends(&format!("{}\n", event(2, false, &json!([endpoint(0, 10, "draining", 0)]))));
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    assert_eq!(
        node.sent_to_servers("INVITE").len(),
        0,
        "events on the kept connection must still be applied"
    );
}

#[test_case(2, 0; "later index")]
#[test_case(1, 1; "index already known")]
fn reloaded_server_list_is_applied_without_the_coordinator_if_its_index_is_later(index: u64, invites: usize) {
    let mut node = TestNode::with_servers(2);
    let listed = json!([endpoint(0, 10, "draining", 0), endpoint(1, 11, "up", 0)]);
    let known = json!({"index": index, "updates": [event(index, true, &listed)]});
    let (event_cursor, changes) = EventCursor::from_known_events(&known);
    let list = EndpointChange::merge(&changes).unwrap();
    node.input_and_process(Input::ListReloaded { event_cursor, list: &list });
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let is_to_server_0 = |sent: &&(ServerConnectionId, String)| node.connections[&sent.0] == "127.0.0.10";
    assert_eq!(node.sent_to_servers("INVITE").iter().filter(is_to_server_0).count(), invites);
}
