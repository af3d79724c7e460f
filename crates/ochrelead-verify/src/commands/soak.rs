//! The `soak` command: runs trials of several node processes, with faults drawn from seeds, and prints their results.

use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use ochrelead_verify::soak::scenario::Scenario;
use ochrelead_verify::soak::trial::{self, TrialReport};
use ochrelead_verify::soak::trial_setup::{TrialConfig, TrialError};

/// Options of the `soak` command.
pub(crate) struct SoakOptions {
    pub(crate) program: PathBuf,
    /// The number of trials that run concurrently.
    pub(crate) parallel: u8,
    pub(crate) folder: PathBuf,
    pub(crate) log_level: String,
    /// The number of nodes in each trial; `None` to draw it from the seed.
    pub(crate) nodes: Option<usize>,
    pub(crate) verbose: bool,
}

/// Results of the trials so far.
#[derive(Default)]
struct Tally {
    trials: usize,
    set_ups: usize,
    failing_seeds: Vec<u64>,
    /// The seeds whose trials could not be run, each with the error.
    errors: Vec<String>,
}

pub(crate) fn run(seeds: Range<u64>, options: &SoakOptions) -> ExitCode {
    let next = AtomicU64::new(seeds.start);
    let tally = Mutex::new(Tally::default());
    thread::scope(|scope| {
        for slot in 0..options.parallel {
            let (next, tally, seeds) = (&next, &tally, &seeds);
            scope.spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let report = run_one(seed, slot, options);
                    if let Ok(mut tally) = tally.lock() {
                        print(seed, &report, options);
                        tally.add(seed, report);
                    }
                }
            });
        }
    });
    let tally = tally.into_inner().unwrap_or_default();
    let failing = tally.failing_seeds.len();
    println!("{} trials, {} set-ups, {failing} trials with violations", tally.trials, tally.set_ups);
    if failing > 0 {
        println!("seeds: {:?}", tally.failing_seeds);
    }
    if !tally.errors.is_empty() {
        eprintln!("ochrelead-verify: trials that could not be run: {}", tally.errors.join("; "));
        return ExitCode::from(2);
    }
    if failing == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

impl Tally {
    fn add(&mut self, seed: u64, report: Result<TrialReport, TrialError>) {
        match report {
            Ok(report) => {
                self.trials += 1;
                self.set_ups += report.set_ups;
                if !report.violations.is_empty() {
                    self.failing_seeds.push(seed);
                }
            }
            Err(error) => self.errors.push(format!("seed {seed}: {error}")),
        }
    }
}

fn run_one(seed: u64, slot: u8, options: &SoakOptions) -> Result<TrialReport, TrialError> {
    let config = TrialConfig {
        log_level: options.log_level.clone(),
        ..TrialConfig::new(&options.program, &options.folder, seed, slot)
    };
    trial::run(&Scenario::draw(seed, options.nodes), &config)
}

fn print(seed: u64, report: &Result<TrialReport, TrialError>, options: &SoakOptions) {
    let Ok(report) = report else { return };
    let (set_ups, stalled) = (report.set_ups, report.stalled);
    let violations = report.violations.len();
    let (nodes, started_unix) = (report.nodes, report.started_unix.as_secs_f64());
    println!(
        "seed {seed}: {nodes} nodes, {set_ups} set-ups, machine stalled for {stalled:?}, {violations} violations"
    );
    if violations > 0 {
        println!("  the times below count from Unix time {started_unix:.3} s");
    }
    for violation in &report.violations {
        print!("  {violation}");
    }
    if options.verbose {
        let scenario = Scenario::draw(seed, options.nodes);
        println!("  deadline {:?}, {:.0} set-ups per second and node", scenario.deadline, scenario.rate);
        scenario.steps.iter().for_each(|step| println!("  step {step:?}"));
        report.history.entries.iter().for_each(|entry| println!("  {entry}"));
    }
}
