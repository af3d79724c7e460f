//! `experiment`: simulates a grid of scenarios and writes a result table and a plot.

use std::path::Path;

use anyhow::Context;
use ochrelead_sim::experiment::plot::write_plot;
use ochrelead_sim::experiment::results::{summarize, write_table};
use ochrelead_sim::experiment::{Case, Experiment};

use super::{available_threads, parallel_map};

/// Runs an experiment, writes its table to `out` and its plot to the same path with the extension `svg`, and prints the
/// mean of each case.
pub(crate) fn run(grid: &Path, out: &Path) -> anyhow::Result<bool> {
    let cases: Vec<Case> = Experiment::open(grid)?.cases();
    let results = parallel_map(cases.len() as u64, available_threads(), "days", |index, _| {
        Ok(cases[index as usize].run()?)
    })?;
    let rows = write_table(out, &cases, &results).with_context(|| out.display().to_string())?;
    let summaries = summarize(&cases, &results);
    println!(
        "{:<12} {:>10} {:>8} {:>8} {:>8} {:>22} {:>8}",
        "policy", "sessions/s", "fronts", "servers", "repeats", "service (95 in 100)", "kept"
    );
    for summary in &summaries {
        let service = format!("{:.3} ({:.3} to {:.3})", summary.mean, summary.low, summary.high);
        println!(
            "{:<12} {:>10.1} {:>8} {:>8} {:>8} {service:>22} {:>8}",
            summary.policy,
            summary.rate,
            summary.fronts,
            summary.servers,
            summary.repeats,
            summary.clean_runs
        );
    }
    write_plot(&out.with_extension("svg"), &summaries)?;
    println!("{rows} runs, on simulated servers");
    Ok(true)
}
