//! The front's engine: from datagrams in to datagrams out, without I/O.
//!
//! The way of a session: a gateway's NTFY is parsed (`caller_side`) and its call request handed to the policy; the
//! policy's INVITE becomes a CRCX on a server's trunk group (`server_side`); the server's 200 becomes the caller's MDCX,
//! its failure goes back to the policy; the policy's rejection or failure becomes the caller's busy or reorder tone.
//! What the host hands in only updates state; [`Engine::process`] then carries out decisions until there is none left.
//! `transactions` dispatches what the MGCP transaction layer reports, `call_table` holds the sessions.

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

/// Called numbers that are remembered at once: a flood of new ones evicts the oldest.
const MAX_CALLED_NUMBERS: usize = 65_536;
/// Attempts whose hang-up came without a session, remembered at once.
const MAX_ENDED_ATTEMPTS: usize = 16_384;
/// A turn that is late by this part of the shortest post-dial target is reported as a stall. An idle front looks at the
/// clock as often: otherwise it could not tell that it stood still.
const TURNS_PER_TARGET: u64 = 6;
/// By what share of the answer margin a busy machine's clock may be late; beyond it, input may have been unread since
/// the last turn. Less than the margin, or an answer that is in time by this clock is late for its caller.
const LATE_SHARE: f64 = 0.8;
/// Events that wait for the host; further ones are dropped, the sessions go on.
const MAX_EVENTS: usize = 65_536;

/// How much the engine holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Sessions, with a final answer or not.
    pub sessions: usize,
    /// Commands that wait for a response.
    pub open_commands: usize,
}

/// The state of one server, for the event log.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReport {
    /// The name of the server.
    pub name: String,
    /// What the policy knows of it.
    pub snapshot: ServerSnapshot,
    /// Since when nothing was heard of it; none where nothing ever was.
    pub silent_for: Option<Span>,
}

/// A front without I/O.
pub struct Engine {
    config: FrontConfig,
    policy: Box<dyn CallPolicy + Send>,
    now: Moment,
    transactions: TransactionLayer,
    calls: CallTable,
    server_table: ServerTable,
    called_numbers: CalledNumberTable,
    pending_commands: HashMap<TransactionId, PendingCommand>,
    /// Attempts that have ended, though this front holds no session of them: nothing is set up for them any more.
    ended_attempts: RecentIds,
    releases: PendingReleases,
    drain_state: DrainState,
    /// The longest time between two turns.
    max_turn_gap: Span,
    events: VecDeque<EngineEvent>,
    next_timeout: Option<Moment>,
    last_turn: Moment,
    /// How long input that is read now may have been unread.
    input_delay: Span,
    /// When anything was last heard of each server.
    last_heard: Vec<Option<Moment>>,
    /// The line capacity of each server that was last reported as an event.
    sampled_lines: Vec<Option<LineCapacity>>,
}

impl Engine {
    /// A front in service. Its transaction ids begin at `first_transaction`, which has to be another at each start.
    pub fn new(
        config: FrontConfig,
        policy: Box<dyn CallPolicy + Send>,
        first_transaction: u32,
        now: Moment,
    ) -> Engine {
        let endpoints = config.servers.clone();
        let targets = config.controller.services.iter().map(|service| service.post_dial_target);
        let max_turn_gap = targets.min().unwrap_or(Span::from_secs(1)) / TURNS_PER_TARGET;
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
            max_turn_gap,
            events: VecDeque::new(),
            next_timeout: None,
            last_turn: now,
            input_delay: Span::ZERO,
            last_heard: Vec::new(),
            sampled_lines: Vec::new(),
        };
        engine.update_endpoints(now, &endpoints);
        engine
    }

    fn advance_to(&mut self, now: Moment) {
        let late = self.next_timeout.map_or(Span::ZERO, |timeout| now.since(timeout));
        let margin = self.config.answer_margin.scaled(LATE_SHARE);
        if late > margin.max(self.config.controller.min_poll_interval * 4) {
            // What was received since the last turn was unread, for an unknown time.
            self.input_delay = now.since(self.last_turn);
        }
        if late > self.max_turn_gap {
            self.next_timeout = None;
            self.emit(EngineEvent::Stalled(late));
        }
        self.now = self.now.max(now);
        self.policy.advance_to(self.now);
    }

    // ---- Input ----

    /// A datagram was received.
    pub fn handle_datagram(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.advance_to(now);
        self.transactions.handle_datagram(self.now, from, bytes);
        self.handle_transaction_events();
    }

    /// The list of servers is replaced.
    pub fn update_endpoints(&mut self, now: Moment, endpoints: &[ServerEndpoint]) {
        self.advance_to(now);
        self.config.numbering_plan.set_servers(endpoints);
        for (service, name) in self.config.service_names.iter().enumerate() {
            let serves =
                |endpoint: &&ServerEndpoint| endpoint.services.is_empty() || endpoint.services.contains(name);
            let serving = endpoints.iter().filter(serves);
            let mut servers: Vec<i64> = serving.map(|endpoint| endpoint.number).collect();
            // The servers that the configuration allows for a service hold where the list names no services.
            let allowed = &self.config.controller.services[service].servers;
            servers.retain(|number| allowed.is_empty() || allowed.contains(number));
            let all_serve = servers.len() == endpoints.len();
            self.policy.on_service_servers(ServiceIx::new(service), if all_serve { &[] } else { &servers });
        }
        let updates = self.server_table.replace_list(endpoints, self.now);
        self.policy.on_endpoints(true, &updates);
        self.emit(EngineEvent::EndpointsChanged(self.server_table.listed_servers()));
    }

    /// Restores what the servers had said of themselves before this front was restarted.
    pub fn restore_self_reports(&mut self, now: Moment, persisted: &[ListedServer]) {
        self.advance_to(now);
        let updates = self.server_table.restore_self_reports(persisted);
        self.policy.on_endpoints(true, &updates);
        self.emit(EngineEvent::EndpointsChanged(self.server_table.listed_servers()));
    }

    /// A datagram could not be sent. A set-up to that address has failed to connect; all else is repeated.
    pub fn on_send_failed(&mut self, now: Moment, to: SocketAddr) {
        self.advance_to(now);
        let Some(server) = self.server_table.find_by_address(to) else { return };
        for session in self.calls.inviting_at(server) {
            // The server may have moved: an INVITE to its other address is under way.
            if self.is_served_from(session, to) {
                self.abort_invite(session, InviteOutcome::ConnectFailed);
            }
        }
    }

    /// Leaves service: no new sessions, each held one gets its answer, within the bound of the configuration.
    pub fn drain(&mut self, now: Moment) {
        self.advance_to(now);
        self.drain_state.start(self.now, self.config.drain_time);
    }

    /// Whether a front that leaves service has nothing left to do.
    pub fn is_drained(&self) -> bool {
        self.drain_state == DrainState::Closed
    }

    // ---- Output ----

    /// Does all that is due: repeats, time-outs, and the policy's decisions.
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
        // Where a decision met a full table, its session went back to the policy: it is counted as unfinished.
        self.drain_state.update(self.now, self.unfinished(), self.config.drain_time);
        self.next_timeout = self.earliest_timeout();
        (self.last_turn, self.input_delay) = (self.now, Span::ZERO);
    }

    fn earliest_timeout(&mut self) -> Option<Moment> {
        let timeouts = [
            self.policy.poll_timeout(),
            self.transactions.poll_timeout(),
            self.calls.poll_timeout(),
            self.releases.poll_timeout(),
            self.drain_state.poll_timeout(self.now, self.config.drain_time),
            Some(self.now + self.max_turn_gap),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// What a front that leaves service still has to finish.
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

    /// The bound of a drain has passed: the session fails and its INVITE is cancelled.
    fn fail_at_drain_deadline(&mut self, session: SessionIx) {
        self.policy.on_caller_gone(session);
        if let Some(Phase::Inviting(invite)) = self.calls.get(session).map(|call| &call.phase) {
            let server = invite.server;
            self.cancel_invite(session);
            self.policy.on_invite_ended(session, server, InviteOutcome::Cancelled, true);
        }
        self.fail(session, None);
    }

    /// When [`Engine::process`] is due although nothing was received.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.next_timeout
    }

    /// The next datagram to send, and its destination.
    pub fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.transactions.poll_datagram()
    }

    /// The next event for the log and the event log.
    pub fn poll_event(&mut self) -> Option<EngineEvent> {
        self.events.pop_front()
    }

    // ---- State that is shown ----

    /// One line a server: its state and the reason for it.
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

    /// Releases that servers have not confirmed.
    pub fn unconfirmed_releases(&self) -> usize {
        self.releases.unconfirmed()
    }

    /// Whether the session of that attempt is held.
    pub fn has_session(&self, attempt: &str) -> bool {
        self.calls.find(attempt).is_some()
    }

    /// How much it holds.
    pub fn load(&self) -> EngineLoad {
        EngineLoad { sessions: self.calls.len(), open_commands: self.transactions.load().outstanding }
    }

    // ---- For the engine's parts ----

    fn emit(&mut self, event: EngineEvent) {
        if self.events.len() < MAX_EVENTS {
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
