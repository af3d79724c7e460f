//! The connections to the signalling servers.

use std::cmp::Reverse;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_sip::framing::Framer;

use super::ServerTable;
use crate::bounds::protocol;
use crate::io::ServerConnectionId;

/// How far a connection to a server is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    Connecting,
    Open,
    /// The node sends nothing more and reads until the server closes it too: a release may still be in flight.
    HalfClosed,
}

/// One connection.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    pub(crate) server: ServerIx,
    pub(crate) state: ConnectionState,
    /// When it entered its state.
    pub(crate) since: Moment,
    pub(crate) framer: Framer,
    /// When the message that has arrived in part began.
    pub(crate) partial_since: Option<Moment>,
    /// The sessions whose INVITEs are in flight on it.
    pub(crate) sessions: Vec<SessionIx>,
    pub(crate) last_used: Moment,
}

impl ServerConnection {
    fn is_idle(&self) -> bool {
        self.state == ConnectionState::Open && self.sessions.is_empty()
    }

    /// Whether the next state, or the rest of a message, is overdue.
    fn is_stalled(&self, now: Moment, connect_timeout: Span) -> bool {
        match self.state {
            ConnectionState::Connecting => now.since(self.since) >= connect_timeout,
            ConnectionState::HalfClosed => now.since(self.since) >= protocol::SILENCE_THRESHOLD,
            ConnectionState::Open => {
                self.partial_since.is_some_and(|since| now.since(since) >= connect_timeout)
            }
        }
    }
}

impl ServerTable {
    /// Adds a connection that is about to be established.
    pub(crate) fn add_connection(&mut self, server: ServerIx, now: Moment) -> ServerConnectionId {
        self.last_connection += 1;
        let id = ServerConnectionId(self.last_connection);
        let connection = ServerConnection {
            server,
            state: ConnectionState::Connecting,
            since: now,
            framer: Framer::default(),
            partial_since: None,
            sessions: Vec::new(),
            last_used: now,
        };
        self.connections.insert(id, connection);
        self.get_mut(server).connections.push(id);
        id
    }

    pub(crate) fn connection(&self, id: ServerConnectionId) -> Option<&ServerConnection> {
        self.connections.get(&id)
    }

    pub(crate) fn connection_mut(&mut self, id: ServerConnectionId) -> Option<&mut ServerConnection> {
        self.connections.get_mut(&id)
    }

    pub(crate) fn remove_connection(&mut self, id: ServerConnectionId) -> Option<ServerConnection> {
        let connection = self.connections.remove(&id)?;
        self.get_mut(connection.server).connections.retain(|other| *other != id);
        Some(connection)
    }

    /// The number of connections to all servers, half-closed ones included.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.len()
    }

    fn connections_to(
        &self,
        server: ServerIx,
    ) -> impl Iterator<Item = (ServerConnectionId, &ServerConnection)> {
        self.get(server).connections.iter().filter_map(|id| Some((*id, self.connections.get(id)?)))
    }

    fn open_connections(
        &self,
        server: ServerIx,
    ) -> impl Iterator<Item = (ServerConnectionId, &ServerConnection)> {
        self.connections_to(server).filter(|(_, connection)| connection.state == ConnectionState::Open)
    }

    pub(crate) fn has_open_connection(&self, server: ServerIx) -> bool {
        self.open_connections(server).next().is_some()
    }

    pub(crate) fn is_open(&self, id: ServerConnectionId) -> bool {
        self.connection(id).is_some_and(|connection| connection.state == ConnectionState::Open)
    }

    /// The number of attempts in progress to connect to a server.
    pub(crate) fn connecting_count(&self, server: ServerIx) -> usize {
        let is_connecting = |connection: &ServerConnection| connection.state == ConnectionState::Connecting;
        self.connections_to(server).filter(|(_, connection)| is_connecting(connection)).count()
    }

    /// The number of connections that count against a server's share: all but the half-closed ones.
    pub(crate) fn active_count(&self, server: ServerIx) -> usize {
        let is_active = |connection: &ServerConnection| connection.state != ConnectionState::HalfClosed;
        self.connections_to(server).filter(|(_, connection)| is_active(connection)).count()
    }

    /// The connection for the next message to a server: the one with the fewest INVITEs in flight, of those one that is
    /// not in the middle of a message, of those the one used last.
    pub(crate) fn select_connection(&self, server: ServerIx) -> Option<ServerConnectionId> {
        let load = |connection: &ServerConnection| {
            (connection.sessions.len(), connection.partial_since.is_some(), Reverse(connection.last_used))
        };
        self.open_connections(server).min_by_key(|(_, connection)| load(connection)).map(|(id, _)| id)
    }

    /// The open connections to a server without an INVITE in flight, the least recently used first.
    pub(crate) fn idle_connections(&self, server: ServerIx) -> Vec<ServerConnectionId> {
        let mut idle: Vec<(Moment, ServerConnectionId)> = self
            .connections_to(server)
            .filter(|(_, connection)| connection.is_idle())
            .map(|(id, connection)| (connection.last_used, id))
            .collect();
        idle.sort();
        idle.into_iter().map(|(_, id)| id).collect()
    }

    /// The least recently used idle connection to any server.
    pub(crate) fn least_recently_used(&self) -> Option<ServerConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.is_idle())
            .min_by_key(|(_, connection)| connection.last_used)
            .map(|(id, _)| *id)
    }

    /// Connections to give up: those not established in time, those with a message incomplete for as long (what follows
    /// can't be read), and half-closed ones whose servers keep silent.
    pub(crate) fn stalled_connections(&self, now: Moment, connect_timeout: Span) -> Vec<ServerConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.is_stalled(now, connect_timeout))
            .map(|(id, _)| *id)
            .collect()
    }

    /// How many of `total` connections one server may have: an even share among those not removed, at least one.
    pub(crate) fn share_per_server(&self, total: usize) -> usize {
        let live = self.servers.iter().filter(|server| !server.is_gone()).count();
        (total / live.max(1)).max(1)
    }
}
