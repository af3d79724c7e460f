//! The parts that decide or remember by themselves.

#![allow(clippy::needless_pass_by_value, reason = "test cases own their values")]

use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::InviteOutcome;
use ochrelead_front::drain::DrainState;
use ochrelead_front::outcomes;
use ochrelead_host::called_numbers::CalledNumberTable;
use ochrelead_mgcp::message::Response;
use test_case::test_case;

const BUSY: InviteOutcome = InviteOutcome::Rejected { no_line: false, retry_after: None };

#[test_case(Response::new(200, 1), None; "stands")]
#[test_case(Response::new(409, 1), Some(BUSY); "full")]
#[test_case(Response::new(409, 1).with("X-Wait", 700),
    Some(InviteOutcome::Rejected { no_line: false, retry_after: Some(Span::from_millis(700)) }); "full, with a wait")]
#[test_case(Response::new(409, 1).with("X-Wait", "soon"), Some(BUSY); "a wait that is none")]
#[test_case(Response::new(410, 1), Some(InviteOutcome::Rejected { no_line: true, retry_after: None }); "no circuit")]
#[test_case(Response::new(401, 1), Some(InviteOutcome::Failed { lines_busy: true }); "line busy")]
#[test_case(Response::new(406, 1), Some(InviteOutcome::TimedOut); "timed out there")]
#[test_case(Response::new(520, 1), Some(InviteOutcome::Reset); "restarting")]
#[test_case(Response::new(999, 1), Some(InviteOutcome::Failed { lines_busy: false }); "unknown")]
fn response_code_maps_to_outcome(response: Response, expected: Option<InviteOutcome>) {
    assert_eq!(outcomes::from_response(&response), expected);
}

#[test_case("3/40", Some((3, 40)); "sound")]
#[test_case("41/40", None; "more free than there are")]
#[test_case("-1/40", None; "negative")]
#[test_case("40", None; "one figure")]
fn line_capacity_is_parsed(text: &str, expected: Option<(u32, u32)>) {
    let response = Response::new(200, 1).with("X-Lines", text);
    assert_eq!(outcomes::parse_lines(&response.parameters).map(|lines| (lines.free, lines.total)), expected);
}

#[test_case("nan", "0.2", (None, Some(0.2)); "not a number")]
#[test_case("12.5", "1.2", (Some(12.5), None); "a share above one")]
fn load_report_is_parsed(can_take: &str, hold_back: &str, expected: (Option<f64>, Option<f64>)) {
    let response = Response::new(200, 1).with("X-Can-Take", can_take).with("X-Hold-Back", hold_back);
    let report = outcomes::parse_load_report(&response.parameters);
    assert_eq!((report.accepted_rate, report.hold_back_share), expected);
}

#[test]
fn called_number_table_evicts_the_oldest() {
    let mut numbers = CalledNumberTable::new(2);
    let (a, b) = (numbers.index("a"), numbers.index("b"));
    assert_eq!(numbers.index("a"), a);
    assert_eq!(numbers.index("c"), b, "b was called longest ago");
    assert_eq!((numbers.index("a"), numbers.len()), (a, 2));
}

#[test_case(0, 10, true; "nothing owed")]
#[test_case(1, 2_999, false; "within both bounds")]
#[test_case(1, 6_000, true; "past both bounds")]
fn drain_closes_when_finished_or_overdue(unfinished: usize, ms: u64, closed: bool) {
    let at = |ms: u64| Moment::from_micros(ms * 1_000);
    let bound = Span::from_millis(3_000);
    let mut state = DrainState::InService;
    state.start(at(0), bound);
    state.start(at(2_000), bound);
    state.update(at(ms), unfinished, bound);
    assert_eq!(state == DrainState::Closed, closed);
}
