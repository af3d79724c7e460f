//! Runs a scenario: starts the nodes and the emulated peers, injects the faults, and audits the history.

mod server_changes;

use std::fs;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;

use super::auditor::{Limits, SHUTDOWN_GRACE, Violation, audit};
use super::bad_callers;
use super::caller::CallNumbers;
use super::coordinator::Coordinator;
use super::history::{Event, History, Lifecycle, Recorder, Stall};
use super::node_process::{NodeConfiguration, NodeFiles, NodeProcess, NodeSettings};
use super::scenario::{SERVERS, Scenario, Step};
use super::scheduler::Scheduler;
use super::server::{Behaviour, Server};
use super::server_list::ServerList;
use super::traffic::{self, NodeTraffic};
use super::trial_setup::{
    COORDINATOR_NET, COORDINATOR_PORT, NODE_NET, NODE_PORT, TrialConfig, TrialError, address, failed,
    listed_server, start_node, start_server,
};

/// How long nodes may still send new calls to a draining server.
const DRAIN_GRACE: Duration = Duration::from_millis(250);
/// How long nodes wait with a re-send after a reset or cancel.
const RESEND_DELAY: Duration = Duration::from_millis(100);
/// A node gets SIGKILL once the deadline, capped at this value, plus [`SHUTDOWN_GRACE`] has passed since SIGTERM.
const MAX_SHUTDOWN_DEADLINE: Duration = Duration::from_secs(3);
/// Callers keep opening connections to a node for this long after SIGTERM.
const NEW_CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(300);
/// How long the thread that detects stalls sleeps at a time.
const STALL_PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// If a thread wakes later than this, the machine is too busy for a delay to be blamed on a node.
const STALL_THRESHOLD: Duration = Duration::from_millis(10);

/// Time allowed for all listeners to close at the end of a trial.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(50);

/// The result of a trial.
#[derive(Debug)]
pub struct TrialReport {
    /// Everything that was recorded.
    pub history: History,
    /// The violations of the rules, by time.
    pub violations: Vec<Violation>,
    /// The number of nodes.
    pub nodes: usize,
    /// The Unix time at which the history starts.
    pub started_unix: Duration,
    /// The number of set-ups that callers sent.
    pub set_ups: usize,
    /// How long the machine stalled in total.
    pub stalled: Duration,
}

/// Runs a scenario and audits it.
///
/// # Errors
///
/// Returns an error if a node, server or coordinator can't be started.
pub fn run(scenario: &Scenario, config: &TrialConfig) -> Result<TrialReport, TrialError> {
    let trial = Arc::new(Trial::start(scenario, config)?);
    let started_unix = unix_time().saturating_sub(trial.recorder.now());
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = vec![probe_stalls(trial.recorder.clone(), stop.clone())];
    for traffic in &trial.traffic {
        threads.extend(traffic::start(traffic.clone(), trial.recorder.clone(), stop.clone()));
    }
    let mut tasks = Vec::new();
    for scheduled in &scenario.steps {
        thread::sleep(scheduled.at.saturating_sub(trial.recorder.now()));
        tasks.extend(trial.clone().execute(scheduled.step)?);
    }
    thread::sleep(scenario.length.saturating_sub(trial.recorder.now()));
    let history = trial.recorder.history();
    stop.store(true, Ordering::Relaxed);
    for task in tasks.into_iter().chain(threads) {
        // A task that panicked has printed its message, and its events are in the history.
        let _ = task.join();
    }
    trial.close();
    let limits = Limits { drain_grace: DRAIN_GRACE, resend_delay: RESEND_DELAY };
    let violations = audit(&history, limits);
    let is_set_up = |event: &Event| matches!(event, Event::SetUpSent { .. });
    let set_ups = history.entries.iter().filter(|entry| is_set_up(&entry.event)).count();
    let stalled = history.stalled_between(Duration::ZERO, Duration::MAX);
    let nodes = scenario.nodes;
    Ok(TrialReport { history, violations, nodes, started_unix, set_ups, stalled })
}

/// Starts a thread that records a stall when the machine wakes it late or another thread holds the record for too
/// long.
fn probe_stalls(recorder: Arc<Recorder>, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let due = recorder.now() + STALL_PROBE_INTERVAL;
            thread::sleep(STALL_PROBE_INTERVAL);
            let now = recorder.now_recording();
            if now > due + STALL_THRESHOLD {
                recorder.record_stall(Stall { from: due, until: now });
            }
        }
    })
}

/// A running trial.
struct Trial {
    settings: NodeSettings,
    config: TrialConfig,
    seed: u64,
    recorder: Arc<Recorder>,
    list: Arc<Mutex<ServerList>>,
    /// The current servers, by number.
    servers: Mutex<Vec<Server>>,
    /// Replaced servers, which run until they are removed from the list.
    former_servers: Mutex<Vec<Server>>,
    coordinators: Mutex<Vec<Coordinator>>,
    processes: Vec<Mutex<NodeProcess>>,
    /// How often each node was restarted.
    restarts: Vec<AtomicU64>,
    traffic: Vec<Arc<NodeTraffic>>,
    scheduler: Scheduler,
    /// The last number that was used for an address or a seed.
    last_number: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Derives the seed of a node's random generator. The result is spread over all 64 bits, because nodes take their
/// share of a delay from the low bits.
fn node_seed(trial_seed: u64, number: u64) -> u64 {
    Pcg64Mcg::seed_from_u64(trial_seed ^ number.rotate_left(u64::BITS / 2)).random()
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn unix_millis() -> u128 {
    unix_time().as_millis()
}

impl Trial {
    fn start(scenario: &Scenario, config: &TrialConfig) -> Result<Trial, TrialError> {
        // Nodes append to their logs, so logs of a former run with this seed would mix with the new ones.
        let _ = fs::remove_dir_all(&config.folder);
        fs::create_dir_all(&config.folder).map_err(failed("folder"))?;
        let recorder = Arc::new(Recorder::default());
        let settings = NodeSettings {
            nodes: scenario.nodes,
            deadline: scenario.deadline,
            drain_grace: DRAIN_GRACE,
            idle_limit: scenario.idle_limit,
            resend_delay: RESEND_DELAY,
        };
        let mut servers = Vec::new();
        let mut listed = Vec::new();
        for number in 0..SERVERS {
            let server = start_server(config, &settings, number as u64, &recorder)?;
            listed.push(listed_server(&server, number, Lifecycle::Up, 0));
            servers.push(server);
        }
        let list = Arc::new(Mutex::new(ServerList::new(listed)));
        let mut coordinators = Vec::new();
        let mut processes = Vec::new();
        let mut traffic = Vec::new();
        let calls = Arc::new(CallNumbers::default());
        for node in 0..scenario.nodes {
            let coordinator_address = address(config.subnet, COORDINATOR_NET, node as u64, COORDINATOR_PORT);
            let coordinator = Coordinator::start(node, coordinator_address, list.clone(), recorder.clone())
                .map_err(failed(format!("coordinator of n{node}")))?;
            let listen = address(config.subnet, NODE_NET, node as u64, NODE_PORT);
            recorder.record(Event::Started { node });
            let configuration = NodeConfiguration {
                node,
                listen,
                coordinator: coordinator.address,
                known: lock(&list).known(node),
                seed: node_seed(scenario.seed, node as u64),
            };
            let files = NodeFiles::in_folder(&config.folder, node);
            let process = start_node(config, &files, &configuration, &settings)?;
            coordinators.push(coordinator);
            processes.push(Mutex::new(process));
            traffic.push(Arc::new(NodeTraffic::new(node, listen, scenario, calls.clone())));
        }
        Ok(Trial {
            settings,
            config: config.clone(),
            seed: scenario.seed,
            recorder,
            list,
            servers: Mutex::new(servers),
            former_servers: Mutex::default(),
            coordinators: Mutex::new(coordinators),
            restarts: processes.iter().map(|_| AtomicU64::new(0)).collect(),
            processes,
            traffic,
            scheduler: Scheduler::start(),
            last_number: AtomicU64::new(SERVERS as u64 + scenario.nodes as u64),
        })
    }

    /// Stops coordinators and servers, which frees their addresses.
    fn close(&self) {
        lock(&self.coordinators).iter().for_each(Coordinator::retire);
        lock(&self.servers).iter().chain(lock(&self.former_servers).iter()).for_each(Server::stop);
        thread::sleep(LISTENER_CLOSE_TIME);
    }

    fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Executes a step; returns the thread of a step that continues in the background.
    fn execute(self: Arc<Self>, step: Step) -> Result<Option<JoinHandle<()>>, TrialError> {
        match step {
            Step::FailDiscovery { node, fault, length } => {
                let coordinators = lock(&self.coordinators).clone();
                for (number, coordinator) in coordinators.into_iter().enumerate() {
                    if node.is_none_or(|node| node == number) {
                        if !coordinator.fail(fault) {
                            continue;
                        }
                        self.scheduler.after(length, move || {
                            if let Err(error) = coordinator.recover() {
                                eprintln!(
                                    "coordinator {} can't listen again after a fault: {error}",
                                    coordinator.address
                                );
                            }
                        });
                    }
                }
            }
            Step::SetWriteFaults { node, faults } => {
                for (number, coordinator) in lock(&self.coordinators).iter().enumerate() {
                    if node.is_none_or(|node| node == number) {
                        coordinator.set_write_faults(faults);
                    }
                }
            }
            Step::MoveCoordinator(node) => self.move_coordinator(node)?,
            Step::Crash(server) => self.crash_server(server)?,
            Step::Restart { server, renamed } => self.restart_server(server, renamed),
            Step::Stall { node, length } => {
                return Ok(Some(thread::spawn(move || self.stall(node, length))));
            }
            Step::Replace { server, drain_time } => self.replace_server(server, drain_time)?,
            Step::Behave { server, behaviour, length } => {
                let server = lock(&self.servers)[server].clone();
                server.behave(behaviour);
                self.scheduler.after(length, move || server.behave(Behaviour::Healthy));
            }
            Step::CloseIdle(server) => lock(&self.servers)[server].close_idle(),
            Step::Terminate(node) => return Ok(Some(thread::spawn(move || self.terminate(node)))),
            Step::Kill(node) => return Ok(Some(thread::spawn(move || self.kill(node)))),
            Step::BadCallers(node) => {
                let (traffic, recorder) = (self.traffic[node].clone(), self.recorder.clone());
                return Ok(Some(thread::spawn(move || bad_callers::send_bad_input(&traffic, &recorder))));
            }
        }
        Ok(None)
    }

    /// Moves a node's coordinator to a new address and sends the node SIGHUP.
    fn move_coordinator(self: &Arc<Self>, node: usize) -> Result<(), TrialError> {
        let next_address = address(self.config.subnet, COORDINATOR_NET, self.next_number(), COORDINATOR_PORT);
        let coordinator = Coordinator::start(node, next_address, self.list.clone(), self.recorder.clone())
            .map_err(failed(format!("new coordinator of n{node}")))?;
        let former = std::mem::replace(&mut lock(&self.coordinators)[node], coordinator.clone());
        coordinator.set_write_faults(former.write_faults());
        former.retire();
        self.recorder.record(Event::DiscoveryMoved { node });
        self.write_configuration(node)?;
        let restarts = self.restarts[node].load(Ordering::Relaxed);
        let trial = self.clone();
        thread::spawn(move || {
            let process = lock(&trial.processes[node]);
            // A process that was restarted meanwhile has read the new file.
            if trial.restarts[node].load(Ordering::Relaxed) == restarts {
                let _ = process.signal(Signal::HUP);
            }
        });
        Ok(())
    }

    fn write_configuration(&self, node: usize) -> Result<NodeFiles, TrialError> {
        let configuration = NodeConfiguration {
            node,
            listen: self.traffic[node].listen,
            coordinator: lock(&self.coordinators)[node].address,
            known: lock(&self.list).known(node),
            seed: node_seed(self.seed, self.next_number()),
        };
        let files = NodeFiles::in_folder(&self.config.folder, node);
        let text = configuration.to_text(&self.settings);
        files.write_configuration(&text).map_err(failed(format!("configuration of n{node}")))?;
        Ok(files)
    }

    /// Suspends a node for a while. The lock on its process delays a termination or kill until the node is resumed.
    fn stall(&self, node: usize, length: Duration) {
        let Ok(process) = self.processes[node].try_lock() else { return };
        self.recorder.record(Event::Stalled { node, length });
        // Signals to a process that has just exited fail, which is harmless.
        let _ = process.signal(Signal::STOP);
        thread::sleep(length);
        let _ = process.signal(Signal::CONT);
    }

    /// Sends SIGTERM to a node, then SIGKILL if it has not exited at the earliest permitted time, and restarts it.
    fn terminate(&self, node: usize) {
        let mut process = lock(&self.processes[node]);
        // A process that has just started may not handle SIGTERM yet, and its exit would wrongly count as a crash.
        if let Err(error) = NodeProcess::await_ready(self.traffic[node].listen) {
            eprintln!("n{node} does not accept connections before SIGTERM: {error}");
        }
        self.recorder.record(Event::Terminated { node });
        // The signal fails if the process has exited, which `wait_until` finds below.
        let _ = process.signal(Signal::TERM);
        let terminated = Instant::now();
        self.traffic[node].stop_connecting_after(NEW_CONNECTIONS_AFTER_TERM);
        let deadline = self.settings.deadline.min(MAX_SHUTDOWN_DEADLINE);
        match process.wait_until(terminated + deadline + SHUTDOWN_GRACE) {
            Ok(Some(status)) => self.recorder.record(Event::Exited { node, success: status.success() }),
            _ => self.kill_process(node, &mut process),
        }
        self.restart(node, &mut process);
    }

    fn kill(&self, node: usize) {
        let mut process = lock(&self.processes[node]);
        self.kill_process(node, &mut process);
        self.restart(node, &mut process);
    }

    fn kill_process(&self, node: usize, process: &mut NodeProcess) {
        self.recorder.record(Event::Killed { node });
        if let Err(error) = process.kill() {
            eprintln!("n{node} can't be killed: {error}");
        }
    }

    fn restart(&self, node: usize, process: &mut NodeProcess) {
        self.recorder.record(Event::Started { node });
        let started = self.write_configuration(node).and_then(|files| {
            NodeProcess::start(&self.config.program, &files, &self.config.log_level)
                .map_err(failed(format!("n{node}")))
        });
        self.restarts[node].fetch_add(1, Ordering::Relaxed);
        match started {
            Ok(next) => *process = next,
            Err(error) => eprintln!("{error}"),
        }
        self.traffic[node].resume_connecting();
    }
}
