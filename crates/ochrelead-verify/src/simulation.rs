//! Simulation of fleets of lease engines on a virtual clock, with faults drawn from a seed.
//!
//! Messages are lost, delayed and duplicated, and links are cut in one or both directions. Fronts stall, crash and
//! restart, one by one or many at once, and their clocks drift. A holder acts on the resource of its task; an act
//! carries the fencing token of the lease. Two invariants are checked after every event that can violate them:
//!
//! - at most one front may act on a task, by the clocks of the fronts;
//! - a resource accepts no act of a former holder after an act under a later lease.
//!
//! The modules:
//!
//! - [`Scenario`]: the input of a run; [`Report`]: its result.
//! - `world`: the fronts and the event loop.
//! - `holders`: the acts of lease holders, and the checks of the invariants.
//! - `network`: the links between fronts.
//! - `faults`: the schedule of faults that a seed draws.

mod faults;
mod holders;
mod network;
mod world;

use std::fmt;

use crate::mutation::Mutation;
use crate::violation::Violation;

/// One millisecond in microseconds, the unit of virtual time.
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;

/// The input of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of all random draws.
    pub seed: u64,
    /// Number of fronts.
    pub fronts: u32,
    /// Number of tasks, each with its own lease.
    pub tasks: u64,
    /// Simulated duration, in seconds.
    pub duration_secs: u64,
    /// Runs without faults, to measure the message rate and the times without a holder.
    pub without_faults: bool,
    /// The deliberate defect of the run, if any.
    pub mutation: Option<Mutation>,
}

/// A violation of an invariant, and when it was detected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The violation.
    pub problem: Problem,
    /// Virtual time since the start of the run, in milliseconds.
    pub at_ms: u64,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// Two fronts may act on one task at the same time.
    ConcurrentHolders {
        /// The task.
        task: u64,
        /// The numbers of the two fronts.
        fronts: [u32; 2],
    },
    /// A resource accepted an act that it must refuse.
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

/// The result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// The first violation, if any. It ends the run.
    pub finding: Option<Finding>,
    /// Number of events handled.
    pub events: u64,
    /// Number of messages sent by fronts, not counting duplicates.
    pub messages: u64,
    /// Number of acts that reached a resource.
    pub acts: u64,
    /// Number of acts that a resource refused because of their token.
    pub refused_acts: u64,
    /// Number of leases that began.
    pub leases: u64,
    /// Length of each completed period in which a task had no holder, in milliseconds.
    pub gaps_ms: Vec<u64>,
    /// Fraction of the time in which tasks had a holder, averaged over the tasks.
    pub held_share: f64,
}

/// Simulates a scenario until its end or the first violation.
pub fn run(scenario: Scenario) -> Report {
    world::World::new(scenario).run()
}
