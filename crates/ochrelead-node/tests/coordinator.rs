//! The subscription to the coordinator.

mod helper;

use helper::{TestNode, endpoint, event};
use ochrelead_node::io::{Input, Output, ServerConnectionId, WatchAction, WatchId};
use ochrelead_platform::events::{EndpointChange, EventCursor};
use serde_json::json;
use test_case::test_case;

#[test_case(true; "it closes the connection")]
#[test_case(false; "it falls silent")]
fn coordinator_is_followed_from_the_last_event(breaks: bool) {
    let mut node = TestNode::with_servers(1);
    node.coordinator_updates(2, &json!([endpoint(1, 11, "up", 0)]));
    let (watch, _) = node.watch.clone().unwrap();
    node.coordinator_sends("{\"index\":3,\"endpoints\":{\"reset\":false,\"instan");
    if breaks {
        node.input_and_process(Input::WatchDisconnected(watch));
    }
    node.advance(1_700);
    let (again, _) = node.watch.clone().unwrap();
    assert_ne!(watch, again);
    node.outputs.clear();
    node.input_and_process(Input::WatchConnected(again));
    assert!(
        node.outputs
            .contains(&Output::Watch(WatchAction::Send { watch: again, line: "follow 2\n".to_owned() }))
    );
    node.outputs.clear();
    node.coordinator_sends(&format!("{}\n", event(3, false, &json!([endpoint(1, 11, "draining", 0)]))));
    node.connect_caller(1);
    node.set_up(1, 7, 1);
    let (connection, _) = node.sent_to_servers("INVITE").pop().unwrap();
    assert_eq!(node.connections[&connection], "127.0.0.10", "no new call at a draining server");
}

#[test]
fn moved_coordinator_is_followed_at_its_new_address() {
    let mut node = TestNode::with_servers(1);
    node.coordinator_updates(2, &json!([endpoint(1, 11, "up", 0)]));
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::CoordinatorMoved("127.0.0.9:8501".parse().unwrap()));
    assert!(node.outputs.contains(&Output::Watch(WatchAction::Close { watch })));
    let (again, to) = node.watch.clone().unwrap();
    assert_eq!((again != watch, to.as_str()), (true, "127.0.0.9:8501"));
}

#[test]
fn coordinator_that_trickles_a_line_counts_as_silent() {
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
    let (again, _) = node.watch.clone().unwrap();
    assert_ne!(again, watch, "it is asked on another connection");
    node.input_and_process(Input::WatchConnected(again));
    node.coordinator_sends("{\"index\":1}\n");
    assert!(node.outputs.contains(&Output::Watch(WatchAction::Close { watch })), "the connection is closed");
}

/// The coordinator's connections that the node has opened since the outputs were last cleared.
fn opened_watches(node: &TestNode) -> Vec<WatchId> {
    let opened = |output: &Output| match output {
        Output::Watch(WatchAction::Connect { watch, .. }) => Some(*watch),
        _ => None,
    };
    node.outputs.iter().filter_map(opened).collect()
}

fn sends_on(node: &mut TestNode, watch: WatchId, text: &str) {
    node.input_and_process(Input::WatchData(watch, text.as_bytes()));
}

fn asks_draining_server(node: &mut TestNode) -> usize {
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    node.sent_to_servers("INVITE").len()
}

/// A node whose coordinator answers nothing; each request is written.
fn node_without_answers(ms: u64) -> TestNode {
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
fn coordinator_that_answers_nothing_is_asked_again_within_the_grace() {
    let mut node = node_without_answers(3_000);
    node.outputs.clear();
    // What was asked while it was silent is lost: only a request from now on is answered.
    node.advance(200);
    let asked_now = opened_watches(&node);
    assert!(!asked_now.is_empty(), "nothing was asked in 200 ms");
    let watch = *asked_now.last().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    sends_on(&mut node, watch, &format!("{}\n", event(2, false, &json!([endpoint(0, 10, "draining", 0)]))));
    assert_eq!(asks_draining_server(&mut node), 0);
}

#[test]
fn slow_coordinator_is_heard_on_the_first_connection_that_it_answers() {
    let mut node = TestNode::with_servers(1);
    let (first, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(first));
    node.advance(4_000);
    assert!(!node.outputs.contains(&Output::Watch(WatchAction::Close { watch: first })), "it is kept");
    sends_on(&mut node, first, &format!("{}\n", event(2, false, &json!([endpoint(0, 10, "draining", 0)]))));
    assert_eq!(asks_draining_server(&mut node), 0);
}

#[test]
fn unanswered_connections_to_the_coordinator_are_bounded() {
    let mut node = TestNode::with_servers(1);
    node.advance(20_000);
    let mut open = 0_i64;
    let mut most = 0;
    for output in &node.outputs {
        match output {
            Output::Watch(WatchAction::Connect { .. }) => open += 1,
            Output::Watch(WatchAction::Close { .. }) => open -= 1,
            _ => {}
        }
        most = most.max(open);
    }
    // The first was opened before the outputs are recorded.
    assert!((1..=4).contains(&most), "{most} besides the first");
}

#[test_case(50; "50 ms")]
#[test_case(300; "300 ms")]
#[test_case(1_500; "1.5 s")]
fn coordinator_that_loses_requests_and_returns_slow_is_heard(answer_ms: u64) {
    let mut node = node_without_answers(3_000);
    let returned_ms = node.now_ms;
    let mut asked = Vec::new();
    let mut closed = Vec::new();
    loop {
        node.outputs.clear();
        node.advance(5);
        for output in node.outputs.clone() {
            match output {
                Output::Watch(WatchAction::Connect { watch, .. }) => {
                    asked.push((watch, node.now_ms));
                    node.input_and_process(Input::WatchConnected(watch));
                }
                Output::Watch(WatchAction::Close { watch }) => closed.push(watch),
                _ => {}
            }
        }
        let is_answered =
            |(watch, at): &&(WatchId, u64)| at + answer_ms <= node.now_ms && !closed.contains(watch);
        if asked.iter().any(|asked| is_answered(&asked)) {
            break;
        }
        assert!(node.now_ms < returned_ms + 3 * answer_ms + 300, "no request lives for {answer_ms} ms");
    }
}

#[test]
fn event_that_comes_after_its_number_is_taken_on_the_same_connection() {
    let mut node = TestNode::with_servers(1);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    sends_on(&mut node, watch, "{\"index\":1}\n{\"index\":2}\n");
    node.advance(40);
    sends_on(&mut node, watch, &format!("{}\n", event(2, false, &json!([endpoint(0, 10, "draining", 0)]))));
    assert_eq!(asks_draining_server(&mut node), 0);
}

#[test]
fn invalid_lines_long_ago_delay_no_request() {
    let mut node = TestNode::with_servers(1);
    for _ in 0..6 {
        let (watch, _) = node.watch.clone().unwrap();
        node.input_and_process(Input::WatchConnected(watch));
        sends_on(&mut node, watch, "{\"index\":1}\n");
        node.outputs.clear();
        sends_on(&mut node, watch, "noise\n");
        node.advance(160);
        assert!(!opened_watches(&node).is_empty(), "not asked again within 160 ms");
    }
}

#[test_case("noise\n"; "an unreadable line")]
#[test_case("{\"index\":9,\"endpoints\":{\"instances\":[]}}\n"; "an event after one that is missing")]
fn connection_that_may_have_missed_events_is_read_on_while_they_are_requested_again(line: &str) {
    let mut node = TestNode::with_servers(1);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    sends_on(&mut node, watch, "{\"index\":1}\n");
    node.advance(1_000);
    node.outputs.clear();
    sends_on(&mut node, watch, line);
    node.advance(150);
    assert!(!opened_watches(&node).is_empty(), "not requested again within 150 ms");
    sends_on(&mut node, watch, &format!("{}\n", event(2, false, &json!([endpoint(0, 10, "draining", 0)]))));
    assert_eq!(asks_draining_server(&mut node), 0);
}

#[test]
fn coordinator_with_unreadable_numbers_is_always_connected_and_asked_in_measure() {
    let mut node = TestNode::with_seed("3ff");
    let mut open: Vec<(WatchId, u64)> = Vec::new();
    let mut asked = 0;
    let (first, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(first));
    open.push((first, 0));
    while node.now_ms < 20_000 {
        for output in node.outputs.split_off(0) {
            match output {
                Output::Watch(WatchAction::Connect { watch, .. }) => {
                    asked += 1;
                    node.input_and_process(Input::WatchConnected(watch));
                    open.push((watch, node.now_ms));
                }
                Output::Watch(WatchAction::Close { watch }) => open.retain(|(other, _)| *other != watch),
                _ => {}
            }
        }
        let due = |(_, opened): &&(WatchId, u64)| (node.now_ms - opened) % 1_000 == 990;
        for (watch, _) in open.iter().filter(due).copied().collect::<Vec<_>>() {
            sends_on(&mut node, watch, "{\"index\":1,\"\n");
        }
        assert!(!open.is_empty(), "no connection at {} ms", node.now_ms);
        node.advance(10);
    }
    assert!((20..=400).contains(&asked), "asked {asked} times in 20 s");
}

#[test]
fn event_that_stops_short_is_requested_again_within_the_grace() {
    let mut node = TestNode::with_servers(1);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    sends_on(&mut node, watch, "{\"index\":1}\n");
    let line = event(2, false, &json!([endpoint(0, 10, "draining", 0)])).to_string();
    let (begin, rest) = line.split_at(40);
    sends_on(&mut node, watch, begin);
    node.outputs.clear();
    node.advance(250);
    assert!(!opened_watches(&node).is_empty(), "not requested again within the grace");
    assert!(!node.outputs.contains(&Output::Watch(WatchAction::Close { watch })), "its rest may still come");
    sends_on(&mut node, watch, &format!("{rest}\n"));
    assert_eq!(asks_draining_server(&mut node), 0);
}

#[test]
fn connection_that_brings_nothing_but_noise_is_closed() {
    let mut node = TestNode::with_servers(1);
    let (watch, _) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    sends_on(&mut node, watch, &"noise\n".repeat(100));
    assert!(node.outputs.contains(&Output::Watch(WatchAction::Close { watch })));
}

#[test]
fn coordinator_that_greets_and_closes_is_not_asked_without_a_pause() {
    let mut node = TestNode::with_servers(1);
    let mut asked = 0;
    while node.now_ms < 1_000 {
        for watch in opened_watches(&node) {
            asked += 1;
            node.outputs.clear();
            node.input_and_process(Input::WatchConnected(watch));
            sends_on(&mut node, watch, "{\"index\":1}\n");
            node.input_and_process(Input::WatchDisconnected(watch));
        }
        node.advance(1);
    }
    assert!((5..=25).contains(&asked), "asked {asked} times in a second");
}

#[test]
fn invalid_list_is_requested_ever_more_rarely() {
    let mut node = TestNode::with_servers(1);
    let mut asked = 0;
    let mut seen = 0;
    while node.now_ms < 10_000 {
        for output in node.outputs.split_off(0) {
            if let Output::Watch(WatchAction::Connect { watch, .. }) = output {
                asked += 1;
                node.input_and_process(Input::WatchConnected(watch));
                node.coordinator_sends("{\"index\":7}\n");
            }
        }
        seen += 1;
        node.advance(10);
    }
    assert!(seen > 100 && (5..=25).contains(&asked), "asked {asked} times in 10 s");
}

#[test]
fn fronts_reconnect_to_the_coordinator_with_jitter() {
    let wait = |seed: &'static str| {
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
    let waits: Vec<u64> = ["10", "110", "210", "310"].map(wait).to_vec();
    assert!(waits.iter().all(|ms| (50..=150).contains(ms)), "{waits:?}");
    assert!(waits.windows(2).all(|pair| pair[0] != pair[1]), "{waits:?}");
}

#[test]
fn reload_with_the_same_coordinator_keeps_the_connection() {
    let mut node = TestNode::with_servers(1);
    let (watch, to) = node.watch.clone().unwrap();
    node.input_and_process(Input::WatchConnected(watch));
    node.outputs.clear();
    node.input_and_process(Input::CoordinatorMoved(to.parse().unwrap()));
    assert!(node.outputs.is_empty(), "{:?}", node.outputs);
    node.coordinator_sends(&format!("{}\n", event(2, false, &json!([endpoint(0, 10, "draining", 0)]))));
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    assert_eq!(node.sent_to_servers("INVITE").len(), 0, "its events are followed");
}

#[test_case(2, 0; "a later list")]
#[test_case(1, 1; "one that is not later")]
fn list_of_a_new_configuration_is_taken_though_the_coordinator_is_silent(index: u64, invites: usize) {
    let mut node = TestNode::with_servers(2);
    let listed = json!([endpoint(0, 10, "draining", 0), endpoint(1, 11, "up", 0)]);
    let known = json!({"index": index, "updates": [event(index, true, &listed)]});
    let (event_cursor, changes) = EventCursor::from_known_events(&known);
    let list = EndpointChange::merge(&changes).unwrap();
    node.input_and_process(Input::ListReloaded { event_cursor, list: &list });
    node.connect_caller(1);
    node.set_up(1, 7, 0);
    let at_server_0 = |sent: &&(ServerConnectionId, String)| node.connections[&sent.0] == "127.0.0.10";
    assert_eq!(node.sent_to_servers("INVITE").iter().filter(at_server_0).count(), invites);
}
