//! A front's machine and the process on it: the engine as it ships, and around it what its host would do.

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

/// How long after a change the writing thread saves the list of servers.
const SAVE_DELAY: Span = Span::from_millis(2);
/// How often the status of each server is recorded.
const STATUS_INTERVAL: Span = Span::from_secs(1);
/// Datagrams that a socket holds while nobody reads it.
const SOCKET_CAPACITY: usize = 512;
/// INVITEs of one session where the configuration names none, and at the most (docs/design.md).
const DEFAULT_MAX_INVITES: u32 = 3;
/// A session waits for its release, and up to so much longer for a server that has just started; then it has its
/// answer.
const IDLE_GRACE: Span = Span::from_millis(500);
/// More calls than this at one moment are a loop without end.
const MAX_CALLS_AT_ONCE: u32 = 2_000;

/// A front's process while it runs.
pub struct FrontProcess {
    /// The front's engine, as shipped.
    pub engine: Engine,
    clock: ProcessClock,
    sessions: SessionTracker,
    /// The list of servers that will be saved, and when.
    pending_save: Option<(Moment, PersistedEndpoints)>,
    next_status: Moment,
    calls: CallCounter,
}

/// Counts how often a process was called without time passing.
struct CallCounter {
    time: Moment,
    calls: u32,
}

impl CallCounter {
    fn count(&mut self, now: Moment) -> u32 {
        self.calls = if self.time == now { self.calls + 1 } else { 0 };
        self.time = now;
        self.calls
    }
}

/// The machine that a front runs on. It outlives the front's processes.
pub struct FrontMachine {
    /// The configuration that each process starts with.
    pub config: FrontConfig,
    /// The system clock.
    pub clock: SystemClock,
    /// The folder that the front's state is in.
    pub disk: MemoryDisk,
    /// Whether a kill tears what is being written.
    pub tears_writes: bool,
    /// The process, while one runs.
    pub process: Option<FrontProcess>,
    /// How many processes have run here.
    pub incarnations: u32,
    /// Whether the process is stopped: it reads nothing until it is resumed.
    pub stalled: bool,
    socket: VecDeque<(SocketAddr, Vec<u8>)>,
    /// The event logs of all processes, where they are kept.
    logs: Option<Vec<EventLog>>,
}

impl FrontMachine {
    /// A machine on which nothing runs yet.
    pub fn new(config: FrontConfig, keeps_logs: bool) -> FrontMachine {
        FrontMachine {
            config,
            clock: SystemClock::default(),
            disk: MemoryDisk::default(),
            tears_writes: false,
            process: None,
            incarnations: 0,
            stalled: false,
            socket: VecDeque::new(),
            logs: keeps_logs.then(Vec::new),
        }
    }

    /// Starts a process with the policy that `policy` makes and the persisted state that `restore` makes of what is on
    /// the disk.
    pub fn start(
        &mut self,
        now: Moment,
        policy: impl FnOnce(&FrontConfig, Moment) -> Box<dyn CallPolicy + Send>,
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
        let policy = policy(&self.config, local_now);
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
            calls: CallCounter { time: now, calls: 0 },
        });
    }

    /// Kills the process, at any point of what its writing thread does.
    pub fn kill(&mut self, rng: &mut Pcg64Mcg) {
        let Some(process) = self.process.take() else { return };
        if let Some((_, endpoints)) = process.pending_save.filter(|_| self.tears_writes) {
            self.disk.fail_after(rng.random_range(0..4));
            // It fails where the kill strikes; the next process loads what is there.
            let _ = store::save(&mut self.disk, &endpoints);
        }
        self.stalled = false;
        self.socket.clear();
    }

    /// Whether the socket takes a datagram: it waits there while the process is stalled, and is lost where there is
    /// no process or the socket is full.
    pub fn can_receive(&self) -> bool {
        self.process.is_some() && self.socket.len() < SOCKET_CAPACITY
    }

    /// A datagram comes to the socket.
    pub fn receive(&mut self, sender: SocketAddr, bytes: Vec<u8>) {
        self.socket.push_back((sender, bytes));
    }

    /// Reads what the socket holds and does what is due.
    ///
    /// # Errors
    ///
    /// Where an invariant is violated.
    pub fn process(&mut self, now: Moment) -> Result<(), InvariantError> {
        let Some(process) = self.process.as_mut().filter(|_| !self.stalled) else { return Ok(()) };
        let local_now = process.clock.read(now);
        while let Some((sender, bytes)) = self.socket.pop_front() {
            process.engine.handle_datagram(local_now, sender, &bytes);
        }
        process.engine.process(local_now);
        let max_invites = match self.config.controller.max_invites {
            0 => DEFAULT_MAX_INVITES,
            configured => configured.min(DEFAULT_MAX_INVITES),
        };
        let tracked = process.handle_events(local_now, max_invites, &mut self.logs);
        if let Some((_, endpoints)) = process.pending_save.take_if(|(time, _)| *time <= local_now) {
            // A full disk keeps what it had; the next change is saved again.
            let _ = store::save(&mut self.disk, &endpoints);
        }
        process.record_status(local_now, &mut self.logs);
        let idle_limit = self.config.controller.resend_delay * 2 + IDLE_GRACE;
        process.check_invariants(now, idle_limit, &self.config.name)?;
        tracked
    }

    /// The true time at which it wants to be called.
    pub fn poll_timeout(&self, now: Moment) -> Option<Moment> {
        let process = self.process.as_ref().filter(|_| !self.stalled)?;
        let save = process.pending_save.as_ref().map(|(time, _)| *time);
        let timeouts = [process.engine.poll_timeout(), save, Some(process.next_status)];
        timeouts.into_iter().flatten().min().map(|time| process.clock.true_time(time, now))
    }

    /// The event logs of all processes.
    pub fn into_logs(self) -> impl Iterator<Item = Log> {
        self.logs.into_iter().flatten().map(EventLog::into_log)
    }
}

impl FrontProcess {
    /// Follows what the engine says that it did; the first contradiction, after all events were handled.
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
        if self.calls.count(now) > MAX_CALLS_AT_ONCE {
            return error(front, ViolationCause::EndlessLoop { limit: MAX_CALLS_AT_ONCE });
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

/// Appends to the log of the process that runs, where logs are kept.
fn record(logs: &mut Option<Vec<EventLog>>, local_now: Moment, what: What) {
    if let Some(log) = logs.as_mut().and_then(|logs| logs.last_mut()) {
        log.append(local_now, what);
    }
}
