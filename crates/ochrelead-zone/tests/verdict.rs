//! Verdicts from the statistics of zones alone.

use ochrelead_zone::verdict::{Verdict, ZoneStats, evaluate};
use test_case::test_case;

const HEALTHY: ZoneStats = ZoneStats {
    servers: 6,
    contacted: 6,
    silent: 0,
    lost: 0,
    reporting_fronts: 0,
    missed_answers: 0.0,
    alive: 6,
    recent_in_time: 60,
    recent_late: 0,
    recent_lost: 1,
};

const SLOW: ZoneStats = ZoneStats { recent_in_time: 5, recent_late: 40, recent_lost: 55, ..HEALTHY };

fn silent(servers: u32, lost: u32, reporting_fronts: u32) -> ZoneStats {
    ZoneStats {
        silent: servers,
        lost,
        reporting_fronts,
        missed_answers: 60.0,
        alive: 6 - servers,
        recent_in_time: 0,
        recent_lost: lost,
        ..HEALTHY
    }
}

#[test_case(&[HEALTHY, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "all healthy")]
#[test_case(&[silent(6, 30, 12), HEALTHY], 40, &[Verdict::Unreachable, Verdict::Unchanged]; "nobody is answered there")]
#[test_case(&[silent(6, 18, 12), HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "too few losses")]
#[test_case(&[ZoneStats { missed_answers: 20.0, ..silent(6, 30, 12) }, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "too few missed answers")]
#[test_case(&[silent(6, 30, 2), HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "reported by two of forty fronts")]
#[test_case(&[silent(6, 30, 2), HEALTHY], 2, &[Verdict::Unreachable, Verdict::Unchanged]; "reported by two of two fronts")]
#[test_case(&[ZoneStats { recent_in_time: 40, ..silent(2, 40, 12) }, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "two of six servers silent")]
#[test_case(&[silent(6, 30, 12), silent(6, 30, 12)], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "all zones: the cause is elsewhere")]
#[test_case(&[silent(6, 30, 12), ZoneStats::default()], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "no statistics of the other zone")]
#[test_case(&[ZoneStats { servers: 1, contacted: 1, ..silent(1, 60, 12) }, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "a zone of one server")]
#[test_case(&[ZoneStats { contacted: 2, ..silent(2, 60, 12) }, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "two of six servers contacted")]
#[test_case(&[SLOW, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "answers late")]
#[test_case(&[SLOW; 2], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "all slow")]
fn verdicts_follow_from_zone_statistics(zones: &[ZoneStats], reporters: u32, verdicts: &[Verdict]) {
    assert_eq!(evaluate(zones, reporters), verdicts);
}
