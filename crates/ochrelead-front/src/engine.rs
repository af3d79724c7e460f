//! The front's engine: turns received datagrams into datagrams to send, without I/O.
//!
//! A session passes through these steps. A gateway's NTFY is parsed (`caller_side`) and passed to the policy as a call
//! request. An INVITE that the policy decides on is sent as a CRCX on a server's trunk group (`server_side`). If the
//! server answers 200, the caller is connected by an MDCX; an error response is reported to the policy. If the policy
//! rejects or fails the session, the caller hears a busy or a reorder tone.
//!
//! The input methods update state only; [`Engine::process`] then executes the policy's decisions until none is left.
//! `transactions` dispatches the events of the MGCP transaction layer, and `call_table` stores the sessions.

mod call_table;
mod caller_side;
mod server_side;
mod transactions;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_config::front_config::FrontConfig;
use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{Decision, DecisionReason, InviteOutcome, LineCapacity, ServerSnapshot};
use ochrelead_discovery::server_table::{ListedServer, ServerTable};
use ochrelead_host::call_policy::CallPolicy;
use ochrelead_host::called_numbers::CalledNumberTable;
use ochrelead_host::recent_ids::RecentIds;
use ochrelead_mgcp::message::TransactionId;
use ochrelead_mgcp::transaction::TransactionLayer;

use crate::drain::DrainState;
use crate::events::{EngineEvent, SessionStep};
use crate::releases::PendingReleases;
use call_table::{CallTable, Phase};
use transactions::PendingCommand;

/// Capacity of the table of called numbers; a new number evicts the one that was called longest ago.
const MAX_CALLED_NUMBERS: usize = 65_536;
/// Capacity of the table of attempts whose hang-up was received while this front held no session of them.
const MAX_ENDED_ATTEMPTS: usize = 16_384;
/// A stall is reported when a call of [`Engine::process`] is late by more than the shortest post-dial target divided by
/// this number. An idle front is called at this interval too, or it could not detect a stall.
const STALL_CHECKS_PER_TARGET: u64 = 6;
/// The share of the answer margin by which a call of the engine may be late on a busy machine. If it is later, input is
/// taken to have been unread since the last call of [`Engine::process`]. The share is below 1, because an answer that
/// is in time by the front's clock would otherwise reach its caller after the deadline.
const TOLERATED_LATENESS_SHARE: f64 = 0.8;
/// Length of the queue of events for the host. When it is full, new events are dropped; sessions are not affected.
const MAX_QUEUED_EVENTS: usize = 65_536;

/// The number of sessions and open commands that the engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Sessions, both with and without a final answer.
    pub sessions: usize,
    /// Commands that have been sent and not answered.
    pub open_commands: usize,
}

/// The state of one server, for the event log.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReport {
    /// The name of the server.
    pub name: String,
    /// The policy's state of the server.
    pub snapshot: ServerSnapshot,
    /// The time since the last message of the server; `None` if none was ever received.
    pub silent_for: Option<Span>,
}

/// A front's state machine, without I/O.
pub struct Engine {
    config: FrontConfig,
    policy: Box<dyn CallPolicy + Send>,
    now: Moment,
    transactions: TransactionLayer,
    calls: CallTable,
    server_table: ServerTable,
    called_numbers: CalledNumberTable,
    pending_commands: HashMap<TransactionId, PendingCommand>,
    /// Attempts whose hang-up was received while no session of them was held. No call is set up for these attempts.
    ended_attempts: RecentIds<String>,
    releases: PendingReleases,
    drain_state: DrainState,
    /// The longest time between two calls of [`Engine::process`]; a call that is later by more than this is a stall.
    max_process_interval: Span,
    events: VecDeque<EngineEvent>,
    next_timeout: Option<Moment>,
    last_processed: Moment,
    /// The longest time for which the input that is read now may have waited unread.
    input_delay: Span,
    /// When the last message of each server was received.
    last_heard: Vec<Option<Moment>>,
    /// The line capacity that was last reported as an event, per server.
    sampled_lines: Vec<Option<LineCapacity>>,
}

impl Engine {
    /// Creates a front in service. Its transaction ids begin at `first_transaction`, which must differ at each start:
    /// servers store their responses by transaction id.
    pub fn new(
        config: FrontConfig,
        policy: Box<dyn CallPolicy + Send>,
        first_transaction: u32,
        now: Moment,
    ) -> Engine {
        let endpoints = config.servers.clone();
        let targets = config.controller.services.iter().map(|service| service.post_dial_target);
        let max_process_interval = targets.min().unwrap_or(Span::from_secs(1)) / STALL_CHECKS_PER_TARGET;
        let mut engine = Engine {
            transactions: TransactionLayer::new(config.transactions, first_transaction),
            releases: PendingReleases::new(&config.transactions),
            config,
            policy,
            now,
            calls: CallTable::default(),
            server_table: ServerTable::default(),
            called_numbers: CalledNumberTable::new(MAX_CALLED_NUMBERS),
            pending_commands: HashMap::new(),
            ended_attempts: RecentIds::new(MAX_ENDED_ATTEMPTS),
            drain_state: DrainState::InService,
            max_process_interval,
            events: VecDeque::new(),
            next_timeout: None,
            last_processed: now,
            input_delay: Span::ZERO,
            last_heard: Vec::new(),
            sampled_lines: Vec::new(),
        };
        engine.update_endpoints(now, &endpoints);
        engine
    }

    fn advance_to(&mut self, now: Moment) {
        let late = self.next_timeout.map_or(Span::ZERO, |timeout| now.since(timeout));
        let margin = self.config.answer_margin.scaled(TOLERATED_LATENESS_SHARE);
        if late > margin.max(self.config.controller.min_poll_interval * 4) {
            // The input may have been received at any time since the last processing.
            self.input_delay = now.since(self.last_processed);
        }
        if late > self.max_process_interval {
            self.next_timeout = None;
            self.emit(EngineEvent::Stalled(late));
        }
        self.now = self.now.max(now);
        self.policy.advance_to(self.now);
    }

    // ---- Input ----

    /// Handles a received datagram.
    pub fn handle_datagram(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.advance_to(now);
        self.transactions.handle_datagram(self.now, from, bytes);
        self.handle_transaction_events();
    }

    /// Replaces the list of servers.
    pub fn update_endpoints(&mut self, now: Moment, endpoints: &[ServerEndpoint]) {
        self.advance_to(now);
        self.config.numbering_plan.set_servers(endpoints);
        for (service, name) in self.config.service_names.iter().enumerate() {
            let offers_service =
                |endpoint: &&ServerEndpoint| endpoint.services.is_empty() || endpoint.services.contains(name);
            let serving = endpoints.iter().filter(offers_service);
            let mut servers: Vec<i64> = serving.map(|endpoint| endpoint.number).collect();
            // The list is further restricted to the servers that the configuration allows for the service, if any.
            let allowed = &self.config.controller.services[service].servers;
            servers.retain(|number| allowed.is_empty() || allowed.contains(number));
            let is_unrestricted = servers.len() == endpoints.len();
            self.policy
                .on_service_servers(ServiceIx::new(service), if is_unrestricted { &[] } else { &servers });
        }
        let updates = self.server_table.replace_list(endpoints, self.now);
        self.policy.on_endpoints(true, &updates);
        self.emit(EngineEvent::EndpointsChanged(self.server_table.listed_servers()));
    }

    /// Restores the states that the servers had reported before this front was restarted.
    pub fn restore_self_reports(&mut self, now: Moment, persisted: &[ListedServer]) {
        self.advance_to(now);
        let updates = self.server_table.restore_self_reports(persisted);
        self.policy.on_endpoints(true, &updates);
        self.emit(EngineEvent::EndpointsChanged(self.server_table.listed_servers()));
    }

    /// Handles a datagram that could not be sent. INVITEs to that address fail with `ConnectFailed`; other messages are
    /// left to the retransmission.
    pub fn on_send_failed(&mut self, now: Moment, to: SocketAddr) {
        self.advance_to(now);
        let Some(server) = self.server_table.find_by_address(to) else { return };
        for session in self.calls.inviting_at(server) {
            // If the server's address has changed, INVITEs that were sent to its other address are not affected.
            if self.is_served_from(session, to) {
                self.abort_invite(session, InviteOutcome::ConnectFailed);
            }
        }
    }

    /// Starts to drain: rejects new sessions, and gives each held session its final answer within the configured time.
    pub fn drain(&mut self, now: Moment) {
        self.advance_to(now);
        self.drain_state.start(self.now, self.config.drain_time);
    }

    /// Whether the drain has finished.
    pub fn is_drained(&self) -> bool {
        self.drain_state == DrainState::Closed
    }

    // ---- Output ----

    /// Executes everything that is due: retransmissions, time-outs, and the policy's decisions.
    pub fn process(&mut self, now: Moment) {
        self.advance_to(now);
        self.transactions.process(self.now);
        self.handle_transaction_events();
        while let Some(session) = self.calls.next_timed_out(self.now) {
            self.abort_invite(session, InviteOutcome::TimedOut);
        }
        if self.drain_state.is_overdue(self.now) {
            for session in self.calls.unanswered() {
                self.fail_at_drain_deadline(session);
            }
        }
        while let Some(release) = self.releases.next_due(self.now) {
            self.send_release(release);
        }
        while let Some(decision) = self.policy.next_decision() {
            self.execute(decision);
        }
        // A session whose INVITE could not be sent because the command table is full is pending again, and counts as
        // unfinished.
        self.drain_state.update(self.now, self.unfinished(), self.config.drain_time);
        self.next_timeout = self.earliest_timeout();
        (self.last_processed, self.input_delay) = (self.now, Span::ZERO);
    }

    fn earliest_timeout(&mut self) -> Option<Moment> {
        let timeouts = [
            self.policy.poll_timeout(),
            self.transactions.poll_timeout(),
            self.calls.poll_timeout(),
            self.releases.poll_timeout(),
            self.drain_state.poll_timeout(self.now, self.config.drain_time),
            Some(self.now + self.max_process_interval),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// The number of sessions, commands and releases that a draining front still has to finish.
    fn unfinished(&self) -> usize {
        self.calls.unanswered().len() + self.transactions.load().outstanding + self.releases.scheduled()
    }

    fn execute(&mut self, decision: Decision) {
        let cause = match self.policy.last_reason() {
            Some(DecisionReason::Rejected(cause)) => Some(cause),
            _ => None,
        };
        match decision {
            Decision::Invite { session, server, answer_timeout } => {
                self.send_invite(session, server, answer_timeout);
            }
            Decision::Reject { session, retry_after } => self.reject(session, retry_after, cause),
            Decision::Fail { session } => self.fail(session, cause),
        }
    }

    /// Fails a session that has no final answer when the drain's time is over, and cancels its INVITE.
    fn fail_at_drain_deadline(&mut self, session: SessionIx) {
        self.policy.on_caller_gone(session);
        if let Some(Phase::Inviting(invite)) = self.calls.get(session).map(|call| &call.phase) {
            let server = invite.server;
            self.cancel_invite(session);
            self.policy.on_invite_ended(session, server, InviteOutcome::Cancelled, true);
        }
        self.fail(session, None);
    }

    /// When [`Engine::process`] must be called next, even if nothing is received.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.next_timeout
    }

    /// The next datagram to send, and its destination.
    pub fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.transactions.poll_datagram()
    }

    /// The next event for the log file and the event log.
    pub fn poll_event(&mut self) -> Option<EngineEvent> {
        self.events.pop_front()
    }

    // ---- Status ----

    /// One line per server: its state and the reason for it.
    pub fn status(&self) -> Vec<String> {
        self.server_table.status()
    }

    /// The state of each listed server.
    pub fn server_reports(&self) -> Vec<ServerReport> {
        let report = |name: String| {
            let server = self.server_table.find_by_name(&name)?;
            let last_heard = self.last_heard.get(server.index()).copied().flatten();
            let silent_for = last_heard.map(|heard_at| self.now.since(heard_at));
            Some(ServerReport { name, snapshot: self.policy.server_snapshot(server)?, silent_for })
        };
        self.server_table
            .listed_servers()
            .into_iter()
            .filter_map(|server| report(server.endpoint.name))
            .collect()
    }

    /// The number of releases that servers have not confirmed.
    pub fn unconfirmed_releases(&self) -> usize {
        self.releases.unconfirmed()
    }

    /// Whether the front holds the session of this attempt.
    pub fn has_session(&self, attempt: &str) -> bool {
        self.calls.find(attempt).is_some()
    }

    /// The number of sessions and open commands that are held.
    pub fn load(&self) -> EngineLoad {
        EngineLoad { sessions: self.calls.len(), open_commands: self.transactions.load().outstanding }
    }

    // ---- Internal: event queue and names ----

    fn emit(&mut self, event: EngineEvent) {
        if self.events.len() < MAX_QUEUED_EVENTS {
            self.events.push_back(event);
        }
    }

    fn emit_step(&mut self, session: SessionIx, step: SessionStep) {
        if let Some(call) = self.calls.get(session) {
            let attempt = call.attempt.clone();
            self.emit(EngineEvent::Session { attempt, step });
        }
    }

    fn ignore_message(&mut self, from: SocketAddr, reason: impl Into<String>) {
        self.emit(EngineEvent::MessageIgnored { from: from.to_string(), reason: reason.into() });
    }

    fn server_name(&self, server: ServerIx) -> String {
        self.server_table.endpoint(server).name.clone()
    }
}
