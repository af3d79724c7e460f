//! Simulates a whole scenario, and judges it.

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::Log;
use ochrelead_scenario::audit::{self, ServiceLevel};
use ochrelead_scenario::policy::PolicyKind;

use crate::error::SimulationError;
use crate::mutation::{Mutation, NoMutation};
use crate::violation::{Violation, ViolationCause};
use crate::world::{LEAD, RecordingOptions, World};

/// The most lines of [`Outcome::context`].
const MAX_CONTEXT_LINES: usize = 40;
/// The auditor's times fit to a step's by this much.
const TIME_TOLERANCE: Span = Span::from_micros(1);

/// What came of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// How many steps were simulated.
    pub steps: u64,
    /// The checksum of all events.
    pub checksum: u32,
    /// The first violated invariant.
    pub violation: Option<Violation>,
    /// What was served, where datagrams were recorded.
    pub service: ServiceLevel,
    /// The simulated seconds, without those after the scenario's end.
    pub simulated_s: f64,
    /// Every event as a line, where the trace was recorded.
    pub trace: String,
    /// The event logs of all processes of fronts, where they were recorded.
    pub logs: Vec<Log>,
    /// The last datagrams that concern the violation, one line each.
    pub context: Vec<String>,
}

/// Simulates a scenario with the program as it is.
///
/// # Errors
///
/// Where the simulation can't begin.
pub fn run(
    scenario: &Scenario,
    policy_kind: PolicyKind,
    options: RecordingOptions,
) -> Result<Outcome, SimulationError> {
    run_mutated(scenario, policy_kind, options, Box::new(NoMutation))
}

/// Simulates a scenario with something changed on purpose.
///
/// # Errors
///
/// Where the simulation can't begin.
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
        let breach = verdict.violations.into_iter().next().map(|breach| Violation {
            step: world.step_at(breach.time),
            time: breach.time,
            subject: breach.subject,
            cause: ViolationCause::Rule { rule: breach.rule.number(), detail: breach.description },
        });
        violation = earlier(violation, breach);
        outcome.context = violation.as_ref().map_or_else(Vec::new, |violation| context(&world, violation));
    }
    outcome.violation = violation;
    (outcome.trace, outcome.logs) = world.into_recordings();
    Ok(outcome)
}

/// Simulates to the end, or to the first violation.
fn run_steps(world: &mut World, policy_kind: PolicyKind) -> Option<Violation> {
    // The baselines keep no limits: their scenarios run to the end whatever they violate.
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

/// The auditor's violation where it is earlier: what came first is the cause, or nearer to it.
fn earlier(violation: Option<Violation>, breach: Option<Violation>) -> Option<Violation> {
    match (violation, breach) {
        (Some(violation), Some(breach)) if breach.time < violation.time => Some(breach),
        (None, breach) => breach,
        (violation, _) => violation,
    }
}

/// The last datagrams that name the subject of a violation, and what the script did.
fn context(world: &World, violation: &Violation) -> Vec<String> {
    let start = world.datagrams().first().map_or(Moment::START, |datagram| datagram.time) + LEAD;
    let until = start + violation.time.since(Moment::START) + TIME_TOLERANCE;
    let datagrams = world.datagrams().iter().filter(|datagram| datagram.time <= until);
    let lines = datagrams.filter_map(|datagram| {
        let text = String::from_utf8_lossy(&datagram.bytes);
        let is_concerned = text.contains(&violation.subject) || datagram.from == datagram.to;
        let ms = datagram.time.since(start).micros() as f64 / 1e3;
        let direction = if datagram.delivered { "reached" } else { "left" };
        let first_line = text.lines().next().unwrap_or("");
        let (from, to) = (datagram.from, datagram.to);
        is_concerned.then(|| format!("{ms:>10.3} ms {direction:>7} {from:?} to {to:?}: {first_line}"))
    });
    let lines: Vec<String> = lines.collect();
    lines[lines.len().saturating_sub(MAX_CONTEXT_LINES)..].to_vec()
}
