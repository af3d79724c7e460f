//! The checks of acts that reached a server: what they find, and what they let pass.

use std::time::{Duration, Instant};

use ochrelead_lease::{FencingToken, MemberId};
use ochrelead_verify::cluster::fenced_server::{RecordedAct, check_acts, overlap_ms};
use test_case::test_case;

/// An act: ms, the token's counter, front, incarnation, connection, refused.
type Row = (u64, u64, u32, u32, u64, bool);

fn acts(rows: &[Row]) -> Vec<RecordedAct> {
    let start = Instant::now();
    let act = |&(ms, counter, front, incarnation, connection, is_refused): &Row| RecordedAct {
        arrived_at: start + Duration::from_millis(ms),
        left_at: start + Duration::from_millis(ms),
        token: FencingToken { counter, holder: MemberId { front, incarnation } },
        connection,
        is_refused,
    };
    rows.iter().map(act).collect()
}

#[test_case(&[(0, 1, 3, 1, 0, false), (9, 2, 4, 1, 1, false), (20, 2, 4, 1, 1, false)], true; "one after the other")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 1, 4, 1, 1, true), (30, 3, 4, 1, 1, false)], true; "refused once and raised")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 1, 4, 1, 1, false)], false; "a lower token was accepted")]
#[test_case(&[(0, 1, 3, 1, 0, false), (9, 2, 4, 1, 0, false)], false; "two fronts on one connection")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 1, 4, 1, 1, true), (10, 1, 4, 1, 1, true), (11, 1, 4, 1, 1, true)], false; "a refusal is ignored")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 3, 4, 1, 1, false), (20, 2, 3, 1, 0, true)], true; "late once")]
#[test_case(&[(0, 1, 3, 1, 0, false), (5, 3, 3, 1, 0, false), (9, 1, 3, 1, 0, true)], false; "an incarnation goes back")]
fn acts_are_checked(rows: &[Row], holds: bool) {
    assert_eq!(check_acts(&acts(rows)).is_ok(), holds);
}

#[test_case(&[(0, 1, 3, 1, 0, false), (500, 2, 4, 1, 1, false)], &[], 0; "none")]
#[test_case(&[(0, 1, 3, 1, 0, false), (500, 2, 4, 1, 1, false), (1_300, 1, 3, 1, 0, true)], &[], 800; "in turns")]
#[test_case(&[(0, 1, 3, 1, 0, false), (500, 2, 4, 1, 1, false), (1_300, 1, 3, 1, 0, true)], &[3], 0; "by one that was paused")]
#[test_case(&[(0, 5, 3, 1, 0, false), (500, 1, 4, 1, 1, true), (900, 1, 4, 1, 1, true)], &[], 0; "by one that starts low")]
fn overlap_of_two_holders(rows: &[Row], paused: &[u32], ms: u64) {
    assert_eq!(overlap_ms(&acts(rows), paused), ms);
}

/// Three acts that had left before the first of them was refused: their front had read nothing yet.
#[test]
fn acts_in_flight_at_the_same_time_are_no_violation() {
    let mut late = acts(&[
        (0, 2, 3, 1, 0, false),
        (9, 1, 4, 1, 1, true),
        (10, 1, 4, 1, 2, true),
        (11, 1, 4, 1, 3, true),
    ]);
    assert!(check_acts(&late).is_err());
    let left_at = late[0].arrived_at;
    late.iter_mut().for_each(|act| act.left_at = left_at);
    check_acts(&late).unwrap();
}
