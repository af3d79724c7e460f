//! `experiment`: a grid of scenarios, its table and its plot.

use std::path::Path;

use anyhow::Context;
use ochrelead_sim::experiment::plot::write_plot;
use ochrelead_sim::experiment::results::{points, write_table};
use ochrelead_sim::experiment::{Case, Experiment};

use super::{cores, parallel_map};

/// Runs an experiment, writes its table to `out` and its plot beside it, and prints the means.
pub(crate) fn run(grid: &Path, out: &Path) -> anyhow::Result<bool> {
    let cases: Vec<Case> = Experiment::open(grid)?.cases();
    let results =
        parallel_map(cases.len() as u64, cores(), "days", |index, _| Ok(cases[index as usize].run()?))?;
    let rows = write_table(out, &cases, &results).with_context(|| out.display().to_string())?;
    let points = points(&cases, &results);
    println!(
        "{:<12} {:>10} {:>8} {:>8} {:>8} {:>22} {:>8}",
        "policy", "sessions/s", "fronts", "servers", "repeats", "service (95 in 100)", "kept"
    );
    for point in &points {
        let service = format!("{:.3} ({:.3} to {:.3})", point.mean, point.low, point.high);
        println!(
            "{:<12} {:>10.1} {:>8} {:>8} {:>8} {service:>22} {:>8}",
            point.policy, point.rate, point.fronts, point.servers, point.repeats, point.clean_runs
        );
    }
    write_plot(&out.with_extension("svg"), &points)?;
    println!("{rows} runs, on simulated servers");
    Ok(true)
}
