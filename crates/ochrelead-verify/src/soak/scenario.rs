//! The size, traffic and faults of a trial, drawn from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::coordinator::WriteFaults;
use super::history::DiscoveryFault;
use super::incidents::Schedule;
use super::server::Behaviour;

/// The number of servers at a trial's start.
pub const SERVERS: usize = 3;
/// Numbers of nodes to draw from; most trials are small.
const NODES: [usize; 10] = [3, 4, 4, 4, 4, 4, 6, 8, 8, 16];
/// With more nodes than this, the rate of each is reduced, as one machine runs all nodes and emulated peers.
const NODES_AT_FULL_RATE: f64 = 4.0;
/// The lowest rate of a node, in set-ups per second.
const MIN_RATE: f64 = 3.0;

/// A fault or change during a trial. Reports print these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A discovery fault for one node or for all.
    FailDiscovery {
        /// The node; `None` for all nodes.
        node: Option<usize>,
        /// The kind of fault.
        fault: DiscoveryFault,
        /// How long it lasts.
        length: Duration,
    },
    /// Sets the write faults of one node's coordinator or of all coordinators.
    SetWriteFaults {
        /// The node; `None` for all nodes.
        node: Option<usize>,
        /// The faults.
        faults: WriteFaults,
    },
    /// Moves the coordinator of a node and sends the node SIGHUP.
    MoveCoordinator(usize),
    /// Drains a server, adds another in its place at once, and removes the former after a while.
    Replace {
        /// The number of the server.
        server: usize,
        /// Time from the drain to the removal.
        drain_time: Duration,
    },
    /// Changes the behaviour of a server for a while.
    Behave {
        /// The number of the server.
        server: usize,
        /// The behaviour.
        behaviour: Behaviour,
        /// How long it lasts.
        length: Duration,
    },
    /// Stops a server without notice; the list shows it later.
    Crash(usize),
    /// Removes and stops a server, and restarts it at its address.
    Restart {
        /// The number of the server.
        server: usize,
        /// Whether it gets a new id.
        renamed: bool,
    },
    /// Suspends a node.
    Stall {
        /// The node.
        node: usize,
        /// How long it lasts.
        length: Duration,
    },
    /// Closes the idle connections of a server.
    CloseIdle(usize),
    /// Sends a node SIGTERM, kills it if it has not exited at the earliest permitted time, and restarts it.
    Terminate(usize),
    /// Kills and restarts a node.
    Kill(usize),
    /// Callers send a node unusable input, and set-ups on connections that they close at once.
    BadCallers(usize),
}

/// A step and its time.
#[derive(Clone, Copy, Debug)]
pub struct Scheduled {
    /// The time since the trial's start.
    pub at: Duration,
    /// The step.
    pub step: Step,
}

/// A trial's size, traffic and faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of the trial's random generators.
    pub seed: u64,
    /// The number of nodes.
    pub nodes: usize,
    /// The longest time for which callers wait.
    pub deadline: Duration,
    /// Set-ups per second at each node.
    pub rate: f64,
    /// Time after which servers close idle connections.
    pub idle_limit: Duration,
    /// Connections at each node on which callers never send anything.
    pub silent_connections: usize,
    /// The share of set-ups that are cancelled early, of those with a very short wait, and of those written in
    /// pieces. A fifth of this share of the set-ups that are not cancelled is followed by a close of their
    /// connection.
    pub irregular_share: f64,
    /// The steps, in order of time.
    pub steps: Vec<Scheduled>,
    /// How long it lasts.
    pub length: Duration,
}

/// Idle time limits of the servers' connections to draw from.
const IDLE_LIMITS_MS: [u64; 4] = [600_000, 600_000, 2_500, 1_200];
/// Silent connections at each node of the trials that have them.
const SILENT_CONNECTIONS: usize = 60;
/// Trials with more nodes have no silent connections.
const MAX_NODES_WITH_SILENT_CONNECTIONS: usize = 16;
/// Deadlines of the callers to draw from.
const DEADLINES_MS: [u64; 6] = [400, 800, 1_500, 2_400, 3_000, 9_000];

impl Scenario {
    /// Draws the trial of a seed. A given number of nodes replaces the drawn one.
    pub fn draw(seed: u64, nodes: Option<usize>) -> Scenario {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let drawn = NODES[rng.random_range(0..NODES.len())];
        let nodes = nodes.unwrap_or(drawn);
        let schedule = Schedule::draw(nodes, &mut rng);
        let deadline_ms = DEADLINES_MS[rng.random_range(0..DEADLINES_MS.len())];
        let rate = rng.random_range(15.0..35.0);
        Scenario {
            seed,
            nodes,
            deadline: Duration::from_millis(deadline_ms),
            rate: (rate * (NODES_AT_FULL_RATE / nodes as f64).min(1.0)).max(MIN_RATE),
            idle_limit: Duration::from_millis(IDLE_LIMITS_MS[rng.random_range(0..IDLE_LIMITS_MS.len())]),
            silent_connections: if rng.random_bool(0.3) && nodes <= MAX_NODES_WITH_SILENT_CONNECTIONS {
                SILENT_CONNECTIONS
            } else {
                0
            },
            irregular_share: rng.random_range(0.0..0.1),
            length: schedule.length(),
            steps: schedule.into_steps(),
        }
    }
}
