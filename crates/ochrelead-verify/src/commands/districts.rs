//! `districts`: simulations of fleets whose zones fail and return, with and without acting together.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use ochrelead_verify::zones::outcome::Outcome;
use ochrelead_verify::zones::scenario::Scenario;
use ochrelead_verify::zones::simulate;

use super::{Seeded, run_seeds};

/// One scenario, with each front alone and with all acting together.
struct Comparison {
    scenario: Scenario,
    alone: Outcome,
    together: Outcome,
}

/// A figure of an outcome.
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
    has_course: bool,
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
    if has_course {
        comparisons.iter().for_each(print_course);
    }
    let mut is_clean = true;
    for Seeded { seed, result } in &comparisons {
        if let Some(violation) = &result.together.violation {
            is_clean = false;
            println!("found: seed {seed}: {violation}; {:?}", result.scenario.faults);
        }
    }
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
    let squares = gains.iter().map(|gain| (gain - mean).powi(2)).sum::<f64>();
    let variance = squares / (gains.len().max(2) - 1) as f64;
    let error = (variance / gains.len() as f64).sqrt();
    println!("more served together: {mean:.4}, standard error {error:.4}");
}

fn print_duration(name: &str, how: &str, mut durations_ms: Vec<u64>) {
    durations_ms.sort_unstable();
    let count = durations_ms.len();
    if let Some(worst) = durations_ms.last() {
        let (median, nine_in_ten) = (durations_ms[count / 2], durations_ms[count * 9 / 10]);
        println!("{name}, {how}, ms: median {median}, nine in ten {nine_in_ten}, worst {worst}, of {count}");
    }
}

/// A line for each half second, with the service and the share in force.
fn print_course(Seeded { seed, result }: &Seeded<Comparison>) {
    let courses = result.alone.served_over_time.iter().zip(&result.together.served_over_time);
    for (index, (alone, together)) in courses.enumerate() {
        let share = result.together.zone_shares.get(index).copied();
        let (at, alone, together) = (alone.start_seconds, alone.share, together.share);
        println!("seed {seed} {at:.1} s: alone {alone:.3}, together {together:.3}, share {share:?}");
    }
}
