//! The judge of the processes: what it finds, and what it lets pass.

use std::time::{Duration, Instant};

use ochrelead_lease::{FencingToken, MemberId};
use ochrelead_verify::processes::server::{Taken, overlap, verdict};
use test_case::test_case;

/// An act: ms, the number's count, front, life, connection, refused.
type Row = (u64, u64, u32, u32, u64, bool);

fn acts(rows: &[Row]) -> Vec<Taken> {
    let begun = Instant::now();
    let act = |&(ms, count, front, life, connection, refused): &Row| Taken {
        at: begun + Duration::from_millis(ms),
        left: begun + Duration::from_millis(ms),
        number: FencingToken { counter: count, holder: MemberId { front, incarnation: life } },
        connection,
        refused,
    };
    rows.iter().map(act).collect()
}

#[test_case(&[(0, 1, 3, 1, 0, false), (9, 2, 4, 1, 1, false), (20, 2, 4, 1, 1, false)], true; "one after the other")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 1, 4, 1, 1, true), (30, 3, 4, 1, 1, false)], true; "refused once and raised")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 1, 4, 1, 1, false)], false; "a lower number was taken")]
#[test_case(&[(0, 1, 3, 1, 0, false), (9, 2, 4, 1, 0, false)], false; "two fronts on one connection")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 1, 4, 1, 1, true), (10, 1, 4, 1, 1, true), (11, 1, 4, 1, 1, true)], false; "refused and deaf")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 3, 4, 1, 1, false), (20, 2, 3, 1, 0, true)], true; "late once")]
#[test_case(&[(0, 1, 3, 1, 0, false), (5, 3, 3, 1, 0, false), (9, 1, 3, 1, 0, true)], false; "a life goes back")]
fn the_verdict(rows: &[Row], holds: bool) {
    assert_eq!(verdict(&acts(rows)).is_ok(), holds);
}

#[test_case(&[(0, 1, 3, 1, 0, false), (500, 2, 4, 1, 1, false)], &[], 0; "none")]
#[test_case(&[(0, 1, 3, 1, 0, false), (500, 2, 4, 1, 1, false), (1_300, 1, 3, 1, 0, true)], &[], 800; "in turns")]
#[test_case(&[(0, 1, 3, 1, 0, false), (500, 2, 4, 1, 1, false), (1_300, 1, 3, 1, 0, true)], &[3], 0; "by one that stood still")]
#[test_case(&[(0, 5, 3, 1, 0, false), (500, 1, 4, 1, 1, true), (900, 1, 4, 1, 1, true)], &[], 0; "by one that starts low")]
fn the_overlap(rows: &[Row], halted: &[u32], ms: u64) {
    assert_eq!(overlap(&acts(rows), halted), ms);
}

/// Three acts that had left before the first of them was refused: their front had read nothing yet.
#[test]
fn acts_that_were_on_their_way_together() {
    let mut late = acts(&[
        (0, 2, 3, 1, 0, false),
        (9, 1, 4, 1, 1, true),
        (10, 1, 4, 1, 2, true),
        (11, 1, 4, 1, 3, true),
    ]);
    assert!(verdict(&late).is_err());
    let left = late[0].at;
    late.iter_mut().for_each(|act| act.left = left);
    verdict(&late).unwrap();
}
