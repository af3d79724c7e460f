//! Whether a server has room, case by case: queues, sickness, lines, shares, fresh servers.

mod helper;

use helper::{BUSY, Front, LIMIT_MS, TARGET_MS, at, given_up, invited, provision};
use ochrelead_core::config::{ControllerConfig, Tenant};
use ochrelead_core::index::{ServerIx, SessionIx, TenantIx};
use ochrelead_core::time::Span;
use ochrelead_core::types::{Decision, EndpointState, EndpointUpdate, InviteOutcome, LoadReport};
use test_case::test_case;

/// A cold server, empty in a full fleet, drew all fronts' overflow and fell over (norte-donaciones); a small
/// one came within a hundredth of it with one set-up a second from every front (showroom-calls).
#[test_case(Some((100, 100)), 1_000, 1, 4; "as large as the warm one: its share")]
#[test_case(Some((5, 100)), 1_000, 0, 1; "a twentieth as large: at most one in the fall time")]
#[test_case(Some((5, 100)), 8_000, 1, 5; "but some as it warms up")]
#[test_case(None, 1_000, 0, 1; "of unknown size: at most one in the fall time")]
#[test_case(None, 8_000, 1, 4; "but tried, less than once in two seconds")]
fn a_cold_server_is_not_pushed_over(lines: Option<(u32, u32)>, span: u64, least: usize, most: usize) {
    let mut front = Front::with(1);
    (0..40).for_each(|nth| front.served(nth * 100, 0, 50));
    front.list(4_000, 1, EndpointState::Ready { started: Some(at(3_900)) });
    if let Some((fresh, warm)) = lines {
        front.lines(0, warm, warm);
        front.lines(1, fresh, fresh);
    }
    let tries = (4_000..4_000 + span).step_by(20);
    let sent = tries.filter(|ms| front.sent_in_vain(*ms, 1) == Some(1)).count();
    assert!((least..=most).contains(&sent), "{sent} sent");
}

/// Silent is not slow: the age of what waits holds new sessions back, and no sign of trouble bars the server.
#[test]
fn a_silent_server_is_left_until_it_answers() {
    let mut front = Front::with(2);
    front.served(0, 1, 50);
    let (session, _) = front.send(1_000, 0);
    let (_, decisions) = front.send(1_000 + TARGET_MS / 2, 0);
    assert_eq!(invited(&decisions), Some(1), "the next goes elsewhere");
    front.rules.advance_to(at(1_000 + TARGET_MS / 2 + 10));
    front.rules.on_call_established(session);
    let (_, decisions) = front.send(1_000 + TARGET_MS * 3, 0);
    assert_eq!(invited(&decisions), Some(0), "an answer ends it");
}

/// A trial that is never answered must not hold the next one back until its caller gives up.
#[test]
fn a_hung_server_is_tried_again_before_the_timer_limit() {
    let mut front = Front::with(1);
    let (session, _) = front.send(0, 0);
    front.end(0, session, 0, InviteOutcome::ConnectFailed);
    let sent = (0..LIMIT_MS).step_by(100).filter(|ms| invited(&front.send(*ms, 0).1).is_some()).count();
    assert!((2..=5).contains(&sent), "{sent} sent");
}

/// norte-donaciones: a server that answered with quick faults was sent ever more sessions.
#[test]
fn a_server_that_answers_faults_is_left() {
    let mut front = Front::with(2);
    let (session, _) = front.send(0, 0);
    assert!(
        given_up(&front.end(40, session, 0, InviteOutcome::Failed { lines_busy: false })),
        "not sent again"
    );
    assert_eq!(invited(&front.send(50, 0).1), Some(1));
}

/// norte-donaciones on sockets: one server answered three in four with faults while the other was replaced, and
/// every session was refused though one in four would have stood.
#[test_case(InviteOutcome::Failed { lines_busy: false }, true; "left for its faults alone")]
#[test_case(InviteOutcome::ConnectFailed, false; "left because it can't be reached")]
fn a_faulty_server_is_better_than_none(ending: InviteOutcome, sent: bool) {
    let mut front = Front::with(2);
    let (session, _) = front.send(0, 0);
    front.end(40, session, 0, ending);
    assert_eq!(invited(&front.send(50, 0).1), Some(1), "the other has room");
    front.list(60, 1, EndpointState::Draining);
    assert_eq!(invited(&front.send(70, 0).1).is_some(), sent);
    assert!(given_up(&front.send(80, 0).1), "one at a time");
}

/// A trial goes out again and again, whatever became of the one before: no front locks itself out.
#[test_case(InviteOutcome::TimedOut; "unanswered")]
#[test_case(BUSY; "busy")]
#[test_case(InviteOutcome::Reset; "reset")]
#[test_case(InviteOutcome::ConnectFailed; "unreachable")]
#[test_case(InviteOutcome::Unsent; "unsent")]
#[test_case(InviteOutcome::Failed { lines_busy: false }; "fault")]
fn a_sick_server_is_tried_again(ending: InviteOutcome) {
    let mut front = Front::with(1);
    let mut trials = 0;
    for nth in 0..40 {
        let ms = nth * TARGET_MS;
        let (session, decisions) = front.send(ms, 0);
        if invited(&decisions).is_some() {
            trials += 1;
            front.end(ms + 10, session, 0, ending);
        }
    }
    assert!((8..=40).contains(&trials), "{trials} trials");
}

/// showroom-calls: INVITEs lost on the way pressed the in-flight limit of healthy servers to nothing.
#[test]
fn an_overtaken_invite_is_lost_and_does_not_count() {
    let mut front = Front::with(2);
    front.send(0, 0);
    for ms in (20..TARGET_MS * 2).step_by(100) {
        let (session, decisions) = front.send(ms, 0);
        assert_eq!(invited(&decisions), Some(0), "still healthy at {ms} ms");
        front.rules.advance_to(at(ms + 30));
        front.rules.on_call_established(session);
    }
}

/// places-line-gh: fronts that stood still for two seconds took their own pause for the servers' answer time.
#[test_case(true, Some(0); "its own pause is not the server's")]
#[test_case(false, Some(1); "a slow server is")]
fn a_front_that_stood_still_does_not_blame_the_server(stood_still: bool, next: Option<usize>) {
    let mut front = Front::with(2);
    front.served(0, 0, 50);
    front.served(100, 1, 50);
    let (session, _) = front.send(1_000, 0);
    let watch = front.rules.poll_timeout().expect("an answer is awaited");
    if !stood_still {
        front.rules.advance_to(watch);
        (1..=12).for_each(|nth| {
            front.rules.advance_to(at(1_000 + nth * 150));
            front.rules.poll_timeout();
        });
    }
    let late = 1_000 + TARGET_MS + 300;
    front.rules.advance_to(at(late));
    front.rules.on_call_established(session);
    assert_eq!(invited(&front.send(late, 0).1), next);
}

/// places-line-gh: the one healthy server had no line left, and the worthier sessions were turned away too.
#[test_case(1, 0, false; "the least value waits for lines to spare")]
#[test_case(1, 1, true; "a worthier session takes the last")]
#[test_case(0, 1, false; "none is left")]
#[test_case(90, 0, true; "plenty are left")]
fn lines_are_kept_for_the_worthier(free: u32, service: usize, taken: bool) {
    let mut front = Front::with(1);
    front.lines(0, free, 100);
    if free == 1 {
        front.lines(0, 1, 150);
    }
    front.offer(0, service, 0, 1);
    assert_eq!(invited(&front.decide(0)).is_some(), taken);
}

/// norte-donaciones: what a member asks beyond its share is worth a tenth, yet took the room of the others.
#[test_case(0, false; "the member beyond its share is refused first")]
#[test_case(1, true; "the one within its share is taken")]
fn members_beyond_their_share_go_first(member: usize, taken: bool) {
    let member_of = |quota_per_s| Tenant { quota_per_s };
    let members = vec![member_of(4.0), member_of(400.0)];
    let mut front =
        Front::from(&ControllerConfig { tenants: members, over_quota_value_share: 0.1, ..provision() }, 1);
    front.member = Some(TenantIx::new(0));
    (0..20).for_each(|nth| front.served(nth * 100, 0, 40));
    front.lines(0, 3, 200);
    front.member = Some(TenantIx::new(member));
    assert_eq!(invited(&front.send(2_100, 0).1).is_some(), taken);
}

#[test]
fn a_number_whose_lines_are_busy_is_refused_at_once() {
    let mut front = Front::with(1);
    let session = front.offer(0, 0, 0, 5);
    front.decide(0);
    assert!(given_up(&front.end(50, session, 0, InviteOutcome::Failed { lines_busy: true })));
    front.offer(60, 0, 0, 5);
    assert!(given_up(&front.decide(60)));
    front.offer(70, 0, 0, 6);
    assert_eq!(invited(&front.decide(70)), Some(0));
}

#[test]
fn given_up_names_a_time_to_come_back() {
    let mut front = Front::with(0);
    let (session, decisions) = front.send(0, 0);
    assert_eq!(
        decisions,
        [Decision::Reject { session, retry_after: Some(Span::from_millis(TARGET_MS / 5)) }]
    );
}

/// Of fifty fronts with chances of their own that saw the lines in use of `server` and of one in even flow,
/// told each second, how many send a session for `destination` to `server`, after what else befell them.
fn fronts_that_send(in_use: [u32; 5], destination: i64, server: usize, befell: impl Fn(&mut Front)) -> usize {
    let sends = |seed: &u64| {
        let mut front = Front::from(&ControllerConfig { seed: *seed, fronts: 200, ..provision() }, 2);
        (0..10).for_each(|nth| front.served(nth * 200, (nth % 2) as i64, 40));
        for (nth, used) in in_use.into_iter().enumerate() {
            front.rules.advance_to(at(4_000 + nth as u64 * 1_000));
            front.lines(server, 1_000 - used, 1_000);
            front.lines(1 - server, 400, 1_000);
        }
        befell(&mut front);
        invited(&front.send(8_500, destination).1) == Some(server)
    };
    (0..50).filter(sends).count()
}

/// norte-donaciones, places-line-gh at full size: the overflow of hundreds of fronts filled small servers, and
/// one trial from each kept them jammed to the end of the day.
#[test_case([600; 5], 1, 25; "a server in full flow takes some overflow")]
#[test_case([600, 500, 420, 350, 290], 0, 4; "one that sets up nothing takes hardly any")]
fn overflow_keeps_to_what_lines_show(in_use: [u32; 5], least: usize, most: usize) {
    let sent = fronts_that_send(in_use, 0, 1, |front| {
        (0..2).for_each(|server| front.list(8_100, server, EndpointState::Draining));
        (0..20).for_each(|nth| drop(front.send(8_200 + nth, 0)));
        front.list(8_300, 1, EndpointState::Ready { started: None });
    });
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// Seconds after a late answer the server is given less overflow still: its queue has to drain.
#[test_case(40, 6, 20; "an easy answer")]
#[test_case(700, 0, 3; "one past its server's first repeat")]
#[test_case(1_400, 0, 3; "one just within the target")]
fn a_late_answer_cuts_the_overflow_for_a_while(took: u64, least: usize, most: usize) {
    let sent = fronts_that_send([600; 5], 0, 1, |front| {
        front.served(8_010, 1, took);
        (0..2).for_each(|server| front.list(12_000, server, EndpointState::Draining));
        (0..4).for_each(|nth| drop(front.send(12_010 + nth, 0)));
        front.list(12_100, 1, EndpointState::Ready { started: None });
    });
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// showroom-calls, places-line-gh: that a server is pressed came in its reports, and was not read.
#[test_case(LoadReport::default(), 50, 50; "nothing said")]
#[test_case(LoadReport { hold_back_share: Some(0.95), accepted_rate: None }, 0, 10; "asks to hold back")]
#[test_case(LoadReport { hold_back_share: None, accepted_rate: Some(2.0) }, 0, 10; "can take little")]
#[test_case(LoadReport { hold_back_share: None, accepted_rate: Some(500.0) }, 50, 50; "can take much")]
fn reports_are_heeded(report: LoadReport, least: usize, most: usize) {
    let befell = |front: &mut Front| front.rules.on_load_report(ServerIx::new(0), report);
    let sent = fronts_that_send([600; 5], 0, 0, befell);
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// norte-donaciones: fronts took a lack of lines for trouble of the processor and left lines empty after it.
#[test_case(InviteOutcome::Rejected { no_line: true, retry_after: None }, 50, 50; "no line is no trouble")]
#[test_case(BUSY, 0, 25; "a full processor is")]
fn a_lack_of_lines_is_no_trouble(ending: InviteOutcome, least: usize, most: usize) {
    let sent = fronts_that_send([600, 500, 420, 350, 290], 0, 0, |front| {
        let (session, _) = front.send(8_010, 0);
        front.end(8_020, session, 0, ending);
        front.lines(0, 710, 1_000);
    });
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// norte-donaciones: a quarter of the answers of healthy servers got lost for half a minute, and their callers
/// waited for them as long as they could.
#[test]
fn where_answers_get_lost_an_invite_is_not_waited_for_long() {
    let patience = |decisions: &[Decision]| match decisions {
        [.., Decision::Invite { answer_timeout: patience, .. }] => *patience,
        other => panic!("{other:?}"),
    };
    let mut front = Front::with(2);
    let (lost, first) = front.send(0, 0);
    assert_eq!(patience(&first), None, "nothing is lost yet");
    front.served(100, 0, 40);
    front.end(3_000, lost, 0, InviteOutcome::TimedOut);
    assert_eq!(patience(&front.send(4_000, 0).1), Some(Span::from_millis(TARGET_MS / 2)));
    assert_eq!(patience(&front.send(4_000, 1).1), None, "the other server loses none");
}

/// places-line-gh: a replaced server had lines for a hundred sessions a second and a processor for eighteen.
#[test_case(0, 5, 40; "its lines alone")]
#[test_case(1, 0, 4; "what stood in its place did little")]
fn a_fresh_server_takes_no_more_than_what_stood_before(before: usize, least: usize, most: usize) {
    let mut front = Front::with(2);
    (0..40).for_each(|nth| front.served(nth * 100, 0, 50));
    (0..3).for_each(|nth| front.served(nth * 1_000, 1, 50));
    front.list(4_000, 1, EndpointState::Gone);
    let number = if before == 1 { 1 } else { 2 };
    let state = EndpointState::Ready { started: Some(at(3_900)) };
    front
        .rules
        .on_endpoints(false, &[EndpointUpdate { server: ServerIx::new(2), number, state, weight: 1.0 }]);
    (0..3).for_each(|server| front.lines(server, 1_000, 1_000));
    let tries = (4_000..8_000).step_by(20);
    let sent = tries.filter(|ms| front.sent_in_vain(*ms, number) == Some(2)).count();
    assert!((least..=most).contains(&sent), "{sent} sent");
}

/// norte-donaciones: the one large server restarted among small ones, which say nothing of how large it is.
#[test]
fn a_restarted_server_gets_what_this_front_had_from_it() {
    let mut front = Front::with(2);
    (0..160).for_each(|nth| front.served(nth * 200, 0, 50));
    (0..2).for_each(|nth| front.served(nth * 10_000, 1, 50));
    front.lines(0, 800, 800);
    front.lines(1, 50, 50);
    front.list(32_100, 0, EndpointState::Ready { started: Some(at(32_000)) });
    let tries = (32_200..37_200).step_by(250);
    let sent = tries.filter(|ms| front.sent_in_vain(*ms, 0) == Some(0)).count();
    assert!((4..=15).contains(&sent), "{sent} sent");
}

/// What comes too late to earn anything is set up all the same where nothing is short.
#[test_case(0.0; "a late session earns nothing")]
#[test_case(0.25; "a late session earns a quarter")]
fn a_redial_at_an_idle_server_is_set_up(late_share: f64) {
    let mut figures = provision();
    figures.services[0].late_value_share = late_share;
    let mut front = Front::from(&figures, 1);
    let session = front.offer_again(10, 0);
    let decisions = front.decide(10);
    assert_eq!((invited(&decisions), session.index()), (Some(0), 0));
}

/// Nothing says how large they are: nobody tells lines, and nobody has answered this front yet.
#[test]
fn where_all_servers_are_fresh_and_untold_a_little_is_tried() {
    let (mut sent, seconds) = (0, 14);
    let fronts = 4;
    for nth in 0..fronts {
        let mut figures = provision();
        (figures.seed, figures.fronts) = (nth, fronts as u32);
        let mut front = Front::from(&figures, 1);
        front.list(0, 0, EndpointState::Ready { started: Some(at(0)) });
        let tries = (0..seconds * 4).map(|nth| nth * 250);
        sent += tries.filter(|ms| front.sent_in_vain(*ms, 0).is_some()).count();
    }
    assert!(sent > 0, "not one of {fronts} fronts in {seconds} s");
    assert!(sent <= 2 * seconds as usize, "{sent} of all fronts together in {seconds} s");
}

/// A server that told its lines at its start and never again: what was told wears out.
#[test]
fn lines_that_were_told_long_ago_bar_nobody() {
    let mut front = Front::with(1);
    front.lines(0, 4, 1_000);
    (0..8).for_each(|nth| front.served(nth * 100, 0, 20));
    let later = (0..20).filter(|nth| front.sent_in_vain(60_000 + nth * 500, 0).is_some()).count();
    assert!(later > 10, "{later} of 20");
}

/// merokozpont, calm: a time-out was forgotten as it ended, and one INVITE of each front after the other kept a
/// jammed server jammed.
#[test_case(100, InviteOutcome::TimedOut, 1, 15; "held back after a time-out")]
#[test_case(6_000, InviteOutcome::TimedOut, 1, 15; "for longer than the present lasts")]
#[test_case(TARGET_MS * 6, InviteOutcome::TimedOut, 50, 50; "and not for good")]
#[test_case(100, InviteOutcome::Cancelled, 50, 50; "a caller who hangs up tells nothing")]
fn a_time_out_is_not_forgotten(after: u64, ending: InviteOutcome, least: usize, most: usize) {
    let sends = |seed: &u64| {
        let mut front = Front::from(&ControllerConfig { seed: *seed, ..provision() }, 1);
        let (session, _) = front.send(0, 0);
        front.rules.on_caller_gone(session);
        front.end(3_000, session, 0, ending);
        invited(&front.send(3_000 + after, 0).1).is_some()
    };
    let sent = (0..50).filter(sends).count();
    assert!((least..=most).contains(&sent), "{sent} send");
}

/// What a server's former process did not answer is not held against the next.
#[test]
fn a_time_out_ends_with_the_process() {
    let mut front = Front::from(&ControllerConfig { warm_up_time: Span::from_secs(1), ..provision() }, 1);
    let (session, _) = front.send(0, 0);
    front.rules.on_caller_gone(session);
    front.end(3_000, session, 0, InviteOutcome::TimedOut);
    front.list(3_100, 0, EndpointState::Ready { started: Some(at(3_100)) });
    (0..20).for_each(|nth| {
        assert_eq!(invited(&front.send(4_200 + nth * 50, 0).1), Some(0));
        front.rules.advance_to(at(4_240 + nth * 50));
        front.rules.on_call_established(SessionIx::new(1 + nth as usize));
    });
}
