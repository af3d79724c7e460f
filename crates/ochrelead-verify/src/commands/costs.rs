//! `costs`: the cost of coordination, and the time without a lease holder after each fault.

use std::process::ExitCode;

use ochrelead_verify::fleet::{self, Fault, Scenario};

use super::run_seeds;

/// Seed of the scenarios without a fault.
const COST_SEED: u64 = 1;
/// Seed of the first repetition of each fault; later repetitions count up from it.
const FIRST_FAULT_SEED: u64 = 100;

pub(crate) fn run(fronts: u32, servers: u32, duration_secs: u64, repetitions: u64) -> ExitCode {
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
        print_gaps(
            &Scenario { servers_answer: false, fault: Some(fault), ..scenario.clone() },
            fault,
            repetitions,
        );
    }
    ExitCode::SUCCESS
}

fn print_costs(scenario: Scenario) {
    let Scenario { fronts, servers, servers_answer, is_coordinated, .. } = scenario;
    let costs = fleet::run(scenario);
    let rate = |count: u64| count as f64 / costs.counted_secs;
    println!(
        "{fronts} fronts, {servers} silent servers that {}, {}: datagrams/s {:.2} per front, {:.0} \
         in total; bytes/s {:.0} per front, {:.0} in total; health checks/s {:.2} under a lease, {:.1} by fronts \
         individually; CPU {:.2} ms/s per front",
        if servers_answer { "answer health checks" } else { "answer no health checks" },
        if is_coordinated { "coordinated" } else { "uncoordinated" },
        rate(costs.datagrams) / f64::from(fronts),
        rate(costs.datagrams),
        rate(costs.bytes) / f64::from(fronts),
        rate(costs.bytes),
        rate(costs.leased_health_checks),
        rate(costs.unleased_health_checks),
        costs.cpu.as_secs_f64() * 1e3 / costs.counted_secs / f64::from(fronts),
    );
}

fn print_gaps(scenario: &Scenario, fault: Fault, repetitions: u64) {
    let gap_ms = |index: u64| {
        let (seed, duration_secs) = (FIRST_FAULT_SEED + index, 20 + index % 4);
        fleet::run(Scenario { seed, duration_secs, ..scenario.clone() }).gap_ms.unwrap_or(u64::MAX)
    };
    let mut gaps: Vec<u64> = run_seeds(0..repetitions, gap_ms).into_iter().map(|gap| gap.result).collect();
    gaps.sort_unstable();
    println!(
        "{fault}: without a holder, ms: median {:?}, longest of {repetitions} {:?}",
        gaps.get(gaps.len() / 2),
        gaps.last()
    );
}
