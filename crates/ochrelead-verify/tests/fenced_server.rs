//! The rules for the acts that a fenced server records, and the measured overlap of two holders.

use std::time::{Duration, Instant};

use ochrelead_lease::{FencingToken, MemberId};
use ochrelead_verify::cluster::fenced_server::{RecordedAct, check_acts, overlap_ms};
use test_case::test_case;

/// An act: time of receipt and decision in ms, counter of the token, front, incarnation, connection, whether refused.
type ActRow = (u64, u64, u32, u32, u64, bool);

fn acts(rows: &[ActRow]) -> Vec<RecordedAct> {
    let start = Instant::now();
    let act = |&(ms, counter, front, incarnation, connection, is_refused): &ActRow| RecordedAct {
        decided_at: start + Duration::from_millis(ms),
        received_at: start + Duration::from_millis(ms),
        token: FencingToken { counter, holder: MemberId { front, incarnation } },
        connection,
        is_refused,
    };
    rows.iter().map(act).collect()
}

#[test_case(&[(0, 1, 3, 1, 0, false), (9, 2, 4, 1, 1, false), (20, 2, 4, 1, 1, false)], true; "the successor acts after the former holder")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 1, 4, 1, 1, true), (30, 3, 4, 1, 1, false)], true; "a member raises its token after a refusal")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 1, 4, 1, 1, false)], false; "a lower token is accepted")]
#[test_case(&[(0, 1, 3, 1, 0, false), (9, 2, 4, 1, 0, false)], false; "two fronts act on one connection")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 1, 4, 1, 1, true), (10, 1, 4, 1, 1, true), (11, 1, 4, 1, 1, true)], false; "a member acts twice after a refusal")]
#[test_case(&[(0, 2, 3, 1, 0, false), (9, 3, 4, 1, 1, false), (20, 2, 3, 1, 0, true)], true; "one late act of a former holder is refused")]
#[test_case(&[(0, 1, 3, 1, 0, false), (5, 3, 3, 1, 0, false), (9, 1, 3, 1, 0, true)], false; "an incarnation acts under a lower token")]
fn acts_are_accepted_or_rejected_by_the_check(rows: &[ActRow], is_valid: bool) {
    assert_eq!(check_acts(&acts(rows)).is_ok(), is_valid);
}

#[test_case(&[(0, 1, 3, 1, 0, false), (500, 2, 4, 1, 1, false)], &[], 0; "the former holder stops")]
#[test_case(&[(0, 1, 3, 1, 0, false), (500, 2, 4, 1, 1, false), (1_300, 1, 3, 1, 0, true)], &[], 800; "the former holder acts after its successor")]
#[test_case(&[(0, 1, 3, 1, 0, false), (500, 2, 4, 1, 1, false), (1_300, 1, 3, 1, 0, true)], &[3], 0; "the former holder was paused")]
#[test_case(&[(0, 5, 3, 1, 0, false), (500, 1, 4, 1, 1, true), (900, 1, 4, 1, 1, true)], &[], 0; "the lower token appears after the higher one")]
fn overlap_ends_with_the_last_act_of_the_former_holder(rows: &[ActRow], paused: &[u32], expected_ms: u64) {
    assert_eq!(overlap_ms(&acts(rows), paused), expected_ms);
}

/// The server receives three acts before it refuses the first: their front can't have read a refusal.
#[test]
fn acts_received_before_the_first_refusal_are_no_violation() {
    let mut delayed = acts(&[
        (0, 2, 3, 1, 0, false),
        (9, 1, 4, 1, 1, true),
        (10, 1, 4, 1, 2, true),
        (11, 1, 4, 1, 3, true),
    ]);
    assert!(check_acts(&delayed).is_err());
    let received_at = delayed[0].decided_at;
    delayed.iter_mut().for_each(|act| act.received_at = received_at);
    check_acts(&delayed).unwrap();
}
