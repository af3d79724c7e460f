//! What is said of districts by counts alone.

use ochrelead_zone::verdict::{Verdict, ZoneStats, evaluate};
use test_case::test_case;

const WELL: ZoneStats = ZoneStats {
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

const LATE: ZoneStats = ZoneStats { recent_in_time: 5, recent_late: 40, recent_lost: 55, ..WELL };

fn silent(of: u32, lost: u32, by: u32) -> ZoneStats {
    ZoneStats {
        silent: of,
        lost,
        reporting_fronts: by,
        missed_answers: 60.0,
        alive: 6 - of,
        recent_in_time: 0,
        recent_lost: lost,
        ..WELL
    }
}

#[test_case(&[WELL, WELL], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "all well")]
#[test_case(&[silent(6, 30, 12), WELL], 40, &[Verdict::Unreachable, Verdict::Unchanged]; "nobody is answered there")]
#[test_case(&[silent(6, 18, 12), WELL], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "too little was lost to say so")]
#[test_case(&[ZoneStats { missed_answers: 20.0, ..silent(6, 30, 12) }, WELL], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "too few answers are missing")]
#[test_case(&[silent(6, 30, 2), WELL], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "two fronts say so, of forty")]
#[test_case(&[silent(6, 30, 2), WELL], 2, &[Verdict::Unreachable, Verdict::Unchanged]; "two fronts say so, of two")]
#[test_case(&[ZoneStats { recent_in_time: 40, ..silent(2, 40, 12) }, WELL], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "two of six servers")]
#[test_case(&[silent(6, 30, 12), silent(6, 30, 12)], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "all districts: it is not the districts")]
#[test_case(&[silent(6, 30, 12), ZoneStats::default()], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "of the other nothing is known")]
#[test_case(&[ZoneStats { servers: 1, contacted: 1, ..silent(1, 60, 12) }, WELL], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "one server is no district")]
#[test_case(&[ZoneStats { contacted: 2, ..silent(2, 60, 12) }, WELL], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "two of six were asked at all")]
#[test_case(&[LATE, WELL], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "answers, but late")]
#[test_case(&[LATE; 2], 40, &[Verdict::Unchanged, Verdict::Unchanged]; "all slow")]
fn what_counts_say(counts: &[ZoneStats], reporters: u32, verdicts: &[Verdict]) {
    assert_eq!(evaluate(counts, reporters), verdicts);
}
