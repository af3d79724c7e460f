//! The exported Parquet table, compared with a stored table that has one row for each kind of event.

use std::fs::{self, File};
use std::path::{Path, PathBuf};

use ochrelead_event_log::schema::event::What;
use ochrelead_event_log::schema::{
    Cut, Denial, Ended, Ending, Fleet, GivenUp, HungUp, Invite, Outlook, Released, Stands, Taken, Told,
};
use ochrelead_event_log::writer::{Bounds, Recorder};
use ochrelead_report::export::export;
use parquet::file::reader::{FileReader, SerializedFileReader};

/// One event of each kind.
fn events() -> Vec<What> {
    let (tried, server) = ("f00".to_owned(), "s1".to_owned());
    vec![
        What::Life("begins".to_owned()),
        What::Taken(Taken {
            tried: tried.clone(),
            called: "42".to_owned(),
            service: 2,
            member: 1,
            ..Taken::default()
        }),
        What::Invite(Invite { tried: tried.clone(), server: server.clone(), nth: 2, ..Invite::default() }),
        What::Ended(Ended {
            tried: tried.clone(),
            server: server.clone(),
            ending: Ending::LinesBusy.into(),
            took_us: 7,
        }),
        What::Stands(Stands { tried: tried.clone(), server: server.clone(), took_us: 8, since_taken_us: 9 }),
        What::GivenUp(GivenUp {
            tried: tried.clone(),
            denial: Denial::NoToken.into(),
            refused: true,
            come_back_ms: 250,
        }),
        What::HungUp(HungUp { tried: tried.clone(), server: server.clone(), waited_us: 10 }),
        What::Cut(Cut { tried: tried.clone(), server: server.clone() }),
        What::Released(Released { tried, server: server.clone(), confirmed: false }),
        What::Told(Told { server: server.clone(), what: "started".to_owned() }),
        What::Fleet(Fleet { generation: 3, server: vec!["s1".to_owned(), "s2".to_owned()] }),
        What::Outlook(Outlook { server, limit: 2.5, answer_us: 11, ..Outlook::default() }),
        What::PausedUs(12),
        What::Lost(13),
    ]
}

#[test]
fn exported_row_of_each_event_kind_equals_the_stored_row() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("export");
    let _ = fs::remove_dir_all(&folder);
    let mut recorder =
        Recorder::start(&folder, "f0", 1, Bounds::default(), |error| panic!("{error}")).unwrap();
    for (second, what) in (1_000_u64..).zip(events()) {
        recorder.record(second * 1_000_000, what);
    }
    drop(recorder);
    let path: PathBuf = folder.join("events.parquet");
    assert_eq!(export(std::slice::from_ref(&folder), &path).unwrap(), 14);
    let reader = SerializedFileReader::new(File::open(&path).unwrap()).unwrap();
    let rows = reader.get_row_iter(None).unwrap();
    let written: String = rows.map(|row| format!("{}\n", row.unwrap())).collect();
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/export.txt");
    assert_eq!(written, fs::read_to_string(stored).unwrap());
}
