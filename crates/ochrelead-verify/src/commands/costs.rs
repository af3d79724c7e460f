//! `costs`: what coordination costs, and how soon a lease is held again after each fault.

use std::process::ExitCode;

use ochrelead_verify::fleet::{self, Fault, Scenario};

use super::run_seeds;

/// The seed of the scenarios without a fault; those with one have seeds of their own.
const COST_SEED: u64 = 1;
const FIRST_FAULT_SEED: u64 = 100;

pub(crate) fn run(fronts: u32, servers: u32, duration_secs: u64, times: u64) -> ExitCode {
    let scenario = Scenario {
        fronts,
        servers,
        duration_secs,
        seed: COST_SEED,
        servers_answer: true,
        is_coordinated: true,
        fault: None,
    };
    print_costs(Scenario { is_coordinated: false, ..scenario.clone() });
    print_costs(scenario.clone());
    print_costs(Scenario { servers_answer: false, ..scenario.clone() });
    for fault in Fault::ALL {
        print_gaps(&Scenario { servers_answer: false, fault: Some(fault), ..scenario.clone() }, fault, times);
    }
    ExitCode::SUCCESS
}

fn print_costs(scenario: Scenario) {
    let Scenario { fronts, servers, servers_answer, is_coordinated, .. } = scenario;
    let costs = fleet::run(scenario);
    let rate = |count: u64| count as f64 / costs.counted_secs;
    println!(
        "{fronts} fronts, {servers} silent servers that {}, {}: datagrams a second {:.2} each, {:.0} in all; bytes \
         a second {:.0} each, {:.0} in all; tests a second under a lease {:.2}, by fronts for themselves {:.1}; \
         processor {:.2} ms a second each",
        if servers_answer { "answer tests" } else { "answer nothing" },
        if is_coordinated { "together" } else { "alone" },
        rate(costs.datagrams) / f64::from(fronts),
        rate(costs.datagrams),
        rate(costs.bytes) / f64::from(fronts),
        rate(costs.bytes),
        rate(costs.leased_health_checks),
        rate(costs.unleased_health_checks),
        costs.cpu.as_secs_f64() * 1e3 / costs.counted_secs / f64::from(fronts),
    );
}

fn print_gaps(scenario: &Scenario, fault: Fault, times: u64) {
    let gap_ms = |index: u64| {
        let (seed, duration_secs) = (FIRST_FAULT_SEED + index, 20 + index % 4);
        fleet::run(Scenario { seed, duration_secs, ..scenario.clone() }).gap_ms.unwrap_or(u64::MAX)
    };
    let mut gaps: Vec<u64> = run_seeds(0..times, gap_ms).into_iter().map(|gap| gap.result).collect();
    gaps.sort_unstable();
    println!(
        "{fault}: without a holder, ms: median {:?}, worst of {times} {:?}",
        gaps.get(gaps.len() / 2),
        gaps.last()
    );
}
