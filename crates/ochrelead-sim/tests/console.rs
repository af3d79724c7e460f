//! How long after a server falls silent the console shows it, with records that come as a front's host writes them.

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

/// A front hands its records over so often, and the console looks at the files so often.
const FLUSH_INTERVAL: Span = Span::from_millis(200);
const POLL_INTERVAL: Span = Span::from_millis(250);

/// Seconds from the silence's beginning until the console shows it; none where it does not in time.
fn shown_after(scenario: &Scenario) -> Option<f64> {
    let fault = scenario.faults.iter().find(|fault| fault.kind == FaultKind::Silent).unwrap();
    let begins = START_TIME + SCENARIO_DELAY + fault.start;
    let name = ochrelead_scenario::participant::server_name(fault.targets[0]);
    let options = RecordingOptions { event_logs: true, ..RecordingOptions::default() };
    let outcome = run(scenario, PolicyKind::Controller, options).unwrap();
    // By when the disk has them.
    let mut arrive: BTreeMap<u64, Vec<Record>> = BTreeMap::new();
    for record in outcome.logs.into_iter().flatten() {
        let flushed = record.event.at_us.div_ceil(FLUSH_INTERVAL.micros()) * FLUSH_INTERVAL.micros();
        arrive.entry(flushed).or_default().push(record);
    }
    let (mut fleet, mut now, mut last) = (FleetView::default(), START_TIME, START_TIME);
    while now < begins + fault.duration {
        now = now + POLL_INTERVAL;
        let later = arrive.split_off(&(now.micros() + 1));
        for (flushed, records) in std::mem::replace(&mut arrive, later) {
            last = Moment::from_micros(flushed);
            records.into_iter().for_each(|record| fleet.handle_record(record));
        }
        fleet.process(now.since(last));
        if fleet
            .ongoing_troubles()
            .iter()
            .any(|trouble| trouble.kind.short_name() == "silent" && trouble.subject == name)
        {
            return Some(now.since(begins).ratio(Span::from_secs(1)));
        }
    }
    None
}

#[test_case("bad-day", 6; "the bad day")]
#[test_case("short/silent", 12; "the short one")]
fn a_silent_server_is_shown_within_three_seconds(file: &str, seeds: u64) {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(format!("{file}.textproto"));
    let scenario = scenario::open(&path).unwrap();
    let mut delays: Vec<f64> = (1..=seeds)
        .map(|seed| shown_after(&Scenario { seed, ..scenario.clone() }).unwrap_or(f64::INFINITY))
        .collect();
    delays.sort_by(f64::total_cmp);
    println!("{file}: middle {:.2} s, worst {:.2} s", delays[delays.len() / 2], delays[delays.len() - 1]);
    assert!(delays[delays.len() - 1] <= 3.0, "{delays:?}");
}
