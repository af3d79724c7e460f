//! Limits on the contribution of one silent server to the verdict on its zone.

use ochrelead_zone::verdict::{Verdict, ZoneStats, evaluate, total_missed_answers};
use test_case::test_case;

/// Returns the verdict for a zone with these missed answers of its silent servers, evaluated together with a healthy
/// zone.
fn verdict(missed_by_server: &[f64]) -> Verdict {
    let silent = missed_by_server.len() as u32;
    let zone = ZoneStats {
        servers: 4,
        contacted: 4,
        silent,
        lost: 27,
        fronts_with_loss: 6,
        missed_answers: total_missed_answers(missed_by_server),
        alive: 2,
        ..ZoneStats::default()
    };
    let healthy = ZoneStats { servers: 4, contacted: 4, recent_in_time: 40, ..ZoneStats::default() };
    evaluate(&[zone, healthy], 6)[0]
}

/// Guards against a zone that becomes unreachable mainly because of one server. In a simulated fleet with one silent
/// server (harmless scenario, seed 2), a server that had been silent for seven seconds and two that answered rarely
/// were enough.
#[test_case(&[92.9, 7.0, 3.1], Verdict::Unchanged; "one long silent and two answering rarely")]
#[test_case(&[500.0, 500.0], Verdict::Unchanged; "two of four servers with a long silence")]
#[test_case(&[19.0, 19.0, 19.0], Verdict::Unreachable; "three of four with equal missed answers")]
#[test_case(&[14.0, 14.0, 14.0, 14.0], Verdict::Unreachable; "all four with equal missed answers")]
#[test_case(&[30.0, 20.0, 4.0, 2.0], Verdict::Unchanged; "four with unequal missed answers below the requirement")]
#[test_case(&[30.0, 30.0, 12.0, 6.0], Verdict::Unreachable; "four with unequal missed answers above the requirement")]
fn contribution_of_one_server_to_a_verdict_is_capped(missed_by_server: &[f64], expected: Verdict) {
    assert_eq!(verdict(missed_by_server), expected);
}
