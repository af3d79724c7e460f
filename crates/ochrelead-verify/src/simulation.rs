//! Seeded simulation: fleets of lease engines on a virtual clock, with faults drawn from a seed.
//!
//! Messages are lost, delayed, duplicated, and cut off one way or both; fronts stall, crash, restart one after the
//! other, and their clocks run apart. After every event two invariants are checked: no two fronts may act on one task,
//! each by its own clock; and a resource never accepts an act of a lease that began before that of the last one.
//!
//! - [`Scenario`]: what is simulated; [`Report`]: what came of it.
//! - `world`: the fronts, and the events that happen to them.
//! - `holders`: who holds leases, and acts under them.
//! - `network`: the links between fronts.
//! - `faults`: which faults a seed draws, and when.

mod faults;
mod holders;
mod network;
mod world;

use std::fmt;

use crate::mutation::Mutation;
use crate::violation::Violation;

/// A millisecond of virtual time, which is counted in microseconds.
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of all random draws.
    pub seed: u64,
    /// How many fronts there are.
    pub fronts: u32,
    /// How many tasks they are candidates for.
    pub tasks: u64,
    /// How long it lasts, in seconds.
    pub duration_secs: u64,
    /// Without faults, to see what it costs and how soon a lease is granted again.
    pub without_faults: bool,
    /// What is wrong on purpose.
    pub mutation: Option<Mutation>,
}

/// What does not hold, and when that showed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// What does not hold.
    pub problem: Problem,
    /// The virtual time since the start, in ms.
    pub at_ms: u64,
}

/// What does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// Two fronts may act on a task.
    ConcurrentHolders {
        /// The task.
        task: u64,
        /// The fronts.
        fronts: [u32; 2],
    },
    /// A resource has accepted an act that it must not.
    Resource(Violation),
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.problem {
            Problem::ConcurrentHolders { task, fronts: [one, other] } => {
                write!(f, "task {task}: {one} and {other} may act at once")?;
            }
            Problem::Resource(violation) => write!(f, "{violation}")?,
        }
        write!(f, ", at {} ms", self.at_ms)
    }
}

/// What came of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The first thing that does not hold.
    pub finding: Option<Finding>,
    /// How many events happened.
    pub events: u64,
    /// How many messages fronts sent.
    pub messages: u64,
    /// How many acts reached a resource.
    pub acts: u64,
    /// How many of them were refused.
    pub refused_acts: u64,
    /// How many leases began.
    pub leases: u64,
    /// How long a task was without a holder, for each time, in ms.
    pub gaps_ms: Vec<u64>,
    /// The share of time in which tasks were held.
    pub held_share: f64,
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Report {
    world::World::new(scenario).run()
}
