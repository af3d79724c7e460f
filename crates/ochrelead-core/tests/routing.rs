//! Choice of server, re-sends, and the final answer of a session.

mod support;

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::index::ServerIx;
use ochrelead_core::types::{
    BudgetGrant, DecisionReason, EndpointState, InviteOutcome, RejectionCause, RoutingChoice,
};
use support::{
    DEADLINE_MS, Front, PROCESSOR_FULL, RESEND_DELAY_MS, at_ms, config, endpoint, invited_server,
    is_final_rejection,
};
use test_case::test_case;

#[test_case(&[0, 1, 2]; "three destinations")]
fn a_session_goes_to_its_destination_first(destinations: &[i64]) {
    let mut front = Front::new(3);
    for (ms, destination) in (0..).step_by(500).zip(destinations) {
        let (_, decisions) = front.place_call(ms, *destination);
        assert_eq!(invited_server(&decisions), Some(*destination as usize));
    }
}

#[test_case(EndpointState::Draining; "draining")]
#[test_case(EndpointState::Gone; "gone")]
fn a_draining_or_gone_server_gets_no_new_sessions(state: EndpointState) {
    let mut front = Front::new(2);
    front.update_endpoint(10, 0, state);
    for ms in (0..20).map(|call| 20 + call * 100) {
        let (_, decisions) = front.place_call(ms, 0);
        assert_ne!(invited_server(&decisions), Some(0));
    }
}

#[test]
fn a_server_missing_from_a_complete_update_gets_no_sessions() {
    let mut front = Front::new(2);
    front.controller.on_endpoints(true, &[]);
    let (_, decisions) = front.place_call(10, 0);
    assert!(is_final_rejection(&decisions));
}

#[test_case(InviteOutcome::TimedOut, RESEND_DELAY_MS; "timeout")]
#[test_case(InviteOutcome::Reset, RESEND_DELAY_MS; "reset")]
#[test_case(PROCESSOR_FULL, 0; "rejection, without delay")]
fn a_resend_waits_for_the_resend_delay(outcome: InviteOutcome, delay_ms: u64) {
    let mut front = Front::new(2);
    let (session, first) = front.place_call(0, 0);
    let mut decisions = front.end_invite(100, session, invited_server(&first).unwrap(), outcome);
    if delay_ms > 0 {
        assert_eq!(decisions, [], "no re-send within the delay");
        assert_eq!(front.controller.poll_timeout(), Some(at_ms(100 + delay_ms)));
        assert_eq!(front.decide(100 + delay_ms - 1), []);
        decisions = front.decide(100 + delay_ms);
    }
    assert_eq!(invited_server(&decisions), Some(1));
}

#[test]
fn the_server_is_chosen_again_after_the_resend_delay() {
    let mut front = Front::new(3);
    let (session, _) = front.place_call(0, 0);
    assert_eq!(front.end_invite(100, session, 0, InviteOutcome::Reset), []);
    front.update_endpoint(200, 1, EndpointState::Draining);
    let decisions = front.decide(100 + RESEND_DELAY_MS);
    assert_eq!(invited_server(&decisions), Some(2));
}

#[test]
fn a_deadline_within_the_resend_delay_gives_one_final_answer() {
    let mut front = Front::new(2);
    let (session, _) = front.place_call(0, 0);
    let decisions = front.end_invite(DEADLINE_MS - RESEND_DELAY_MS / 2, session, 0, InviteOutcome::Reset);
    assert!(is_final_rejection(&decisions));
    assert_eq!(front.decide(DEADLINE_MS), []);
}

#[test_case(true; "while its INVITE is outstanding")]
#[test_case(false; "within the resend delay")]
fn no_invite_is_sent_after_the_caller_has_gone(is_outstanding: bool) {
    let mut front = Front::new(2);
    let (session, _) = front.place_call(0, 0);
    if !is_outstanding {
        front.end_invite(100, session, 0, InviteOutcome::TimedOut);
    }
    front.controller.on_caller_gone(session);
    if is_outstanding {
        assert_eq!(front.end_invite(150, session, 0, InviteOutcome::TimedOut), []);
    }
    assert_eq!(front.decide(100 + RESEND_DELAY_MS * 3), []);
}

#[test_case(4, 3; "limited to three by default")]
#[test_case(2, 2; "limited to the configured number")]
fn the_number_of_invites_is_limited(configured: u32, expected: usize) {
    let mut front = Front::with_config(&ControllerConfig { max_invites: configured, ..config() }, 6);
    let (session, mut decisions) = front.place_call(0, 0);
    let mut sent = 0;
    while let Some(server) = invited_server(&decisions) {
        sent += 1;
        decisions = front.end_invite(sent * 10, session, server, PROCESSOR_FULL);
    }
    assert_eq!(sent as usize, expected);
    assert!(is_final_rejection(&decisions));
}

/// The destination is gone, so sessions are drawn among the other servers.
#[test_case(&[1.0, 1.0], 0.5; "one to one")]
#[test_case(&[3.0, 1.0], 0.75; "three to one")]
#[test_case(&[0.5, 2.0], 0.2; "one to four")]
fn the_draw_follows_the_listed_weights(weights: &[f64], share: f64) {
    let mut front = Front::new(3);
    front.update_endpoint(0, 0, EndpointState::Gone);
    let state = EndpointState::Ready { started: None };
    for (server, weight) in (1..).zip(weights) {
        front.controller.on_endpoints(false, &[endpoint(server, state, *weight)]);
    }
    let draws = 4_000;
    let first = (0..draws).map(|call| call * 200).filter(|ms| {
        let (session, decisions) = front.place_call(*ms, 0);
        let server = invited_server(&decisions).unwrap();
        front.establish_and_release(*ms + 20, session, server);
        server == 1
    });
    let measured = first.count() as f64 / draws as f64;
    // Five standard deviations of the binomial share.
    let bound = 5.0 * (share * (1.0 - share) / draws as f64).sqrt();
    assert!((measured - share).abs() < bound, "{measured}");
}

#[test]
fn weights_do_not_affect_the_choice_of_the_destination() {
    let mut front = Front::new(2);
    let state = EndpointState::Ready { started: None };
    front.controller.on_endpoints(true, &[endpoint(0, state, 0.01), endpoint(1, state, 100.0)]);
    let (_, decisions) = front.place_call(10, 0);
    assert_eq!(invited_server(&decisions), Some(0));
}

#[test]
fn each_decision_has_a_reason() {
    let mut front = Front::new(2);
    let sent = |choice, grant| DecisionReason::Sent { choice, grant };
    let mut reasons = Vec::new();
    let (first, _) = front.place_call(0, 0);
    reasons.push(front.controller.last_reason());
    front.end_invite(10, first, 0, PROCESSOR_FULL);
    reasons.push(front.controller.last_reason());
    let (second, _) = front.place_call(20, 0);
    front.end_invite(30, second, 0, PROCESSOR_FULL);
    reasons.push(front.controller.last_reason());
    let (third, _) = front.place_call(40, 0);
    front.end_invite(50, third, 0, InviteOutcome::Failed { lines_busy: false });
    reasons.push(front.controller.last_reason());
    let expected = [
        sent(RoutingChoice::Destination, BudgetGrant::Free),
        sent(RoutingChoice::WeightedDraw, BudgetGrant::Floor),
        DecisionReason::Rejected(RejectionCause::NoRetryBudget),
        DecisionReason::Rejected(RejectionCause::NotRetryable),
    ];
    assert_eq!(reasons, expected);
    let snapshot = front.controller.server_snapshot(ServerIx::new(0)).expect("the server is known");
    assert!(snapshot.last_attempt_failed && snapshot.ejected);
}
