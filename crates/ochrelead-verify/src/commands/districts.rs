//! `districts`: simulations of fleets whose zones fail and return, with and without acting together.

use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

use ochrelead_verify::districts::{self, Day, Shown};

use super::{Seeded, run_seeds};

/// One day, with each front alone and with all acting together.
struct Comparison {
    day: Day,
    alone: Shown,
    together: Shown,
}

/// A figure of a day.
type Figure<'a, T> = &'a dyn Fn(&Shown) -> T;

const FIGURES: [(&str, Figure<'_, f64>); 5] = [
    ("value served", &|shown| shown.served),
    ("INVITEs to dead districts", &|shown| shown.lost as f64),
    ("cold servers that fell", &|shown| shown.falls as f64),
    ("datagrams a day", &|shown| shown.datagrams as f64),
    ("their bytes", &|shown| shown.bytes as f64),
];

const DURATIONS: [(&str, Figure<'_, Option<u64>>); 4] = [
    ("nine in ten fronts have left", &|shown| shown.nine_in_ten_ms),
    ("the last front has left", &|shown| shown.last_ms),
    ("from the first front that heard to the last", &|shown| shown.spread_ms),
    ("whole again after the return", &|shown| shown.whole_ms),
];

pub(crate) fn run(seeds: Range<u64>, day: impl Fn(u64) -> Day + Sync, has_course: bool) -> ExitCode {
    let started = Instant::now();
    let comparisons = run_seeds(seeds, |seed| {
        let day = day(seed);
        let alone = districts::play(&Day { together: false, ..day.clone() });
        let together = districts::play(&day);
        Comparison { day, alone, together }
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
        if let Some(what) = &result.together.found {
            is_clean = false;
            println!("found: seed {seed}: {what}; {:?}", result.day.troubles);
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
    let gain = |seeded: &Seeded<Comparison>| seeded.result.together.served - seeded.result.alone.served;
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
    let courses = result.alone.course.iter().zip(&result.together.course);
    for (index, ((at, alone), (_, together))) in courses.enumerate() {
        let share = result.together.shares.get(index).copied();
        println!("seed {seed} {at:.1} s: alone {alone:.3}, together {together:.3}, share {share:?}");
    }
}
