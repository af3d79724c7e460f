//! What the console makes of records as they come, and that a silent server shows within seconds.

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

/// Two fronts, two servers; one is silent from a moment on.
fn course(length: u64, silent_from: u64) -> Vec<Record> {
    let mut records = Vec::new();
    for session in 0..length / 50 {
        let (ms, front, server) = (session * 50, session % 2, session / 2 % 2);
        let (tried, name) = (format!("{session:x}"), format!("s{server}"));
        records.push(record(
            ms,
            front,
            What::Taken(Taken { tried: tried.clone(), called: tried.clone(), ..Taken::default() }),
        ));
        let invite = Invite { tried: tried.clone(), server: name.clone(), nth: 1, ..Invite::default() };
        records.push(record(ms + 1, front, What::Invite(invite)));
        if server == 0 || ms < silent_from {
            let stands = Stands { tried, server: name, took_us: 50_000, since_taken_us: 51_000 };
            records.push(record(ms + 50, front, What::Stands(stands)));
        }
    }
    for second in 0..length / 1_000 {
        for (front, server) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            let ms = second * 1_000;
            let since = if server == 1 && ms > silent_from { ms - silent_from } else { 100 };
            let outlook = Outlook {
                server: format!("s{server}"),
                limit: 2.5,
                unheard_us: since * 1_000,
                ..Outlook::default()
            };
            records.push(record(ms, front, What::Outlook(outlook)));
        }
    }
    records.sort_by_key(|record| record.event.at_us);
    records
}

#[test]
fn a_silent_server_shows_within_three_seconds() {
    let mut fleet = FleetView::default();
    let mut shown_at = None;
    for record in course(20_000, 10_000) {
        let ms = (record.event.at_us - 5_000_000_000) / 1_000;
        fleet.handle_record(record);
        fleet.process(Span::ZERO);
        if shown_at.is_none()
            && fleet.servers().get("s1").is_some_and(|server| server.state().label() == "silent")
        {
            shown_at = Some(ms);
        }
    }
    let after = shown_at.expect("it shows") - 10_000;
    assert!((1_000..3_000).contains(&after), "{after} ms");
    assert_eq!(fleet.servers()["s0"].state().label(), "well");
    assert!(text::render(&fleet).contains("s1: silent"), "{}", text::render(&fleet));
    assert_eq!(fleet.active_front_count(), 2);
}

#[test]
fn records_that_come_out_of_order_are_taken_in_order() {
    let mut apart = course(12_000, 6_000);
    // One front's come a second's worth at a time after the other's.
    apart.sort_by_key(|record| {
        (record.event.at_us / 400_000, record.incarnation.front.clone(), record.event.at_us)
    });
    let (mut one, mut other) = (FleetView::default(), FleetView::default());
    course(12_000, 6_000).into_iter().for_each(|record| {
        one.handle_record(record);
        one.process(Span::ZERO);
    });
    apart.into_iter().for_each(|record| {
        other.handle_record(record);
        other.process(Span::ZERO);
    });
    [&mut one, &mut other].into_iter().for_each(|fleet| fleet.process(Span::from_secs(2)));
    assert_eq!(text::render(&one), text::render(&other));
}

#[test]
fn the_screen_shows_servers_troubles_and_a_servers_sessions() {
    let mut fleet = FleetView::default();
    course(20_000, 10_000).into_iter().for_each(|record| fleet.handle_record(record));
    fleet.process(Span::ZERO);
    let screen = |state: &ScreenState| {
        let mut terminal = Terminal::new(TestBackend::new(140, 40)).unwrap();
        terminal.draw(|frame| draw(frame, &fleet, state)).unwrap();
        terminal.backend().to_string()
    };
    let troubles = screen(&ScreenState::default());
    assert!(troubles.contains("s1: silent") && troubles.contains("no sign of it since"), "{troubles}");
    let sessions = screen(&ScreenState { selected: 1, sessions_open: true });
    assert!(sessions.contains("last sessions at s1") && sessions.contains("INVITE 1 to s1"), "{sessions}");
}

/// The course of a silent server, with a server that warms up, one that is ejected, and sessions that fail.
fn course_with_failures() -> Vec<Record> {
    let mut records = course(20_000, 10_000);
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

/// Scripts may read the text of `--once`: it is that of an earlier program.
#[test]
fn text_of_a_fleet_with_troubles_is_the_stored_text() {
    let mut fleet = FleetView::default();
    course_with_failures().into_iter().for_each(|record| fleet.handle_record(record));
    fleet.process(Span::from_secs(1));
    assert_eq!(text::render(&fleet), stored("text.txt"));
}

#[test]
fn screens_of_a_fleet_with_troubles_are_the_stored_screens() {
    let mut fleet = FleetView::default();
    course_with_failures().into_iter().for_each(|record| fleet.handle_record(record));
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
