//! Compatibility with a stored segment of an earlier program version that has events of every kind: it is read
//! correctly, and writing the same events gives the same bytes.

use std::fs;
use std::path::{Path, PathBuf};

use ochrelead_event_log::frame;
use ochrelead_event_log::reader::read_all;
use ochrelead_event_log::schema::event::What;
use ochrelead_event_log::schema::{
    Choice, Cut, Denial, Ended, Ending, Fleet, GivenUp, HungUp, Invite, Outlook, Payment, Released, Stands,
    Taken, Told,
};
use ochrelead_event_log::writer::{Bounds, Recorder};

const SEGMENT: &str = "f1-0000000000001000-000000.records";

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(SEGMENT)
}

const ENDINGS: [Ending; 9] = [
    Ending::Fault,
    Ending::LinesBusy,
    Ending::Full,
    Ending::NoLine,
    Ending::TimedOut,
    Ending::ConnectFailed,
    Ending::Reset,
    Ending::Cancelled,
    Ending::Unsent,
];

const DENIALS: [Denial; 7] = [
    Denial::Front,
    Denial::NotAgain,
    Denial::TooLate,
    Denial::NumberBusy,
    Denial::InvitesSpent,
    Denial::NoRoom,
    Denial::NoToken,
];

/// The events of a session up to its INVITEs, after those of the front's start.
fn events_up_to_invites() -> Vec<What> {
    let (tried, server) = (|| "5f-2a".to_owned(), || "s1".to_owned());
    let mut events = vec![
        What::Life("start".to_owned()),
        What::Fleet(Fleet { generation: 12, server: vec![server(), "s2".to_owned()] }),
        What::Taken(Taken {
            tried: tried(),
            service: 2,
            member: 3,
            destination: -4,
            called: "5551000".to_owned(),
            redial: true,
        }),
    ];
    for (choice, payment) in [
        (Choice::Destination, Payment::Free),
        (Choice::Drawn, Payment::Token),
        (Choice::Drawn, Payment::Floor),
    ] {
        events.push(What::Invite(Invite {
            tried: tried(),
            server: server(),
            nth: 2,
            choice: choice.into(),
            payment: payment.into(),
        }));
    }
    events
}

/// The outcomes of INVITEs and sessions, and events that belong to no session.
fn events_after_invites() -> Vec<What> {
    let (tried, server) = (|| "5f-2a".to_owned(), || "s1".to_owned());
    let mut events = Vec::new();
    for ending in ENDINGS {
        events.push(What::Ended(Ended {
            tried: tried(),
            server: server(),
            ending: ending.into(),
            took_us: 70_000,
        }));
    }
    events.push(What::Stands(Stands {
        tried: tried(),
        server: server(),
        took_us: 50_000,
        since_taken_us: 51_000,
    }));
    for denial in DENIALS {
        events.push(What::GivenUp(GivenUp {
            tried: tried(),
            denial: denial.into(),
            refused: true,
            come_back_ms: 200,
        }));
    }
    events.extend([
        What::HungUp(HungUp { tried: tried(), server: server(), waited_us: 30_000 }),
        What::Cut(Cut { tried: tried(), server: server() }),
        What::Released(Released { tried: tried(), server: server(), confirmed: true }),
        What::Told(Told { server: server(), what: "lines 7/100".to_owned() }),
        What::Outlook(Outlook {
            server: server(),
            limit: 2.5,
            waiting: 3,
            answer_us: 40_000,
            sick: true,
            fresh: true,
            troubled: true,
            flow: 7.25,
            free: 8,
            lines: 9,
            unheard_us: 100_000,
        }),
        What::PausedUs(400_000),
        What::Lost(17),
        What::Life("stop".to_owned()),
    ]);
    events
}

fn events() -> Vec<What> {
    [events_up_to_invites(), events_after_invites()].concat()
}

#[test]
fn stored_segment_is_read_event_by_event() {
    let mut read = Vec::new();
    let folder = fixture().parent().unwrap().to_owned();
    let damage = read_all(&[folder], |record| read.push(record)).unwrap();
    assert_eq!((damage.truncated.len(), damage.newer.len(), damage.foreign.len()), (0, 0, 0));
    assert!(
        read.iter().all(|record| record.incarnation.front == "f1" && record.incarnation.started_us == 1_000)
    );
    let positions: Vec<(u64, u64)> =
        read.iter().map(|record| (record.event.at_us, record.event.nth)).collect();
    assert_eq!(
        positions,
        (0..read.len() as u64).map(|sequence| (2_000 + sequence, sequence)).collect::<Vec<_>>()
    );
    let read: Vec<What> = read.into_iter().map(|record| record.event.what.unwrap()).collect();
    assert_eq!(read, events());
}

#[test]
fn same_events_are_written_byte_for_byte_as_stored() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stored");
    let _ = fs::remove_dir_all(&folder);
    let mut recorder =
        Recorder::start(&folder, "f1", 1_000, Bounds::default(), |error| panic!("{error}")).unwrap();
    for (sequence, event) in events().into_iter().enumerate() {
        recorder.record(2_000 + sequence as u64, event);
    }
    drop(recorder);
    let written = fs::read(folder.join(SEGMENT)).unwrap();
    assert_eq!(written, fs::read(fixture()).unwrap());
    assert_eq!(frame::Frames::new(&written).count(), events().len() + 1);
}
