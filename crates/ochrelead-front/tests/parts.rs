//! The parts of the front that can be tested without the engine: the mapping of responses, the parsing of server
//! reports, the table of called numbers, and the drain.

#![allow(clippy::needless_pass_by_value, reason = "test cases own their values")]

use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::InviteOutcome;
use ochrelead_front::drain::DrainState;
use ochrelead_front::outcomes;
use ochrelead_host::called_numbers::CalledNumberTable;
use ochrelead_mgcp::message::Response;
use test_case::test_case;

const OVERLOADED: InviteOutcome = InviteOutcome::Rejected { no_line: false, retry_after: None };

#[test_case(Response::new(200, 1), None; "call established")]
#[test_case(Response::new(409, 1), Some(OVERLOADED); "server overloaded")]
#[test_case(Response::new(409, 1).with("X-Wait", 700),
    Some(InviteOutcome::Rejected { no_line: false, retry_after: Some(Span::from_millis(700)) });
    "server overloaded, with a retry time")]
#[test_case(Response::new(409, 1).with("X-Wait", "soon"), Some(OVERLOADED); "retry time that is no number")]
#[test_case(Response::new(410, 1), Some(InviteOutcome::Rejected { no_line: true, retry_after: None });
    "no free circuit")]
#[test_case(Response::new(401, 1), Some(InviteOutcome::Failed { lines_busy: true }); "called line busy")]
#[test_case(Response::new(406, 1), Some(InviteOutcome::TimedOut); "timed out at the server")]
#[test_case(Response::new(520, 1), Some(InviteOutcome::Reset); "endpoint restarting")]
#[test_case(Response::new(999, 1), Some(InviteOutcome::Failed { lines_busy: false }); "unknown code")]
fn response_code_maps_to_outcome(response: Response, expected: Option<InviteOutcome>) {
    assert_eq!(outcomes::from_response(&response), expected);
}

#[test_case("3/40", Some((3, 40)); "valid")]
#[test_case("41/40", None; "more free lines than lines in total")]
#[test_case("-1/40", None; "negative number")]
#[test_case("40", None; "total missing")]
fn line_capacity_is_parsed_or_ignored_if_invalid(text: &str, expected: Option<(u32, u32)>) {
    let response = Response::new(200, 1).with("X-Lines", text);
    assert_eq!(outcomes::parse_lines(&response.parameters).map(|lines| (lines.free, lines.total)), expected);
}

#[test_case("nan", "0.2", (None, Some(0.2)); "rate that is not a number")]
#[test_case("12.5", "1.2", (Some(12.5), None); "share above one")]
fn load_report_values_out_of_range_are_ignored(
    accepted_rate: &str,
    hold_back_share: &str,
    expected: (Option<f64>, Option<f64>),
) {
    let response =
        Response::new(200, 1).with("X-Can-Take", accepted_rate).with("X-Hold-Back", hold_back_share);
    let report = outcomes::parse_load_report(&response.parameters);
    assert_eq!((report.accepted_rate, report.hold_back_share), expected);
}

#[test]
fn called_number_table_evicts_the_number_called_longest_ago() {
    let mut numbers = CalledNumberTable::new(2);
    let (a, b) = (numbers.index("a"), numbers.index("b"));
    assert_eq!(numbers.index("a"), a);
    assert_eq!(numbers.index("c"), b, "b was called longest ago");
    assert_eq!((numbers.index("a"), numbers.len()), (a, 2));
}

#[test_case(0, 10, true; "nothing unfinished")]
#[test_case(1, 2_999, false; "unfinished, within the bound")]
#[test_case(1, 6_000, true; "unfinished, at twice the bound")]
fn drain_closes_when_finished_or_at_twice_its_bound(unfinished: usize, ms: u64, is_closed: bool) {
    let at = |ms: u64| Moment::from_micros(ms * 1_000);
    let bound = Span::from_millis(3_000);
    let mut state = DrainState::InService;
    state.start(at(0), bound);
    state.start(at(2_000), bound);
    state.update(at(ms), unfinished, bound);
    assert_eq!(state == DrainState::Closed, is_closed);
}
