//! The call handling of a node, without I/O: it takes the bytes received on sockets and produces the bytes to send.
//!
//! The path of a call: `caller_side` reads a line from a caller; `call_setup` validates the set-up and passes it to the
//! controller; `server_side` sends the INVITE that the controller decides on. `server_messages` forwards a server's
//! acceptance to the caller and reports a refusal to the controller. When the controller rejects or fails a call, its
//! caller is answered immediately. Inputs only update state; [`Engine::process`] then asks the controller for decisions
//! until it has none left.

mod byes;
mod call_setup;
mod caller_side;
mod observations;
mod release_recovery;
mod releases;
mod reported_calls;
mod requests;
mod server_connections;
mod server_messages;
mod server_side;
mod shutdown;

use std::collections::VecDeque;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{Decision, InviteOutcome};
use ochrelead_host::call_policy::CallPolicy;
use ochrelead_host::called_numbers::CalledNumberTable;
use ochrelead_host::recent_ids::RecentIds;
use ochrelead_platform::caller_messages::{self, CallId, cause};
use ochrelead_platform::configuration::Configuration;
use ochrelead_platform::events::EndpointChange;
use tracing::{Level, debug, info};

use crate::bounds::{Bounds, protocol};
use crate::call_table::CallTable;
use crate::caller_table::CallerTable;
use crate::coordinator_watch::{CoordinatorWatch, WatchConfig};
use crate::io::{CallerId, Input, Output};
use crate::reported_call_table::ReportedCallTable;
use crate::server_table::ServerTable;
use call_setup::ServiceCatalog;
use observations::FleetObservations;
use releases::PendingReleases;
use reported_calls::{DoubtfulCall, max_reported_age};
use shutdown::Shutdown;

/// The log target for established calls that end other than by a normal release; operators enable it with `--log`.
const CALL_END_LOG: &str = "ochrelead_node::ends";
/// The interval at which the state of the servers and the sizes of the tables are logged at debug level.
const LOG_INTERVAL: Span = Span::from_secs(1);

/// An INVITE that is held back until all input received from its caller has been read: that input may cancel the call
/// or end the connection.
#[derive(Clone, Copy, Debug)]
struct UncheckedInvite {
    caller: CallerId,
    session: SessionIx,
}

/// The sizes of the engine's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineLoad {
    /// Calls, including established ones.
    pub calls: usize,
    /// Connections of callers.
    pub callers: usize,
    /// Connections to signalling servers.
    pub server_connections: usize,
    /// Calls whose callers have not been answered yet.
    pub unanswered_calls: usize,
}

/// The call handling of a node: the host passes in each [`Input`] and carries out each [`Output`].
pub struct Engine {
    policy: Box<dyn CallPolicy>,
    now: Moment,
    bounds: Bounds,
    catalog: ServiceCatalog,
    connect_timeout: Span,
    /// Varies the delays of this node from those of the others.
    seed: u64,
    /// The idle time after which the node closes a connection to a server; `None` for no limit. It is shorter than the
    /// idle limit of the servers by the connect time-out, or by a quarter of the limit if that is less.
    max_idle: Option<Span>,
    calls: CallTable,
    callers: CallerTable,
    servers: ServerTable,
    called_numbers: CalledNumberTable,
    watch: CoordinatorWatch,
    /// Calls with a cancelled INVITE. If a server accepts the INVITE after all, the call is released there.
    cancelled: RecentIds<CallId>,
    /// Calls that have ended, including those unknown to this node that a server released: a former incarnation of the
    /// node may have set them up, and a caller may still report them.
    ended_calls: RecentIds<CallId>,
    /// Calls with an INVITE that was sent. An id that is used again is rejected: its call may have been established before.
    invited_calls: RecentIds<CallId>,
    reported_calls: ReportedCallTable,
    /// The longest time for which a reported call is kept; `None` if the settings name no holding times.
    max_reported_age: Option<Span>,
    /// Reported calls that may have ended with a process of their server.
    doubtful_calls: Vec<DoubtfulCall>,
    unchecked_invites: Vec<UncheckedInvite>,
    /// Callers' connections to close once their received input has been read, unless it contains a set-up.
    callers_to_close: Vec<CallerId>,
    pending_releases: PendingReleases,
    fleet: FleetObservations,
    shutdown: Option<Shutdown>,
    /// The time by which the next maintenance of the tables is due.
    maintenance_at: Moment,
    log_at: Moment,
    outputs: VecDeque<Output>,
    timeout: Option<Moment>,
}

impl Engine {
    /// Creates a node with the endpoints of the configuration. The policy decides where its calls are sent.
    pub fn new(configuration: &Configuration, policy: Box<dyn CallPolicy>, now: Moment) -> Engine {
        let settings = &configuration.settings;
        let bounds = Bounds::new(configuration.limits, settings.max_sessions());
        let connect_timeout = settings.connect_timeout().unwrap_or(protocol::DEFAULT_CONNECT_TIMEOUT);
        let watch = WatchConfig {
            coordinator: configuration.coordinator,
            event_cursor: configuration.event_cursor,
            connect_timeout,
            drain_grace: settings.drain_grace(),
            seed: configuration.controller_config.seed,
        };
        let mut engine = Engine {
            policy,
            now,
            bounds,
            catalog: ServiceCatalog::new(settings, &configuration.controller_config),
            connect_timeout,
            seed: configuration.controller_config.seed,
            max_idle: settings.connection_idle_timeout().map(|limit| limit - connect_timeout.min(limit / 4)),
            calls: CallTable::default(),
            callers: CallerTable::default(),
            servers: ServerTable::new(bounds.servers, now),
            called_numbers: CalledNumberTable::new(bounds.called_numbers),
            watch: CoordinatorWatch::new(&watch, now),
            cancelled: RecentIds::new(bounds.calls),
            ended_calls: RecentIds::new(bounds.calls),
            invited_calls: RecentIds::new(bounds.calls),
            reported_calls: ReportedCallTable::new(bounds.reported_calls),
            max_reported_age: max_reported_age(&configuration.controller_config),
            doubtful_calls: Vec::new(),
            unchecked_invites: Vec::new(),
            callers_to_close: Vec::new(),
            pending_releases: PendingReleases::default(),
            fleet: FleetObservations::new(settings.zones().to_vec()),
            shutdown: None,
            maintenance_at: now,
            log_at: now,
            outputs: VecDeque::new(),
            timeout: None,
        };
        engine.advance_to(now);
        for change in &configuration.initial_changes {
            engine.apply_endpoints(change);
        }
        engine
    }

    fn advance_to(&mut self, now: Moment) {
        self.now = self.now.max(now);
        self.policy.advance_to(self.now);
    }

    /// Updates the state by an event from the host. Decisions are left to the next [`Engine::process`].
    pub fn handle_input(&mut self, now: Moment, input: Input<'_>) {
        self.advance_to(now);
        match input {
            Input::CallerConnected(caller) => self.on_caller_connected(caller),
            Input::CallerData(caller, bytes) => self.on_caller_data(caller, bytes),
            Input::CallerHalfClosed(caller) => self.on_caller_half_closed(caller),
            Input::CallerDisconnected(caller) => self.on_caller_disconnected(caller),
            Input::InputDrained(caller) => self.on_input_drained(caller),
            Input::ServerConnected(connection) => self.on_server_connected(connection),
            Input::ServerData(connection, bytes) => self.on_server_data(connection, bytes),
            Input::ServerDisconnected { connection, end } => self.on_server_disconnected(connection, end),
            Input::WatchConnected(watch) => self.watch.on_connected(watch, self.now),
            Input::WatchData(watch, bytes) => {
                for change in &self.watch.on_data(watch, bytes, self.now) {
                    self.apply_endpoints(change);
                }
            }
            Input::WatchDisconnected(watch) => self.watch.on_disconnected(watch, self.now),
            Input::ListReloaded { event_cursor, list } => {
                if self.watch.catch_up(event_cursor) {
                    self.apply_endpoints(list);
                }
            }
            Input::CoordinatorMoved(address) => self.watch.redirect(address, self.now),
            Input::Shutdown => self.begin_shutdown(),
        }
        self.collect_watch_actions();
    }

    fn collect_watch_actions(&mut self) {
        while let Some(action) = self.watch.poll_action() {
            self.outputs.push_back(Output::Watch(action));
        }
    }

    /// Handles expired timers, runs maintenance if it is due, and carries out the controller's decisions.
    pub fn process(&mut self, now: Moment) {
        self.advance_to(now);
        while let Some(session) = self.calls.next_expired(self.now) {
            self.end_invite(session, InviteOutcome::TimedOut);
        }
        self.end_overdue_shutdown();
        self.watch.process(self.now);
        self.collect_watch_actions();
        if self.maintenance_at <= self.now {
            self.maintenance_at = self.now + self.connect_timeout / 8;
            self.maintain_servers();
            self.release_doubtful_calls();
            self.release_overdue_reports();
            self.maintain_callers();
            self.log_tables();
        }
        while let Some(decision) = self.policy.next_decision() {
            self.carry_out(decision);
        }
        let timeouts = [
            self.policy.poll_timeout(),
            self.calls.poll_timeout(),
            self.watch.poll_timeout(),
            self.shutdown_timeout(),
            Some(self.maintenance_at),
        ];
        self.timeout = timeouts.into_iter().flatten().min();
    }

    fn log_tables(&mut self) {
        if !tracing::enabled!(Level::DEBUG) || self.now < self.log_at {
            return;
        }
        self.log_at = self.now + LOG_INTERVAL;
        for server in self.servers.indices().filter(|server| !self.servers.get(*server).is_gone()) {
            let id = &self.servers.get(server).id;
            let snapshot = self.policy.server_snapshot(server);
            let established = self.calls.established_at(server).count();
            debug!(server = id, ?snapshot, established, "server state");
        }
        debug!(load = ?self.load(), "engine load");
    }

    /// Returns the next action for the host to carry out.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the time at which [`Engine::process`] must be called even if no input arrives.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.timeout
    }

    /// The maximum number of callers' connections, including those being closed.
    pub fn max_callers(&self) -> usize {
        self.bounds.callers + self.bounds.closing_callers
    }

    /// The maximum number of bytes that may be queued for writing on one connection.
    pub fn max_unwritten_bytes(&self) -> usize {
        self.bounds.unwritten_bytes
    }

    /// Returns the current sizes of the tables.
    pub fn load(&self) -> EngineLoad {
        EngineLoad {
            calls: self.calls.len(),
            callers: self.callers.len(),
            server_connections: self.servers.connection_count(),
            unanswered_calls: self.calls.unanswered(),
        }
    }

    fn apply_endpoints(&mut self, change: &EndpointChange) {
        for endpoint in &change.endpoints {
            let state = endpoint.state;
            info!(server = endpoint.id, address = %endpoint.address, ?state, "endpoint listed");
        }
        let calls = &self.calls;
        let is_unused = |server: ServerIx| !calls.has_established_at(server);
        let changes = self.servers.apply(change, self.now, is_unused);
        self.policy.on_endpoints(change.is_full, &changes.updates);
        for update in &changes.updates {
            self.apply_zone_share(update.server);
        }
        for transition in changes.transitions {
            self.apply_transition(&transition);
        }
        self.maintenance_at = self.now;
    }

    fn carry_out(&mut self, decision: Decision) {
        if let (Decision::Reject { session, .. } | Decision::Fail { session }, Some(reason)) =
            (decision, self.policy.last_reason())
        {
            let call = self.calls.get(session).map(|call| call.id);
            debug!(?call, ?reason, "call rejected");
        }
        match decision {
            Decision::Invite { session, server, answer_timeout } => {
                self.start_invite(session, server, answer_timeout);
            }
            Decision::Reject { session, retry_after } => self.reject(session, cause::REFUSED, retry_after),
            Decision::Fail { session } => self.reject(session, cause::FAILED, None),
        }
    }

    /// Removes an unanswered call and sends its caller a rejection with a Q.850 cause.
    fn reject(&mut self, session: SessionIx, cause: u32, retry_after: Option<Span>) {
        let Some(call) = self.calls.remove(session) else { return };
        if let Some(caller) = self.callers.get_mut(call.caller) {
            caller.pending_sessions.retain(|pending| *pending != session);
            caller.last_used = self.now;
            self.outputs.push_back(Output::SendToCaller(
                call.caller,
                caller_messages::encode_down(call.id, cause, retry_after),
            ));
        }
    }
}
