//! The program `ochrelead-sim`.

use std::collections::BTreeMap;
use std::fs;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

use anyhow::{Context, bail};
use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use ochrelead_config::document::Document;
use ochrelead_config::scenario::{self, Scenario};
use ochrelead_event_log::reader::Log;
use ochrelead_event_log::writer::{Bounds, Recorder};
use ochrelead_scenario::detection::{self, DetectionTally};
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::books::Violation;
use ochrelead_sim::experiment::{self, Experiment};
use ochrelead_sim::play::{Outcome, play};
use ochrelead_sim::schedule::{self, Sheet};
use ochrelead_sim::shrink::shrink;
use ochrelead_sim::world::{self, Keep};

/// Plays days with the front's own engines on a virtual clock: seeded faults, exact replay.
///
/// Exits with 0 where nothing was found, 1 where something was, 2 for usage and settings.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  ochrelead-sim explore --seeds 0..10000\n  ochrelead-sim replay 4711 --trace trace.txt\n  \
    ochrelead-sim shrink 4711 --out found.textproto\n  ochrelead-sim play scenarios/bad-day.textproto"
)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play the days of many seeds on all cores
    Explore {
        /// From, and up to but not with
        #[arg(long, value_name = "A..B", value_parser = range)]
        seeds: Range<u64>,
        #[arg(long, default_value_t = 0, value_name = "COUNT", help = "Threads; 0 for one per core")]
        threads: usize,
    },
    /// Play one seed's day again, or a schedule's file, and tell what happened
    Replay {
        /// A seed, or a file
        of: String,
        /// Every event, one line each
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
        /// Stop at this event
        #[arg(long)]
        step: Option<u64>,
    },
    /// The fewest faults that still break the same thing
    Shrink {
        of: String,
        /// Where the schedule goes
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Play a scripted day with all policies
    Play {
        day: PathBuf,
        /// Where the module's fronts leave their records, for report and console
        #[arg(long, value_name = "DIR")]
        records: Option<PathBuf>,
        /// Leave out the textbooks
        #[arg(long)]
        alone: bool,
    },
    /// How well the diagnosis finds what the scripts of days did, over many seeds
    Found {
        #[arg(required = true)]
        days: Vec<PathBuf>,
        #[arg(long, value_name = "A..B", value_parser = range)]
        seeds: Range<u64>,
        /// Set the fronts' clocks wrong and cut out a tenth of the records first
        #[arg(long)]
        marred: bool,
    },
    /// Play a grid of days and write what came of it
    Experiment {
        grid: PathBuf,
        /// The table; plots go beside it
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
}

fn range(text: &str) -> Result<Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("two seeds with .. between")?;
    let read = |text: &str| text.parse::<u64>().map_err(|error| format!("{text}: {error}"));
    Ok(read(from)?..read(to)?)
}

fn main() -> ExitCode {
    let done = match Line::parse().what {
        What::Explore { seeds, threads } => explore(seeds, threads),
        What::Replay { of, trace, step } => replay(&of, trace.as_deref(), step),
        What::Shrink { of, out } => shrunk(&of, &out),
        What::Play { day, records, alone } => compare(&day, records.as_deref(), alone),
        What::Found { days, seeds, marred } => found(&days, seeds, marred),
        What::Experiment { grid, out } => tried(&grid, &out),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ochrelead-sim: {error:#}");
            ExitCode::from(2)
        }
    }
}

/// A seed's schedule, or a file's.
fn sheet(of: &str) -> anyhow::Result<Sheet> {
    if let Ok(seed) = of.parse() {
        return Ok(schedule::drawn(seed));
    }
    let told = |complaints: Vec<ochrelead_config::diagnostic::Diagnostic>| {
        let lines: Vec<String> = complaints.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    };
    let (sheet, text) = Document::open::<Sheet>(Path::new(of), "Day").map_err(told)?;
    text.finish(sheet).map_err(told)
}

fn outcome(sheet: &Sheet, trace: bool) -> anyhow::Result<Outcome> {
    let day = schedule::read(sheet).map_err(anyhow::Error::msg)?;
    let keep = Keep { sights: true, trace, records: false };
    play(&day, PolicyKind::Controller, keep).map_err(anyhow::Error::msg)
}

fn explore(seeds: Range<u64>, threads: usize) -> anyhow::Result<bool> {
    let cores = thread::available_parallelism().map_or(1, |own| own.get());
    let threads = if threads == 0 { cores } else { threads };
    let bar = ProgressBar::new(seeds.end.saturating_sub(seeds.start));
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} seeds, {eta} to go")?);
    let (next, steps) = (AtomicU64::new(seeds.start), AtomicU64::new(0));
    let found: Mutex<Vec<(u64, Violation)>> = Mutex::new(Vec::new());
    let failed: Mutex<Option<anyhow::Error>> = Mutex::new(None);
    let (began, simulated) = (Instant::now(), AtomicU64::new(0));
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    match outcome(&schedule::drawn(seed), false) {
                        Ok(outcome) => {
                            steps.fetch_add(outcome.steps, Ordering::Relaxed);
                            simulated.fetch_add(outcome.seconds as u64, Ordering::Relaxed);
                            if let Some(wrong) = outcome.violation {
                                bar.suspend(|| println!("seed {seed}: {wrong}"));
                                found.lock().unwrap_or_else(|own| own.into_inner()).push((seed, wrong));
                            }
                        }
                        Err(error) => *failed.lock().unwrap_or_else(|own| own.into_inner()) = Some(error),
                    }
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    if let Some(error) = failed.into_inner().unwrap_or_else(|own| own.into_inner()) {
        return Err(error);
    }
    let mut found = found.into_inner().unwrap_or_else(|own| own.into_inner());
    found.sort_by_key(|(seed, _)| *seed);
    let spent = began.elapsed().as_secs_f64().max(1e-3);
    let count = seeds.end.saturating_sub(seeds.start);
    println!(
        "{count} seeds, {} events; {} broken; {:.0} seeds a minute and core, {:.0} simulated seconds in one and core",
        steps.load(Ordering::Relaxed),
        found.len(),
        count as f64 / spent * 60.0 / threads as f64,
        simulated.load(Ordering::Relaxed) as f64 / spent / threads as f64,
    );
    for (seed, wrong) in &found {
        println!("seed {seed}: {}; ochrelead-sim replay {seed} --step {}", wrong.kind, wrong.step);
    }
    Ok(found.is_empty())
}

fn replay(of: &str, trace: Option<&Path>, step: Option<u64>) -> anyhow::Result<bool> {
    let sheet = sheet(of)?;
    let outcome = outcome(&sheet, trace.is_some() || step.is_some())?;
    if let Some(path) = trace {
        fs::write(path, &outcome.trace).with_context(|| path.display().to_string())?;
    }
    if let Some(step) = step {
        let until = |line: &&str| {
            line.split(' ').next().and_then(|own| own.parse().ok()).is_some_and(|own: u64| own <= step)
        };
        let lines: Vec<&str> = outcome.trace.lines().filter(until).collect();
        lines[lines.len().saturating_sub(60)..].iter().for_each(|line| println!("{line}"));
    }
    println!("{} events, sum {:08x}, service {:.3}", outcome.steps, outcome.sum, outcome.service.overall);
    let Some(wrong) = &outcome.violation else {
        println!("all rules kept, all books balance; on simulated servers");
        return Ok(true);
    };
    println!("{wrong}");
    outcome.last.iter().for_each(|line| println!("{line}"));
    Ok(false)
}

fn shrunk(of: &str, out: &Path) -> anyhow::Result<bool> {
    let sheet = sheet(of)?;
    let Some(wrong) = outcome(&sheet, false)?.violation else { bail!("{of}: nothing is broken") };
    let same = |candidate: &Sheet| {
        outcome(candidate, false).is_ok_and(|own| own.violation.is_some_and(|own| own.kind == wrong.kind))
    };
    let (least, tries) = shrink(&sheet, 400, same);
    fs::write(out, format!("# {wrong}\n{}", schedule::written(&least)))
        .with_context(|| out.display().to_string())?;
    println!("{wrong}\n{} faults left of {}, after {tries} days", least.trouble.len(), sheet.trouble.len());
    Ok(true)
}

fn scripted(path: &Path) -> anyhow::Result<Scenario> {
    scenario::open(path).map_err(|complaints| {
        let lines: Vec<String> = complaints.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("{}", lines.join("\n"))
    })
}

/// Writes the records as the fronts themselves would have.
fn write_logs(folder: &Path, logs: Vec<Log>) -> anyhow::Result<()> {
    let bounds = Bounds { max_queued_events: usize::MAX, max_total_bytes: u64::MAX, ..Bounds::default() };
    for log in logs {
        let (front, started) = (log.incarnation.front.clone(), log.incarnation.started_us);
        let complain = |error| eprintln!("ochrelead-sim: {error}");
        let mut recorder = Recorder::start(folder, &front, started, bounds, complain)
            .with_context(|| folder.display().to_string())?;
        log.for_each(|record| {
            if let Some(what) = record.event.what {
                recorder.record(record.event.at_us, what);
            }
        });
    }
    Ok(())
}

fn found(days: &[PathBuf], seeds: Range<u64>, marred: bool) -> anyhow::Result<bool> {
    let mut jobs = Vec::new();
    for path in days {
        let day = scripted(path)?;
        jobs.extend(seeds.clone().map(|seed| Scenario { seed, ..day.clone() }));
    }
    let keep = Keep { records: true, ..Keep::default() };
    let made = over_all(&jobs, |day| {
        let outcome = play(day, PolicyKind::Controller, keep).map_err(anyhow::Error::msg)?;
        let start = world::START + world::LEAD;
        Ok(detection::compare_logs(day, outcome.logs, start, marred.then_some(day.seed)))
    })?;
    let mut tally: BTreeMap<_, DetectionTally> = BTreeMap::new();
    made.iter().for_each(|own| detection::add_to_tallies(&mut tally, own));
    println!("{} days; onset off: middle, and nine in ten", jobs.len());
    println!(
        "{:<38} {:>8} {:>6} {:>9} {:>7} {:>10}",
        "kind", "scripted", "found", "invented", "middle", "nine in 10"
    );
    for (kind, DetectionTally { scripted, detected, false_positives, onset_errors }) in &mut tally {
        onset_errors.sort_by(f64::total_cmp);
        let at = |share: f64| {
            onset_errors.get((onset_errors.len() as f64 * share) as usize).copied().unwrap_or(0.0)
        };
        println!(
            "{:<38} {scripted:>8} {detected:>6} {false_positives:>9} {:>5.1} s {:>8.1} s",
            kind.name(),
            at(0.5),
            at(0.9)
        );
    }
    println!("on simulated servers");
    Ok(tally.values().all(|own| own.detected == own.scripted && own.false_positives == 0))
}

fn tried(grid: &Path, out: &Path) -> anyhow::Result<bool> {
    let experiment = Experiment::open(grid)?;
    let cases = experiment.cases();
    let runs = over_all(&cases, |case| case.play().map_err(anyhow::Error::msg))?;
    let table = experiment::write(out, &cases, &runs).with_context(|| out.display().to_string())?;
    let points = experiment::points(&cases, &runs);
    println!(
        "{:<12} {:>10} {:>8} {:>8} {:>8} {:>22} {:>8}",
        "policy", "sessions/s", "fronts", "servers", "repeats", "service (95 in 100)", "kept"
    );
    for own in &points {
        let range = format!("{:.3} ({:.3} to {:.3})", own.mean, own.low, own.high);
        println!(
            "{:<12} {:>10.1} {:>8} {:>8} {:>8} {range:>22} {:>8}",
            own.policy, own.rate, own.fronts, own.servers, own.repeats, own.kept
        );
    }
    experiment::plot(&out.with_extension("svg"), &points)?;
    println!("{table} runs, on simulated servers");
    Ok(true)
}

/// Does the same for all of some things, on all cores; the outcomes in the order of the things.
fn over_all<T: Sync, R: Send>(
    things: &[T],
    each: impl Fn(&T) -> anyhow::Result<R> + Sync,
) -> anyhow::Result<Vec<R>> {
    let cores = thread::available_parallelism().map_or(1, |own| own.get());
    let bar = ProgressBar::new(things.len() as u64);
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} days, {eta} to go")?);
    let (next, done) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                loop {
                    let nth = next.fetch_add(1, Ordering::Relaxed) as usize;
                    let Some(thing) = things.get(nth) else { return };
                    let outcome = each(thing);
                    done.lock().unwrap_or_else(|own| own.into_inner()).push((nth, outcome));
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut done = done.into_inner().unwrap_or_else(|own| own.into_inner());
    done.sort_by_key(|(nth, _)| *nth);
    done.into_iter().map(|(_, outcome)| outcome).collect()
}

fn compare(path: &Path, records: Option<&Path>, alone: bool) -> anyhow::Result<bool> {
    let day = scripted(path)?;
    let mut kept = true;
    println!(
        "{:<12} {:>7} {:>11} {:>9} {:>12} {:>10}",
        "service", "whole", "worst 10 s", "events", "rules", "x real"
    );
    for (name, deciding) in PolicyKind::ALL.into_iter().take(if alone { 1 } else { 3 }) {
        let began = Instant::now();
        let own = deciding == PolicyKind::Controller;
        let keep = Keep { sights: true, records: own && records.is_some(), trace: false };
        let outcome = play(&day, deciding, keep).map_err(anyhow::Error::msg)?;
        let faster = outcome.seconds / began.elapsed().as_secs_f64().max(1e-3);
        let rules = outcome.violation.as_ref().map_or("kept".to_owned(), |own| own.kind.clone());
        let (whole, worst) = (outcome.service.overall, outcome.service.worst_window);
        println!("{name:<12} {whole:>7.3} {worst:>11.3} {:>9} {rules:>12} {faster:>10.1}", outcome.steps);
        if deciding == PolicyKind::Controller {
            kept = outcome.violation.is_none();
            if let Some(folder) = records {
                write_logs(folder, outcome.logs.clone())?;
            }
            if let Some(wrong) = &outcome.violation {
                println!("{wrong}");
                outcome.last.iter().for_each(|line| println!("{line}"));
            }
        }
    }
    println!("on simulated servers");
    Ok(kept)
}
