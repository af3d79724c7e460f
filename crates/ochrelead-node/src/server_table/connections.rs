//! The connections of the server table: their states, and which one is used or closed next.

use std::cmp::Reverse;
use std::collections::VecDeque;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_sip::framing::Framer;

use super::{ServerTable, UnconfirmedBye};
use crate::bounds::protocol;
use crate::io::ServerConnectionId;

/// The state of a connection to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    Connecting,
    Open,
    /// The node has shut the connection down for writing. It reads until the server closes too, since a release may
    /// still be in flight.
    HalfClosed,
}

/// One connection to a server.
#[derive(Debug)]
pub(crate) struct ServerConnection {
    pub(crate) server: ServerIx,
    pub(crate) state: ConnectionState,
    /// When the connection entered its state.
    pub(crate) since: Moment,
    /// Whether the connection has ended a release recovery: the server repeats lost releases on it.
    pub(crate) recovers_releases: bool,
    pub(crate) framer: Framer,
    /// When the first bytes of a message that is still incomplete arrived.
    pub(crate) partial_since: Option<Moment>,
    /// The sessions whose INVITEs are in flight on this connection.
    pub(crate) sessions: Vec<SessionIx>,
    /// BYEs sent on this connection, oldest first.
    pub(crate) unconfirmed_byes: VecDeque<UnconfirmedBye>,
    pub(crate) last_used: Moment,
}

impl ServerConnection {
    fn is_idle(&self) -> bool {
        self.state == ConnectionState::Open && self.sessions.is_empty()
    }

    /// Whether the connection has been connecting, half-closed or receiving one message for longer than allowed.
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
    /// Adds a connection in the state `Connecting`.
    pub(crate) fn add_connection(&mut self, server: ServerIx, now: Moment) -> ServerConnectionId {
        self.last_connection += 1;
        let id = ServerConnectionId(self.last_connection);
        let connection = ServerConnection {
            server,
            state: ConnectionState::Connecting,
            since: now,
            recovers_releases: false,
            framer: Framer::default(),
            partial_since: None,
            sessions: Vec::new(),
            unconfirmed_byes: VecDeque::new(),
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

    /// The number of connection attempts to a server that are in progress.
    pub(crate) fn connecting_count(&self, server: ServerIx) -> usize {
        let is_connecting = |connection: &ServerConnection| connection.state == ConnectionState::Connecting;
        self.connections_to(server).filter(|(_, connection)| is_connecting(connection)).count()
    }

    /// The last connection that was requested, to any server.
    pub(crate) fn last_requested(&self) -> ServerConnectionId {
        ServerConnectionId(self.last_connection)
    }

    /// Whether a connection attempt to a server that was requested after another connection is in progress.
    pub(crate) fn is_connecting_after(&self, server: ServerIx, other: ServerConnectionId) -> bool {
        self.connections_to(server)
            .any(|(id, connection)| connection.state == ConnectionState::Connecting && id > other)
    }

    /// The number of connections that count towards a server's share: all except half-closed ones.
    pub(crate) fn active_count(&self, server: ServerIx) -> usize {
        let is_active = |connection: &ServerConnection| connection.state != ConnectionState::HalfClosed;
        self.connections_to(server).filter(|(_, connection)| is_active(connection)).count()
    }

    /// Selects the connection for the next message to a server: the one with the fewest INVITEs in flight, then one
    /// without a partially received message, then the most recently used one.
    pub(crate) fn select_connection(&self, server: ServerIx) -> Option<ServerConnectionId> {
        let load = |connection: &ServerConnection| {
            (connection.sessions.len(), connection.partial_since.is_some(), Reverse(connection.last_used))
        };
        self.open_connections(server).min_by_key(|(_, connection)| load(connection)).map(|(id, _)| id)
    }

    /// The idle connections to a server (open, no INVITE in flight), least recently used first.
    pub(crate) fn idle_connections(&self, server: ServerIx) -> Vec<ServerConnectionId> {
        let mut idle: Vec<(Moment, ServerConnectionId)> = self
            .connections_to(server)
            .filter(|(_, connection)| connection.is_idle())
            .map(|(id, connection)| (connection.last_used, id))
            .collect();
        idle.sort();
        idle.into_iter().map(|(_, id)| id).collect()
    }

    /// The least recently used idle connection among those to all servers.
    pub(crate) fn least_recently_used(&self) -> Option<ServerConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.is_idle())
            .min_by_key(|(_, connection)| connection.last_used)
            .map(|(id, _)| *id)
    }

    /// The connections to close: those that have been connecting, or waiting for the rest of a message, for
    /// `connect_timeout` (nothing behind an incomplete message can be read), and those half-closed for
    /// `SILENCE_THRESHOLD`.
    pub(crate) fn stalled_connections(&self, now: Moment, connect_timeout: Span) -> Vec<ServerConnectionId> {
        self.connections
            .iter()
            .filter(|(_, connection)| connection.is_stalled(now, connect_timeout))
            .map(|(id, _)| *id)
            .collect()
    }

    /// How many of `total` connections one server may have: an even share among the servers that are not gone, at least
    /// one.
    pub(crate) fn share_per_server(&self, total: usize) -> usize {
        let live = self.servers.iter().filter(|server| !server.is_gone()).count();
        (total / live.max(1)).max(1)
    }
}
