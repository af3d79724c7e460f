//! The connections to the signalling servers: when they are opened and closed, and which calls end with them.

use std::collections::BTreeSet;
use std::mem;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::InviteOutcome;
use ochrelead_platform::caller_messages::cause;
use tracing::debug;

use super::{CALL_END_LOG, Engine};
use crate::bounds::protocol;
use crate::call_table::Phase;
use crate::io::{ConnectionEnd, Output, ServerConnectionId};
use crate::server_table::{ConnectionState, ServerConnection, ServerTransition};

/// Idle connections kept open to each server in service, so that an INVITE need not wait for a new connection when up
/// to that many break.
const SPARE_CONNECTIONS: usize = 2;
/// The number of failed connection attempts at which a silent server is presumed dead.
const MAX_FAILED_CONNECTS: u32 = 2;

/// The connections that a server needs.
struct ConnectionDemand {
    /// The number of connections to open.
    missing: usize,
    /// Whether an INVITE or a release waits for an open connection.
    is_urgent: bool,
    /// Whether a new connection is needed even if others are idle: to probe a silent server, or for a release recovery.
    needs_new: bool,
}

impl Engine {
    pub(super) fn on_server_connected(&mut self, id: ServerConnectionId) {
        let Some(connection) = self.servers.connection_mut(id) else { return };
        connection.state = ConnectionState::Open;
        connection.since = self.now;
        connection.last_used = self.now;
        let server_ix = connection.server;
        self.mark_server_alive(server_ix);
        self.end_release_recovery(id);
        let server = self.servers.get_mut(server_ix);
        let waiting_invites = mem::take(&mut server.waiting_invites);
        let pending_byes = mem::take(&mut server.pending_byes);
        for bye in pending_byes {
            self.send_bye(server_ix, None, bye);
        }
        for session in waiting_invites {
            self.check_and_send_invite(session);
        }
    }

    pub(super) fn on_server_disconnected(&mut self, id: ServerConnectionId, end: ConnectionEnd) {
        let Some(mut connection) = self.servers.remove_connection(id) else { return };
        let server_ix = connection.server;
        self.log_connection_end(id, &connection, end);
        self.recover_releases_after(id, &connection, end);
        self.resend_byes(server_ix, mem::take(&mut connection.unconfirmed_byes));
        if connection.state == ConnectionState::HalfClosed {
            return;
        }
        let ended_early = self.has_ended_early(&connection);
        for session in connection.sessions {
            self.end_invite(session, InviteOutcome::Reset);
        }
        let has_others = self.servers.has_open_connection(server_ix);
        let retry_delay = self.retry_delay();
        let refused = end == ConnectionEnd::Refused;
        if refused || ended_early {
            // A server that refuses a connection while others are open accepts no more of them for the time being.
            let delay = if refused && has_others { self.connect_timeout * 2 } else { retry_delay };
            self.servers.get_mut(server_ix).reconnect_at = self.now + delay;
        }
        if refused && !has_others {
            // No process listens at the address: the server has ended, and its calls with it.
            self.presume_dead(server_ix);
        }
        self.maintenance_at = self.now;
    }

    fn log_connection_end(&self, id: ServerConnectionId, connection: &ServerConnection, end: ConnectionEnd) {
        let server = &self.servers.get(connection.server).id;
        let (state, in_flight) = (connection.state, connection.sessions.len());
        let has_calls = self.calls.has_established_at(connection.server);
        debug!(server, connection = id.0, ?state, ?end, in_flight, has_calls, "connection to server ended");
    }

    /// Shuts an idle connection down for writing, and reads it until the server closes it too: a release may be in
    /// flight on it, which the server would not send again.
    fn half_close(&mut self, id: ServerConnectionId) {
        if let Some(connection) = self.servers.connection_mut(id) {
            connection.state = ConnectionState::HalfClosed;
            connection.since = self.now;
            self.outputs.push_back(Output::HalfCloseServerConnection(id));
        }
    }

    /// Closes a connection that sent an invalid message or has stalled. The INVITEs in flight on it fail.
    pub(super) fn abort_connection(&mut self, id: ServerConnectionId) {
        self.outputs.push_back(Output::CloseServerConnection(id));
        self.on_server_disconnected(id, ConnectionEnd::Reset);
    }

    /// The delay before another attempt after a connection that failed or ended at once.
    pub(super) fn retry_delay(&self) -> Span {
        self.connect_timeout / 8
    }

    /// Whether a connection was not established or ended at once.
    pub(super) fn has_ended_early(&self, connection: &ServerConnection) -> bool {
        connection.state == ConnectionState::Connecting
            || self.now.since(connection.since) < self.retry_delay()
    }

    /// Ends all calls, INVITEs and connections of a server that has failed without notice.
    fn presume_dead(&mut self, server: ServerIx) {
        for id in self.servers.get(server).connections.clone() {
            let is_established = self
                .servers
                .connection(id)
                .is_some_and(|connection| connection.state != ConnectionState::Connecting);
            if is_established {
                self.abort_connection(id);
            }
        }
        for session in mem::take(&mut self.servers.get_mut(server).waiting_invites) {
            self.end_invite(session, InviteOutcome::ConnectFailed);
        }
        self.servers.get_mut(server).pending_byes.clear();
        self.end_calls(server, self.now);
    }

    /// Ends the calls of a server that were established no later than `established_until`.
    pub(super) fn end_calls(&mut self, server: ServerIx, established_until: Moment) {
        for session in self.established_until(server, established_until) {
            let call = self.calls.get(session).map(|call| call.id);
            let server_id = &self.servers.get(server).id;
            debug!(target: CALL_END_LOG, ?call, server = server_id, "call ended with its server");
            self.policy.on_invite_ended(session, server, InviteOutcome::Reset, true);
            self.release(session, cause::FAILED);
        }
    }

    /// The calls of a server that were established no later than `until`.
    pub(super) fn established_until(&self, server: ServerIx, until: Moment) -> Vec<SessionIx> {
        let is_established_until = |session: &SessionIx| match self.calls.phase(*session) {
            Some(Phase::Established { since, .. }) => since <= until,
            _ => false,
        };
        self.calls.established_at(server).filter(is_established_until).collect()
    }

    pub(super) fn apply_transition(&mut self, transition: &ServerTransition) {
        match *transition {
            ServerTransition::Closed(server) => {
                for session in mem::take(&mut self.servers.get_mut(server).waiting_invites) {
                    self.end_invite(session, InviteOutcome::Unsent);
                }
            }
            ServerTransition::Restarted(server, started) => self.on_server_restarted(server, started),
            ServerTransition::Displaced(server) => {
                // A connection that is being opened would reach the server that has taken the address.
                for id in self.servers.get(server).connections.clone() {
                    self.abort_connection(id);
                }
                self.presume_dead(server);
            }
        }
    }

    /// Closes stalled connections, opens missing ones and closes surplus ones.
    pub(super) fn maintain_servers(&mut self) {
        for id in self.servers.stalled_connections(self.now, self.connect_timeout) {
            self.close_stalled_connection(id);
        }
        for server in self.servers.indices() {
            self.maintain_server(server);
        }
    }

    fn close_stalled_connection(&mut self, id: ServerConnectionId) {
        let Some(connection) = self.servers.connection(id) else { return };
        let (server_ix, state) = (connection.server, connection.state);
        self.abort_connection(id);
        if state == ConnectionState::Connecting {
            let now = self.now;
            let server = self.servers.get_mut(server_ix);
            server.failed_connects += 1;
            // Connection attempts time out and no message arrives: the machine is unreachable.
            if server.failed_connects >= MAX_FAILED_CONNECTS && server.is_silent(now) {
                self.presume_dead(server_ix);
            }
        }
    }

    fn maintain_server(&mut self, server: ServerIx) {
        self.fail_overdue_invites(server);
        self.drop_unneeded_recovery(server);
        if self.servers.get(server).is_gone() {
            return self.maintain_gone_server(server);
        }
        let idle = self.servers.idle_connections(server);
        let demand = self.connection_demand(server, idle.len());
        let active = self.servers.active_count(server);
        let is_at_limit = active >= self.connection_limit();
        if demand.needs_new && demand.missing > 0 && (is_at_limit || self.may_be_full(server, idle.len())) {
            // An idle connection is closed to make room for the new one.
            if let Some(oldest) = idle.first() {
                self.half_close(*oldest);
            }
            if is_at_limit {
                return;
            }
        }
        self.open_missing_connections(server, &demand);
        self.close_unneeded_connections(server);
    }

    /// Presumes a removed server dead once it is silent or has no open connection. The node opens no new connection to
    /// it, because another server may listen at its address by now.
    fn maintain_gone_server(&mut self, index: ServerIx) {
        let server = self.servers.get(index);
        let has_ended = server.is_silent(self.now) || !self.servers.has_open_connection(index);
        let is_in_use = self.calls.has_established_at(index) || !server.connections.is_empty();
        if has_ended && is_in_use {
            self.presume_dead(index);
        }
    }

    /// Fails the INVITEs that have waited for a connection for the connect time-out.
    fn fail_overdue_invites(&mut self, server: ServerIx) {
        let overdue: Vec<SessionIx> = self
            .servers
            .get(server)
            .waiting_invites
            .iter()
            .copied()
            .filter(|session| self.has_waited_too_long(*session))
            .collect();
        for session in overdue {
            self.end_invite(session, InviteOutcome::ConnectFailed);
        }
    }

    fn has_waited_too_long(&self, session: SessionIx) -> bool {
        let Some(Phase::Inviting(invite)) = self.calls.phase(session) else { return false };
        self.now.since(invite.requested_at) >= self.connect_timeout
    }

    fn connection_demand(&self, index: ServerIx, idle: usize) -> ConnectionDemand {
        let server = self.servers.get(index);
        let is_silent = server.is_silent(self.now);
        let has_calls = self.calls.has_established_at(index);
        let has_waiting = !server.waiting_invites.is_empty();
        let has_releases = has_calls || !server.pending_byes.is_empty();
        let lacks_release_path = has_releases && !self.servers.has_open_connection(index);
        let mut wanted =
            if server.is_ready() { self.spare_connections() } else { usize::from(lacks_release_path) };
        let needs_probe = is_silent && (server.is_ready() || has_calls);
        if needs_probe {
            wanted = wanted.max(idle + 1);
        }
        wanted = wanted.max(usize::from(has_waiting));
        let missing = wanted.saturating_sub(idle + self.servers.connecting_count(index));
        let needs_recovery = self.is_recovery_due(index);
        ConnectionDemand {
            missing: missing.max(usize::from(needs_recovery)),
            is_urgent: has_waiting || lacks_release_path,
            needs_new: needs_recovery || needs_probe,
        }
    }

    /// Opens the missing connections, within the server's share and the bound on all server connections.
    fn open_missing_connections(&mut self, index: ServerIx, demand: &ConnectionDemand) {
        let server = self.servers.get(index);
        if server.reconnect_at > self.now {
            return;
        }
        let address = server.address;
        let connecting = self.servers.connecting_count(index);
        let allowed = self
            .connection_limit()
            .saturating_sub(self.servers.active_count(index))
            .min(self.spare_connections().saturating_sub(connecting));
        let bound = self.bounds.server_connections;
        let hard_bound = bound + if demand.is_urgent { self.bounds.closing_callers } else { 0 };
        for _ in 0..demand.missing.min(allowed) {
            if self.servers.connection_count() >= hard_bound {
                break;
            }
            if self.servers.connection_count() >= bound {
                // The bound on all server connections is reached: the least recently used one is closed.
                let Some(oldest) = self.servers.least_recently_used() else { break };
                self.half_close(oldest);
            }
            let connection = self.servers.add_connection(index, self.now);
            self.outputs.push_back(Output::ConnectServer(connection, address));
        }
    }

    /// Closes surplus idle connections, and those that their server is about to close: an INVITE that races with the
    /// server's close would be lost.
    fn close_unneeded_connections(&mut self, server: ServerIx) {
        let idle = self.servers.idle_connections(server);
        let idle_time = |id: &ServerConnectionId| {
            self.servers.connection(*id).map_or(Span::ZERO, |connection| self.now.since(connection.last_used))
        };
        let surplus_count = idle.len().saturating_sub(SPARE_CONNECTIONS * 2);
        let surplus =
            idle.iter().take(surplus_count).filter(|id| idle_time(id) >= protocol::CALLER_IDLE_TIMEOUT);
        let aged = idle.iter().filter(|id| self.max_idle.is_some_and(|limit| idle_time(id) >= limit));
        let unneeded: BTreeSet<ServerConnectionId> = surplus.chain(aged).copied().collect();
        for id in unneeded {
            self.half_close(id);
        }
    }

    /// The maximum number of connections to one server.
    fn connection_limit(&self) -> usize {
        self.servers.share_per_server(self.bounds.server_connections)
    }

    /// The number of idle connections kept open to each server in service.
    pub(super) fn spare_connections(&self) -> usize {
        SPARE_CONNECTIONS.min(self.connection_limit())
    }
}
