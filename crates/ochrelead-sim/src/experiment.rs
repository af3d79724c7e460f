//! Experiments: a grid of scenarios that measures the service level by load, deployment size and policy, with
//! confidence intervals.

pub mod plot;
pub mod results;

use std::path::Path;

use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::document::Document;
use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario::{self, Scenario};
use ochrelead_config::schema;
use ochrelead_scenario::policy::PolicyKind;
use thiserror::Error;

use crate::error::{InvalidDocument, SimulationError};
use crate::run::run;
use crate::violation::ViolationKind;
use crate::world::RecordingOptions;

/// Maximum number of runs of one experiment.
const MAX_RUNS: u64 = 100_000;
/// Number of repeats of each case if the file gives none.
const DEFAULT_REPEATS: u32 = 5;
/// Maximum number of repeats that a file may set.
const MAX_REPEATS: f64 = 10_000.0;

/// A policy, with its name in files and tables.
type NamedPolicy = (&'static str, PolicyKind);

/// An error that prevents an experiment from running.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ExperimentError {
    /// The experiment file or its scenario file is invalid.
    #[error(transparent)]
    Document(#[from] InvalidDocument),
    /// A case has no servers, or more than the scenario defines.
    #[error("servers is {servers}; it must be from 1 to {available}, the number of servers in the scenario")]
    ServerCount {
        /// The number of servers of the case.
        servers: usize,
        /// The number of servers of the scenario.
        available: usize,
    },
    /// A case has no fronts.
    #[error("fronts is 0; it must be at least 1")]
    NoFronts,
    /// The grid has too many runs.
    #[error("the grid has {runs} runs; at most {MAX_RUNS} are allowed")]
    TooManyRuns {
        /// The number of runs of the grid.
        runs: u64,
    },
}

impl From<Vec<Diagnostic>> for ExperimentError {
    fn from(diagnostics: Vec<Diagnostic>) -> ExperimentError {
        ExperimentError::Document(InvalidDocument::from(diagnostics))
    }
}

/// A grid of every combination of load, fronts, servers and policy, each repeated with different seeds.
pub struct Experiment {
    scenario: Scenario,
    rates: Vec<f64>,
    fronts: Vec<usize>,
    servers: Vec<usize>,
    policies: Vec<NamedPolicy>,
    repeats: u64,
}

/// The number of fronts and servers of a case.
#[derive(Clone, Copy)]
struct DeploymentSize {
    fronts: usize,
    servers: usize,
}

/// One run of an experiment.
pub struct Case {
    /// The scenario to simulate.
    pub scenario: Scenario,
    /// The name of the call policy.
    pub policy: &'static str,
    policy_kind: PolicyKind,
}

/// The result of one run.
#[derive(Clone, Debug)]
pub struct CaseResult {
    /// The share of the sessions' total value that was served.
    pub service: f64,
    /// The lowest such share over any ten seconds.
    pub worst_window: f64,
    /// The upper limit of the service share that the servers' capacity allows.
    pub ceiling: f64,
    /// The number of sessions that callers requested.
    pub offered: usize,
    /// The number of simulated events.
    pub events: u64,
    /// The kind of the first violation. Baseline policies are expected to violate rules.
    pub violation: Option<ViolationKind>,
}

impl Experiment {
    /// Reads an experiment file and the scenario file that it refers to.
    ///
    /// # Errors
    ///
    /// Returns the diagnostics of an invalid file, or the value of the grid that the scenario does not allow.
    pub fn open(path: &Path) -> Result<Experiment, ExperimentError> {
        let (grid, mut document) = Document::open::<schema::Experiment>(path, "Experiment")?;
        let scenario_file = document.required("day", grid.day.clone());
        let repeats = f64::from(grid.repeats.unwrap_or(DEFAULT_REPEATS));
        let repeats = document.in_range("repeats", repeats, 1.0, MAX_REPEATS) as u64;
        let policies = policies(&grid, &mut document);
        check_grid(&grid, &mut document);
        document.finish(())?;
        let mut scenario = scenario::open(&path.parent().unwrap_or(Path::new(".")).join(scenario_file))?;
        if !grid.trouble.is_empty() {
            scenario.faults.retain(|fault| grid.trouble.iter().any(|name| name == fault.kind.name()));
        }
        let experiment = Experiment {
            rates: or_default(grid.sessions_per_s, scenario.callers.sessions_per_s),
            fronts: or_default(counts(&grid.fronts), scenario.fronts),
            servers: or_default(counts(&grid.servers), scenario.servers.len()),
            policies,
            repeats,
            scenario,
        };
        experiment.check()?;
        Ok(experiment)
    }

    fn check(&self) -> Result<(), ExperimentError> {
        let available = self.scenario.servers.len();
        if let Some(&servers) = self.servers.iter().find(|servers| **servers == 0 || **servers > available) {
            return Err(ExperimentError::ServerCount { servers, available });
        }
        if self.fronts.contains(&0) {
            return Err(ExperimentError::NoFronts);
        }
        let cases = self.rates.len() * self.fronts.len() * self.servers.len() * self.policies.len();
        let runs = cases as u64 * self.repeats;
        if runs > MAX_RUNS {
            return Err(ExperimentError::TooManyRuns { runs });
        }
        Ok(())
    }

    /// Returns all runs of the grid; the repeats of a case are adjacent.
    pub fn cases(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for &policy in &self.policies {
            for &fronts in &self.fronts {
                for &servers in &self.servers {
                    for &rate in &self.rates {
                        let repeat =
                            |index| self.case(policy, DeploymentSize { fronts, servers }, rate, index);
                        cases.extend((0..self.repeats).map(repeat));
                    }
                }
            }
        }
        cases
    }

    fn case(&self, policy: NamedPolicy, size: DeploymentSize, sessions_per_s: f64, repeat: u64) -> Case {
        let mut scenario = self.scenario.clone();
        scenario.seed = self.scenario.seed + repeat;
        scenario.fronts = size.fronts;
        scenario.callers.sessions_per_s = sessions_per_s;
        scenario.servers.truncate(size.servers);
        // Removes targets that do not exist in a deployment of this size.
        for fault in scenario.faults.iter_mut().filter(|fault| fault.kind != FaultKind::Redials) {
            let targets = if fault.kind.targets_fronts() { size.fronts } else { size.servers };
            fault.targets.retain(|target| *target < targets);
        }
        scenario.front.controller.fronts = size.fronts as u32;
        scenario.front_settings.fronts = Some(size.fronts as u32);
        let (policy, policy_kind) = policy;
        Case { scenario, policy, policy_kind }
    }
}

/// Returns the policies of a grid; all policies if it names none. Reports unknown names.
fn policies(grid: &schema::Experiment, document: &mut Document) -> Vec<NamedPolicy> {
    let mut policies = Vec::new();
    for (index, name) in grid.policy.iter().enumerate() {
        match PolicyKind::ALL.iter().find(|(known, _)| known == name) {
            Some(policy) => policies.push(*policy),
            None => {
                let names = PolicyKind::ALL.map(|(name, _)| name).join(", ");
                let message = format!("policy is {name:?}; it must be one of {names}");
                document.report(&format!("policy[{index}]"), message);
            }
        }
    }
    if policies.is_empty() { PolicyKind::ALL.to_vec() } else { policies }
}

fn check_grid(grid: &schema::Experiment, document: &mut Document) {
    for (index, name) in grid.trouble.iter().enumerate() {
        if name != "none" && !FaultKind::ALL.iter().any(|(known, _)| known == name) {
            let message = format!("trouble is {name:?}, which is not a kind of fault");
            document.report(&format!("trouble[{index}]"), message);
        }
    }
    for (index, rate) in grid.sessions_per_s.iter().enumerate() {
        document.in_range(&format!("sessions_per_s[{index}]"), *rate, 0.01, 1e6);
    }
}

fn counts(values: &[u32]) -> Vec<usize> {
    values.iter().map(|count| *count as usize).collect()
}

/// Returns the values, or only the default if there are none.
fn or_default<T>(values: Vec<T>, default: T) -> Vec<T> {
    if values.is_empty() { vec![default] } else { values }
}

impl Case {
    /// Simulates the scenario of the case.
    ///
    /// # Errors
    ///
    /// Returns an error if the simulation can't start.
    pub fn run(&self) -> Result<CaseResult, SimulationError> {
        let options = RecordingOptions { datagrams: true, ..RecordingOptions::default() };
        let outcome = run(&self.scenario, self.policy_kind, options)?;
        Ok(CaseResult {
            service: outcome.service.overall,
            worst_window: outcome.service.worst_window,
            ceiling: outcome.service.ceiling,
            offered: outcome.service.offered,
            events: outcome.steps,
            violation: outcome.violation.map(|violation| violation.kind()),
        })
    }
}
