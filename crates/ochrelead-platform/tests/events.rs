//! Tests that the coordinator's events are applied exactly once and in order.
#![allow(clippy::needless_pass_by_value, reason = "test cases own their values")]

mod event;

use event::event;
use ochrelead_core::time::Moment;
use ochrelead_core::types::EndpointState;
use ochrelead_platform::events::{EndpointChange, EventCursor, EventOutcome};
use serde_json::{Value, json};
use test_case::test_case;

#[test_case(json!({"index": 4}), "unchanged"; "object with an earlier index")]
#[test_case(json!({"index": 5}), "up to date"; "object with the last index")]
#[test_case(json!({"index": 6}), "behind"; "object with a later index")]
#[test_case(json!(4), "unchanged"; "bare earlier index")]
#[test_case(json!(5), "up to date"; "bare last index")]
#[test_case(json!(6), "behind"; "bare later index")]
#[test_case(json!(-1), "error"; "negative index")]
#[test_case(event(5, "s-1", "up"), "unchanged"; "repeated event")]
#[test_case(event(6, "s-1", "up"), "changed"; "next event")]
#[test_case(event(8, "s-1", "up"), "gap"; "skipped events")]
#[test_case(event(6, "s-1", "resting"), "error"; "unknown lifecycle")]
#[test_case(json!({"endpoints": {}}), "error"; "index missing")]
fn events_are_applied_once_and_in_order(line: Value, expected: &str) {
    let (mut cursor, changes) =
        EventCursor::from_known_events(&json!({"index": 5, "updates": [event(1, "s-1", "up")]}));
    assert_eq!((cursor.request().as_str(), changes.len()), ("follow 5\n", 1));
    let outcome = match cursor.handle_line(line.to_string().as_bytes()) {
        Ok(EventOutcome::Changed(change)) => {
            let started = Some(Moment::from_micros(1_500_000));
            assert_eq!((change.is_full, change.endpoints[0].number), (false, 2));
            assert_eq!(change.endpoints[0].state, EndpointState::Ready { started });
            "changed"
        }
        Ok(EventOutcome::Unchanged) => "unchanged",
        Ok(EventOutcome::UpToDate) => "up to date",
        Ok(EventOutcome::Behind) => "behind",
        Ok(EventOutcome::Gap) => "gap",
        Err(_) => "error",
    };
    assert_eq!(outcome, expected);
    let request = if expected == "changed" { "follow 6\n" } else { "follow 5\n" };
    assert_eq!(cursor.request(), request, "the cursor advances past applied events only");
}

#[test]
fn full_list_is_applied_although_earlier_events_are_missing() {
    let (mut cursor, _) = EventCursor::from_known_events(&json!({"index": 5, "updates": []}));
    let mut full = event(9, "s-1", "up");
    full["endpoints"]["reset"] = json!(true);
    let outcome = cursor.handle_line(full.to_string().as_bytes()).unwrap();
    assert!(matches!(outcome, EventOutcome::Changed(change) if change.is_full));
    assert_eq!(cursor.request(), "follow 9\n");
}

#[test]
fn consecutive_changes_are_merged_into_one_full_list() {
    let updates = [
        event(1, "s-1", "up"),
        event(2, "s-2", "up"),
        event(3, "s-1", "removed"),
        event(4, "s-2", "draining"),
    ];
    let (_, changes) = EventCursor::from_known_events(&json!({"index": 4, "updates": updates}));
    let merged = EndpointChange::merge(&changes).unwrap();
    let states: Vec<_> =
        merged.endpoints.iter().map(|endpoint| (endpoint.id.as_str(), endpoint.state)).collect();
    assert_eq!((merged.is_full, states), (true, vec![("s-2", EndpointState::Draining)]));
    assert_eq!(EndpointChange::merge(&changes[1..]), None, "none of the changes is full");
}
