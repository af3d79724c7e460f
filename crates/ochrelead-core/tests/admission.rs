//! Whether a server can admit a session: lines, load reports, priority and quotas.

mod support;

use ochrelead_core::config::{ControllerConfig, Tenant};
use ochrelead_core::index::{ServerIx, TenantIx};
use ochrelead_core::time::Span;
use ochrelead_core::types::{Decision, EndpointState, InviteOutcome, LoadReport};
use support::{Call, Front, OBJECTIVE_MS, PROCESSOR_FULL, at_ms, config, invited_server, is_final_rejection};
use test_case::test_case;

/// Seen at places-line-gh: the one healthy server had no line left, and the more valuable sessions were rejected
/// too.
#[test_case(1, 0, false; "a session of the lowest value needs lines to spare")]
#[test_case(1, 1, true; "a more valuable one takes the last line")]
#[test_case(0, 1, false; "none is left")]
#[test_case(90, 0, true; "plenty are left")]
fn the_last_lines_are_reserved_for_sessions_of_higher_priority(free: u32, service: usize, admitted: bool) {
    let mut front = Front::new(1);
    front.report_lines(0, free, 100);
    if free == 1 {
        front.report_lines(0, 1, 150);
    }
    front.request(0, 0, Call { service, ..Call::default() });
    assert_eq!(invited_server(&front.decide(0)).is_some(), admitted);
}

/// Seen at norte-donaciones: what a tenant asks beyond its quota is worth a tenth, yet took the capacity of the
/// others.
#[test_case(0, false; "the tenant beyond its quota is rejected first")]
#[test_case(1, true; "the one within its quota is admitted")]
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

/// Of fifty fronts with seeds of their own, how many send a session for `destination` to `server`, once the lines in
/// use of `server` and those of a server under steady load were reported each second and `then` has happened.
fn fronts_that_send(in_use: [u32; 5], destination: i64, server: usize, then: impl Fn(&mut Front)) -> usize {
    let sends = |seed: &u64| {
        let mut front = Front::with_config(&ControllerConfig { seed: *seed, fronts: 200, ..config() }, 2);
        (0..10).for_each(|call| front.complete_call(call * 200, (call % 2) as i64, 40));
        for (second, used) in (4..).zip(in_use) {
            front.controller.advance_to(at_ms(second * 1_000));
            front.report_lines(server, 1_000 - used, 1_000);
            front.report_lines(1 - server, 400, 1_000);
        }
        then(&mut front);
        invited_server(&front.place_call(8_500, destination).1) == Some(server)
    };
    (0..50).filter(sends).count()
}

/// Seen at norte-donaciones and places-line-gh at full size: the overflow of hundreds of fronts filled small servers,
/// and one probe from each kept them jammed to the end of the day.
#[test_case([600; 5], 1, 25; "a server under steady load takes some overflow")]
#[test_case([600, 500, 420, 350, 290], 0, 4; "one that sets up nothing takes hardly any")]
fn overflow_is_limited_by_the_estimated_setup_rate(in_use: [u32; 5], least: usize, most: usize) {
    let sent = fronts_that_send(in_use, 0, 1, |front| {
        (0..2).for_each(|server| front.update_endpoint(8_100, server, EndpointState::Draining));
        (0..20).for_each(|call| drop(front.place_call(8_200 + call, 0)));
        front.update_endpoint(8_300, 1, EndpointState::Ready { started: None });
    });
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// Seconds after a late answer the server still gets less overflow: its queue has to drain.
#[test_case(40, 6, 20; "an easy answer")]
#[test_case(700, 0, 3; "one past its server's first repeat")]
#[test_case(1_400, 0, 3; "one just within the objective")]
fn a_late_answer_reduces_the_overflow_for_a_while(took: u64, least: usize, most: usize) {
    let sent = fronts_that_send([600; 5], 0, 1, |front| {
        front.complete_call(8_010, 1, took);
        (0..2).for_each(|server| front.update_endpoint(12_000, server, EndpointState::Draining));
        (0..4).for_each(|call| drop(front.place_call(12_010 + call, 0)));
        front.update_endpoint(12_100, 1, EndpointState::Ready { started: None });
    });
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// Seen at showroom-calls and places-line-gh: servers reported that they were under pressure, to no effect.
#[test_case(LoadReport::default(), 50, 50; "nothing reported")]
#[test_case(LoadReport { hold_back_share: Some(0.95), accepted_rate: None }, 0, 10; "asks to hold back")]
#[test_case(LoadReport { hold_back_share: None, accepted_rate: Some(2.0) }, 0, 10; "can take little")]
#[test_case(LoadReport { hold_back_share: None, accepted_rate: Some(500.0) }, 50, 50; "can take much")]
fn load_reports_limit_admission(report: LoadReport, least: usize, most: usize) {
    let sent = fronts_that_send([600; 5], 0, 0, |front| {
        front.controller.on_load_report(ServerIx::new(0), report);
    });
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// Seen at norte-donaciones: fronts took a lack of lines for an overloaded processor and left lines empty after it.
#[test_case(InviteOutcome::Rejected { no_line: true, retry_after: None }, 50, 50; "no free line is no failure")]
#[test_case(PROCESSOR_FULL, 0, 25; "a full processor is")]
fn a_lack_of_lines_does_not_count_as_a_failure(outcome: InviteOutcome, least: usize, most: usize) {
    let sent = fronts_that_send([600, 500, 420, 350, 290], 0, 0, |front| {
        let (session, _) = front.place_call(8_010, 0);
        front.end_invite(8_020, session, 0, outcome);
        front.report_lines(0, 710, 1_000);
    });
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// A session too late to earn anything is set up all the same where nothing is short.
#[test_case(0.0; "a late session earns nothing")]
#[test_case(0.25; "a late session earns a quarter")]
fn a_redial_is_admitted_by_an_idle_server(late_share: f64) {
    let mut config = config();
    config.services[0].late_value_share = late_share;
    let mut front = Front::with_config(&config, 1);
    let session = front.request(10, 0, Call { is_redial: true, ..Call::default() });
    let decisions = front.decide(10);
    assert_eq!((invited_server(&decisions), session.index()), (Some(0), 0));
}

/// The server reported its lines at its start and never again.
#[test]
fn line_reports_expire() {
    let mut front = Front::new(1);
    front.report_lines(0, 4, 1_000);
    (0..8).for_each(|call| front.complete_call(call * 100, 0, 20));
    let later = (0..20).map(|call| 60_000 + call * 500);
    let later = later.filter(|ms| front.place_abandoned_call(*ms, 0).is_some()).count();
    assert!(later > 10, "{later} of 20");
}
