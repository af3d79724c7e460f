//! The bounds of the calls that callers report as established (`at`): reports that no server knows must cost nobody but the
//! callers that send them.

mod helper;

use helper::{TestNode, call_id};
use serde_json::json;
use test_case::test_case;

/// The first of the ids that no server knows.
const FIRST_MADE_UP: u64 = 1 << 32;
const MADE_UP_CALLS: u64 = 100_000;

fn report(node: &mut TestNode, caller: u64, call: u64) {
    node.send_line(caller, &json!({"t": "new", "ref": call_id(call), "f": {"extras": "at:s-0"}}));
}

/// Reports made up calls, evenly from these callers. Returns how many were ended at once.
fn report_made_up_calls(node: &mut TestNode, callers: std::ops::Range<u64>) -> usize {
    let count = callers.end - callers.start;
    callers.clone().for_each(|caller| node.connect_caller(caller));
    let mut ended = 0;
    for call in 0..MADE_UP_CALLS {
        report(node, callers.start + call % count, FIRST_MADE_UP + call);
        ended += node.answers().len();
        assert!(node.sent_to_servers("BYE").is_empty(), "the servers are not asked to end made up calls");
        node.outputs.clear();
    }
    ended
}

/// Issue 60: one connection that reported 100,000 made up calls filled the table of calls, and every set-up was refused until
/// the node was restarted.
#[test_case(1; "from one connection")]
#[test_case(400; "from four hundred connections")]
fn made_up_reports_take_no_room_from_set_ups(reporters: u64) {
    let mut node = TestNode::with_limits(1, 2_048, json!({}));
    let ended = report_made_up_calls(&mut node, 1_000..1_000 + reporters);
    assert!(ended as u64 >= MADE_UP_CALLS / 2, "at the bound each report gets a clear end: {ended}");
    for caller in 1..=30 {
        node.connect_caller(caller);
        node.establish(caller, caller, 0);
    }
}

/// The connection that has reported most gives up its calls for those of others.
#[test]
fn made_up_reports_do_not_displace_the_calls_of_a_caller_with_few() {
    let mut node = TestNode::with_limits(1, 2_048, json!({}));
    node.connect_caller(1);
    (1..=10).for_each(|call| report(&mut node, 1, call));
    report_made_up_calls(&mut node, 1_000..1_100);
    node.connect_caller(2);
    report(&mut node, 2, 11);
    let connection = *node.connections.keys().next().unwrap();
    (1..=11).for_each(|call| node.server_releases(connection, call, 16));
    let notified: Vec<u64> =
        node.answers().iter().map(|(caller, ..)| *caller).filter(|caller| *caller < 1_000).collect();
    assert_eq!(notified, [1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2]);
}

/// Releases of made up calls whose connections have closed must not fill the queue of releases that wait for a caller.
#[test]
fn made_up_reports_do_not_displace_a_pending_release() {
    let mut node = TestNode::with_limits(1, 2_048, json!({"mostHeld": 64}));
    for caller in 1_000..1_031 {
        node.connect_caller(caller);
        (0..16).for_each(|call| report(&mut node, caller, FIRST_MADE_UP + caller * 16 + call));
        node.disconnect_caller(caller);
    }
    node.connect_caller(1);
    report(&mut node, 1, 1);
    node.disconnect_caller(1);
    let connection = *node.connections.keys().next().unwrap();
    node.server_releases(connection, 1, 16);
    node.outputs.clear();
    node.connect_caller(2);
    report(&mut node, 2, 1);
    assert_eq!(node.answers(), [(2, "down".to_owned(), Some(16))]);
}

/// A report that its server never ends is given up after 32 times the longest mean holding time.
#[test]
fn reported_call_that_no_server_ends_is_given_up() {
    let mut node = TestNode::with_hold_times([8_000, 10_000]);
    node.connect_caller(1);
    report(&mut node, 1, 1);
    let advance = |node: &mut TestNode, seconds: u64| {
        for _ in 0..seconds {
            node.advance(1_000);
            node.all_servers_notify();
        }
    };
    advance(&mut node, 319);
    assert_eq!(node.answers(), []);
    advance(&mut node, 2);
    assert_eq!(node.answers(), [(1, "down".to_owned(), Some(41))]);
    assert_eq!(node.sent_to_servers("BYE").len(), 1);
    assert_eq!(node.engine.load().calls, 0);
}
