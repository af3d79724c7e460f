//! The emulated callers of one node: their connections, set-ups and cancellations.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::caller::{CallNumbers, CallerConnection, SetUp};
use super::history::Recorder;
use super::scenario::Scenario;
use super::scheduler::Scheduler;

/// Connections that the callers of a node keep open.
const CONNECTIONS: usize = 6;
/// Delay after a failed attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(5);
/// The shortest usual wait of a caller, as a share of the deadline.
const MIN_WAIT_SHARE: f64 = 0.3;
/// The waits of callers that leave very little time, in milliseconds.
const SHORT_WAIT_MS: Range<u64> = 1..60;
/// The most refused set-ups that are repeated at a time.
const MAX_REPEATS: u64 = 5;

/// Whether callers open new connections to a node. Open connections stay in use in either case.
#[derive(Clone, Copy, Debug)]
enum ConnectPolicy {
    Always,
    Until(Instant),
}

/// The callers of a node.
pub struct NodeTraffic {
    /// The node's number.
    pub node: usize,
    /// Where it listens.
    pub listen: SocketAddr,
    deadline: Duration,
    rate: f64,
    silent_connections: usize,
    irregular_share: f64,
    pub(super) seed: u64,
    calls: Arc<CallNumbers>,
    /// The number of refused set-ups that have not been repeated.
    refusals: Arc<AtomicU64>,
    connect_policy: Mutex<ConnectPolicy>,
}

impl NodeTraffic {
    /// Creates the callers of a node as the scenario describes them.
    pub fn new(node: usize, listen: SocketAddr, scenario: &Scenario, calls: Arc<CallNumbers>) -> NodeTraffic {
        NodeTraffic {
            node,
            listen,
            deadline: scenario.deadline,
            rate: scenario.rate,
            silent_connections: scenario.silent_connections,
            irregular_share: scenario.irregular_share,
            seed: scenario.seed.wrapping_mul(1_000_003) + node as u64,
            calls,
            refusals: Arc::default(),
            connect_policy: Mutex::new(ConnectPolicy::Always),
        }
    }

    /// Callers stop opening connections after a delay.
    pub fn stop_connecting_after(&self, delay: Duration) {
        self.set_connect_policy(ConnectPolicy::Until(Instant::now() + delay));
    }

    /// Callers open connections again.
    pub fn resume_connecting(&self) {
        self.set_connect_policy(ConnectPolicy::Always);
    }

    fn set_connect_policy(&self, policy: ConnectPolicy) {
        *self.connect_policy.lock().unwrap_or_else(PoisonError::into_inner) = policy;
    }

    fn may_connect(&self) -> bool {
        match *self.connect_policy.lock().unwrap_or_else(PoisonError::into_inner) {
            ConnectPolicy::Always => true,
            ConnectPolicy::Until(until) => Instant::now() < until,
        }
    }

    /// Draws the next set-up.
    pub(super) fn draw_set_up(&self, rng: &mut impl Rng) -> SetUp {
        let is_short = rng.random_bool(self.irregular_share);
        let usual_wait = self.deadline.mul_f64(rng.random_range(MIN_WAIT_SHARE..1.0));
        SetUp {
            call: self.calls.next(),
            wait: if is_short { Duration::from_millis(rng.random_range(SHORT_WAIT_MS)) } else { usual_wait },
            in_pieces: rng.random_bool(self.irregular_share),
        }
    }
}

/// Starts the threads of a node's callers, which end once `stop` is set.
pub fn start(
    traffic: Arc<NodeTraffic>,
    recorder: Arc<Recorder>,
    stop: Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    let silent_connections =
        (0..traffic.silent_connections).filter_map(|_| open(&traffic, &recorder)).collect();
    let driver = thread::spawn(move || Driver::new(traffic, recorder, silent_connections).run(&stop));
    vec![driver]
}

pub(super) fn open(traffic: &NodeTraffic, recorder: &Arc<Recorder>) -> Option<CallerConnection> {
    let refusals = traffic.refusals.clone();
    CallerConnection::open(traffic.node, traffic.listen, refusals, recorder.clone()).ok()
}

/// Sends the set-ups of a node's callers.
struct Driver {
    traffic: Arc<NodeTraffic>,
    recorder: Arc<Recorder>,
    connections: Vec<CallerConnection>,
    /// Connections that never send anything.
    silent_connections: Vec<CallerConnection>,
    scheduler: Scheduler,
    rng: Pcg64Mcg,
}

impl Driver {
    fn new(
        traffic: Arc<NodeTraffic>,
        recorder: Arc<Recorder>,
        silent_connections: Vec<CallerConnection>,
    ) -> Driver {
        let rng = Pcg64Mcg::seed_from_u64(traffic.seed);
        Driver {
            traffic,
            recorder,
            connections: Vec::new(),
            silent_connections,
            scheduler: Scheduler::start(),
            rng,
        }
    }

    fn run(mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::Relaxed) {
            let pause = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.traffic.rate;
            thread::sleep(Duration::from_secs_f64(pause.min(1.0)));
            self.connect_missing();
            // Callers repeat refused set-ups at once.
            let repeats = self.traffic.refusals.swap(0, Ordering::Relaxed).min(MAX_REPEATS);
            (0..=repeats).for_each(|_| self.send_one());
        }
        self.silent_connections.iter().chain(&self.connections).for_each(CallerConnection::close);
    }

    fn connect_missing(&mut self) {
        self.connections.retain(CallerConnection::is_open);
        while self.connections.len() < CONNECTIONS && self.traffic.may_connect() {
            match open(&self.traffic, &self.recorder) {
                Some(connection) => self.connections.push(connection),
                None => return thread::sleep(RECONNECT_DELAY),
            }
        }
    }

    fn send_one(&mut self) {
        if self.connections.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.connections.len());
        let connection = self.connections[index].clone();
        let set_up = self.traffic.draw_set_up(&mut self.rng);
        if !connection.set_up(&set_up) {
            return;
        }
        if self.rng.random_bool(self.traffic.irregular_share) {
            let delay = set_up.wait.mul_f64(self.rng.random_range(0.0..0.3));
            self.scheduler.after(delay, move || connection.cancel(set_up.call));
        } else if self.rng.random_bool(self.traffic.irregular_share / 5.0) {
            connection.close();
        }
    }
}
