//! A whole day, and what it came to.

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_event_log::reader::Log;
use ochrelead_scenario::audit::{self, ServiceLevel};
use ochrelead_scenario::policy::PolicyKind;

use crate::books::Violation;
use crate::world::{Honest, Keep, Meddler, World};

/// What a day came to.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub steps: u64,
    /// The sum of all events.
    pub sum: u32,
    /// The first thing that must never be.
    pub violation: Option<Violation>,
    /// What was served, where every datagram was kept and no step went wrong.
    pub service: ServiceLevel,
    pub seconds: f64,
    pub trace: String,
    pub logs: Vec<Log>,
    /// The last events of the parties concerned, where something went wrong.
    pub last: Vec<String>,
}

/// Lines of the last events that are told.
const TOLD: usize = 40;
/// The auditor's moments fit to a step by this much.
const NEAR: Span = Span::from_micros(1);

/// Plays a day as the program is.
///
/// # Errors
///
/// Where the day gives no sound settings.
pub fn play(day: &Scenario, deciding: PolicyKind, keep: Keep) -> Result<Outcome, String> {
    meddled(day, deciding, keep, Box::new(Honest))
}

/// Plays a day with something changed on purpose.
///
/// # Errors
///
/// Where the day gives no sound settings.
pub fn meddled(
    day: &Scenario,
    deciding: PolicyKind,
    keep: Keep,
    meddler: Box<dyn Meddler>,
) -> Result<Outcome, String> {
    let mut world = World::new(day, deciding, meddler, keep)?;
    let mut violation = None;
    while let Some(step) = world.step() {
        // The textbooks keep neither books nor bounds: their days are played to the end.
        if let Err(wrong) = step
            && deciding == PolicyKind::Controller
        {
            violation = Some(wrong);
            break;
        }
    }
    if violation.is_none() && deciding == PolicyKind::Controller {
        violation = world.settle().err();
    }
    // The tail, in which only what is owed goes on, is not counted.
    let seconds = world.passed().min(day.duration.ratio(Span::from_secs(1)));
    let mut outcome = Outcome { steps: world.step, sum: world.sum(), seconds, ..Outcome::default() };
    if keep.sights && !world.sights.is_empty() {
        let verdict = audit::audit(day, &world.sights);
        let breach = verdict.violations.first().map(|breach| Violation {
            step: world.step_at(breach.time),
            at: breach.time,
            kind: format!("rule {}", breach.rule.number()),
            of: breach.subject.clone(),
            how: breach.description.clone(),
        });
        // What came first is the cause, or nearer to it.
        let first =
            |wrong: &Option<Violation>| wrong.as_ref().map_or(Moment::from_micros(u64::MAX), |own| own.at);
        if first(&breach) < first(&violation) {
            violation = breach;
        }
        outcome.service = verdict.service_level;
        if let Some(wrong) = &violation {
            outcome.last = last_of(&world, wrong);
        }
    }
    outcome.violation = violation;
    outcome.trace = std::mem::take(&mut world.trace);
    outcome.logs = world.fronts.into_iter().flat_map(|machine| machine.into_logs()).collect();
    Ok(outcome)
}

/// The last datagrams that name the party or the try concerned, and what the day did.
fn last_of(world: &World, wrong: &Violation) -> Vec<String> {
    let start = world.sights.first().map_or(Moment::START, |own| own.time) + Span::from_millis(700);
    let until = start + wrong.at.since(Moment::START) + NEAR;
    let concerned = world.sights.iter().filter(|own| own.time <= until).filter_map(|own| {
        let text = String::from_utf8_lossy(&own.bytes);
        let named = text.contains(&wrong.of) || own.from == own.to;
        let ms = own.time.since(start).micros() as f64 / 1e3;
        let way = if own.delivered { "reached" } else { "left" };
        let first = text.lines().next().unwrap_or("").to_owned();
        named.then(|| format!("{ms:>10.3} ms {way:>7} {:?} to {:?}: {first}", own.from, own.to))
    });
    let all: Vec<String> = concerned.collect();
    all[all.len().saturating_sub(TOLD)..].to_vec()
}
