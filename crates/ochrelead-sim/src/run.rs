//! Simulates a complete scenario, checks the invariants and audits the captured datagrams.

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::Log;
use ochrelead_scenario::audit::{self, ServiceLevel};
use ochrelead_scenario::policy::PolicyKind;

use crate::error::SimulationError;
use crate::mutation::{Mutation, NoMutation};
use crate::violation::{Violation, ViolationCause};
use crate::world::{RecordingOptions, SCENARIO_DELAY, World};

/// Maximum number of lines in [`Outcome::context`].
const MAX_CONTEXT_LINES: usize = 40;
/// Tolerance when a violation's time from the auditor is matched with the capture times.
const TIME_TOLERANCE: Span = Span::from_micros(1);

/// The result of a simulated scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The number of simulated steps.
    pub steps: u64,
    /// The checksum over all events.
    pub checksum: u32,
    /// The first violated invariant.
    pub violation: Option<Violation>,
    /// The service level; the default value if datagrams were not recorded.
    pub service: ServiceLevel,
    /// Simulated time in seconds, capped at the duration of the scenario.
    pub simulated_s: f64,
    /// The trace, one line per event; empty if it was not recorded.
    pub trace: String,
    /// The event logs of all front processes; empty if they were not recorded.
    pub logs: Vec<Log>,
    /// The last datagrams related to the violation, one line each.
    pub context: Vec<String>,
}

/// Simulates a scenario without mutations.
///
/// # Errors
///
/// Returns an error if the simulation can't start.
pub fn run(
    scenario: &Scenario,
    policy_kind: PolicyKind,
    options: RecordingOptions,
) -> Result<Outcome, SimulationError> {
    run_mutated(scenario, policy_kind, options, Box::new(NoMutation))
}

/// Simulates a scenario with a deliberate fault.
///
/// # Errors
///
/// Returns an error if the simulation can't start.
pub fn run_mutated(
    scenario: &Scenario,
    policy_kind: PolicyKind,
    options: RecordingOptions,
    mutation: Box<dyn Mutation>,
) -> Result<Outcome, SimulationError> {
    let mut world = World::new(scenario, policy_kind, mutation, options)?;
    let mut violation = run_steps(&mut world, policy_kind);
    let mut outcome = Outcome {
        steps: world.step_count(),
        checksum: world.checksum(),
        simulated_s: world.elapsed_s().min(scenario.duration.ratio(Span::from_secs(1))),
        ..Outcome::default()
    };
    if options.datagrams && !world.datagrams().is_empty() {
        let verdict = audit::audit(scenario, world.datagrams());
        outcome.service = verdict.service_level;
        let audit_violation = verdict.violations.into_iter().next().map(|first| Violation {
            step: world.step_at(first.time),
            time: first.time,
            subject: first.subject,
            cause: ViolationCause::Rule { rule: first.rule.number(), detail: first.description },
        });
        violation = earlier(violation, audit_violation);
        outcome.context = violation.as_ref().map_or_else(Vec::new, |violation| context(&world, violation));
    }
    outcome.violation = violation;
    (outcome.trace, outcome.logs) = world.into_recordings();
    Ok(outcome)
}

/// Simulates to the end of the scenario or, with the module's policy, to the first violation.
fn run_steps(world: &mut World, policy_kind: PolicyKind) -> Option<Violation> {
    // Baseline policies do not respect the limits: their scenarios run to the end despite violations.
    let is_checked = policy_kind == PolicyKind::Controller;
    while let Some(result) = world.step() {
        if let Err(violation) = result
            && is_checked
        {
            return Some(violation);
        }
    }
    if is_checked { world.check_unclaimed_calls().err() } else { None }
}

/// Returns the earlier of the simulation's and the auditor's violation, because the earlier one is closer to the
/// cause.
fn earlier(violation: Option<Violation>, audit_violation: Option<Violation>) -> Option<Violation> {
    match (violation, audit_violation) {
        (Some(violation), Some(audit_violation)) if audit_violation.time < violation.time => {
            Some(audit_violation)
        }
        (None, audit_violation) => audit_violation,
        (violation, _) => violation,
    }
}

/// Returns the last datagrams that contain the subject of a violation, together with the marks of scripted events.
fn context(world: &World, violation: &Violation) -> Vec<String> {
    let start = world.datagrams().first().map_or(Moment::START, |datagram| datagram.time) + SCENARIO_DELAY;
    let until = start + violation.time.since(Moment::START) + TIME_TOLERANCE;
    let datagrams = world.datagrams().iter().filter(|datagram| datagram.time <= until);
    let lines = datagrams.filter_map(|datagram| {
        let text = String::from_utf8_lossy(&datagram.bytes);
        let is_related = text.contains(&violation.subject) || datagram.from == datagram.to;
        let ms = datagram.time.since(start).micros() as f64 / 1e3;
        let direction = if datagram.delivered { "reached" } else { "left" };
        let first_line = text.lines().next().unwrap_or("");
        let (from, to) = (datagram.from, datagram.to);
        is_related.then(|| format!("{ms:>10.3} ms {direction:>7} {from:?} to {to:?}: {first_line}"))
    });
    let lines: Vec<String> = lines.collect();
    lines[lines.len().saturating_sub(MAX_CONTEXT_LINES)..].to_vec()
}
