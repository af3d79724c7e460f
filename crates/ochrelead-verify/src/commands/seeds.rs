//! `seeds`: simulations of fleets of lease engines, with faults drawn from seeds.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use ochrelead_verify::simulation::{self, Finding, Report, Scenario};

use super::run_seeds;

/// Simulates the scenario of each seed, and prints totals over all seeds and the violations found.
pub(crate) fn run(seeds: Range<u64>, scenario: impl Fn(u64) -> Scenario + Sync) -> ExitCode {
    let started = Instant::now();
    let duration_secs = scenario(seeds.start).duration_secs;
    let mut total = Report::default();
    let mut findings: Vec<(u64, Finding)> = Vec::new();
    let mut count: u64 = 0;
    for report in run_seeds(seeds, |seed| simulation::run(scenario(seed))) {
        count += 1;
        add(&mut total, &report.result);
        findings.extend(report.result.finding.map(|finding| (report.seed, finding)));
    }
    total.gaps_ms.sort_unstable();
    let gap_quantile_ms = |share: f64| {
        let index = ((total.gaps_ms.len() as f64 - 1.0) * share) as usize;
        total.gaps_ms.get(index).copied().unwrap_or(0)
    };
    let simulations = count.max(1) as f64;
    println!(
        "{count} days, {} events, {:.1} s; {} leases, held {:.3} of the time, {} acts, {} refused",
        total.events,
        started.elapsed().as_secs_f64(),
        total.leases,
        total.held_share / simulations,
        total.acts,
        total.refused_acts
    );
    println!(
        "without a holder, ms: median {}, 95 in 100 {}, longest {}",
        gap_quantile_ms(0.5),
        gap_quantile_ms(0.95),
        gap_quantile_ms(1.0)
    );
    let messages_per_second = total.messages as f64 / simulations / duration_secs.max(1) as f64;
    println!("words a second over the fleet: {messages_per_second:.2}");
    for (seed, finding) in &findings {
        println!("found: seed {seed}: {finding}");
    }
    if findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Adds a report to the totals.
fn add(total: &mut Report, report: &Report) {
    total.events += report.events;
    total.messages += report.messages;
    total.acts += report.acts;
    total.refused_acts += report.refused_acts;
    total.leases += report.leases;
    total.held_share += report.held_share;
    total.gaps_ms.extend(&report.gaps_ms);
}
