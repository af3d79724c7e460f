//! Verdicts for given statistics of all zones.

use ochrelead_zone::verdict::{Verdict, ZoneStats, evaluate};
use test_case::test_case;

/// A zone of six servers that answers all but one of its recent INVITEs in time.
const HEALTHY: ZoneStats = ZoneStats {
    servers: 6,
    contacted: 6,
    silent: 0,
    lost: 0,
    fronts_with_loss: 0,
    missed_answers: 0.0,
    alive: 6,
    recent_in_time: 60,
    recent_late: 0,
    recent_lost: 1,
};

/// A zone that answers most INVITEs late.
const SLOW: ZoneStats = ZoneStats { recent_in_time: 5, recent_late: 40, recent_lost: 55, ..HEALTHY };

/// A zone of six servers of which `silent` servers have lost INVITEs and answer no front.
fn silent_zone(silent: u32, lost: u32, fronts_with_loss: u32) -> ZoneStats {
    ZoneStats {
        silent,
        lost,
        fronts_with_loss,
        missed_answers: 60.0,
        alive: 6 - silent,
        recent_in_time: 0,
        recent_lost: lost,
        ..HEALTHY
    }
}

#[test_case(&[HEALTHY, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "all zones healthy")]
#[test_case(&[silent_zone(6, 30, 12), HEALTHY], 40, &[Verdict::Unreachable, Verdict::Unchanged]; "no server of one zone answers")]
#[test_case(&[silent_zone(6, 18, 12), HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "fewer than twenty losses")]
#[test_case(&[ZoneStats { missed_answers: 20.0, ..silent_zone(6, 30, 12) }, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "too few missed answers")]
#[test_case(&[silent_zone(6, 30, 2), HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "reported by two of forty fronts")]
#[test_case(&[silent_zone(6, 30, 2), HEALTHY], 2, &[Verdict::Unreachable, Verdict::Unchanged]; "reported by two of two fronts")]
#[test_case(&[ZoneStats { recent_in_time: 40, ..silent_zone(2, 40, 12) }, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "two of six servers silent")]
#[test_case(&[silent_zone(6, 30, 12), silent_zone(6, 30, 12)], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "all zones silent: the cause is not in the zones")]
#[test_case(&[silent_zone(6, 30, 12), ZoneStats::default()], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "no statistics of the other zone")]
#[test_case(&[ZoneStats { servers: 1, contacted: 1, ..silent_zone(1, 60, 12) }, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "zone of one server")]
#[test_case(&[ZoneStats { contacted: 2, ..silent_zone(2, 60, 12) }, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "two of six servers contacted")]
#[test_case(&[SLOW, HEALTHY], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "one zone answers late")]
#[test_case(&[SLOW; 2], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "all zones answer late")]
fn verdicts_follow_from_zone_statistics(zones: &[ZoneStats], reporter_count: u32, expected: &[Verdict]) {
    assert_eq!(evaluate(zones, reporter_count), expected);
}
