//! Grids of scenarios: how much is served, by load, size and policy, with how sure that is.

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

/// The most runs of one experiment.
const MAX_RUNS: u64 = 100_000;
/// How often each case is repeated where the file does not say.
const DEFAULT_REPEATS: u32 = 5;
/// The most repeats that a file may ask for.
const MAX_REPEATS: f64 = 10_000.0;

/// A policy, with the name that files and tables have for it.
type NamedPolicy = (&'static str, PolicyKind);

/// Why an experiment can't be run.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ExperimentError {
    /// The experiment's file or its scenario is refused.
    #[error(transparent)]
    Document(#[from] InvalidDocument),
    /// A case has a number of servers that the scenario does not have.
    #[error("servers: {servers}; the day has 1 to {listed}")]
    ServerCount {
        /// The servers of the case.
        servers: usize,
        /// The servers of the scenario.
        listed: usize,
    },
    /// A case has no fronts.
    #[error("fronts: there must be one at least")]
    NoFronts,
    /// The grid has too many runs.
    #[error("{runs} days; there may be {MAX_RUNS}")]
    TooManyRuns {
        /// The runs of the grid.
        runs: u64,
    },
}

impl From<Vec<Diagnostic>> for ExperimentError {
    fn from(diagnostics: Vec<Diagnostic>) -> ExperimentError {
        ExperimentError::Document(InvalidDocument::from(diagnostics))
    }
}

/// A grid: each combination of load, fronts, servers and policy, some times each.
pub struct Experiment {
    scenario: Scenario,
    rates: Vec<f64>,
    fronts: Vec<usize>,
    servers: Vec<usize>,
    policies: Vec<NamedPolicy>,
    repeats: u64,
}

/// How many fronts and servers a case has.
#[derive(Clone, Copy)]
struct Size {
    fronts: usize,
    servers: usize,
}

/// One run of an experiment.
pub struct Case {
    /// What is simulated.
    pub scenario: Scenario,
    /// The name of the policy that decides.
    pub policy: &'static str,
    policy_kind: PolicyKind,
}

/// What came of one run.
#[derive(Clone, Debug)]
pub struct CaseResult {
    /// The share of the sessions' value that was served.
    pub service: f64,
    /// The same over the worst ten seconds.
    pub worst_window: f64,
    /// What could have been served at the most by capacity alone.
    pub ceiling: f64,
    /// The sessions that callers asked for.
    pub offered: usize,
    /// The events of the simulation.
    pub events: u64,
    /// The first violation; baselines violate rules.
    pub violation: Option<ViolationKind>,
}

impl Experiment {
    /// Reads an experiment's file and its scenario.
    ///
    /// # Errors
    ///
    /// All that is wrong with either, or what the scenario does not allow.
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
        let listed = self.scenario.servers.len();
        if let Some(&servers) = self.servers.iter().find(|servers| **servers == 0 || **servers > listed) {
            return Err(ExperimentError::ServerCount { servers, listed });
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

    /// All runs, the repeats of one case together.
    pub fn cases(&self) -> Vec<Case> {
        let mut cases = Vec::new();
        for &policy in &self.policies {
            for &fronts in &self.fronts {
                for &servers in &self.servers {
                    for &rate in &self.rates {
                        let repeat = |index| self.case(policy, Size { fronts, servers }, rate, index);
                        cases.extend((0..self.repeats).map(repeat));
                    }
                }
            }
        }
        cases
    }

    fn case(&self, policy: NamedPolicy, size: Size, sessions_per_s: f64, repeat: u64) -> Case {
        let mut scenario = self.scenario.clone();
        scenario.seed = self.scenario.seed + repeat;
        scenario.fronts = size.fronts;
        scenario.callers.sessions_per_s = sessions_per_s;
        scenario.servers.truncate(size.servers);
        // A fault does not strike a party that is not there.
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

/// The policies of a grid; all where it names none.
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
            let message = format!("trouble is {name:?}, which no day has");
            document.report(&format!("trouble[{index}]"), message);
        }
    }
    for (index, rate) in grid.sessions_per_s.iter().enumerate() {
        document.in_range(&format!("sessions_per_s[{index}]"), *rate, 0.01, 1e6);
    }
}

fn counts(listed: &[u32]) -> Vec<usize> {
    listed.iter().map(|count| *count as usize).collect()
}

fn or_default<T>(listed: Vec<T>, default: T) -> Vec<T> {
    if listed.is_empty() { vec![default] } else { listed }
}

impl Case {
    /// Simulates the scenario.
    ///
    /// # Errors
    ///
    /// Where the simulation can't begin.
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
