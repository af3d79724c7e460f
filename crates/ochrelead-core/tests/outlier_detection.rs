//! What failures, silence and slow answers of a server lead to.

mod support;

use ochrelead_core::config::ControllerConfig;

use ochrelead_core::time::Span;
use ochrelead_core::types::{Decision, EndpointState, InviteOutcome};
use support::{
    DEADLINE_MS, Front, OBJECTIVE_MS, PROCESSOR_FULL, at_ms, config, invited_server, is_final_rejection,
};
use test_case::test_case;

/// The age of what waits holds new sessions back, but the server is not ejected.
#[test]
fn a_silent_server_is_avoided_until_it_answers() {
    let mut front = Front::new(2);
    front.complete_call(0, 1, 50);
    let (session, _) = front.place_call(1_000, 0);
    let (_, decisions) = front.place_call(1_000 + OBJECTIVE_MS / 2, 0);
    assert_eq!(invited_server(&decisions), Some(1), "the next goes elsewhere");
    front.controller.advance_to(at_ms(1_000 + OBJECTIVE_MS / 2 + 10));
    front.controller.on_call_established(session);
    let (_, decisions) = front.place_call(1_000 + OBJECTIVE_MS * 3, 0);
    assert_eq!(invited_server(&decisions), Some(0), "an answer ends it");
}

/// A probe that is never answered must not hold the next one back until its caller gives up.
#[test]
fn a_hung_server_is_probed_again_before_the_deadline() {
    let mut front = Front::new(1);
    let (session, _) = front.place_call(0, 0);
    front.end_invite(0, session, 0, InviteOutcome::ConnectFailed);
    let calls = (0..DEADLINE_MS).step_by(100);
    let sent = calls.filter(|ms| invited_server(&front.place_call(*ms, 0).1).is_some()).count();
    assert!((2..=5).contains(&sent), "{sent} sent");
}

/// Seen at norte-donaciones: a server that quickly answered with failures was sent ever more sessions.
#[test]
fn a_server_that_answers_with_failures_is_ejected() {
    let mut front = Front::new(2);
    let (session, _) = front.place_call(0, 0);
    let decisions = front.end_invite(40, session, 0, InviteOutcome::Failed { lines_busy: false });
    assert!(is_final_rejection(&decisions), "not sent again");
    assert_eq!(invited_server(&front.place_call(50, 0).1), Some(1));
}

/// Seen at norte-donaciones over sockets: one server answered three in four with failures while the other was
/// replaced, and every session was rejected though one in four would have been established.
#[test_case(InviteOutcome::Failed { lines_busy: false }, true; "ejected for its faults alone")]
#[test_case(InviteOutcome::ConnectFailed, false; "ejected because it can't be reached")]
fn a_server_ejected_for_faults_is_the_last_resort(outcome: InviteOutcome, sent: bool) {
    let mut front = Front::new(2);
    let (session, _) = front.place_call(0, 0);
    front.end_invite(40, session, 0, outcome);
    assert_eq!(invited_server(&front.place_call(50, 0).1), Some(1), "the other can admit it");
    front.update_endpoint(60, 1, EndpointState::Draining);
    assert_eq!(invited_server(&front.place_call(70, 0).1).is_some(), sent);
    assert!(is_final_rejection(&front.place_call(80, 0).1), "one at a time");
}

/// A probe is sent again and again, whatever became of the one before: no front locks itself out.
#[test_case(InviteOutcome::TimedOut; "unanswered")]
#[test_case(PROCESSOR_FULL; "processor full")]
#[test_case(InviteOutcome::Reset; "reset")]
#[test_case(InviteOutcome::ConnectFailed; "unreachable")]
#[test_case(InviteOutcome::Unsent; "unsent")]
#[test_case(InviteOutcome::Failed { lines_busy: false }; "fault")]
fn an_ejected_server_is_probed_again(outcome: InviteOutcome) {
    let mut front = Front::new(1);
    let mut probes = 0;
    for ms in (0..40).map(|call| call * OBJECTIVE_MS) {
        let (session, decisions) = front.place_call(ms, 0);
        if invited_server(&decisions).is_some() {
            probes += 1;
            front.end_invite(ms + 10, session, 0, outcome);
        }
    }
    assert!((8..=40).contains(&probes), "{probes} probes");
}

/// Seen at showroom-calls: INVITEs lost on the way reduced the in-flight limit of healthy servers to nothing.
#[test]
fn an_overtaken_invite_counts_as_lost() {
    let mut front = Front::new(2);
    front.place_call(0, 0);
    for ms in (20..OBJECTIVE_MS * 2).step_by(100) {
        let (session, decisions) = front.place_call(ms, 0);
        assert_eq!(invited_server(&decisions), Some(0), "still healthy at {ms} ms");
        front.controller.advance_to(at_ms(ms + 30));
        front.controller.on_call_established(session);
    }
}

/// Seen at places-line-gh: fronts that stood still for two seconds took that time for the servers' answer time.
#[test_case(true, Some(0); "the stall is not the server's")]
#[test_case(false, Some(1); "a slow server is")]
fn a_stalled_front_does_not_blame_the_server(has_stalled: bool, expected: Option<usize>) {
    let mut front = Front::new(2);
    front.complete_call(0, 0, 50);
    front.complete_call(100, 1, 50);
    let (session, _) = front.place_call(1_000, 0);
    let timeout_at = front.controller.poll_timeout().expect("an answer is awaited");
    if !has_stalled {
        front.controller.advance_to(timeout_at);
        for ms in (1..=12).map(|turn| 1_000 + turn * 150) {
            front.controller.advance_to(at_ms(ms));
            front.controller.poll_timeout();
        }
    }
    let late = 1_000 + OBJECTIVE_MS + 300;
    front.controller.advance_to(at_ms(late));
    front.controller.on_call_established(session);
    assert_eq!(invited_server(&front.place_call(late, 0).1), expected);
}

/// Seen at norte-donaciones: a quarter of the answers of healthy servers got lost for half a minute, and their
/// callers waited for them as long as they could.
#[test]
fn the_answer_timeout_is_short_where_answers_get_lost() {
    let answer_timeout = |decisions: &[Decision]| match decisions {
        [.., Decision::Invite { answer_timeout, .. }] => *answer_timeout,
        other => panic!("{other:?}"),
    };
    let mut front = Front::new(2);
    let (lost, first) = front.place_call(0, 0);
    assert_eq!(answer_timeout(&first), None, "nothing is lost yet");
    front.complete_call(100, 0, 40);
    front.end_invite(3_000, lost, 0, InviteOutcome::TimedOut);
    assert_eq!(answer_timeout(&front.place_call(4_000, 0).1), Some(Span::from_millis(OBJECTIVE_MS / 2)));
    assert_eq!(answer_timeout(&front.place_call(4_000, 1).1), None, "the other server loses none");
}

/// Seen at merokozpont on a calm day: a timeout was forgotten as the INVITE ended, and one INVITE of each front after
/// the other kept a jammed server jammed.
#[test_case(100, InviteOutcome::TimedOut, 1, 15; "held back after a timeout")]
#[test_case(6_000, InviteOutcome::TimedOut, 1, 15; "for longer than the window of recent answers")]
#[test_case(OBJECTIVE_MS * 6, InviteOutcome::TimedOut, 50, 50; "and not for good")]
#[test_case(100, InviteOutcome::Cancelled, 50, 50; "a caller who hangs up says nothing of the server")]
fn a_timeout_counts_after_the_invite_has_ended(
    after: u64,
    outcome: InviteOutcome,
    least: usize,
    most: usize,
) {
    let sends = |seed: &u64| {
        let mut front = Front::with_config(&ControllerConfig { seed: *seed, ..config() }, 1);
        let (session, _) = front.place_call(0, 0);
        front.controller.on_caller_gone(session);
        front.end_invite(3_000, session, 0, outcome);
        invited_server(&front.place_call(3_000 + after, 0).1).is_some()
    };
    let sent = (0..50).filter(sends).count();
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// What the former process did not answer says nothing of the next.
#[test]
fn a_timeout_of_the_former_process_does_not_count() {
    let mut front = Front::with_config(&ControllerConfig { warm_up_time: Span::from_secs(1), ..config() }, 1);
    let (session, _) = front.place_call(0, 0);
    front.controller.on_caller_gone(session);
    front.end_invite(3_000, session, 0, InviteOutcome::TimedOut);
    front.update_endpoint(3_100, 0, EndpointState::Ready { started: Some(at_ms(3_100)) });
    for ms in (0..20).map(|call| 4_200 + call * 50) {
        let (session, decisions) = front.place_call(ms, 0);
        assert_eq!(invited_server(&decisions), Some(0));
        front.controller.advance_to(at_ms(ms + 40));
        front.controller.on_call_established(session);
    }
}

/// An ejected server is probed with one session; its number was busy, which says nothing of the server.
#[test]
fn a_probe_that_meets_busy_lines_is_followed_by_another() {
    let mut front = Front::new(1);
    let (first, _) = front.place_call(0, 0);
    front.end_invite(10, first, 0, InviteOutcome::ConnectFailed);
    let (probe, decisions) = front.place_call(2_000, 0);
    assert_eq!(invited_server(&decisions), Some(0), "probed again");
    front.end_invite(2_020, probe, 0, InviteOutcome::Failed { lines_busy: true });
    let later = (1..=40).map(|call| call * 10_000);
    let probes = later.filter(|ms| front.place_abandoned_call(*ms, 0).is_some()).count();
    assert!(probes > 0, "never probed again");
}
