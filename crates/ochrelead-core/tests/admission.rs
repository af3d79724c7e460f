//! Admission control: lines, load reports, priority, quotas and busy called numbers.

mod support;

use ochrelead_core::config::{ControllerConfig, Tenant};
use ochrelead_core::index::{ServerIx, TenantIx};
use ochrelead_core::time::Span;
use ochrelead_core::types::{Decision, EndpointState, InviteOutcome, LoadReport};
use support::{Call, Front, OBJECTIVE_MS, PROCESSOR_FULL, at_ms, config, invited_server, is_final_rejection};
use test_case::test_case;

/// Without a reserve, sessions of the lowest value took the last lines of the only healthy server, and more valuable
/// sessions were rejected.
#[test_case(1, 0, false; "one free line, lowest value")]
#[test_case(1, 1, true; "one free line, higher value")]
#[test_case(0, 1, false; "no free line, higher value")]
#[test_case(90, 0, true; "ninety free lines, lowest value")]
fn the_last_lines_are_reserved_for_sessions_of_higher_priority(free: u32, service: usize, admitted: bool) {
    let mut front = Front::new(1);
    front.report_lines(0, free, 100);
    if free == 1 {
        front.report_lines(0, 1, 150);
    }
    front.request(0, 0, Call { service, ..Call::default() });
    assert_eq!(invited_server(&front.decide(0)).is_some(), admitted);
}

/// Sessions beyond a tenant's quota are worth a tenth here. Without the quota factor they took the capacity of tenants
/// within their quota.
#[test_case(0, false; "a tenant beyond its quota")]
#[test_case(1, true; "a tenant within its quota")]
fn a_tenant_beyond_its_quota_is_rejected_first(tenant: usize, admitted: bool) {
    let tenants = vec![Tenant { quota_per_s: 4.0 }, Tenant { quota_per_s: 400.0 }];
    let config = ControllerConfig { tenants, over_quota_value_share: 0.1, ..config() };
    let mut front = Front::with_config(&config, 1);
    front.tenant = Some(TenantIx::new(0));
    (0..20).for_each(|call| front.complete_call(call * 100, 0, 40));
    front.report_lines(0, 3, 200);
    front.tenant = Some(TenantIx::new(tenant));
    assert_eq!(invited_server(&front.place_call(2_100, 0).1).is_some(), admitted);
}

#[test]
fn a_called_number_whose_lines_are_busy_is_rejected_at_once() {
    let mut front = Front::new(1);
    let call_to = |number| Call { number: Some(number), ..Call::default() };
    let session = front.request(0, 0, call_to(5));
    front.decide(0);
    assert!(is_final_rejection(&front.end_invite(
        50,
        session,
        0,
        InviteOutcome::Failed { lines_busy: true }
    )));
    front.request(60, 0, call_to(5));
    assert!(is_final_rejection(&front.decide(60)));
    front.request(70, 0, call_to(6));
    assert_eq!(invited_server(&front.decide(70)), Some(0));
}

#[test]
fn a_rejection_names_a_retry_after() {
    let mut front = Front::new(0);
    let (session, decisions) = front.place_call(0, 0);
    assert_eq!(
        decisions,
        [Decision::Reject { session, retry_after: Some(Span::from_millis(OBJECTIVE_MS / 5)) }]
    );
}

/// Returns how many of 50 fronts, each with another seed, send a session for `destination` to `server`. Before that,
/// each front gets one line report per second with the lines in use of `server` and 600 in use of the other server,
/// then `before_call` runs.
fn count_fronts_that_send(
    in_use: [u32; 5],
    destination: i64,
    server: usize,
    before_call: impl Fn(&mut Front),
) -> usize {
    let sends = |seed: &u64| {
        let mut front = Front::with_config(&ControllerConfig { seed: *seed, fronts: 200, ..config() }, 2);
        (0..10).for_each(|call| front.complete_call(call * 200, (call % 2) as i64, 40));
        for (second, used) in (4..).zip(in_use) {
            front.controller.advance_to(at_ms(second * 1_000));
            front.report_lines(server, 1_000 - used, 1_000);
            front.report_lines(1 - server, 400, 1_000);
        }
        before_call(&mut front);
        invited_server(&front.place_call(8_500, destination).1) == Some(server)
    };
    (0..50).filter(sends).count()
}

/// Without the limit, the overflow of hundreds of fronts filled small servers, and one probe from each front kept them
/// overloaded until the end of the run.
#[test_case([600; 5], 1, 25; "steady number of lines in use")]
#[test_case([600, 500, 420, 350, 290], 0, 4; "lines released but no set-ups")]
fn overflow_is_limited_by_the_estimated_setup_rate(in_use: [u32; 5], min: usize, max: usize) {
    let sent = count_fronts_that_send(in_use, 0, 1, |front| {
        (0..2).for_each(|server| front.update_endpoint(8_100, server, EndpointState::Draining));
        (0..20).for_each(|call| drop(front.place_call(8_200 + call, 0)));
        front.update_endpoint(8_300, 1, EndpointState::Ready { started: None });
    });
    assert!((min..=max).contains(&sent), "{sent} of 50 fronts send");
}

/// Four seconds after a late answer the server still gets less overflow, as its queue has to drain.
#[test_case(40, 6, 20; "uncongested answer")]
#[test_case(700, 0, 3; "answer after the first retransmission")]
#[test_case(1_400, 0, 3; "answer just within the objective")]
fn a_late_answer_reduces_the_overflow_for_several_seconds(took_ms: u64, min: usize, max: usize) {
    let sent = count_fronts_that_send([600; 5], 0, 1, |front| {
        front.complete_call(8_010, 1, took_ms);
        (0..2).for_each(|server| front.update_endpoint(12_000, server, EndpointState::Draining));
        (0..4).for_each(|call| drop(front.place_call(12_010 + call, 0)));
        front.update_endpoint(12_100, 1, EndpointState::Ready { started: None });
    });
    assert!((min..=max).contains(&sent), "{sent} of 50 fronts send");
}

/// Guards against load reports without effect: servers reported overload and were sent as many sessions as before.
#[test_case(LoadReport::default(), 50, 50; "empty report")]
#[test_case(LoadReport { hold_back_share: Some(0.95), accepted_rate: None }, 0, 10; "high hold-back share")]
#[test_case(LoadReport { hold_back_share: None, accepted_rate: Some(2.0) }, 0, 10; "low accepted rate")]
#[test_case(LoadReport { hold_back_share: None, accepted_rate: Some(500.0) }, 50, 50; "high accepted rate")]
fn load_reports_limit_admission(report: LoadReport, min: usize, max: usize) {
    let sent = count_fronts_that_send([600; 5], 0, 0, |front| {
        front.controller.on_load_report(ServerIx::new(0), report);
    });
    assert!((min..=max).contains(&sent), "{sent} of 50 fronts send");
}

/// If a lack of lines counted as an overloaded processor, fronts would leave the server's lines unused afterwards.
#[test_case(InviteOutcome::Rejected { no_line: true, retry_after: None }, 50, 50; "no free line, admitted")]
#[test_case(PROCESSOR_FULL, 0, 25; "processor full, restricted")]
fn a_lack_of_lines_does_not_count_as_a_failure(outcome: InviteOutcome, min: usize, max: usize) {
    let sent = count_fronts_that_send([600, 500, 420, 350, 290], 0, 0, |front| {
        let (session, _) = front.place_call(8_010, 0);
        front.end_invite(8_020, session, 0, outcome);
        front.report_lines(0, 710, 1_000);
    });
    assert!((min..=max).contains(&sent), "{sent} of 50 fronts send");
}

/// A session of low or no remaining value is admitted if there is spare capacity.
#[test_case(0.0; "late value share 0")]
#[test_case(0.25; "late value share one quarter")]
fn a_redial_is_admitted_by_an_idle_server(late_share: f64) {
    let mut config = config();
    config.services[0].late_value_share = late_share;
    let mut front = Front::with_config(&config, 1);
    let session = front.request(10, 0, Call { is_redial: true, ..Call::default() });
    let decisions = front.decide(10);
    assert_eq!((invited_server(&decisions), session.index()), (Some(0), 0));
}

/// The server reports few free lines at its start and sends no later report, so the report stops limiting admission.
#[test]
fn line_reports_expire() {
    let mut front = Front::new(1);
    front.report_lines(0, 4, 1_000);
    (0..8).for_each(|call| front.complete_call(call * 100, 0, 20));
    let calls = (0..20).map(|call| 60_000 + call * 500);
    let sent = calls.filter(|ms| front.place_abandoned_call(*ms, 0).is_some()).count();
    assert!(sent > 10, "{sent} of 20 calls sent");
}
