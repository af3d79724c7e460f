//! The console's view of a generated event log: detection of a silent server, reordering of records, text and
//! screens.

use std::path::Path;

use ochrelead_console::fleet_view::FleetView;
use ochrelead_console::screen::{ScreenState, draw};
use ochrelead_console::text;
use ochrelead_core::time::Span;
use ochrelead_event_log::reader::{FrontIncarnation, Record};
use ochrelead_event_log::schema::event::What;
use ochrelead_event_log::schema::{
    Denial, Ended, Ending, Event, GivenUp, HungUp, Invite, Outlook, Stands, Taken,
};
use ratatui::Terminal;
use ratatui::backend::TestBackend;

fn record(ms: u64, front: u64, what: What) -> Record {
    let incarnation = FrontIncarnation { front: format!("f{front}"), started_us: 1 };
    Record {
        incarnation,
        event: Event { at_us: 5_000_000_000 + ms * 1_000, nth: 0, what: Some(what) },
        unknown_fields: 0,
    }
}

/// The records of two fronts and two servers. Server s1 is silent from `silent_from_ms` on.
fn records(duration_ms: u64, silent_from_ms: u64) -> Vec<Record> {
    let mut records = Vec::new();
    for session in 0..duration_ms / 50 {
        let (ms, front, server) = (session * 50, session % 2, session / 2 % 2);
        let (tried, name) = (format!("{session:x}"), format!("s{server}"));
        records.push(record(
            ms,
            front,
            What::Taken(Taken { tried: tried.clone(), called: tried.clone(), ..Taken::default() }),
        ));
        let invite = Invite { tried: tried.clone(), server: name.clone(), nth: 1, ..Invite::default() };
        records.push(record(ms + 1, front, What::Invite(invite)));
        if server == 0 || ms < silent_from_ms {
            let stands = Stands { tried, server: name, took_us: 50_000, since_taken_us: 51_000 };
            records.push(record(ms + 50, front, What::Stands(stands)));
        }
    }
    for second in 0..duration_ms / 1_000 {
        for (front, server) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            let ms = second * 1_000;
            let unheard_ms = if server == 1 && ms > silent_from_ms { ms - silent_from_ms } else { 100 };
            let outlook = Outlook {
                server: format!("s{server}"),
                limit: 2.5,
                unheard_us: unheard_ms * 1_000,
                ..Outlook::default()
            };
            records.push(record(ms, front, What::Outlook(outlook)));
        }
    }
    records.sort_by_key(|record| record.event.at_us);
    records
}

#[test]
fn silent_server_is_shown_within_three_seconds() {
    let mut fleet = FleetView::default();
    let mut shown_at_ms = None;
    for record in records(20_000, 10_000) {
        let ms = (record.event.at_us - 5_000_000_000) / 1_000;
        fleet.handle_record(record);
        fleet.process(Span::ZERO);
        if shown_at_ms.is_none()
            && fleet.servers().get("s1").is_some_and(|server| server.state().label() == "silent")
        {
            shown_at_ms = Some(ms);
        }
    }
    let delay_ms = shown_at_ms.expect("s1 is shown as silent") - 10_000;
    assert!((1_000..3_000).contains(&delay_ms), "shown after {delay_ms} ms");
    assert_eq!(fleet.servers()["s0"].state().label(), "well");
    assert!(text::render(&fleet).contains("s1: silent"), "{}", text::render(&fleet));
    assert_eq!(fleet.active_front_count(), 2);
}

#[test]
fn records_that_arrive_out_of_order_yield_the_same_view() {
    let mut reordered = records(12_000, 6_000);
    // In each interval of 400 ms, all records of one front arrive after those of the other.
    reordered.sort_by_key(|record| {
        (record.event.at_us / 400_000, record.incarnation.front.clone(), record.event.at_us)
    });
    let (mut in_order, mut out_of_order) = (FleetView::default(), FleetView::default());
    records(12_000, 6_000).into_iter().for_each(|record| {
        in_order.handle_record(record);
        in_order.process(Span::ZERO);
    });
    reordered.into_iter().for_each(|record| {
        out_of_order.handle_record(record);
        out_of_order.process(Span::ZERO);
    });
    [&mut in_order, &mut out_of_order].into_iter().for_each(|fleet| fleet.process(Span::from_secs(2)));
    assert_eq!(text::render(&in_order), text::render(&out_of_order));
}

#[test]
fn screen_shows_servers_incidents_and_sessions_of_a_server() {
    let mut fleet = FleetView::default();
    records(20_000, 10_000).into_iter().for_each(|record| fleet.handle_record(record));
    fleet.process(Span::ZERO);
    let screen = |state: &ScreenState| {
        let mut terminal = Terminal::new(TestBackend::new(140, 40)).unwrap();
        terminal.draw(|frame| draw(frame, &fleet, state)).unwrap();
        terminal.backend().to_string()
    };
    let incidents = screen(&ScreenState::default());
    assert!(incidents.contains("s1: silent") && incidents.contains("no sign of it since"), "{incidents}");
    let sessions = screen(&ScreenState { selected: 1, sessions_open: true });
    assert!(sessions.contains("last sessions at s1") && sessions.contains("INVITE 1 to s1"), "{sessions}");
}

/// Records with a silent server, a server in slow start, an ejected server and a failed session.
fn records_with_failures() -> Vec<Record> {
    let mut records = records(20_000, 10_000);
    for (server, fresh, sick) in [("s2", true, false), ("s3", false, true)] {
        let outlook = Outlook {
            server: server.to_owned(),
            limit: 4.0,
            answer_us: 120_000,
            free: 3,
            lines: 8,
            fresh,
            sick,
            ..Outlook::default()
        };
        records.push(record(19_000, 0, What::Outlook(outlook)));
    }
    let (tried, server) = ("f00".to_owned(), "s3".to_owned());
    let invite = Invite { tried: tried.clone(), server: server.clone(), nth: 2, ..Invite::default() };
    records.push(record(19_010, 1, What::Invite(invite)));
    let ended = Ended {
        tried: tried.clone(),
        server: server.clone(),
        ending: Ending::LinesBusy.into(),
        ..Ended::default()
    };
    records.push(record(19_020, 1, What::Ended(ended)));
    let given_up = GivenUp { tried: tried.clone(), denial: Denial::NoRoom.into(), ..GivenUp::default() };
    records.push(record(19_030, 1, What::GivenUp(given_up)));
    records.push(record(19_040, 1, What::HungUp(HungUp { tried, server, ..HungUp::default() })));
    records
}

fn stored(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    std::fs::read_to_string(path).unwrap()
}

/// Scripts may read the text of `--once`, so it must not change.
#[test]
fn text_of_a_fleet_with_incidents_equals_the_stored_text() {
    let mut fleet = FleetView::default();
    records_with_failures().into_iter().for_each(|record| fleet.handle_record(record));
    fleet.process(Span::from_secs(1));
    assert_eq!(text::render(&fleet), stored("text.txt"));
}

#[test]
fn screens_of_a_fleet_with_incidents_equal_the_stored_screens() {
    let mut fleet = FleetView::default();
    records_with_failures().into_iter().for_each(|record| fleet.handle_record(record));
    fleet.process(Span::from_secs(1));
    let screen = |state: &ScreenState| {
        let mut terminal = Terminal::new(TestBackend::new(120, 32)).unwrap();
        terminal.draw(|frame| draw(frame, &fleet, state)).unwrap();
        let styles: Vec<String> =
            (1..5).map(|row| format!("{:?}", terminal.backend().buffer()[(1, row)].style())).collect();
        format!("{}{}\n", terminal.backend(), styles.join("\n"))
    };
    assert_eq!(screen(&ScreenState::default()), stored("screen-troubles.txt"));
    assert_eq!(screen(&ScreenState { selected: 3, sessions_open: true }), stored("screen-sessions.txt"));
}
