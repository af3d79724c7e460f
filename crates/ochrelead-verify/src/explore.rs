//! A model checker: explores every interleaving of a bounded set of events over the lease engines as they ship.
//!
//! Events are the delivery, duplication or loss of a message, the passage of time, an engine's processing of its
//! expired timers, a front that restarts or leaves service, and a holder that stalls between its permit and the act
//! under it. A message that is never delivered is lost. The search is exhaustive to a depth. It expands a state again
//! only if it reaches it with more steps left than before.
//!
//! - [`Model`]: the fronts and the bounds on the number of events.
//! - `state`: a state of the fronts and the network, its transitions and its invariants.
//! - `search`: the multi-threaded search.

mod search;
mod state;

use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::electorate::Electorate;
use ochrelead_lease::engine::{Engine, EngineConfig};
use ochrelead_lease::persistence::PersistedState;
use ochrelead_lease::{LeaseConfig, MemberId, TaskId};

pub use search::explore;

use crate::mutation::{FaultyProxy, Mutation};
use crate::violation::Violation;
use state::State;

/// The only task of the model.
const TASK: TaskId = TaskId(1);
/// Real time that passes in a [`Step::Tick`], in microseconds.
const TICK_US: u64 = 1_000;
const LEASE_DURATION_US: u64 = 4 * TICK_US;
const VOTE_TIMEOUT_US: u64 = 2 * TICK_US;
/// Maximum clock drift in parts per million: a fifth, so that a few ticks are enough for drift to matter.
const CLOCK_DRIFT_PPM: u32 = 200_000;

/// The fronts of a model and the bounds on its events.
#[derive(Clone, Debug)]
pub struct Model {
    /// Number of voters: the fronts with the lowest numbers.
    pub voters: u32,
    /// Number of candidates for the task: the fronts with the lowest numbers.
    pub candidates: u32,
    /// Number of fronts.
    pub fronts: u32,
    /// Maximum number of ticks of real time.
    pub ticks: u8,
    /// Maximum number of restarts.
    pub restarts: u8,
    /// Maximum number of duplicated messages.
    pub duplicates: u8,
    /// Maximum number of times a holder leaves service.
    pub leaves: u8,
    /// Maximum number of steps from the initial state.
    pub depth: u8,
    /// The deliberate fault, if any.
    pub mutation: Option<Mutation>,
}

/// A transition. Fronts are identified by number, messages by their index in the sorted set of messages in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Real time advances by one tick.
    Tick,
    /// A front's engine processes its expired timers.
    Process(u32),
    /// One copy of a message is delivered.
    Deliver(usize),
    /// A message is delivered, and as many copies as before stay in flight.
    Duplicate(usize),
    /// A front restarts.
    Restart(u32),
    /// A holder leaves service.
    Leave(u32),
    /// A holder obtains a permit for one act.
    Permit(u32),
    /// A front performs the act for which it obtained a permit.
    Act(u32),
    /// A holder's clock is set back.
    SetClockBack(u32),
}

/// A violated invariant and a path to it.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// The violated invariant.
    pub violation: Violation,
    /// The steps from the initial state.
    pub steps: Vec<Step>,
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// Number of distinct states visited.
    pub states: u64,
    /// The shortest of the counterexamples found before the search stopped.
    pub counterexample: Option<Counterexample>,
}

impl Model {
    fn proxy(&self) -> FaultyProxy {
        FaultyProxy::new(self.mutation)
    }

    fn lease_config(&self) -> LeaseConfig {
        self.proxy().lease_config(LeaseConfig {
            duration: Span::from_micros(LEASE_DURATION_US),
            vote_timeout: Span::from_micros(VOTE_TIMEOUT_US),
            clock_drift_ppm: CLOCK_DRIFT_PPM,
            jitter: Span::ZERO,
        })
    }

    fn engine(&self, local: MemberId, persisted: Option<&PersistedState>, now: Moment) -> Engine {
        let voters: Vec<u32> = (0..self.voters).collect();
        let electorate = self.proxy().electorate(local.front, self.fronts, &Electorate::new(1, &voters));
        let local = MemberId { incarnation: self.proxy().incarnation(local.incarnation), ..local };
        let config = EngineConfig { local, electorate, lease: self.lease_config(), seed: 1 };
        let mut engine = Engine::new(config, persisted, now);
        if local.front < self.candidates {
            engine.set_candidacy(now, TASK, Some(0));
        }
        engine
    }
}

/// Applies steps to the initial state.
///
/// # Errors
///
/// Returns the first violation on the path.
pub fn replay(model: &Model, steps: &[Step]) -> Result<(), Violation> {
    let mut state = State::initial(model);
    steps.iter().try_for_each(|step| state.apply(model, *step))
}
