//! An emulated signalling server. One processor serves all set-ups, answers, releases, retransmissions and rejections.
//! The number of lines limits the established calls. After a start the process is cold and warms up; it crashes if it
//! is overloaded while it is cold.

mod circuits;
mod overload;
mod processor;
mod reports;
mod script;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_config::scenario::{EmulatedServer, Scenario};
use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::{Command, Response, TransactionId, Verb, code, parameter};
use ochrelead_mgcp::transaction::{TransactionConfig, TransactionEvent, TransactionLayer};

use crate::{Peer, first_transaction};
use circuits::{Circuit, CircuitSelector, CircuitTable, connection_id, local_name};
use overload::OverloadDetector;
use processor::{Processor, SetUp, Task};
use script::{Script, ScriptedAction};

/// The reason code of calls that are cut because their server's process is replaced.
const REPLACED: &str = "900 replaced";

/// The state of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Serving,
    /// The process runs and receives datagrams, but sends none.
    Silent,
    /// The process does not run.
    Stopped,
    /// The process was overloaded while it was cold, and has ended.
    Crashed,
}

/// The parameters of a server.
#[derive(Clone, Debug)]
pub struct ServerConfig<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// The index of the server in the scenario.
    pub index: usize,
    /// The name of the server, which is the domain of its endpoints.
    pub name: String,
    /// The addresses of all fronts.
    pub fronts: Vec<SocketAddr>,
    /// When the scenario begins.
    pub scenario_start: Moment,
    /// Whether the process has just been started and must warm up.
    pub is_cold: bool,
}

/// An emulated signalling server.
pub struct Server {
    config: EmulatedServer,
    name: String,
    fronts: Vec<SocketAddr>,
    transactions: TransactionLayer,
    now: Moment,
    state: ProcessState,
    processor: Processor,
    overload: OverloadDetector,
    circuits: CircuitTable,
    /// The transaction of the last load report to each front.
    last_reports: HashMap<SocketAddr, TransactionId>,
    script: Script,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
}

impl Server {
    /// Creates a server whose process runs.
    ///
    /// # Panics
    ///
    /// Panics if the scenario has no server with this index, or if the name is not a valid domain.
    pub fn new(config: ServerConfig<'_>, now: Moment) -> Server {
        let ServerConfig { scenario, index, name, fronts, scenario_start, is_cold } = config;
        let config = scenario.servers[index];
        let front = &scenario.front;
        let transactions = TransactionConfig { sends_provisional: false, ..front.transactions };
        let mut server = Server {
            config,
            name,
            fronts,
            transactions: TransactionLayer::new(transactions, first_transaction(now) + index as u32),
            now,
            state: ProcessState::Serving,
            processor: Processor::new(config),
            overload: OverloadDetector::new(front),
            circuits: CircuitTable::default(),
            last_reports: HashMap::new(),
            script: Script::new(scenario, index, scenario_start, now),
            datagrams: VecDeque::new(),
        };
        if is_cold {
            server.start_cold();
        }
        // Staggers the load reports of the servers evenly over the interval.
        let offset = config.report_interval.scaled(index as f64 / scenario.servers.len() as f64);
        server.script.schedule_report(now + offset);
        server
    }

    // ---- Process lifecycle ----

    fn start_cold(&mut self) {
        self.state = ProcessState::Serving;
        self.processor.start_cold(self.now);
        self.announce_restart();
    }

    /// Ends the process: drops its calls and all queued work.
    fn end_process(&mut self, state: ProcessState) {
        self.state = state;
        self.processor.clear();
        self.circuits.clear();
        self.overload.clear();
    }

    fn is_running(&self) -> bool {
        matches!(self.state, ProcessState::Serving | ProcessState::Silent)
    }

    /// Counts arriving work, in units of one set-up. Ends a cold process as crashed if the work overloads it.
    fn add_load(&mut self, set_ups: f64) {
        if !self.processor.is_cold(self.now) {
            return self.overload.clear();
        }
        let capacity = self.processor.capacity(self.now, self.overload.window());
        if self.overload.is_overloaded_by(self.now, set_ups, capacity) {
            self.end_process(ProcessState::Crashed);
        }
    }

    /// Counts and queues arriving work that has no result, in units of one set-up.
    fn add_overhead(&mut self, set_ups: f64) {
        self.add_load(set_ups);
        self.processor.enqueue(set_ups, Task::Overhead);
    }

    // ---- Commands ----

    fn handle_command(&mut self, from: SocketAddr, command: &Command) {
        match command.verb {
            Verb::CreateConnection => self.handle_set_up(from, command),
            Verb::DeleteConnection => self.handle_release(from, command),
            Verb::AuditEndpoint => {
                self.processor.enqueue(self.config.read_work, Task::Overhead);
                self.respond(from, Response::new(code::DONE, command.transaction));
            }
            _ => self.respond(from, Response::new(code::UNSUPPORTED, command.transaction)),
        }
    }

    fn handle_set_up(&mut self, from: SocketAddr, command: &Command) {
        let value = |name: &str| command.parameters.get(name).unwrap_or("").to_owned();
        let set_up = SetUp {
            front: from,
            transaction: command.transaction,
            call_id: value(parameter::CALL_ID),
            called_number: value(parameter::CALLED_NUMBER),
            is_cancelled: false,
        };
        if let Some(rejection) = self.rejection(&set_up) {
            self.add_overhead(self.config.read_work + self.config.reject_work);
            return self.respond(from, rejection);
        }
        self.add_load(1.0);
        self.processor.enqueue(1.0, Task::SetUp(set_up));
    }

    /// Returns the response to a set-up that must be rejected, or none if it can be accepted.
    fn rejection(&self, set_up: &SetUp) -> Option<Response> {
        let transaction = set_up.transaction;
        let queue_delay = self.processor.queue_delay(self.now);
        if queue_delay > self.config.max_queue {
            let rejection = Response::new(code::OVERLOAD, transaction);
            if !self.config.names_retry_after {
                return Some(rejection);
            }
            // Half of the queue delay, after which the queue has room again.
            let retry_after_ms = queue_delay.micros() / 2_000;
            return Some(rejection.with(parameter::SERVER_RETRY_AFTER, retry_after_ms));
        }
        if self.circuits.len() >= self.config.lines as usize {
            return Some(Response::new(code::NO_ENDPOINT, transaction));
        }
        let is_busy = self.circuits.is_busy(&set_up.called_number);
        is_busy.then(|| Response::new(code::OFF_HOOK, transaction))
    }

    fn handle_release(&mut self, from: SocketAddr, command: &Command) {
        let call_id = command.parameters.get(parameter::CALL_ID);
        let circuits = self.circuits.select(&CircuitSelector {
            front: from,
            local_name: command.endpoint.local(),
            has_wildcard: command.endpoint.has_wildcard(),
            call_id,
            connection_id: command.parameters.get(parameter::CONNECTION_ID),
        });
        if let Some(call_id) = call_id {
            self.processor.cancel(from, call_id);
        }
        let is_unknown = circuits.is_empty();
        let work = if is_unknown { self.config.read_work } else { self.config.follow_up_work };
        let transaction = command.transaction;
        self.processor.enqueue(work, Task::Release { front: from, transaction, circuits });
    }

    // ---- Finished tasks ----

    fn on_finished(&mut self, task: Task) {
        match task {
            Task::SetUp(set_up) | Task::Answer(set_up) if set_up.is_cancelled => {
                self.respond(set_up.front, Response::new(code::ABORTED, set_up.transaction));
            }
            Task::SetUp(set_up) => {
                self.processor.enqueue(self.config.follow_up_work, Task::Answer(set_up));
            }
            Task::Answer(set_up) => self.establish(set_up),
            Task::Release { front, transaction, circuits } => {
                self.circuits.release(&circuits);
                self.respond(front, Response::new(code::DELETED, transaction));
            }
            Task::Overhead => {}
        }
    }

    fn establish(&mut self, set_up: SetUp) {
        let SetUp { front, transaction, call_id, called_number, .. } = set_up;
        let id = self.circuits.insert(Circuit { front, call_id: call_id.clone(), called_number });
        let response = Response::new(code::DONE, transaction)
            .with(parameter::CONNECTION_ID, connection_id(id))
            .with(parameter::SPECIFIC_ENDPOINT_ID, format!("{}@{}", local_name(id), self.name))
            .with(parameter::ATTEMPT, call_id);
        self.respond(front, response);
    }

    // ---- Scripted actions ----

    fn perform(&mut self, action: ScriptedAction) {
        match action {
            ScriptedAction::SetState(state) => self.set_state(state),
            ScriptedAction::AnnounceDrain => self.announce_drain(),
            ScriptedAction::Replace => self.replace(),
            ScriptedAction::SetSlowdown(slowdown) => self.processor.set_slowdown(slowdown),
            ScriptedAction::ReportLoad => {
                if self.state == ProcessState::Serving {
                    self.report_load();
                }
                self.script.schedule_report(self.now + self.config.report_interval);
            }
        }
    }

    fn set_state(&mut self, state: ProcessState) {
        match state {
            ProcessState::Serving if self.state == ProcessState::Stopped => self.start_cold(),
            ProcessState::Stopped => self.end_process(ProcessState::Stopped),
            _ if self.state != ProcessState::Crashed => self.state = state,
            _ => {}
        }
    }

    /// Replaces the process by a cold one and cuts its calls.
    fn replace(&mut self) {
        let calls = self.circuits.iter().map(|(id, circuit)| {
            let command = Command::new(Verb::DeleteConnection, 0, self.endpoint(&local_name(id)))
                .with(parameter::CALL_ID, &circuit.call_id)
                .with(parameter::REASON_CODE, REPLACED);
            (circuit.front, command)
        });
        for (front, command) in calls.collect::<Vec<_>>() {
            // If the limit of outstanding commands is reached, a front learns of the cut from the restart announcement.
            let _ = self.transactions.send_command(self.now, front, command);
        }
        self.end_process(ProcessState::Serving);
        self.start_cold();
    }

    // ---- Observable state ----

    /// Returns the number of established calls.
    pub fn established_calls(&self) -> usize {
        self.circuits.len()
    }

    /// Iterates over the established calls as pairs of front address and attempt id.
    pub fn calls(&self) -> impl Iterator<Item = (SocketAddr, &str)> {
        self.circuits.iter().map(|(_, circuit)| (circuit.front, circuit.call_id.as_str()))
    }

    /// Whether the process has crashed because it was overloaded while it was cold.
    pub fn has_crashed(&self) -> bool {
        self.state == ProcessState::Crashed
    }
}

impl Peer for Server {
    fn handle_datagram(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.now = self.now.max(now);
        if !self.is_running() {
            return;
        }
        self.transactions.handle_datagram(now, from, bytes);
        while let Some(event) = self.transactions.poll_event() {
            match event {
                TransactionEvent::CommandReceived { from, command } => self.handle_command(from, &command),
                TransactionEvent::CommandRepeated { .. } => self.add_overhead(self.config.repeat_work),
                _ => {}
            }
        }
    }

    fn process(&mut self, now: Moment) {
        self.now = self.now.max(now);
        while let Some(action) = self.script.next_due(now) {
            self.perform(action);
        }
        if !self.is_running() {
            while self.transactions.poll_datagram().is_some() {}
            return;
        }
        if self.state == ProcessState::Serving {
            while let Some(task) = self.processor.poll_finished(self.now) {
                self.on_finished(task);
            }
        }
        self.transactions.process(now);
        while let Some(datagram) = self.transactions.poll_datagram() {
            if self.state == ProcessState::Serving {
                self.datagrams.push_back(datagram);
            }
        }
    }

    fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    fn poll_timeout(&self) -> Option<Moment> {
        let is_serving = self.state == ProcessState::Serving;
        let processor = self.processor.poll_timeout().filter(|_| is_serving);
        let transactions = self.transactions.poll_timeout().filter(|_| self.is_running());
        [self.script.poll_timeout(), processor, transactions].into_iter().flatten().min()
    }
}
