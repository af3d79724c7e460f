//! What is said of districts by counts alone.

use ochrelead_zone::verdict::{Count, Verdict, judge};
use test_case::test_case;

const WELL: Count = Count {
    servers: 6,
    asked: 6,
    silent: 0,
    lost: 0,
    by: 0,
    missed: 0.0,
    alive: 6,
    recent_in_time: 60,
    recent_late: 0,
    recent_lost: 1,
};

const LATE: Count = Count { recent_in_time: 5, recent_late: 40, recent_lost: 55, ..WELL };

fn silent(of: u32, lost: u32, by: u32) -> Count {
    Count { silent: of, lost, by, missed: 60.0, alive: 6 - of, recent_in_time: 0, recent_lost: lost, ..WELL }
}

#[test_case(&[WELL, WELL], 40, &[Verdict::Stays, Verdict::Stays]; "all well")]
#[test_case(&[silent(6, 30, 12), WELL], 40, &[Verdict::Gone, Verdict::Stays]; "nobody is answered there")]
#[test_case(&[silent(6, 18, 12), WELL], 40, &[Verdict::Stays, Verdict::Stays]; "too little was lost to say so")]
#[test_case(&[Count { missed: 20.0, ..silent(6, 30, 12) }, WELL], 40, &[Verdict::Stays, Verdict::Stays]; "too few answers are missing")]
#[test_case(&[silent(6, 30, 2), WELL], 40, &[Verdict::Stays, Verdict::Stays]; "two fronts say so, of forty")]
#[test_case(&[silent(6, 30, 2), WELL], 2, &[Verdict::Gone, Verdict::Stays]; "two fronts say so, of two")]
#[test_case(&[Count { recent_in_time: 40, ..silent(2, 40, 12) }, WELL], 40, &[Verdict::Stays, Verdict::Stays]; "two of six servers")]
#[test_case(&[silent(6, 30, 12), silent(6, 30, 12)], 40, &[Verdict::Stays, Verdict::Stays]; "all districts: it is not the districts")]
#[test_case(&[silent(6, 30, 12), Count::default()], 40, &[Verdict::Stays, Verdict::Stays]; "of the other nothing is known")]
#[test_case(&[Count { servers: 1, asked: 1, ..silent(1, 60, 12) }, WELL], 40, &[Verdict::Stays, Verdict::Stays]; "one server is no district")]
#[test_case(&[Count { asked: 2, ..silent(2, 60, 12) }, WELL], 40, &[Verdict::Stays, Verdict::Stays]; "two of six were asked at all")]
#[test_case(&[LATE, WELL], 40, &[Verdict::Stays, Verdict::Stays]; "answers, but late")]
#[test_case(&[LATE; 2], 40, &[Verdict::Stays, Verdict::Stays]; "all slow")]
fn what_counts_say(counts: &[Count], reporters: u32, verdicts: &[Verdict]) {
    assert_eq!(judge(counts, reporters), verdicts);
}
