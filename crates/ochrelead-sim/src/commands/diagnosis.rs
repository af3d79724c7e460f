//! `found`: compares the faults that the diagnosis detects with those that scenarios script.

use std::collections::BTreeMap;
use std::ops::Range;
use std::path::PathBuf;

use ochrelead_config::scenario::Scenario;
use ochrelead_scenario::detection::{self, DetectionTally};
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::run;
use ochrelead_sim::world::{RecordingOptions, SCENARIO_DELAY, START_TIME};

use super::{available_threads, parallel_map, scripted_scenario};

/// Simulates each scenario with each seed, diagnoses the fronts' event logs, and prints the detected faults per kind.
/// Returns whether exactly the scripted faults were detected.
pub(crate) fn run(paths: &[PathBuf], seeds: Range<u64>, degraded: bool) -> anyhow::Result<bool> {
    let mut scenarios = Vec::new();
    for path in paths {
        let scenario = scripted_scenario(path)?;
        scenarios.extend(seeds.clone().map(|seed| Scenario { seed, ..scenario.clone() }));
    }
    let options = RecordingOptions { event_logs: true, ..RecordingOptions::default() };
    let diagnoses = parallel_map(scenarios.len() as u64, available_threads(), "days", |index, _| {
        let scenario = &scenarios[index as usize];
        let outcome = run::run(scenario, PolicyKind::Controller, options)?;
        Ok(detection::compare_logs(
            scenario,
            outcome.logs,
            START_TIME + SCENARIO_DELAY,
            degraded.then_some(scenario.seed),
        ))
    })?;
    let mut tally: BTreeMap<_, DetectionTally> = BTreeMap::new();
    diagnoses.iter().for_each(|diagnosis| detection::add_to_tallies(&mut tally, diagnosis));
    println!("{} days; onset off: middle, and nine in ten", scenarios.len());
    println!(
        "{:<38} {:>8} {:>6} {:>9} {:>7} {:>10}",
        "kind", "scripted", "found", "invented", "middle", "nine in 10"
    );
    for (kind, DetectionTally { scripted, detected, false_positives, onset_errors }) in &mut tally {
        onset_errors.sort_by(f64::total_cmp);
        let (median, p90) = (quantile(onset_errors, 0.5), quantile(onset_errors, 0.9));
        println!(
            "{:<38} {scripted:>8} {detected:>6} {false_positives:>9} {median:>5.1} s {p90:>8.1} s",
            kind.name()
        );
    }
    println!("on simulated servers");
    Ok(tally.values().all(|tally| tally.detected == tally.scripted && tally.false_positives == 0))
}

/// Returns the quantile of the sorted values at `share`; 0 if there are no values.
fn quantile(sorted: &[f64], share: f64) -> f64 {
    sorted.get((sorted.len() as f64 * share) as usize).copied().unwrap_or(0.0)
}
