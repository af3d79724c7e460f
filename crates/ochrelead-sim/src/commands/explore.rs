//! `explore`: simulates the generated scenarios of a range of seeds.

use std::ops::Range;
use std::time::Instant;

use ochrelead_sim::generator;
use ochrelead_sim::violation::Violation;

use super::{available_threads, check, parallel_map};

/// The result of one seed.
struct SeedResult {
    seed: u64,
    steps: u64,
    simulated_s: u64,
    violation: Option<Violation>,
}

/// Simulates the scenario of each seed and prints the violations. Returns whether there were none. `threads` is 0 for
/// one thread per core.
pub(crate) fn run(seeds: Range<u64>, threads: usize) -> anyhow::Result<bool> {
    let threads = if threads == 0 { available_threads() } else { threads };
    let count = seeds.end.saturating_sub(seeds.start);
    let began = Instant::now();
    let results = parallel_map(count, threads, "seeds", |index, bar| {
        let result = run_seed(seeds.start + index)?;
        if let SeedResult { seed, violation: Some(violation), .. } = &result {
            bar.suspend(|| println!("seed {seed}: {violation}"));
        }
        Ok(result)
    })?;
    let elapsed_s = began.elapsed().as_secs_f64().max(1e-3);
    print_summary(&results, elapsed_s * threads as f64);
    Ok(results.iter().all(|result| result.violation.is_none()))
}

fn run_seed(seed: u64) -> anyhow::Result<SeedResult> {
    let outcome = check(&generator::generate(seed), false)?;
    let (steps, simulated_s) = (outcome.steps, outcome.simulated_s as u64);
    Ok(SeedResult { seed, steps, simulated_s, violation: outcome.violation })
}

fn print_summary(results: &[SeedResult], core_seconds: f64) {
    let steps: u64 = results.iter().map(|result| result.steps).sum();
    let simulated_s: u64 = results.iter().map(|result| result.simulated_s).sum();
    let violations = results.iter().filter_map(|result| Some((result.seed, result.violation.as_ref()?)));
    println!(
        "{} seeds, {steps} events; {} broken; {:.0} seeds a minute and core, {:.0} simulated seconds in one and core",
        results.len(),
        violations.clone().count(),
        results.len() as f64 * 60.0 / core_seconds,
        simulated_s as f64 / core_seconds,
    );
    for (seed, violation) in violations {
        let (kind, step) = (violation.kind(), violation.step);
        println!("seed {seed}: {kind}; ochrelead-sim replay {seed} --step {step}");
    }
}
