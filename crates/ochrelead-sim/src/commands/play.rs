//! `play`: simulates a scripted scenario with each policy.

use std::path::Path;
use std::time::Instant;

use anyhow::Context;
use ochrelead_event_log::reader::Log;
use ochrelead_event_log::writer::{Bounds, Recorder};
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::run;
use ochrelead_sim::world::RecordingOptions;

use super::scripted_scenario;

/// Simulates a scenario with each policy, or with the module's policy only. Returns whether the module violated no
/// invariant.
pub(crate) fn run(path: &Path, records: Option<&Path>, module_only: bool) -> anyhow::Result<bool> {
    let scenario = scripted_scenario(path)?;
    let mut is_clean = true;
    println!(
        "{:<12} {:>7} {:>11} {:>9} {:>12} {:>10}",
        "service", "whole", "worst 10 s", "events", "rules", "x real"
    );
    let policies = if module_only { &PolicyKind::ALL[..1] } else { &PolicyKind::ALL[..] };
    for &(name, policy_kind) in policies {
        let began = Instant::now();
        let is_module = policy_kind == PolicyKind::Controller;
        let event_logs = is_module && records.is_some();
        let options = RecordingOptions { datagrams: true, trace: false, event_logs };
        let outcome = run::run(&scenario, policy_kind, options)?;
        let speed = outcome.simulated_s / began.elapsed().as_secs_f64().max(1e-3);
        let rules =
            outcome.violation.as_ref().map_or("kept".to_owned(), |violation| violation.kind().to_string());
        let (whole, worst) = (outcome.service.overall, outcome.service.worst_window);
        println!("{name:<12} {whole:>7.3} {worst:>11.3} {:>9} {rules:>12} {speed:>10.1}", outcome.steps);
        if !is_module {
            continue;
        }
        if let Some(folder) = records {
            write_logs(folder, outcome.logs)?;
        }
        if let Some(violation) = &outcome.violation {
            is_clean = false;
            println!("{violation}");
            outcome.context.iter().for_each(|line| println!("{line}"));
        }
    }
    println!("on simulated servers");
    Ok(is_clean)
}

/// Writes the event logs in the file format of the fronts.
fn write_logs(folder: &Path, logs: Vec<Log>) -> anyhow::Result<()> {
    let bounds = Bounds { max_queued_events: usize::MAX, max_total_bytes: u64::MAX, ..Bounds::default() };
    for log in logs {
        let (front, started) = (log.incarnation.front.clone(), log.incarnation.started_us);
        let on_error = |error| eprintln!("ochrelead-sim: event log not written: {error}");
        let mut recorder = Recorder::start(folder, &front, started, bounds, on_error)
            .with_context(|| folder.display().to_string())?;
        log.for_each(|record| {
            if let Some(what) = record.event.what {
                recorder.record(record.event.at_us, what);
            }
        });
    }
    Ok(())
}
