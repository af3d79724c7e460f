//! A model checker: goes through every order of a few events over the lease engines as they ship.
//!
//! Events are messages delivered, duplicated or lost, time passing, engines processed, and fronts that restart, leave, or
//! stall between a permit and its act. The search is complete to a depth, and goes through a state only once.
//!
//! - [`Model`]: what happens, and how much of it.
//! - `state`: the fronts and what is in flight; its steps and its invariants.
//! - `search`: the search itself, on several threads.

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

/// The one task.
const TASK: TaskId = TaskId(1);
/// One step of real time, in microseconds; a lease lasts four.
const TICK_US: u64 = 1_000;
/// Clocks are off by up to a fifth, so that a few steps of time show it.
const CLOCK_DRIFT_PPM: u32 = 200_000;

/// What happens, and how much of it.
#[derive(Clone, Debug)]
pub struct Model {
    /// The first fronts are voters.
    pub voters: u32,
    /// The first fronts are candidates for the task.
    pub candidates: u32,
    /// All fronts.
    pub fronts: u32,
    /// How often time passes.
    pub ticks: u8,
    /// How many fronts restart.
    pub restarts: u8,
    /// How many messages are duplicated.
    pub duplicates: u8,
    /// How many holders leave.
    pub leaves: u8,
    /// How many steps are taken from the start.
    pub depth: u8,
    /// What is wrong on purpose.
    pub mutation: Option<Mutation>,
}

/// One event. Fronts are named by their number, messages by their place in the order of those in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time passes.
    Tick,
    /// A front processes what is due.
    Process(u32),
    /// A message is delivered.
    Deliver(usize),
    /// A message is delivered, and stays in flight.
    Duplicate(usize),
    /// A front restarts.
    Restart(u32),
    /// A front leaves service.
    Leave(u32),
    /// A front asks for a permit.
    Permit(u32),
    /// A front acts on its permit.
    Act(u32),
    /// A front's clock is set back.
    SetClockBack(u32),
}

/// A violation, and the steps that lead to it.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// What does not hold.
    pub violation: Violation,
    /// The steps from the start.
    pub steps: Vec<Step>,
}

/// What a search found.
#[derive(Clone, Debug)]
pub struct Exploration {
    /// How many different states were gone through.
    pub states: u64,
    /// The shortest counterexample that was seen.
    pub counterexample: Option<Counterexample>,
}

impl Model {
    fn proxy(&self) -> FaultyProxy {
        FaultyProxy::new(self.mutation)
    }

    fn lease_config(&self) -> LeaseConfig {
        self.proxy().lease_config(LeaseConfig {
            duration: Span::from_micros(4 * TICK_US),
            vote_timeout: Span::from_micros(2 * TICK_US),
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

/// Takes steps from the start.
///
/// # Errors
///
/// The violation that the steps lead to.
pub fn replay(model: &Model, steps: &[Step]) -> Result<(), Violation> {
    let mut state = State::start(model);
    steps.iter().try_for_each(|step| state.step(model, *step))
}
