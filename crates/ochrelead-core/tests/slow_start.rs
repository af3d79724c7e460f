//! What a server that has just started is sent by one front.

mod support;

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::types::{EndpointState, EndpointUpdate};
use support::{Front, at_ms, config, endpoint};
use test_case::test_case;

/// Seen at norte-donaciones: a server that was warming up, empty in a full fleet, drew all fronts' overflow and broke
/// down; at showroom-calls a small one came within a hundredth of it with one set-up a second from every front.
#[test_case(Some((100, 100)), 1_000, 1, 4; "as large as the warm one: its share")]
#[test_case(Some((5, 100)), 1_000, 0, 1; "a twentieth as large: at most one in the overload duration")]
#[test_case(Some((5, 100)), 8_000, 1, 5; "but some as it warms up")]
#[test_case(None, 1_000, 0, 1; "of unknown size: at most one in the overload duration")]
#[test_case(None, 8_000, 1, 4; "but some, less than one in two seconds")]
fn a_warming_up_server_is_not_overloaded(lines: Option<(u32, u32)>, span_ms: u64, least: usize, most: usize) {
    let mut front = Front::new(1);
    (0..40).for_each(|call| front.complete_call(call * 100, 0, 50));
    front.update_endpoint(4_000, 1, EndpointState::Ready { started: Some(at_ms(3_900)) });
    if let Some((new, warm)) = lines {
        front.report_lines(0, warm, warm);
        front.report_lines(1, new, new);
    }
    let calls = (4_000..4_000 + span_ms).step_by(20);
    let sent = calls.filter(|ms| front.place_abandoned_call(*ms, 1) == Some(1)).count();
    assert!((least..=most).contains(&sent), "{sent} sent");
}

/// Seen at places-line-gh: a replaced server had lines for a hundred sessions a second and a processor for eighteen.
#[test_case(2, 5, 40; "only its lines are known")]
#[test_case(1, 0, 4; "its predecessor answered little")]
fn a_restarted_server_is_sent_no_more_than_its_predecessor_answered(number: i64, least: usize, most: usize) {
    let mut front = Front::new(2);
    (0..40).for_each(|call| front.complete_call(call * 100, 0, 50));
    (0..3).for_each(|call| front.complete_call(call * 1_000, 1, 50));
    front.update_endpoint(4_000, 1, EndpointState::Gone);

    let state = EndpointState::Ready { started: Some(at_ms(3_900)) };
    front.controller.on_endpoints(false, &[EndpointUpdate { number, ..endpoint(2, state, 1.0) }]);
    (0..3).for_each(|server| front.report_lines(server, 1_000, 1_000));
    let calls = (4_000..8_000).step_by(20);
    let sent = calls.filter(|ms| front.place_abandoned_call(*ms, number) == Some(2)).count();
    assert!((least..=most).contains(&sent), "{sent} sent");
}

/// Seen at norte-donaciones: the one large server restarted among small ones, which say nothing of its size.
#[test]
fn a_restarted_server_is_sent_what_it_answered_this_front_before() {
    let mut front = Front::new(2);
    (0..160).for_each(|call| front.complete_call(call * 200, 0, 50));
    (0..2).for_each(|call| front.complete_call(call * 10_000, 1, 50));
    front.report_lines(0, 800, 800);
    front.report_lines(1, 50, 50);
    front.update_endpoint(32_100, 0, EndpointState::Ready { started: Some(at_ms(32_000)) });
    let calls = (32_200..37_200).step_by(250);
    let sent = calls.filter(|ms| front.place_abandoned_call(*ms, 0) == Some(0)).count();
    assert!((4..=15).contains(&sent), "{sent} sent");
}

/// Nothing says how large they are: none reports lines, and none has answered this front yet.
#[test]
fn a_little_is_sent_where_all_servers_are_warming_up_and_of_unknown_size() {
    let seconds = 14;
    let fronts = 4;
    let mut sent = 0;
    for seed in 0..u64::from(fronts) {
        let mut front = Front::with_config(&ControllerConfig { seed, fronts, ..config() }, 1);
        front.update_endpoint(0, 0, EndpointState::Ready { started: Some(at_ms(0)) });
        let calls = (0..seconds * 1_000).step_by(250);
        sent += calls.filter(|ms| front.place_abandoned_call(*ms, 0).is_some()).count();
    }
    assert!(sent > 0, "not one of {fronts} fronts in {seconds} s");
    assert!(sent <= 2 * seconds as usize, "{sent} of all fronts together in {seconds} s");
}
