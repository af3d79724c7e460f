//! The texts of test harness events in captures. They are a stored format, so they must not change.

use ochrelead_core::time::Moment;
use ochrelead_scenario::harness_event::{HarnessEvent, scenario_start};
use ochrelead_scenario::participant::Participant;
use test_case::test_case;

#[test_case(HarnessEvent::ScenarioStart(Moment::from_micros(1_700)), "start 1700")]
#[test_case(HarnessEvent::Killed(Participant::Front(2)), "kill 10.0.1.3:2727")]
#[test_case(HarnessEvent::Restarted(Participant::Server(300)), "begin 10.1.2.45:2427")]
#[test_case(HarnessEvent::Suspended(Participant::Front(0)), "halt 10.0.1.1:2727")]
#[test_case(HarnessEvent::Resumed(Participant::Gateway), "resume 10.0.3.1:2427")]
#[test_case(HarnessEvent::EndpointFileWritten { front: Participant::Front(0), draining: Some(4) }, "fleet 10.0.1.1:2727 4")]
#[test_case(HarnessEvent::EndpointFileWritten { front: Participant::Front(0), draining: None }, "fleet 10.0.1.1:2727 -")]
#[test_case(HarnessEvent::ScenarioEnd, "end")]
fn an_event_is_written_as_its_stored_text_and_parsed_back(event: HarnessEvent, text: &str) {
    assert_eq!(event.to_string(), text);
    assert_eq!(text.parse(), Ok(event));
}

#[test_case(""; "empty")]
#[test_case("ended"; "unknown word")]
#[test_case("kill 10.0.9.1:2727"; "address of no participant")]
#[test_case("start soon"; "start without a time")]
fn an_invalid_text_is_rejected(text: &str) {
    assert!(text.parse::<HarnessEvent>().is_err());
}

#[test]
fn the_scenario_start_is_read_only_from_datagrams_of_the_harness() {
    let start = Moment::from_micros(5_000);
    let from_harness = HarnessEvent::ScenarioStart(start).into_datagram(Moment::START);
    let mut from_caller = from_harness.clone();
    from_caller.from = Participant::Gateway;
    assert_eq!(scenario_start(&[from_caller.clone()]), None);
    assert_eq!(scenario_start(&[from_caller, from_harness]), Some(start));
}
