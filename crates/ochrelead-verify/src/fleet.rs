//! Whole fleets of what a node does with its peers, as it ships, on a virtual clock: datagrams with their bytes, a few
//! silent servers, and how long each is without a front that may test it.
//!
//! - [`Scenario`]: what is simulated; [`Costs`]: what that costs.
//! - `world`: the fronts, and the events that happen to them.
//! - `faults`: what happens to the front that holds a lease.

mod faults;
mod world;

use std::fmt;
use std::time::Duration;

use world::World;

/// A millisecond of virtual time, which is counted in microseconds.
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;

/// What happens to the front that holds a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Its process is killed.
    HolderKilled,
    /// Its process stalls, for longer than its lease.
    HolderPaused,
    /// It leaves service, and releases its lease.
    HolderLeaves,
    /// It restarts together with all voters.
    VotersRestart,
    /// It is down for a minute, together with three of five voters; counted from their return.
    MajorityReturns,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 5] = [
        Fault::HolderKilled,
        Fault::HolderPaused,
        Fault::HolderLeaves,
        Fault::MajorityReturns,
        Fault::VotersRestart,
    ];
}

/// The name in the program's output.
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

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// How many fronts there are.
    pub fronts: u32,
    /// How many servers are silent.
    pub servers: u32,
    /// How long it lasts, in seconds, before the fault.
    pub duration_secs: u64,
    /// The seed of all random draws.
    pub seed: u64,
    /// Whether servers answer tests; else they stay silent.
    pub servers_answer: bool,
    /// Whether fronts coordinate.
    pub is_coordinated: bool,
    /// What happens then.
    pub fault: Option<Fault>,
}

/// What a scenario costs, counted over the second half of its duration.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// Datagrams that all fronts sent.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Tests of servers under a lease.
    pub leased_tests: u64,
    /// Tests of servers that fronts did each for itself.
    pub own_tests: u64,
    /// How long was counted, in seconds.
    pub secs: f64,
    /// The processor time of all fronts.
    pub cpu: Duration,
    /// How long after the fault no front might test the first server, in ms.
    pub gap_ms: Option<u64>,
}

/// Runs a scenario.
pub fn run(scenario: Scenario) -> Costs {
    World::new(scenario).run()
}
