//! The subcommands: each runs simulations, prints the results and returns whether the run counts as a success.

pub(crate) mod diagnosis;
pub(crate) mod experiment;
pub(crate) mod explore;
pub(crate) mod play;
pub(crate) mod replay;
pub(crate) mod shrink;

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use indicatif::{ProgressBar, ProgressStyle};
use ochrelead_config::document::Document;
use ochrelead_config::scenario::{self, Scenario};
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::error::InvalidDocument;
use ochrelead_sim::generator::{self, ScenarioFile};
use ochrelead_sim::run::{self, Outcome};
use ochrelead_sim::world::RecordingOptions;

/// Returns the number of threads that the machine can run in parallel.
pub(crate) fn available_threads() -> usize {
    thread::available_parallelism().map_or(1, usize::from)
}

/// Returns the scenario generated from a seed if `source` is a number, or else read from the file `source`.
pub(crate) fn generated_scenario(source: &str) -> anyhow::Result<ScenarioFile> {
    if let Ok(seed) = source.parse() {
        return Ok(generator::generate(seed));
    }
    let (scenario, document) =
        Document::open::<ScenarioFile>(Path::new(source), "Day").map_err(InvalidDocument::from)?;
    Ok(document.finish(scenario).map_err(InvalidDocument::from)?)
}

/// Reads a scripted scenario from a file.
pub(crate) fn scripted_scenario(path: &Path) -> anyhow::Result<Scenario> {
    Ok(scenario::open(path).map_err(InvalidDocument::from)?)
}

/// Simulates a scenario with the module's policy and checks all invariants.
pub(crate) fn check(file: &ScenarioFile, trace: bool) -> anyhow::Result<Outcome> {
    let options = RecordingOptions { datagrams: true, trace, event_logs: false };
    Ok(run::run(&generator::parse(file)?, PolicyKind::Controller, options)?)
}

/// Calls `run` for each index below `count` on several threads, with a progress bar that counts `unit`s. Returns the
/// results ordered by index.
pub(crate) fn parallel_map<R: Send>(
    count: u64,
    threads: usize,
    unit: &str,
    run: impl Fn(u64, &ProgressBar) -> anyhow::Result<R> + Sync,
) -> anyhow::Result<Vec<R>> {
    let bar = ProgressBar::new(count);
    bar.set_style(ProgressStyle::with_template(&format!(
        "{{bar:40}} {{pos}}/{{len}} {unit}, {{eta}} to go"
    ))?);
    let (next, results) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    let worker = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            if index >= count {
                return;
            }
            let result = run(index, &bar);
            results.lock().unwrap_or_else(PoisonError::into_inner).push((index, result));
            bar.inc(1);
        }
    };
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(worker);
        }
    });
    bar.finish_and_clear();
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
