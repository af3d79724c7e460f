//! A simulated front: its machine, and a process that runs the unmodified engine and does the work of its host.

mod event_log;

use std::collections::VecDeque;
use std::net::SocketAddr;

use ochrelead_config::front_config::FrontConfig;
use ochrelead_core::time::{Moment, Span};
use ochrelead_discovery::persistence::PersistedEndpoints;
use ochrelead_discovery::store;
use ochrelead_event_log::reader::Log;
use ochrelead_event_log::schema::event::What;
use ochrelead_front::engine::Engine;
use ochrelead_front::event_recording;
use ochrelead_front::events::EngineEvent;
use ochrelead_host::call_policy::CallPolicy;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::clock::{ProcessClock, SystemClock};
use crate::disk::MemoryDisk;
use crate::session_tracker::SessionTracker;
use crate::violation::{InvariantError, ViolationCause};
use event_log::EventLog;

/// Delay between a change of the list of servers and its save by the host's writer thread.
const SAVE_DELAY: Span = Span::from_millis(2);
/// Interval at which the status of each server is recorded.
const STATUS_INTERVAL: Span = Span::from_secs(1);
/// Maximum number of unread datagrams in a socket's receive queue; further ones are lost.
const SOCKET_CAPACITY: usize = 512;
/// Maximum number of INVITEs per session; the configuration can only lower it (docs/design.md).
const MAX_INVITES: u32 = 3;
/// Time for which a session may wait for a server that has just started, in addition to its release wait, before it
/// must be answered.
const SERVER_START_GRACE: Span = Span::from_millis(500);
/// Maximum number of event-loop iterations at one point in time; more than this count as an endless loop.
const MAX_ITERATIONS_AT_ONE_TIME: u32 = 2_000;

/// A running front process.
pub struct FrontProcess {
    /// The unmodified engine of the front.
    pub engine: Engine,
    clock: ProcessClock,
    sessions: SessionTracker,
    /// The list of servers to save, with the local time of the save.
    pending_save: Option<(Moment, PersistedEndpoints)>,
    next_status: Moment,
    iterations: IterationCounter,
}

/// Counts the iterations of a process's event loop at one point in time.
struct IterationCounter {
    time: Moment,
    iterations: u32,
}

impl IterationCounter {
    /// Counts an iteration and returns the number of earlier ones at the same time.
    fn count(&mut self, now: Moment) -> u32 {
        self.iterations = if self.time == now { self.iterations + 1 } else { 0 };
        self.time = now;
        self.iterations
    }
}

/// The machine of a front. Its clock, disk and configuration persist across the front's processes.
pub struct FrontMachine {
    /// The configuration that each process starts with.
    pub config: FrontConfig,
    /// The system clock.
    pub clock: SystemClock,
    /// The disk with the front's state folder.
    pub disk: MemoryDisk,
    /// Whether a kill interrupts a pending save and can tear its write.
    pub tears_writes: bool,
    /// The running process, if any.
    pub process: Option<FrontProcess>,
    /// The number of processes that have been started.
    pub incarnations: u32,
    /// Whether the process is stalled: it does nothing until it is resumed.
    pub stalled: bool,
    socket: VecDeque<(SocketAddr, Vec<u8>)>,
    /// The event logs of all processes; `None` if they are not recorded.
    logs: Option<Vec<EventLog>>,
}

impl FrontMachine {
    /// Creates a machine without a running process.
    pub fn new(config: FrontConfig, records_logs: bool) -> FrontMachine {
        FrontMachine {
            config,
            clock: SystemClock::default(),
            disk: MemoryDisk::default(),
            tears_writes: false,
            process: None,
            incarnations: 0,
            stalled: false,
            socket: VecDeque::new(),
            logs: records_logs.then(Vec::new),
        }
    }

    /// Starts a process. `make_policy` creates its call policy from the configuration and the local time; `restore` maps
    /// the state loaded from the disk to the state that the process restores.
    pub fn start(
        &mut self,
        now: Moment,
        make_policy: impl FnOnce(&FrontConfig, Moment) -> Box<dyn CallPolicy + Send>,
        restore: impl FnOnce(Option<PersistedEndpoints>) -> Option<PersistedEndpoints>,
        rng: &mut Pcg64Mcg,
    ) {
        self.disk.restart();
        self.incarnations += 1;
        self.socket.clear();
        self.stalled = false;
        let clock = self.clock.start_process(now);
        let local_now = clock.read(now);
        self.config.controller.seed = rng.random();
        let policy = make_policy(&self.config, local_now);
        let mut engine = Engine::new(self.config.clone(), policy, rng.random(), local_now);
        let persisted = store::load(&self.disk).ok().and_then(|loaded| loaded.endpoints);
        if let Some(persisted) = restore(persisted) {
            engine.restore_self_reports(local_now, &persisted.servers);
        }
        if let Some(logs) = &mut self.logs {
            logs.push(EventLog::new(&self.config.name, local_now));
        }
        record(&mut self.logs, local_now, What::Life("start".to_owned()));
        self.process = Some(FrontProcess {
            engine,
            clock,
            sessions: SessionTracker::default(),
            pending_save: None,
            next_status: local_now,
            iterations: IterationCounter { time: now, iterations: 0 },
        });
    }

    /// Kills the process. If writes are torn, the kill interrupts a pending save at a random disk operation.
    pub fn kill(&mut self, rng: &mut Pcg64Mcg) {
        let Some(process) = self.process.take() else { return };
        if let Some((_, endpoints)) = process.pending_save.filter(|_| self.tears_writes) {
            self.disk.fail_after(rng.random_range(0..4));
            // The save may fail at the interrupted operation; the next process loads what reached the disk.
            let _ = store::save(&mut self.disk, &endpoints);
        }
        self.stalled = false;
        self.socket.clear();
    }

    /// Returns whether the socket accepts a datagram. A datagram is lost if no process runs or the receive queue is
    /// full; while the process is stalled, datagrams stay queued.
    pub fn can_receive(&self) -> bool {
        self.process.is_some() && self.socket.len() < SOCKET_CAPACITY
    }

    /// Appends a datagram to the socket's receive queue.
    pub fn receive(&mut self, sender: SocketAddr, bytes: Vec<u8>) {
        self.socket.push_back((sender, bytes));
    }

    /// Runs an iteration of the process's event loop: handles the queued datagrams, expired timers and engine events,
    /// saves pending state and checks the invariants. Does nothing without a process or while it is stalled.
    ///
    /// # Errors
    ///
    /// Returns an error if an invariant is violated.
    pub fn process(&mut self, now: Moment) -> Result<(), InvariantError> {
        let Some(process) = self.process.as_mut().filter(|_| !self.stalled) else { return Ok(()) };
        let local_now = process.clock.read(now);
        while let Some((sender, bytes)) = self.socket.pop_front() {
            process.engine.handle_datagram(local_now, sender, &bytes);
        }
        process.engine.process(local_now);
        let max_invites = match self.config.controller.max_invites {
            0 => MAX_INVITES,
            configured => configured.min(MAX_INVITES),
        };
        let tracked = process.handle_events(local_now, max_invites, &mut self.logs);
        if let Some((_, endpoints)) = process.pending_save.take_if(|(time, _)| *time <= local_now) {
            // A save to a full disk fails and is not retried; the next change is saved again.
            let _ = store::save(&mut self.disk, &endpoints);
        }
        process.record_status(local_now, &mut self.logs);
        let idle_limit = self.config.controller.resend_delay * 2 + SERVER_START_GRACE;
        process.check_invariants(now, idle_limit, &self.config.name)?;
        tracked
    }

    /// Returns the true time of the process's next timeout; `None` without a process or while it is stalled.
    pub fn poll_timeout(&self, now: Moment) -> Option<Moment> {
        let process = self.process.as_ref().filter(|_| !self.stalled)?;
        let save = process.pending_save.as_ref().map(|(time, _)| *time);
        let timeouts = [process.engine.poll_timeout(), save, Some(process.next_status)];
        timeouts.into_iter().flatten().min().map(|time| process.clock.true_time(time, now))
    }

    /// Returns the event logs of all processes.
    pub fn into_logs(self) -> impl Iterator<Item = Log> {
        self.logs.into_iter().flatten().map(EventLog::into_log)
    }
}

impl FrontProcess {
    /// Handles all events that the engine emitted. Returns the first one that contradicts the tracked sessions, after
    /// all were handled.
    fn handle_events(
        &mut self,
        local_now: Moment,
        max_invites: u32,
        logs: &mut Option<Vec<EventLog>>,
    ) -> Result<(), InvariantError> {
        let mut result = Ok(());
        while let Some(event) = self.engine.poll_event() {
            if let EngineEvent::EndpointsChanged(servers) = &event {
                let endpoints = PersistedEndpoints { files: Vec::new(), servers: servers.clone() };
                self.pending_save = Some((local_now + SAVE_DELAY, endpoints));
            }
            if let Some(what) = event_recording::to_record(&event, 0) {
                record(logs, local_now, what);
            }
            if let EngineEvent::Session { attempt, step } = &event {
                let tracked = self.sessions.apply(local_now, attempt, step, max_invites);
                result = result.and(tracked.map_err(|error| InvariantError {
                    subject: attempt.clone(),
                    cause: ViolationCause::Session(error),
                }));
            }
        }
        result
    }

    fn record_status(&mut self, local_now: Moment, logs: &mut Option<Vec<EventLog>>) {
        if local_now < self.next_status {
            return;
        }
        self.next_status = local_now + STATUS_INTERVAL;
        if logs.is_some() {
            for report in self.engine.server_reports() {
                record(logs, local_now, event_recording::server_record(report));
            }
        }
    }

    fn check_invariants(&mut self, now: Moment, idle_limit: Span, front: &str) -> Result<(), InvariantError> {
        let error = |subject: &str, cause| Err(InvariantError { subject: subject.to_owned(), cause });
        if self.iterations.count(now) > MAX_ITERATIONS_AT_ONE_TIME {
            return error(front, ViolationCause::EndlessLoop { limit: MAX_ITERATIONS_AT_ONE_TIME });
        }
        if let Some(attempt) = self.sessions.idle_session(self.clock.read(now), idle_limit) {
            return error(attempt, ViolationCause::SessionIdle { limit: idle_limit });
        }
        let (tracked, reported) = (self.sessions.session_count(), self.engine.load().sessions);
        if tracked != reported {
            return error(front, ViolationCause::SessionCount { reported, tracked });
        }
        Ok(())
    }
}

/// Appends an event to the log of the latest process, if logs are recorded.
fn record(logs: &mut Option<Vec<EventLog>>, local_now: Moment, what: What) {
    if let Some(log) = logs.as_mut().and_then(|logs| logs.last_mut()) {
        log.append(local_now, what);
    }
}
