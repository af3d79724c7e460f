//! The program `ochrelead-scenario`.

mod cli;
mod report;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;

use anyhow::Context;
use clap::Parser;
use indicatif::{ProgressBar, ProgressStyle};
use ochrelead_config::scenario::{self, Scenario};
use ochrelead_front::host::FrontPaths;
use ochrelead_scenario::audit::{self, Verdict};
use ochrelead_scenario::capture;
use ochrelead_scenario::detection;
use ochrelead_scenario::invalid_file::InvalidFile;
use ochrelead_scenario::load::{self, LoadStep, Subject};
use ochrelead_scenario::loopback::LoopbackNetwork;
use ochrelead_scenario::policy::PolicyKind;
use ochrelead_scenario::process;
use ochrelead_scenario::runner::{self, ScenarioRun};

use cli::{Arguments, Command, ProcessCommand};

/// The exit code for invalid usage and for all errors other than a rule violation.
const EXIT_ERROR: u8 = 2;

/// The result of a command that ran without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Passed,
    Violated,
}

impl Outcome {
    fn from_passed(passed: bool) -> Outcome {
        if passed { Outcome::Passed } else { Outcome::Violated }
    }
}

fn main() -> ExitCode {
    match execute(Arguments::parse().command) {
        Ok(Outcome::Passed) => ExitCode::SUCCESS,
        Ok(Outcome::Violated) => ExitCode::FAILURE,
        Err(error) => {
            for line in format!("{error:#}").lines() {
                eprintln!("ochrelead-scenario: {line}");
            }
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn execute(command: Command) -> anyhow::Result<Outcome> {
    match command {
        Command::Run { scenario, output, alone } => run(&scenario, &output, alone),
        Command::Audit { capture, scenario } => audit_capture(&capture, &scenario),
        Command::Detection { outputs, corruption_seed } => compare_detection(&outputs, corruption_seed),
        Command::Check { scenarios } => {
            for scenario in &scenarios {
                read_scenario(scenario)?;
            }
            Ok(Outcome::Passed)
        }
        Command::Load { output, seconds, rates } => measure_load(&output, seconds, &rates),
        Command::Process(command) => run_process(command).map(|()| Outcome::Passed),
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, InvalidFile> {
    scenario::open(path).map_err(InvalidFile)
}

fn run_process(command: ProcessCommand) -> anyhow::Result<()> {
    match command {
        ProcessCommand::Front { settings, fleet, state, records, policy, seed } => {
            let policy = PolicyKind::from_name(&policy).with_context(|| {
                format!("--policy {policy}: unknown policy; allowed: module, random, unbounded")
            })?;
            process::run_front(&settings, FrontPaths { fleet, state, event_log: records }, policy, seed)?;
        }
        ProcessCommand::Server { emulator, number, restarted } => {
            let scenario = read_scenario(&emulator.scenario)?;
            process::run_server(&scenario, number, emulator.config(), restarted)?;
        }
        ProcessCommand::Callers { emulator } => {
            process::run_callers(read_scenario(&emulator.scenario)?, emulator.config())?;
        }
        ProcessCommand::Relay { listen, callers, server } => load::run_relay(listen, callers, server)?,
    }
    Ok(())
}

/// Runs a scenario with all policies concurrently, or with the controller only if `alone`, and audits each run.
fn run(scenario_file: &Path, output: &Path, alone: bool) -> anyhow::Result<Outcome> {
    let scenario = read_scenario(scenario_file)?;
    let policies: &[(&str, PolicyKind)] = if alone { &PolicyKind::ALL[..1] } else { &PolicyKind::ALL };
    let runs: Vec<ScenarioRun> = (0..)
        .zip(policies)
        .map(|(index, (name, policy))| ScenarioRun {
            scenario: scenario.clone(),
            scenario_file: scenario_file.to_owned(),
            output: if *policy == PolicyKind::Controller { output.to_owned() } else { output.join(name) },
            network: LoopbackNetwork::new(index),
            policy: *policy,
        })
        .collect();
    run_in_parallel(&runs, scenario.duration.micros() / 1_000)?;
    let mut verdicts = Vec::new();
    for run in &runs {
        let datagrams = capture::read_file(&runner::capture_file(&run.output))?;
        verdicts.push((run.policy, audit::audit(&scenario, &datagrams)));
    }
    report::print_verdict(&verdicts[0].1);
    report::print_policies(&verdicts);
    Ok(outcome(&verdicts[0].1))
}

/// Runs scenarios concurrently, and shows the progress of the first.
fn run_in_parallel(runs: &[ScenarioRun], duration_ms: u64) -> anyhow::Result<()> {
    let bar = ProgressBar::new(duration_ms);
    bar.set_style(ProgressStyle::with_template("{bar:40} {pos}/{len} ms of the scenario")?);
    thread::scope(|scope| {
        let running: Vec<_> = runs
            .iter()
            .enumerate()
            .map(|(index, run)| {
                let bar = bar.clone();
                let on_progress = move |ms| {
                    if index == 0 {
                        bar.set_position(ms);
                    }
                };
                scope.spawn(move || run.run(on_progress))
            })
            .collect();
        for run in running {
            run.join().map_err(|_| anyhow::anyhow!("the thread of a scenario run panicked"))??;
        }
        Ok::<(), anyhow::Error>(())
    })?;
    bar.finish_and_clear();
    Ok(())
}

fn audit_capture(capture: &Path, scenario: &Path) -> anyhow::Result<Outcome> {
    let scenario = read_scenario(scenario)?;
    let verdict = audit::audit(&scenario, &capture::read_file(capture)?);
    report::print_verdict(&verdict);
    report::print_service_level_series(&verdict.service_level);
    Ok(outcome(&verdict))
}

fn outcome(verdict: &Verdict) -> Outcome {
    Outcome::from_passed(verdict.is_passed())
}

fn compare_detection(outputs: &[PathBuf], corruption_seed: Option<u64>) -> anyhow::Result<Outcome> {
    let mut tallies = BTreeMap::new();
    for output in outputs {
        let scenario = read_scenario(&runner::scenario_file(output))?;
        let datagrams = capture::read_file(&runner::capture_file(output))?;
        let event_logs = runner::event_log_folder(output);
        let result = detection::compare(&scenario, &datagrams, &event_logs, corruption_seed)?;
        detection::add_to_tallies(&mut tallies, &result);
        if outputs.len() > 1 {
            println!("{}", output.display());
        }
        report::print_detection(&result);
    }
    if outputs.len() > 1 {
        report::print_detection_tallies(&tallies);
    }
    Ok(Outcome::from_passed(tallies.values().all(detection::DetectionTally::is_perfect)))
}

fn measure_load(output: &Path, seconds: u64, rates: &[u32]) -> anyhow::Result<Outcome> {
    report::print_load_header();
    let measure = |subject| -> anyhow::Result<Vec<LoadStep>> {
        let steps = load::measure(subject, rates, seconds, output)?;
        report::print_load_steps(subject, &steps);
        Ok(steps)
    };
    let relay = measure(Subject::Relay)?;
    let front = measure(Subject::Front)?;
    let recording = measure(Subject::RecordingFront)?;
    report::print_load_summary(&relay, &front, &recording);
    Ok(Outcome::Passed)
}
