//! The console must show a silent server within three seconds. The records are replayed in the batches in which a
//! front's host writes them.

use std::collections::BTreeMap;
use std::path::Path;

use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario::{self, Scenario};
use ochrelead_console::fleet_view::FleetView;
use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::Record;
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::run::run;
use ochrelead_sim::world::{RecordingOptions, SCENARIO_DELAY, START_TIME};
use test_case::test_case;

/// Interval at which a front writes its records to disk.
const FLUSH_INTERVAL: Span = Span::from_millis(200);
/// Interval at which the console reads the files.
const POLL_INTERVAL: Span = Span::from_millis(250);

/// Returns the seconds from the start of the silence until the console shows it; `None` if it does not show it while the
/// fault lasts.
fn detection_delay_s(scenario: &Scenario) -> Option<f64> {
    let fault = scenario.faults.iter().find(|fault| fault.kind == FaultKind::Silent).unwrap();
    let fault_start = START_TIME + SCENARIO_DELAY + fault.start;
    let name = ochrelead_scenario::participant::server_name(fault.targets[0]);
    let options = RecordingOptions { event_logs: true, ..RecordingOptions::default() };
    let outcome = run(scenario, PolicyKind::Controller, options).unwrap();
    // Records by the time, in microseconds, at which they are written to disk.
    let mut pending: BTreeMap<u64, Vec<Record>> = BTreeMap::new();
    for record in outcome.logs.into_iter().flatten() {
        let flushed = record.event.at_us.div_ceil(FLUSH_INTERVAL.micros()) * FLUSH_INTERVAL.micros();
        pending.entry(flushed).or_default().push(record);
    }
    let (mut fleet, mut now, mut last_flush) = (FleetView::default(), START_TIME, START_TIME);
    while now < fault_start + fault.duration {
        now = now + POLL_INTERVAL;
        let later = pending.split_off(&(now.micros() + 1));
        for (flushed, records) in std::mem::replace(&mut pending, later) {
            last_flush = Moment::from_micros(flushed);
            records.into_iter().for_each(|record| fleet.handle_record(record));
        }
        fleet.process(now.since(last_flush));
        if fleet
            .ongoing_incidents()
            .iter()
            .any(|trouble| trouble.kind.short_name() == "silent" && trouble.subject == name)
        {
            return Some(now.since(fault_start).ratio(Span::from_secs(1)));
        }
    }
    None
}

#[test_case("bad-day", 6; "scenario with several faults")]
#[test_case("short/silent", 12; "scenario with a silent server only")]
fn console_shows_a_silent_server_within_three_seconds(file: &str, seeds: u64) {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(format!("{file}.textproto"));
    let scenario = scenario::open(&path).unwrap();
    let mut delays: Vec<f64> = (1..=seeds)
        .map(|seed| detection_delay_s(&Scenario { seed, ..scenario.clone() }).unwrap_or(f64::INFINITY))
        .collect();
    delays.sort_by(f64::total_cmp);
    println!("{file}: median {:.2} s, maximum {:.2} s", delays[delays.len() / 2], delays[delays.len() - 1]);
    assert!(delays[delays.len() - 1] <= 3.0, "{delays:?}");
}
