//! How much one server contributes to a verdict.

use ochrelead_zone::verdict::{Verdict, ZoneStats, evaluate, total_missed_answers};
use test_case::test_case;

/// The verdict for a zone with these answers missed by server, beside a healthy zone.
fn verdict(missed_by_server: &[f64]) -> Verdict {
    let silent = missed_by_server.len() as u32;
    let zone = ZoneStats {
        servers: 4,
        contacted: 4,
        silent,
        lost: 27,
        reporting_fronts: 6,
        missed_answers: total_missed_answers(missed_by_server),
        alive: 2,
        ..ZoneStats::default()
    };
    let healthy = ZoneStats { servers: 4, contacted: 4, recent_in_time: 40, ..ZoneStats::default() };
    evaluate(&[zone, healthy], 6)[0]
}

/// Found by a simulated fleet with one silent server (harmless scenario, seed 2): a server that had been silent for seven
/// seconds and two that answered rarely made their zone unreachable.
#[test_case(&[92.9, 7.0, 3.1], Verdict::Unchanged; "one silent for long, and two that answer rarely")]
#[test_case(&[500.0, 500.0], Verdict::Unchanged; "two of four, however long")]
#[test_case(&[19.0, 19.0, 19.0], Verdict::Unreachable; "three alike")]
#[test_case(&[14.0, 14.0, 14.0, 14.0], Verdict::Unreachable; "four alike")]
#[test_case(&[30.0, 20.0, 4.0, 2.0], Verdict::Unchanged; "four that differ, too early")]
#[test_case(&[30.0, 30.0, 12.0, 6.0], Verdict::Unreachable; "four that differ, a little later")]
fn one_server_does_not_make_a_zone_unreachable(missed_by_server: &[f64], expected: Verdict) {
    assert_eq!(verdict(missed_by_server), expected);
}
