//! Slow start at one front: the number of INVITEs sent to a server that has just started.

mod support;

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::types::{EndpointState, EndpointUpdate};
use support::{Front, at_ms, config, endpoint};
use test_case::test_case;

/// Without slow start, an idle server that was warming up in a full fleet got the overflow of all fronts and failed.
/// One set-up per second from every front brought a small server within one hundredth of its overload limit.
#[test_case(Some((100, 100)), 1_000, 1, 4; "as many lines as the warm server, 1 s")]
#[test_case(Some((5, 100)), 1_000, 0, 1; "a twentieth of the lines, 1 s")]
#[test_case(Some((5, 100)), 8_000, 1, 5; "a twentieth of the lines, 8 s")]
#[test_case(None, 1_000, 0, 1; "unknown number of lines, 1 s")]
#[test_case(None, 8_000, 1, 4; "unknown number of lines, 8 s")]
fn a_warming_up_server_is_not_overloaded(lines: Option<(u32, u32)>, span_ms: u64, min: usize, max: usize) {
    let mut front = Front::new(1);
    (0..40).for_each(|call| front.complete_call(call * 100, 0, 50));
    front.update_endpoint(4_000, 1, EndpointState::Ready { started: Some(at_ms(3_900)) });
    if let Some((new_lines, warm_lines)) = lines {
        front.report_lines(0, warm_lines, warm_lines);
        front.report_lines(1, new_lines, new_lines);
    }
    let calls = (4_000..4_000 + span_ms).step_by(20);
    let sent = calls.filter(|ms| front.place_abandoned_call(*ms, 1) == Some(1)).count();
    assert!((min..=max).contains(&sent), "{sent} INVITEs sent");
}

/// Guards against overload by a limit derived from lines alone: a replaced server had lines for 100 sessions per second
/// and a processor for 18.
#[test_case(2, 5, 40; "new number, only lines are known")]
#[test_case(1, 0, 4; "number of a predecessor with few answers")]
fn a_new_server_is_limited_by_the_answers_of_its_predecessor(number: i64, min: usize, max: usize) {
    let mut front = Front::new(2);
    (0..40).for_each(|call| front.complete_call(call * 100, 0, 50));
    (0..3).for_each(|call| front.complete_call(call * 1_000, 1, 50));
    front.update_endpoint(4_000, 1, EndpointState::Gone);
    let state = EndpointState::Ready { started: Some(at_ms(3_900)) };
    front.controller.on_endpoints(false, &[EndpointUpdate { number, ..endpoint(2, state, 1.0) }]);
    (0..3).for_each(|server| front.report_lines(server, 1_000, 1_000));
    let calls = (4_000..8_000).step_by(20);
    let sent = calls.filter(|ms| front.place_abandoned_call(*ms, number) == Some(2)).count();
    assert!((min..=max).contains(&sent), "{sent} INVITEs sent");
}

/// The only large server restarts among small ones, whose answers per line do not indicate its capacity.
#[test]
fn a_restarted_server_is_sent_at_the_rate_it_answered_before() {
    let mut front = Front::new(2);
    (0..160).for_each(|call| front.complete_call(call * 200, 0, 50));
    (0..2).for_each(|call| front.complete_call(call * 10_000, 1, 50));
    front.report_lines(0, 800, 800);
    front.report_lines(1, 50, 50);
    front.update_endpoint(32_100, 0, EndpointState::Ready { started: Some(at_ms(32_000)) });
    let calls = (32_200..37_200).step_by(250);
    let sent = calls.filter(|ms| front.place_abandoned_call(*ms, 0) == Some(0)).count();
    assert!((4..=15).contains(&sent), "{sent} INVITEs sent");
}

/// Nothing indicates the size of the only server: it has reported no lines and has not answered any front yet.
#[test]
fn a_few_invites_are_sent_if_all_servers_are_warming_up_and_of_unknown_size() {
    let seconds = 14;
    let fronts = 4;
    let mut sent = 0;
    for seed in 0..u64::from(fronts) {
        let mut front = Front::with_config(&ControllerConfig { seed, fronts, ..config() }, 1);
        front.update_endpoint(0, 0, EndpointState::Ready { started: Some(at_ms(0)) });
        let calls = (0..seconds * 1_000).step_by(250);
        sent += calls.filter(|ms| front.place_abandoned_call(*ms, 0).is_some()).count();
    }
    assert!(sent > 0, "no INVITE from {fronts} fronts in {seconds} s");
    assert!(sent <= 2 * seconds as usize, "{sent} INVITEs from all fronts in {seconds} s");
}
