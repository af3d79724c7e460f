//! The subscription to the coordinator.

mod helper;

use helper::{TestNode, endpoint, event};
use ochrelead_node::io::{Input, Output, WatchAction};
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
    for _ in 0..20 {
        node.coordinator_sends("x");
        node.advance(100);
    }
    assert!(node.outputs.contains(&Output::Watch(WatchAction::Close { watch })), "the connection is closed");
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
