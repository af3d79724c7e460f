//! The coordinator's events are applied once and in order.
#![allow(clippy::needless_pass_by_value, reason = "test cases own their values")]

mod event;

use event::event;
use ochrelead_core::time::Moment;
use ochrelead_core::types::EndpointState;
use ochrelead_platform::events::{EndpointChange, EventCursor, EventOutcome};
use serde_json::{Value, json};
use test_case::test_case;

#[test_case(json!({"index": 4}), "nothing"; "an earlier number")]
#[test_case(json!({"index": 5}), "up to date"; "the last number again")]
#[test_case(json!({"index": 6}), "behind"; "a number whose event did not come")]
#[test_case(json!(4), "nothing"; "an earlier number by itself")]
#[test_case(json!(5), "up to date"; "the last number by itself")]
#[test_case(json!(6), "behind"; "a number by itself whose event did not come")]
#[test_case(json!(-1), "broken"; "no number of an event")]
#[test_case(event(5, "s-1", "up"), "nothing"; "an event twice")]
#[test_case(event(6, "s-1", "up"), "change"; "the next event")]
#[test_case(event(8, "s-1", "up"), "gap"; "one event is missing")]
#[test_case(event(6, "s-1", "resting"), "broken"; "an unknown state")]
#[test_case(json!({"endpoints": {}}), "broken"; "no number")]
fn events_are_applied_once_and_in_order(line: Value, heard: &str) {
    let (mut followed, changes) =
        EventCursor::from_known_events(&json!({"index": 5, "updates": [event(1, "s-1", "up")]}));
    assert_eq!((followed.request().as_str(), changes.len()), ("follow 5\n", 1));
    let got = match followed.handle_line(line.to_string().as_bytes()) {
        Ok(EventOutcome::Changed(change)) => {
            let started = Some(Moment::from_micros(1_500_000));
            assert_eq!((change.is_full, change.endpoints[0].number), (false, 2));
            assert_eq!(change.endpoints[0].state, EndpointState::Ready { started });
            "change"
        }
        Ok(EventOutcome::Unchanged) => "nothing",
        Ok(EventOutcome::UpToDate) => "up to date",
        Ok(EventOutcome::Behind) => "behind",
        Ok(EventOutcome::Gap) => "gap",
        Err(_) => "broken",
    };
    assert_eq!(got, heard);
    let next = if heard == "change" { "follow 6\n" } else { "follow 5\n" };
    assert_eq!(followed.request(), next, "only what was taken is known");
}

#[test]
fn whole_list_is_taken_though_events_before_it_are_missing() {
    let (mut followed, _) = EventCursor::from_known_events(&json!({"index": 5, "updates": []}));
    let mut whole = event(9, "s-1", "up");
    whole["endpoints"]["reset"] = json!(true);
    let outcome = followed.handle_line(whole.to_string().as_bytes()).unwrap();
    assert!(matches!(outcome, EventOutcome::Changed(change) if change.is_full));
    assert_eq!(followed.request(), "follow 9\n");
}

#[test]
fn changes_in_a_row_make_the_list_that_they_lead_to() {
    let updates = [
        event(1, "s-1", "up"),
        event(2, "s-2", "up"),
        event(3, "s-1", "removed"),
        event(4, "s-2", "draining"),
    ];
    let (_, changes) = EventCursor::from_known_events(&json!({"index": 4, "updates": updates}));
    let list = EndpointChange::merge(&changes).unwrap();
    let listed: Vec<_> = list.endpoints.iter().map(|listed| (listed.id.as_str(), listed.state)).collect();
    assert_eq!((list.is_full, listed), (true, vec![("s-2", EndpointState::Draining)]));
    assert_eq!(EndpointChange::merge(&changes[1..]), None, "without the whole list");
}
