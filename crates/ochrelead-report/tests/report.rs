//! The page and the JSON of a small incident.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::process::Command;

use ochrelead_core::time::Moment;
use ochrelead_diagnosis::trouble::{Trouble, TroubleKind};
use ochrelead_event_log::reader::{Damage, FrontIncarnation, Log, Record};
use ochrelead_event_log::schema::event::What;
use ochrelead_event_log::schema::{Event, Invite, Outlook, Stands, Taken, Told};
use ochrelead_report::incident::Incident;
use ochrelead_report::{json, page};
use test_case::test_case;

/// The records of two fronts, as they are written.
struct RecordsBuilder {
    /// How far the second front's clock is off.
    off_ms: i64,
    /// When events of the second front are cut out.
    cut: std::ops::Range<u64>,
    sequences: [u64; 2],
    records: Vec<Record>,
}

impl RecordsBuilder {
    fn push(&mut self, ms: u64, front: usize, what: What) {
        let sequence = self.sequences[front];
        self.sequences[front] += 1;
        if front == 1 && self.cut.contains(&ms) {
            return;
        }
        let off = if front == 1 { self.off_ms } else { 0 };
        let at_us = (1_000_000 + ms).saturating_add_signed(off) * 1_000;
        self.records.push(Record {
            incarnation: FrontIncarnation { front: format!("f{front}"), started_us: 1 },
            event: Event { at_us, nth: sequence, what: Some(what) },
            unknown_fields: 0,
        });
    }
}

/// Two fronts; one server crashes at 10 s and is back at 12 s. The second front's clock is off, and events of it
/// may be cut out.
fn records(off_ms: i64, cut: std::ops::Range<u64>) -> Vec<Record> {
    let mut builder = RecordsBuilder { off_ms, cut, sequences: [0, 0], records: Vec::new() };
    for session in 0..600_u64 {
        let (ms, front, server) = (session * 50, (session % 2) as usize, session / 2 % 2);
        let (tried, name) = (format!("{session:x}"), format!("s{server}"));
        builder.push(
            ms,
            front,
            What::Taken(Taken {
                tried: tried.clone(),
                called: format!("{session}"),
                member: 1,
                ..Taken::default()
            }),
        );
        builder.push(
            ms + 1,
            front,
            What::Invite(Invite { tried: tried.clone(), server: name.clone(), nth: 1, ..Invite::default() }),
        );
        if server == 0 || !(10_000..12_000).contains(&ms) {
            builder.push(
                ms + 2,
                front,
                What::Stands(Stands { tried, server: name, took_us: 50_000, since_taken_us: 51_000 }),
            );
        }
        if session % 20 == 0 {
            let silent = (10_000..12_000).contains(&ms);
            let unheard_us = if silent { (ms - 9_900) * 1_000 } else { 100_000 };
            for front in 0..2 {
                builder.push(
                    ms + 3,
                    front,
                    What::Outlook(Outlook { server: "s1".to_owned(), unheard_us, ..Outlook::default() }),
                );
            }
        }
        if ms == 12_000 || ms == 20_000 {
            let server = if ms == 12_000 { "s1" } else { "s9" };
            let started = || What::Told(Told { server: server.to_owned(), what: "started".to_owned() });
            builder.push(ms + 4, 0, started());
            builder.push(ms + 14, 1, started());
        }
    }
    builder.records
}

fn incident(records: Vec<Record>) -> Incident {
    let mut by_incarnation: BTreeMap<FrontIncarnation, Vec<Record>> = BTreeMap::new();
    for record in records {
        by_incarnation.entry(record.incarnation.clone()).or_default().push(record);
    }
    let logs: Vec<Log> = by_incarnation
        .into_iter()
        .map(|(incarnation, records)| Log::from_records(incarnation, records))
        .collect();
    Incident::from_logs(&logs, Damage::default())
}

#[test_case(0; "clocks that agree")]
#[test_case(40_000; "one forty seconds fast")]
#[test_case(-3_000; "one three seconds slow")]
fn the_crash_is_found_whatever_the_clocks(off_ms: i64) {
    let incident = incident(records(off_ms, 0..0));
    let crash: Vec<_> = incident.troubles.iter().filter(|trouble| trouble.subject == "s1").collect();
    assert_eq!(crash.len(), 1, "{:?}", incident.troubles);
    let onset = crash[0].onset.since(incident.from).micros() / 1_000;
    assert!((7_000..13_000).contains(&onset), "{onset}");
    let moved: Vec<i64> =
        incident.incarnations.iter().map(|summary| summary.clock_offset_us / 1_000).collect();
    let gap = moved[1] - moved[0];
    assert!((gap + off_ms).abs() <= 100, "{moved:?}");
}

#[test]
fn what_was_cut_out_is_counted() {
    let incident = incident(records(0, 15_000..18_000));
    let missing: Vec<u64> = incident.incarnations.iter().map(|summary| summary.missing_events).collect();
    assert!(missing[0] == 0 && missing[1] > 50, "{missing:?}");
    assert!(page::render(&incident).contains(&missing[1].to_string()));
}

#[test]
fn the_page_stands_alone_and_tells_the_story() {
    let page = page::render(&incident(records(0, 0..0)));
    for elsewhere in ["http:", "https:", "<script", "src=", "@import", "url("] {
        assert!(!page.contains(elsewhere), "{elsewhere}");
    }
    for expected in
        ["crashed and started anew", "s1", "prefers-color-scheme: dark", "width=device-width", "stands at s"]
    {
        assert!(page.contains(expected), "{expected}");
    }
}

#[test]
fn a_quiet_course_is_said_to_be_one() {
    let quiet = records(0, 0..0).into_iter().filter(|record| record.event.at_us < 1_009_000_000).collect();
    let incident = incident(quiet);
    assert!(page::render(&incident).contains("Nothing was wrong that these records show."));
    assert_eq!(json::render(&incident)["troubles"].as_array().unwrap().len(), 0);
}

#[test]
fn a_folder_that_is_not_there_is_one_line_and_exit_two() {
    let run = Command::new(env!("CARGO_BIN_EXE_ochrelead-report")).arg("nowhere").output().unwrap();
    let message = String::from_utf8(run.stderr).unwrap();
    assert!(run.status.code() == Some(2) && message.starts_with("ochrelead-report: nowhere: "), "{message}");
    let empty = Path::new(env!("CARGO_TARGET_TMPDIR")).join("empty");
    fs::create_dir_all(&empty).unwrap();
    let run =
        Command::new(env!("CARGO_BIN_EXE_ochrelead-report")).arg(&empty).arg("--json").output().unwrap();
    assert!(run.status.success() && String::from_utf8_lossy(&run.stdout).contains("\"troubles\": []"));
}

fn stored(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    fs::read_to_string(path).unwrap()
}

/// Machines read the JSON: its keys and values are those of an earlier program.
#[test]
fn json_of_a_small_log_is_the_stored_text() {
    let written = format!("{:#}\n", json::render(&incident(records(40_000, 15_000..18_000))));
    assert_eq!(written, stored("small-log.json"));
}

#[test]
fn page_of_a_small_log_is_the_stored_page() {
    let written = page::render(&incident(records(40_000, 15_000..18_000)));
    assert_eq!(written, stored("small-log.html"));
}

#[test]
fn json_names_each_kind_of_trouble_as_stored() {
    let mut incident = incident(records(0, 0..0));
    let kinds = [
        TroubleKind::Slow,
        TroubleKind::AllSlow,
        TroubleKind::Silent,
        TroubleKind::Crashed,
        TroubleKind::Replaced,
        TroubleKind::AnswersLost,
        TroubleKind::CutOff,
        TroubleKind::FrontKilled,
        TroubleKind::FrontStalled,
        TroubleKind::Redials,
        TroubleKind::HotNumber,
        TroubleKind::Overload,
    ];
    let trouble = |kind| Trouble {
        kind,
        subject: "s1".to_owned(),
        onset: Moment::from_micros(5),
        end: None,
        confidence: 0.5,
        evidence: "seen".to_owned(),
    };
    incident.troubles = kinds.into_iter().map(trouble).collect();
    let written = format!("{:#}\n", json::render(&incident)["troubles"]);
    assert_eq!(written, stored("kinds.json"));
}
