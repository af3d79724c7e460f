//! `districts`: simulations of fleets whose zones fail and return, with and without coordination among the fronts.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use ochrelead_verify::zones::outcome::Outcome;
use ochrelead_verify::zones::scenario::Scenario;
use ochrelead_verify::zones::simulate;

use super::{Seeded, run_seeds};

/// The outcomes of one scenario without coordination and with it.
struct Comparison {
    scenario: Scenario,
    alone: Outcome,
    together: Outcome,
}

/// Extracts a figure from an outcome.
type Figure<'a, T> = &'a dyn Fn(&Outcome) -> T;

const FIGURES: [(&str, Figure<'_, f64>); 5] = [
    ("value served", &|outcome| outcome.served_share),
    ("INVITEs to dead districts", &|outcome| outcome.lost_invites as f64),
    ("cold servers that fell", &|outcome| outcome.cold_failures as f64),
    ("datagrams a day", &|outcome| outcome.datagrams as f64),
    ("their bytes", &|outcome| outcome.datagram_bytes as f64),
];

const DURATIONS: [(&str, Figure<'_, Option<u64>>); 4] = [
    ("nine in ten fronts have left", &|outcome| outcome.p90_drained_ms),
    ("the last front has left", &|outcome| outcome.last_drained_ms),
    ("from the first front that heard to the last", &|outcome| outcome.verdict_spread_ms),
    ("whole again after the return", &|outcome| outcome.full_use_ms),
];

pub(crate) fn run(
    seeds: Range<u64>,
    scenario: impl Fn(u64) -> Scenario + Sync,
    prints_time_series: bool,
) -> ExitCode {
    let started = Instant::now();
    let comparisons = run_seeds(seeds, |seed| {
        let scenario = scenario(seed);
        let alone = simulate(&Scenario { is_coordinated: false, ..scenario.clone() });
        let together = simulate(&scenario);
        Comparison { scenario, alone, together }
    });
    println!("{} days twice, {:.1} s", comparisons.len(), started.elapsed().as_secs_f64());
    print_figures(&comparisons);
    print_gain(&comparisons);
    for (name, duration) in DURATIONS {
        let alone = comparisons.iter().filter_map(|seeded| duration(&seeded.result.alone));
        print_duration(name, "alone", alone.collect());
        let together = comparisons.iter().filter_map(|seeded| duration(&seeded.result.together));
        print_duration(name, "together", together.collect());
    }
    if prints_time_series {
        comparisons.iter().for_each(print_time_series);
    }
    let mut all_passed = true;
    for Seeded { seed, result } in &comparisons {
        if let Some(violation) = &result.together.violation {
            all_passed = false;
            println!("found: seed {seed}: {violation}; {:?}", result.scenario.faults);
        }
    }
    if all_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_figures(comparisons: &[Seeded<Comparison>]) {
    let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / comparisons.len() as f64;
    for (name, figure) in FIGURES {
        let alone = mean(&mut comparisons.iter().map(|seeded| figure(&seeded.result.alone)));
        let together = mean(&mut comparisons.iter().map(|seeded| figure(&seeded.result.together)));
        println!("{name}: alone {alone:.3}, together {together:.3}");
    }
}

fn print_gain(comparisons: &[Seeded<Comparison>]) {
    let gain =
        |seeded: &Seeded<Comparison>| seeded.result.together.served_share - seeded.result.alone.served_share;
    let gains: Vec<f64> = comparisons.iter().map(gain).collect();
    let mean = gains.iter().sum::<f64>() / gains.len() as f64;
    let sum_of_squares = gains.iter().map(|gain| (gain - mean).powi(2)).sum::<f64>();
    let variance = sum_of_squares / (gains.len().max(2) - 1) as f64;
    let standard_error = (variance / gains.len() as f64).sqrt();
    println!("more served together: {mean:.4}, standard error {standard_error:.4}");
}

fn print_duration(name: &str, mode: &str, mut durations_ms: Vec<u64>) {
    durations_ms.sort_unstable();
    let count = durations_ms.len();
    if let Some(longest) = durations_ms.last() {
        let (median, p90) = (durations_ms[count / 2], durations_ms[count * 9 / 10]);
        println!("{name}, {mode}, ms: median {median}, nine in ten {p90}, worst {longest}, of {count}");
    }
}

/// Prints a line for each half second, with the served share of both runs and the share of traffic that the failed
/// zone may get.
fn print_time_series(Seeded { seed, result }: &Seeded<Comparison>) {
    let time_series = result.alone.served_over_time.iter().zip(&result.together.served_over_time);
    for (index, (alone, together)) in time_series.enumerate() {
        let share = result.together.zone_shares.get(index).copied();
        let (at_seconds, alone, together) = (alone.start_seconds, alone.share, together.share);
        println!("seed {seed} {at_seconds:.1} s: alone {alone:.3}, together {together:.3}, share {share:?}");
    }
}
