//! The program `ochrelead-verify`.

use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use clap::{Parser, Subcommand};
use ochrelead_verify::districts;
use ochrelead_verify::emulate::{Day, Shown, play};
use ochrelead_verify::explore::{Scene, explore};
use ochrelead_verify::fleet::{self, Blow, Course};
use ochrelead_verify::processes::{self, Rig};

/// Proof of what fronts do together: leases are never held twice, whatever happens between the fronts.
///
/// Exit: 0 all held, 1 something was found, 2 usage.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:
  ochrelead-verify explore --depth 13
  ochrelead-verify explore --voters 5 --candidates 3 --fronts 5 --depth 11
  ochrelead-verify seeds 0..10000
  ochrelead-verify seeds 0..20 --fronts 2000 --calm"
)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Go through every order of a few events over the engines themselves
    Explore {
        /// Fronts that vote
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=64))]
        voters: u32,
        /// Fronts that want the task
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=64))]
        candidates: u32,
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=64))]
        fronts: u32,
        /// Steps from the start
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u8).range(1..))]
        depth: u8,
        /// Steps of time, of which a lease has four
        #[arg(long, default_value_t = 6)]
        ticks: u8,
        #[arg(long, default_value_t = 1)]
        restarts: u8,
        #[arg(long, default_value_t = 1)]
        doubles: u8,
        #[arg(long, default_value_t = 1)]
        leaves: u8,
        /// States at the most
        #[arg(long, default_value_t = 200_000_000)]
        most: u64,
    },
    /// What a fleet's talk costs, and how soon a lease is held again after each blow, on a virtual clock
    Costs {
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(2..))]
        fronts: u32,
        /// Servers that fell silent
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..))]
        servers: u32,
        #[arg(long, default_value_t = 60)]
        secs: u64,
        /// How often each blow is dealt
        #[arg(long, default_value_t = 20)]
        times: u64,
    },
    /// Several processes of the program, a relay between them, faults from a seed: one after the other, for long
    Play {
        /// The program
        #[arg(long, default_value = "target/release/ochrelead-front")]
        front: PathBuf,
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u32).range(2..=20))]
        fronts: u32,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Faults at the most
        #[arg(long, default_value_t = 20)]
        faults: u32,
    },
    /// Play fleets with servers and callers whose districts fail and return, on a virtual clock; with and without acting
    /// together on the same days
    Districts {
        /// Which seeds, as in 0..100
        #[arg(value_parser = range)]
        seeds: Range<u64>,
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(8..))]
        fronts: u32,
        #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u32).range(8..))]
        servers: u32,
        /// Days on which no district may be left: all slow, overload, a few bad servers, a front cut off
        #[arg(long)]
        harmless: bool,
        /// Each day's course beside: a line each half second with the service and the share in force
        #[arg(long)]
        course: bool,
    },
    /// Play fleets on a virtual clock, with faults drawn from seeds
    Seeds {
        /// Which seeds, as in 0..1000
        #[arg(value_parser = range)]
        seeds: Range<u64>,
        /// Fronts of each fleet; 7 to 300 by the seed where none is given
        #[arg(long, value_parser = clap::value_parser!(u32).range(2..))]
        fronts: Option<u32>,
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..))]
        tasks: u64,
        /// How long each day lasts, in seconds
        #[arg(long, default_value_t = 60)]
        secs: u64,
        /// No faults: what it costs
        #[arg(long)]
        calm: bool,
    },
}

fn range(text: &str) -> Result<Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("two numbers with .. between")?;
    let number = |text: &str| text.parse::<u64>().map_err(|error| format!("{text:?}: {error}"));
    let seeds = number(from)?..number(to)?;
    if seeds.is_empty() { Err(format!("{text}: no seed between")) } else { Ok(seeds) }
}

fn cores() -> usize {
    thread::available_parallelism().map_or(1, usize::from)
}

fn main() -> ExitCode {
    match Line::parse().what {
        What::Explore { voters, candidates, fronts, depth, ticks, restarts, doubles, leaves, most } => {
            let fronts = fronts.max(voters).max(candidates);
            let scene =
                Scene { voters, candidates, fronts, ticks, restarts, doubles, leaves, depth, mistake: None };
            let begun = Instant::now();
            let outcome = explore(&scene, most, cores());
            let whole = if outcome.states >= most { "stopped there" } else { "complete" };
            println!(
                "{} states to depth {depth}, {whole}, {:.1} s",
                outcome.states,
                begun.elapsed().as_secs_f64()
            );
            match outcome.found {
                None => ExitCode::SUCCESS,
                Some(found) => {
                    println!("found: {}\n{:?}", found.what, found.steps);
                    ExitCode::FAILURE
                }
            }
        }
        What::Costs { fronts, servers, secs, times } => costs(fronts, servers, secs, times),
        What::Play { front, fronts, seed, faults } => {
            let folder = std::env::temp_dir().join(format!("ochrelead-verify-{seed}-{}", std::process::id()));
            let host = (std::process::id() % 250) as u8 + 1;
            let played = match Rig::start(&front, &folder, fronts, [80, host], |_| Vec::new()) {
                Ok(mut rig) => processes::play(&mut rig, seed, faults),
                Err(error) => {
                    eprintln!("ochrelead-verify: {fronts} processes of {}: {error}", front.display());
                    return ExitCode::from(2);
                }
            };
            match played {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    println!("found: {error}");
                    ExitCode::FAILURE
                }
            }
        }
        What::Districts { seeds, fronts, servers, harmless, course } => {
            let day = |seed| {
                let draw = if harmless { districts::Day::harmless } else { districts::Day::failing };
                draw(seed, fronts, servers)
            };
            of_districts(seeds, day, course)
        }
        What::Seeds { seeds, fronts, tasks, secs, calm } => {
            let size =
                |seed: u64| fronts.unwrap_or(if seed % 10 == 0 { 300 } else { 7 + (seed % 13) as u32 });
            many(seeds, |seed| Day { seed, fronts: size(seed), tasks, secs, calm, mistake: None })
        }
    }
}

fn costs(fronts: u32, servers: u32, secs: u64, times: u64) -> ExitCode {
    let course =
        |seed, together, answers, blow| Course { fronts, servers, secs, seed, answers, together, blow };
    for (together, answers) in [(false, true), (true, true), (true, false)] {
        let costs = fleet::play(course(1, together, answers, Blow::None));
        let rate = |count: u64| count as f64 / costs.secs;
        println!(
            "{fronts} fronts, {servers} silent servers that {}, {}: datagrams a second {:.2} each, {:.0} in all; bytes \
             a second {:.0} each, {:.0} in all; tests a second under a lease {:.2}, by fronts for themselves {:.1}; \
             processor {:.2} ms a second each",
            if answers { "answer tests" } else { "answer nothing" },
            if together { "together" } else { "alone" },
            rate(costs.datagrams) / f64::from(fronts),
            rate(costs.datagrams),
            rate(costs.bytes) / f64::from(fronts),
            rate(costs.bytes),
            rate(costs.sounded),
            rate(costs.own_tests),
            costs.cpu.as_secs_f64() * 1e3 / costs.secs / f64::from(fronts),
        );
    }
    for blow in [Blow::Killed, Blow::Halted, Blow::HandsBack, Blow::MajorityBack, Blow::VotersAnew] {
        let (next, gaps) = (AtomicU64::new(0), Mutex::new(Vec::new()));
        thread::scope(|scope| {
            for _ in 0..cores() {
                scope.spawn(|| {
                    loop {
                        let nth = next.fetch_add(1, Ordering::Relaxed);
                        if nth >= times {
                            return;
                        }
                        let secs = 20 + nth % 4;
                        let gap = fleet::play(Course { secs, ..course(100 + nth, true, false, blow) }).gap;
                        gaps.lock().expect("no panic under the lock").push(gap.unwrap_or(u64::MAX));
                    }
                });
            }
        });
        let mut gaps = gaps.into_inner().expect("all have ended");
        gaps.sort_unstable();
        println!(
            "{blow:?}: without a holder, ms: median {:?}, worst of {times} {:?}",
            gaps.get(gaps.len() / 2),
            gaps.last()
        );
    }
    ExitCode::SUCCESS
}

/// A figure of a day.
type Figure<'a, T> = &'a dyn Fn(&districts::Shown) -> T;

fn of_districts(seeds: Range<u64>, day: impl Fn(u64) -> districts::Day + Sync, course: bool) -> ExitCode {
    let (next, shown) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    let begun = Instant::now();
    thread::scope(|scope| {
        for _ in 0..cores() {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let day = day(seed);
                    let alone = districts::play(&districts::Day { together: false, ..day.clone() });
                    let pair = (seed, day.clone(), alone, districts::play(&day));
                    shown.lock().expect("no panic under the lock").push(pair);
                }
            });
        }
    });
    let mut shown = shown.into_inner().expect("all have ended");
    shown.sort_by_key(|(seed, ..)| *seed);
    println!("{} days twice, {:.1} s", shown.len(), begun.elapsed().as_secs_f64());
    let mean = |of: Figure<f64>, together: bool| {
        let own = shown.iter().map(|(.., alone, with)| of(if together { with } else { alone }));
        own.sum::<f64>() / shown.len() as f64
    };
    let more: Vec<f64> = shown.iter().map(|(.., alone, with)| with.served - alone.served).collect();
    let gain = more.iter().sum::<f64>() / more.len() as f64;
    let spread = more.iter().map(|own| (own - gain).powi(2)).sum::<f64>() / (more.len().max(2) - 1) as f64;
    let error = (spread / more.len() as f64).sqrt();
    let rows: [(&str, Figure<f64>); 5] = [
        ("value served", &|own| own.served),
        ("INVITEs to dead districts", &|own| own.lost as f64),
        ("cold servers that fell", &|own| own.falls as f64),
        ("datagrams a day", &|own| own.datagrams as f64),
        ("their bytes", &|own| own.bytes as f64),
    ];
    for (name, of) in rows {
        println!("{name}: alone {:.3}, together {:.3}", mean(of, false), mean(of, true));
    }
    println!("more served together: {gain:.4}, standard error {error:.4}");
    let spans: [(&str, Figure<Option<u64>>); 4] = [
        ("nine in ten fronts have left", &|own| own.nine_in_ten_ms),
        ("the last front has left", &|own| own.last_ms),
        ("from the first front that heard to the last", &|own| own.spread_ms),
        ("whole again after the return", &|own| own.whole_ms),
    ];
    for (name, of) in spans {
        for (how, together) in [("alone", false), ("together", true)] {
            let mut own: Vec<u64> = shown
                .iter()
                .filter_map(|(.., alone, with)| of(if together { with } else { alone }))
                .collect();
            own.sort_unstable();
            if !own.is_empty() {
                let worst = own[own.len() - 1];
                let nine = own[own.len() * 9 / 10];
                println!(
                    "{name}, {how}, ms: median {}, nine in ten {nine}, worst {worst}, of {}",
                    own[own.len() / 2],
                    own.len()
                );
            }
        }
    }
    if course {
        for (seed, _, alone, with) in &shown {
            for (nth, ((at, of), (_, other))) in alone.course.iter().zip(&with.course).enumerate() {
                let share = with.shares.get(nth).copied();
                println!("seed {seed} {at:.1} s: alone {of:.3}, together {other:.3}, share {share:?}");
            }
        }
    }
    let mut found = 0;
    for (seed, day, _, with) in &shown {
        if let Some(what) = &with.found {
            found += 1;
            println!("found: seed {seed}: {what}; {:?}", day.troubles);
        }
    }
    if found == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn many(seeds: Range<u64>, day: impl Fn(u64) -> Day + Sync) -> ExitCode {
    let (next, count) = (AtomicU64::new(seeds.start), seeds.end.saturating_sub(seeds.start));
    let (sum, found) = (Mutex::new(Shown::default()), Mutex::new(Vec::new()));
    let (begun, fleet) = (Instant::now(), day(seeds.start));
    thread::scope(|scope| {
        for _ in 0..cores() {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let shown = play(day(seed));
                    let mut sum = sum.lock().expect("no panic under the lock");
                    (sum.events, sum.words) = (sum.events + shown.events, sum.words + shown.words);
                    (sum.acts, sum.refused) = (sum.acts + shown.acts, sum.refused + shown.refused);
                    (sum.leases, sum.held) = (sum.leases + shown.leases, sum.held + shown.held);
                    sum.gaps.extend(shown.gaps);
                    if let Some(what) = shown.found {
                        found.lock().expect("no panic under the lock").push((seed, what));
                    }
                }
            });
        }
    });
    let (mut sum, found) =
        (sum.into_inner().expect("all have ended"), found.into_inner().expect("all have ended"));
    sum.gaps.sort_unstable();
    let at =
        |share: f64| sum.gaps.get(((sum.gaps.len() as f64 - 1.0) * share) as usize).copied().unwrap_or(0);
    let all = count.max(1) as f64;
    println!(
        "{count} days, {} events, {:.1} s; {} leases, held {:.3} of the time, {} acts, {} refused",
        sum.events,
        begun.elapsed().as_secs_f64(),
        sum.leases,
        sum.held / all,
        sum.acts,
        sum.refused
    );
    println!("without a holder, ms: median {}, 95 in 100 {}, longest {}", at(0.5), at(0.95), at(1.0));
    println!("words a second over the fleet: {:.2}", sum.words as f64 / all / fleet.secs.max(1) as f64);
    for (seed, what) in &found {
        println!("found: seed {seed}: {what}");
    }
    if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
