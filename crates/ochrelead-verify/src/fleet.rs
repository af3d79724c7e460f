//! Simulation of whole fleets on a virtual clock, which measures the costs of coordination. The coordination of
//! each node with its peers is the production code, down to the bytes of its datagrams. The servers are silent:
//! they send nothing unprompted, so fronts check their health. A front that holds the lease of a server checks it
//! for the whole fleet.
//!
//! - [`Scenario`]: the input of a run; [`Costs`]: its result.
//! - `world`: the fronts and the event loop.
//! - `faults`: the faults of lease holders, and the time until a lease is held again.

mod faults;
mod world;

use std::fmt;
use std::time::Duration;

use world::World;

/// One millisecond in microseconds, the unit of virtual time.
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;

/// A fault of the front that holds the lease of the first server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process of the holder is killed.
    HolderKilled,
    /// The process of the holder stalls for longer than its lease; it does not resume within the run.
    HolderPaused,
    /// The holder leaves service, and releases its lease.
    HolderLeaves,
    /// The holder and all voters restart at the same time.
    VotersRestart,
    /// The holder and three of the five voters are down for a minute. The time without a holder counts from their
    /// return.
    MajorityReturns,
}

impl Fault {
    /// All faults, in the order in which the program runs them.
    pub const ALL: [Fault; 5] = [
        Fault::HolderKilled,
        Fault::HolderPaused,
        Fault::HolderLeaves,
        Fault::MajorityReturns,
        Fault::VotersRestart,
    ];
}

/// Writes the name that the program prints.
impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Fault::HolderKilled => "Killed",
            Fault::HolderPaused => "Halted",
            Fault::HolderLeaves => "HandsBack",
            Fault::VotersRestart => "VotersAnew",
            Fault::MajorityReturns => "MajorityBack",
        })
    }
}

/// The input of a simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Number of fronts.
    pub fronts: u32,
    /// Number of servers, all of them silent.
    pub servers: u32,
    /// Simulated time before the fault, in seconds.
    pub duration_secs: u64,
    /// The seed of all random draws.
    pub seed: u64,
    /// Whether servers answer the health checks of lease holders.
    pub servers_answer: bool,
    /// Whether fronts coordinate.
    pub is_coordinated: bool,
    /// The fault at the end of the run, if any.
    pub fault: Option<Fault>,
}

/// The costs of a fleet, counted over the second half of the simulated time before the fault.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// Number of datagrams that all fronts sent.
    pub datagrams: u64,
    /// Total size of these datagrams, in bytes.
    pub bytes: u64,
    /// Number of health checks by lease holders, on behalf of the fleet.
    pub leased_health_checks: u64,
    /// Number of health checks that fronts made without a lease, each for itself.
    pub unleased_health_checks: u64,
    /// Simulated time over which costs were counted, in seconds.
    pub counted_secs: f64,
    /// Real time spent in the coordination code of all fronts.
    pub cpu: Duration,
    /// Time after the fault until a front holds the lease of the first server again, in milliseconds.
    pub gap_ms: Option<u64>,
}

/// Simulates a scenario from start to end.
pub fn run(scenario: Scenario) -> Costs {
    World::new(scenario).run()
}
