//! The page and the JSON report of a small generated log.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::process::Command;

use ochrelead_core::time::Moment;
use ochrelead_diagnosis::incident::{Incident, IncidentKind};
use ochrelead_event_log::reader::{Damage, FrontIncarnation, Log, Record};
use ochrelead_event_log::schema::event::What;
use ochrelead_event_log::schema::{Event, Invite, Outlook, Stands, Taken, Told};
use ochrelead_report::incident_report::IncidentReport;
use ochrelead_report::{json, page};
use test_case::test_case;

/// Builds the records of two fronts.
struct RecordsBuilder {
    /// How far the second front's clock is ahead, in milliseconds.
    clock_offset_ms: i64,
    /// The time in milliseconds during which events of the second front are missing.
    missing_ms: std::ops::Range<u64>,
    sequences: [u64; 2],
    records: Vec<Record>,
}

impl RecordsBuilder {
    fn push(&mut self, ms: u64, front: usize, what: What) {
        let sequence = self.sequences[front];
        self.sequences[front] += 1;
        if front == 1 && self.missing_ms.contains(&ms) {
            return;
        }
        let offset_ms = if front == 1 { self.clock_offset_ms } else { 0 };
        let at_us = (1_000_000 + ms).saturating_add_signed(offset_ms) * 1_000;
        self.records.push(Record {
            incarnation: FrontIncarnation { front: format!("f{front}"), started_us: 1 },
            event: Event { at_us, nth: sequence, what: Some(what) },
            unknown_fields: 0,
        });
    }
}

/// The records of two fronts. Server s1 crashes at 10 s and restarts at 12 s; server s9 announces a start at 20 s.
fn records(clock_offset_ms: i64, missing_ms: std::ops::Range<u64>) -> Vec<Record> {
    let mut builder = RecordsBuilder { clock_offset_ms, missing_ms, sequences: [0, 0], records: Vec::new() };
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

fn report_on(records: Vec<Record>) -> IncidentReport {
    let mut by_incarnation: BTreeMap<FrontIncarnation, Vec<Record>> = BTreeMap::new();
    for record in records {
        by_incarnation.entry(record.incarnation.clone()).or_default().push(record);
    }
    let logs: Vec<Log> = by_incarnation
        .into_iter()
        .map(|(incarnation, records)| Log::from_records(incarnation, records))
        .collect();
    IncidentReport::from_logs(&logs, Damage::default())
}

#[test_case(0; "with equal clocks")]
#[test_case(40_000; "with one clock forty seconds fast")]
#[test_case(-3_000; "with one clock three seconds slow")]
fn crash_is_detected_despite_clock_offset(clock_offset_ms: i64) {
    let report = report_on(records(clock_offset_ms, 0..0));
    let crashes: Vec<_> = report.incidents.iter().filter(|incident| incident.subject == "s1").collect();
    assert_eq!(crashes.len(), 1, "{:?}", report.incidents);
    let onset_ms = crashes[0].onset.since(report.from).micros() / 1_000;
    assert!((7_000..13_000).contains(&onset_ms), "onset at {onset_ms} ms");
    let offsets_ms: Vec<i64> =
        report.incarnations.iter().map(|summary| summary.clock_offset_us / 1_000).collect();
    let difference_ms = offsets_ms[1] - offsets_ms[0];
    assert!((difference_ms + clock_offset_ms).abs() <= 100, "{offsets_ms:?}");
}

#[test]
fn missing_events_are_counted_and_shown() {
    let report = report_on(records(0, 15_000..18_000));
    let missing: Vec<u64> = report.incarnations.iter().map(|summary| summary.missing_events).collect();
    assert!(missing[0] == 0 && missing[1] > 50, "{missing:?}");
    assert!(page::render(&report).contains(&missing[1].to_string()));
}

#[test]
fn page_is_self_contained_and_describes_the_crash() {
    let page = page::render(&report_on(records(0, 0..0)));
    for external in ["http:", "https:", "<script", "src=", "@import", "url("] {
        assert!(!page.contains(external), "{external}");
    }
    for expected in
        ["crashed and started anew", "s1", "prefers-color-scheme: dark", "width=device-width", "stands at s"]
    {
        assert!(page.contains(expected), "{expected}");
    }
}

#[test]
fn log_without_a_fault_yields_no_incidents() {
    let quiet = records(0, 0..0).into_iter().filter(|record| record.event.at_us < 1_009_000_000).collect();
    let report = report_on(quiet);
    assert!(page::render(&report).contains("Nothing was wrong that these records show."));
    assert_eq!(json::render(&report)["troubles"].as_array().unwrap().len(), 0);
}

#[test]
fn missing_folder_exits_with_2_and_empty_folder_succeeds() {
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

/// Tools read the JSON report, so its keys and values must not change.
#[test]
fn json_of_a_small_log_equals_the_stored_text() {
    let written = format!("{:#}\n", json::render(&report_on(records(40_000, 15_000..18_000))));
    assert_eq!(written, stored("small-log.json"));
}

#[test]
fn page_of_a_small_log_equals_the_stored_page() {
    let written = page::render(&report_on(records(40_000, 15_000..18_000)));
    assert_eq!(written, stored("small-log.html"));
}

#[test]
fn json_of_each_incident_kind_equals_the_stored_text() {
    let mut report = report_on(records(0, 0..0));
    let kinds = [
        IncidentKind::Slow,
        IncidentKind::AllSlow,
        IncidentKind::Silent,
        IncidentKind::Crashed,
        IncidentKind::Replaced,
        IncidentKind::AnswersLost,
        IncidentKind::CutOff,
        IncidentKind::FrontKilled,
        IncidentKind::FrontStalled,
        IncidentKind::Redials,
        IncidentKind::HotNumber,
        IncidentKind::Overload,
    ];
    let incident = |kind| Incident {
        kind,
        subject: "s1".to_owned(),
        onset: Moment::from_micros(5),
        end: None,
        confidence: 0.5,
        evidence: "seen".to_owned(),
    };
    report.incidents = kinds.into_iter().map(incident).collect();
    let written = format!("{:#}\n", json::render(&report)["troubles"]);
    assert_eq!(written, stored("kinds.json"));
}
