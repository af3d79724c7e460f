//! Reaction to failures, silence and slow answers of a server.

mod support;

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::time::Span;
use ochrelead_core::types::{Decision, EndpointState, InviteOutcome};
use support::{
    DEADLINE_MS, Front, OBJECTIVE_MS, PROCESSOR_FULL, at_ms, config, invited_server, is_final_rejection,
};
use test_case::test_case;

/// The age of the waiting INVITE lowers the in-flight limit, but silence alone does not eject the server.
#[test]
fn a_silent_server_is_avoided_until_it_answers() {
    let mut front = Front::new(2);
    front.complete_call(0, 1, 50);
    let (session, _) = front.place_call(1_000, 0);
    let (_, decisions) = front.place_call(1_000 + OBJECTIVE_MS / 2, 0);
    assert_eq!(invited_server(&decisions), Some(1), "the next session goes to the other server");
    front.controller.advance_to(at_ms(1_000 + OBJECTIVE_MS / 2 + 10));
    front.controller.on_call_established(session);
    let (_, decisions) = front.place_call(1_000 + OBJECTIVE_MS * 3, 0);
    assert_eq!(invited_server(&decisions), Some(0), "the answer restores the destination");
}

/// A probe without an answer must not delay the next probe until the deadline of its session.
#[test]
fn a_hung_server_is_probed_again_before_the_deadline() {
    let mut front = Front::new(1);
    let (session, _) = front.place_call(0, 0);
    front.end_invite(0, session, 0, InviteOutcome::ConnectFailed);
    let calls = (0..DEADLINE_MS).step_by(100);
    let sent = calls.filter(|ms| invited_server(&front.place_call(*ms, 0).1).is_some()).count();
    assert!((2..=5).contains(&sent), "{sent} sent");
}

/// Without ejection, a server that quickly answered with failures was sent more and more sessions.
#[test]
fn a_server_that_answers_with_failures_is_ejected() {
    let mut front = Front::new(2);
    let (session, _) = front.place_call(0, 0);
    let decisions = front.end_invite(40, session, 0, InviteOutcome::Failed { lines_busy: false });
    assert!(is_final_rejection(&decisions), "no re-send after a failure answer");
    assert_eq!(invited_server(&front.place_call(50, 0).1), Some(1));
}

/// One server answered three of four INVITEs with failures while the only other one was replaced. Without a last
/// resort every session was rejected, although one in four would have been established.
#[test_case(InviteOutcome::Failed { lines_busy: false }, true; "ejected for failure answers")]
#[test_case(InviteOutcome::ConnectFailed, false; "ejected as unreachable")]
fn a_server_ejected_for_failure_answers_is_the_last_resort(outcome: InviteOutcome, sent: bool) {
    let mut front = Front::new(2);
    let (session, _) = front.place_call(0, 0);
    front.end_invite(40, session, 0, outcome);
    assert_eq!(invited_server(&front.place_call(50, 0).1), Some(1), "the other server can admit it");
    front.update_endpoint(60, 1, EndpointState::Draining);
    assert_eq!(invited_server(&front.place_call(70, 0).1).is_some(), sent);
    assert!(is_final_rejection(&front.place_call(80, 0).1), "one session at a time");
}

/// Further probes follow after every outcome of a probe, so that no server stays ejected permanently.
#[test_case(InviteOutcome::TimedOut; "unanswered")]
#[test_case(PROCESSOR_FULL; "processor full")]
#[test_case(InviteOutcome::Reset; "reset")]
#[test_case(InviteOutcome::ConnectFailed; "connect failed")]
#[test_case(InviteOutcome::Unsent; "unsent")]
#[test_case(InviteOutcome::Failed { lines_busy: false }; "failure answer")]
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

/// If lost INVITEs counted as waiting, they would reduce the in-flight limit of healthy servers to almost zero.
#[test]
fn an_unanswered_invite_counts_as_lost_once_a_later_one_is_answered() {
    let mut front = Front::new(2);
    front.place_call(0, 0);
    for ms in (20..OBJECTIVE_MS * 2).step_by(100) {
        let (session, decisions) = front.place_call(ms, 0);
        assert_eq!(invited_server(&decisions), Some(0), "sent to the destination at {ms} ms");
        front.controller.advance_to(at_ms(ms + 30));
        front.controller.on_call_established(session);
    }
}

/// Fronts that stalled for two seconds counted the stall as answer time of the servers and avoided healthy servers.
#[test_case(true, Some(0); "front stalled, server is used")]
#[test_case(false, Some(1); "server slow, server is avoided")]
fn a_stall_of_the_front_does_not_count_as_answer_time(has_stalled: bool, expected: Option<usize>) {
    let mut front = Front::new(2);
    front.complete_call(0, 0, 50);
    front.complete_call(100, 1, 50);
    let (session, _) = front.place_call(1_000, 0);
    let timeout_at = front.controller.poll_timeout().expect("an answer is awaited");
    if !has_stalled {
        front.controller.advance_to(timeout_at);
        for ms in (1..=12).map(|poll| 1_000 + poll * 150) {
            front.controller.advance_to(at_ms(ms));
            front.controller.poll_timeout();
        }
    }
    let late = 1_000 + OBJECTIVE_MS + 300;
    front.controller.advance_to(at_ms(late));
    front.controller.on_call_established(session);
    assert_eq!(invited_server(&front.place_call(late, 0).1), expected);
}

/// A quarter of the answers of healthy servers got lost for half a minute. Without a short answer timeout, their
/// callers waited until the deadline.
#[test]
fn the_answer_timeout_is_short_while_answers_get_lost() {
    let answer_timeout = |decisions: &[Decision]| match decisions {
        [.., Decision::Invite { answer_timeout, .. }] => *answer_timeout,
        other => panic!("{other:?}"),
    };
    let mut front = Front::new(2);
    let (lost, first) = front.place_call(0, 0);
    assert_eq!(answer_timeout(&first), None, "no answer is lost yet");
    front.complete_call(100, 0, 40);
    front.end_invite(3_000, lost, 0, InviteOutcome::TimedOut);
    assert_eq!(answer_timeout(&front.place_call(4_000, 0).1), Some(Span::from_millis(OBJECTIVE_MS / 2)));
    assert_eq!(answer_timeout(&front.place_call(4_000, 1).1), None, "no answer of the other server is lost");
}

/// If a timeout counted only while its INVITE was in flight, one INVITE from each front in turn would keep an
/// overloaded server overloaded.
#[test_case(100, InviteOutcome::TimedOut, 1, 15; "shortly after a timeout")]
#[test_case(6_000, InviteOutcome::TimedOut, 1, 15; "beyond the window of recent answers")]
#[test_case(OBJECTIVE_MS * 6, InviteOutcome::TimedOut, 50, 50; "after the validity of the timeout")]
#[test_case(100, InviteOutcome::Cancelled, 50, 50; "after a cancelled INVITE")]
fn a_timeout_counts_after_the_invite_has_ended(
    after_ms: u64,
    outcome: InviteOutcome,
    min: usize,
    max: usize,
) {
    let sends = |seed: &u64| {
        let mut front = Front::with_config(&ControllerConfig { seed: *seed, ..config() }, 1);
        let (session, _) = front.place_call(0, 0);
        front.controller.on_caller_gone(session);
        front.end_invite(3_000, session, 0, outcome);
        invited_server(&front.place_call(3_000 + after_ms, 0).1).is_some()
    };
    let sent = (0..50).filter(sends).count();
    assert!((min..=max).contains(&sent), "{sent} of 50 fronts send");
}

/// A timeout of the process before a restart does not count for the new process.
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

/// A probe that meets busy lines of the called number does not show whether the server is healthy. Without another
/// probe the server stayed ejected.
#[test]
fn a_probe_that_meets_busy_lines_is_followed_by_another() {
    let mut front = Front::new(1);
    let (first, _) = front.place_call(0, 0);
    front.end_invite(10, first, 0, InviteOutcome::ConnectFailed);
    let (probe, decisions) = front.place_call(2_000, 0);
    assert_eq!(invited_server(&decisions), Some(0), "probed again");
    front.end_invite(2_020, probe, 0, InviteOutcome::Failed { lines_busy: true });
    let calls = (1..=40).map(|call| call * 10_000);
    let probes = calls.filter(|ms| front.place_abandoned_call(*ms, 0).is_some()).count();
    assert!(probes > 0, "no further probe is sent");
}
