//! The retry budget: when a re-send is granted.

mod support;

use ochrelead_core::retry_budget::RetryBudget;
use ochrelead_core::types::{BudgetGrant, DecisionReason, InviteOutcome, RoutingChoice};
use support::{Front, RESEND_DELAY_MS, at_ms, invited_server, is_final_rejection};
use test_case::test_case;

/// Counts the re-sends that the deposits grant; without a token, the floor grants one.
#[test_case(100, 0, 10; "100 deposits fund 10 tokens")]
#[test_case(99, 0, 9; "99 deposits fund 9 tokens")]
#[test_case(100, 5_000, 5; "half expires in half the lifetime")]
#[test_case(100, 10_000, 0; "all expire after the lifetime")]
#[test_case(100, 60_000, 0; "six lifetimes leave zero, not less")]
#[test_case(0, 0, 0; "a new budget is empty")]
fn deposits_fund_tokens_until_they_expire(deposits: usize, idle_ms: u64, funded: usize) {
    let mut budget = RetryBudget::default();
    (0..deposits).for_each(|_| budget.deposit(at_ms(0)));
    let now = at_ms(idle_ms);
    let mut granted = (0..50).filter(|_| budget.withdraw(now).is_some()).count();
    if funded == 0 {
        assert_eq!(granted, 1, "the floor grants one re-send");
        granted -= 1;
    }
    assert_eq!(granted, funded);
}

#[test_case(&[0, 999, 1_000], &[true, false, true]; "one per second, the first at once")]
#[test_case(&[0, 500, 1_500, 2_499, 2_500], &[true, false, true, false, true]; "counted from the last re-send")]
fn the_floor_grants_one_resend_per_interval(times_ms: &[u64], expected: &[bool]) {
    let mut budget = RetryBudget::default();
    let granted: Vec<bool> = times_ms.iter().map(|ms| budget.withdraw(at_ms(*ms)).is_some()).collect();
    assert_eq!(granted, expected);
}

/// A re-send that the floor granted has taken no token, so its refund returns none.
#[test_case(0, BudgetGrant::Floor, 0; "granted by the floor")]
#[test_case(10, BudgetGrant::Token, 1; "granted by a token")]
fn a_refund_returns_only_a_token_that_was_taken(deposits: usize, expected: BudgetGrant, returned: usize) {
    let mut budget = RetryBudget::default();
    (0..deposits).for_each(|_| budget.deposit(at_ms(0)));
    let grant = budget.withdraw(at_ms(0)).unwrap();
    assert_eq!(grant, expected);
    budget.refund(at_ms(0), grant);
    assert_eq!((0..50).filter(|_| budget.withdraw(at_ms(0)).is_some()).count(), returned);
}

#[test]
fn a_resend_takes_from_the_budget_of_the_server_it_is_sent_to() {
    let mut front = Front::new(2);
    let (first, _) = front.place_call(0, 0);
    let (second, _) = front.place_call(0, 0);
    let (third, _) = front.place_call(0, 1);
    assert_eq!(front.end_invite(10, first, 0, InviteOutcome::Reset), [], "granted by the floor of server 1");
    assert!(
        is_final_rejection(&front.end_invite(20, second, 0, InviteOutcome::Reset)),
        "the budget of server 1 is empty"
    );
    assert_eq!(
        front.end_invite(30, third, 1, InviteOutcome::Reset),
        [],
        "the budget of server 0 is untouched"
    );
}

/// Two sessions wait for the resend delay at the same time: the floor granted the first, a token the second.
#[test]
fn the_decision_reason_reports_the_grant_of_its_session() {
    let mut front = Front::new(2);
    let sessions: Vec<_> = (0..2).map(|_| front.place_call(0, 0).0).collect();
    front.end_invite(10, sessions[0], 0, InviteOutcome::Reset);
    (2..13).for_each(|call| front.complete_call(call * 10, 1, 5));
    front.end_invite(150, sessions[1], 0, InviteOutcome::Reset);
    for (ms, grant) in [(10, BudgetGrant::Floor), (150, BudgetGrant::Token)] {
        assert_eq!(invited_server(&front.decide(ms + RESEND_DELAY_MS)), Some(1));
        assert_eq!(
            front.controller.last_reason(),
            DecisionReason::Sent { choice: RoutingChoice::WeightedDraw, grant }
        );
    }
}
