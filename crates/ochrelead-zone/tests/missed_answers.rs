//! How much of a verdict one server carries.

use ochrelead_zone::verdict::{Verdict, ZoneStats, evaluate, total_missed_answers};
use test_case::test_case;

/// What else was met at a district whose servers look silent, and one that does well beside it.
fn verdict(each: &[f64]) -> Verdict {
    let silent = each.len() as u32;
    let count = ZoneStats {
        servers: 4,
        contacted: 4,
        silent,
        lost: 27,
        reporting_fronts: 6,
        missed_answers: total_missed_answers(each),
        alive: 2,
        ..ZoneStats::default()
    };
    let well = ZoneStats { servers: 4, contacted: 4, recent_in_time: 40, ..ZoneStats::default() };
    evaluate(&[count, well], 6)[0]
}

/// A silent server of seven seconds and two whose answers were few made a district that is gone, on a day of one silent
/// server (emulated fleet, harmless seed 2).
#[test_case(&[92.9, 7.0, 3.1], Verdict::Unchanged; "one that is silent for long, and two that answer little")]
#[test_case(&[500.0, 500.0], Verdict::Unchanged; "two of four, for however long")]
#[test_case(&[19.0, 19.0, 19.0], Verdict::Unreachable; "three alike")]
#[test_case(&[14.0, 14.0, 14.0, 14.0], Verdict::Unreachable; "four alike")]
#[test_case(&[30.0, 20.0, 4.0, 2.0], Verdict::Unchanged; "four that differ, not yet")]
#[test_case(&[30.0, 30.0, 12.0, 6.0], Verdict::Unreachable; "four that differ, a little later")]
fn one_server_is_no_district(each: &[f64], want: Verdict) {
    assert_eq!(verdict(each), want);
}
