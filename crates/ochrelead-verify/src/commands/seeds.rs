//! `seeds`: simulations of fleets of lease engines.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use ochrelead_verify::simulation::{self, Finding, Report, Scenario};

use super::run_seeds;

/// Runs the scenarios of all seeds, and prints their sums.
pub(crate) fn run(seeds: Range<u64>, scenario: impl Fn(u64) -> Scenario + Sync) -> ExitCode {
    let started = Instant::now();
    let duration_secs = scenario(seeds.start).duration_secs;
    let mut sum = Report::default();
    let mut findings: Vec<(u64, Finding)> = Vec::new();
    let mut count: u64 = 0;
    for report in run_seeds(seeds, |seed| simulation::run(scenario(seed))) {
        count += 1;
        add(&mut sum, &report.result);
        findings.extend(report.result.finding.map(|finding| (report.seed, finding)));
    }
    sum.gaps_ms.sort_unstable();
    let gap = |share: f64| {
        let index = ((sum.gaps_ms.len() as f64 - 1.0) * share) as usize;
        sum.gaps_ms.get(index).copied().unwrap_or(0)
    };
    let all = count.max(1) as f64;
    println!(
        "{count} days, {} events, {:.1} s; {} leases, held {:.3} of the time, {} acts, {} refused",
        sum.events,
        started.elapsed().as_secs_f64(),
        sum.leases,
        sum.held_share / all,
        sum.acts,
        sum.refused_acts
    );
    println!("without a holder, ms: median {}, 95 in 100 {}, longest {}", gap(0.5), gap(0.95), gap(1.0));
    let messages_per_second = sum.messages as f64 / all / duration_secs.max(1) as f64;
    println!("words a second over the fleet: {messages_per_second:.2}");
    for (seed, finding) in &findings {
        println!("found: seed {seed}: {finding}");
    }
    if findings.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn add(sum: &mut Report, report: &Report) {
    sum.events += report.events;
    sum.messages += report.messages;
    sum.acts += report.acts;
    sum.refused_acts += report.refused_acts;
    sum.leases += report.leases;
    sum.held_share += report.held_share;
    sum.gaps_ms.extend(&report.gaps_ms);
}
