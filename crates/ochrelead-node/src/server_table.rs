//! The table of signalling servers and of the connections to them. It holds state only: the engine opens connections,
//! sends on them and closes them.
//!
//! Each server has an index, which stays assigned to it while a call or a connection refers to it. Once the table is
//! full, the indices of removed servers are reused.

mod connections;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_core::types::{EndpointState, EndpointUpdate};
use ochrelead_platform::caller_messages::CallId;
use ochrelead_platform::events::{Endpoint, EndpointChange};

use crate::bounds::protocol;
use crate::health_check::effective_last_heard;
use crate::io::{CallerId, ServerConnectionId};

pub(crate) use connections::{ConnectionState, ServerConnection};

/// The release of a call that the node sends to its server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bye {
    pub(crate) call: CallId,
    /// The Q.850 cause.
    pub(crate) cause: u32,
    /// When the call was released, before the BYE was first sent.
    pub(crate) requested_at: Moment,
    /// The caller that ended a call which another connection had reported.
    pub(crate) requested_by: Option<CallerId>,
}

/// A BYE that its server has not answered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnconfirmedBye {
    pub(crate) bye: Bye,
    /// When it was sent on this connection.
    pub(crate) sent_at: Moment,
}

/// Releases of a server may have been lost with a connection. The server repeats them on the next connection that is
/// opened.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReleaseRecovery {
    /// The last connection requested before the loss, to any server. The server may have accepted it, or an earlier one,
    /// before it sent the release that was lost.
    pub(crate) last_before: ServerConnectionId,
    /// When to request a new connection.
    pub(crate) due_at: Moment,
}

/// One signalling server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) number: i64,
    pub(crate) state: EndpointState,
    /// When its process started, as far as the list has told.
    pub(crate) started: Option<Moment>,
    /// When its process started, if an earlier process of the server may have ended shortly before.
    pub(crate) restarted: Option<Moment>,
    /// The zone that the endpoint list names for it.
    pub(crate) zone: Option<String>,
    pub(crate) connections: Vec<ServerConnectionId>,
    /// Sessions whose INVITEs are queued until a connection is available.
    pub(crate) waiting_invites: Vec<SessionIx>,
    /// Releases of calls that are queued until a connection is available.
    pub(crate) pending_byes: Vec<Bye>,
    /// When the server last sent a message or a connection to it was last established.
    pub(crate) last_heard: Moment,
    /// When the server last sent a message other than the response to a health check.
    pub(crate) last_unprompted: Moment,
    /// When another front last received a message from the server, as far as that front has reported it.
    pub(crate) last_heard_by_peer: Option<Moment>,
    /// Connection attempts that timed out since `last_heard`.
    pub(crate) failed_connects: u32,
    /// The earliest time of the next connection attempt.
    pub(crate) reconnect_at: Moment,
    /// Set while releases that were lost with a connection have to be requested again.
    pub(crate) release_recovery: Option<ReleaseRecovery>,
    /// When a connection last came up that ended a release recovery.
    pub(crate) recovered_at: Option<Moment>,
    /// The connections in a row that were opened for a release recovery and ended at once.
    pub(crate) failed_recoveries: u32,
}

impl Server {
    fn new(endpoint: &Endpoint, now: Moment) -> Server {
        Server {
            id: endpoint.id.clone(),
            address: endpoint.address,
            number: endpoint.number,
            state: EndpointState::Draining,
            started: None,
            restarted: None,
            zone: endpoint.zone.clone(),
            connections: Vec::new(),
            waiting_invites: Vec::new(),
            pending_byes: Vec::new(),
            last_heard: now,
            last_unprompted: now,
            last_heard_by_peer: None,
            failed_connects: 0,
            reconnect_at: now,
            release_recovery: None,
            recovered_at: None,
            failed_recoveries: 0,
        }
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.state == EndpointState::Gone
    }

    pub(crate) fn is_ready(&self) -> bool {
        matches!(self.state, EndpointState::Ready { .. })
    }

    /// Whether neither this node nor a peer has heard the server for `SILENCE_THRESHOLD`, after which it is probed.
    pub(crate) fn is_silent(&self, now: Moment) -> bool {
        now.since(effective_last_heard(self.last_heard, self.last_heard_by_peer))
            >= protocol::SILENCE_THRESHOLD
    }
}

/// A consequence of an endpoint change for the calls and connections of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerTransition {
    /// The server accepts no new calls.
    Closed(ServerIx),
    /// The server's process started at this time: calls set up with an earlier process have ended.
    Restarted(ServerIx, Moment),
    /// Another server now listens on this server's address: this one has ended, even if the address still responds.
    Displaced(ServerIx),
}

/// The consequences of a change of the endpoint list.
#[derive(Default)]
pub(crate) struct EndpointChanges {
    /// The updates for the controller.
    pub(crate) updates: Vec<EndpointUpdate>,
    pub(crate) transitions: Vec<ServerTransition>,
}

/// All known servers and the connections to them.
pub(crate) struct ServerTable {
    servers: Vec<Server>,
    by_id: HashMap<String, ServerIx>,
    connections: BTreeMap<ServerConnectionId, ServerConnection>,
    /// Removed servers in the order of their removal, oldest first.
    gone: VecDeque<ServerIx>,
    capacity: usize,
    /// Since when the table follows the endpoint list.
    created_at: Moment,
    last_connection: u64,
}

impl ServerTable {
    pub(crate) fn new(capacity: usize, now: Moment) -> ServerTable {
        ServerTable {
            servers: Vec::new(),
            by_id: HashMap::new(),
            connections: BTreeMap::new(),
            gone: VecDeque::new(),
            capacity,
            created_at: now,
            last_connection: 0,
        }
    }

    pub(crate) fn get(&self, server: ServerIx) -> &Server {
        &self.servers[server.index()]
    }

    pub(crate) fn get_mut(&mut self, server: ServerIx) -> &mut Server {
        &mut self.servers[server.index()]
    }

    pub(crate) fn find(&self, id: &str) -> Option<ServerIx> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn indices(&self) -> impl Iterator<Item = ServerIx> + use<> {
        (0..self.servers.len()).map(ServerIx::new)
    }

    /// Whether a BYE waits for a connection to any server.
    pub(crate) fn any_pending_bye(&self) -> bool {
        self.servers.iter().any(|server| !server.is_gone() && !server.pending_byes.is_empty())
    }

    /// Whether the table has a server with this number, removed servers included.
    pub(crate) fn knows_number(&self, number: i64) -> bool {
        self.servers.iter().any(|server| server.number == number)
    }

    /// Applies a change of the endpoint list. `is_unused` returns true for a server that no call refers to.
    pub(crate) fn apply(
        &mut self,
        change: &EndpointChange,
        now: Moment,
        is_unused: impl Fn(ServerIx) -> bool,
    ) -> EndpointChanges {
        let mut changes = EndpointChanges::default();
        if change.is_full {
            self.remove_unlisted(&change.endpoints, &mut changes);
        }
        for endpoint in &change.endpoints {
            let is_new = !self.by_id.contains_key(&endpoint.id);
            let Some(server) = self.find_or_insert(endpoint, now, &is_unused) else { continue };
            if self.is_superseded(server, endpoint, is_new) {
                self.set_displaced(server, endpoint.number, &mut changes);
                continue;
            }
            if is_new {
                self.displace_others(server, endpoint.address, &mut changes);
            }
            self.update(server, endpoint, is_new, &mut changes);
        }
        changes
    }

    /// Whether another server that started later holds the address at which this one is listed. The list names a server that
    /// has ended for some seconds, next to or after the one that has taken its address. A server that was displaced before
    /// stays so unless it has started again since.
    fn is_superseded(&self, index: ServerIx, endpoint: &Endpoint, is_new: bool) -> bool {
        let started = started(endpoint.state).max(self.get(index).started);
        let may_be_superseded = is_new || self.get(index).is_gone();
        let holds_address = |other: &ServerIx| {
            let other_server = self.get(*other);
            *other != index && !other_server.is_gone() && other_server.address == endpoint.address
        };
        let starts_later = |other: ServerIx| {
            let holder = self.get(other).started;
            if is_new { holder > started } else { holder >= started }
        };
        endpoint.state != EndpointState::Gone
            && may_be_superseded
            && self.indices().filter(holds_address).any(starts_later)
    }

    /// Marks the servers that are missing from a complete list as gone.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint], changes: &mut EndpointChanges) {
        let is_listed = |server: &Server| endpoints.iter().any(|endpoint| endpoint.id == server.id);
        let missing: Vec<ServerIx> = self
            .indices()
            .filter(|server| !is_listed(self.get(*server)) && !self.get(*server).is_gone())
            .collect();
        for server in missing {
            self.set_gone(server);
            changes.transitions.push(ServerTransition::Closed(server));
        }
    }

    /// Marks the servers whose address a new server has taken over as gone.
    fn displace_others(&mut self, new: ServerIx, address: SocketAddr, changes: &mut EndpointChanges) {
        let displaced: Vec<ServerIx> =
            self.indices().filter(|server| *server != new && self.get(*server).address == address).collect();
        for server in displaced {
            // This overrides the state in the list: a message to the previous server would reach the new one.
            if !self.get(server).is_gone() {
                let number = self.get(server).number;
                self.set_displaced(server, number, changes);
            }
            changes.transitions.push(ServerTransition::Displaced(server));
        }
    }

    /// Marks a server as gone that may be listed otherwise.
    fn set_displaced(&mut self, server: ServerIx, number: i64, changes: &mut EndpointChanges) {
        let state = EndpointState::Gone;
        changes.updates.push(EndpointUpdate { server, number, state, weight: 1.0 });
        self.set_gone(server);
    }

    /// Updates a server from its entry in the endpoint list.
    fn update(&mut self, index: ServerIx, endpoint: &Endpoint, is_new: bool, changes: &mut EndpointChanges) {
        let created_at = self.created_at;
        let server = self.get_mut(index);
        server.address = endpoint.address;
        server.number = endpoint.number;
        server.state = endpoint.state;
        server.zone.clone_from(&endpoint.zone);
        if let EndpointState::Ready { started: Some(started) } = endpoint.state
            && server.started.is_none_or(|known| known < started)
        {
            server.started = Some(started);
            if !is_new || may_have_predecessor(started, created_at) {
                server.restarted = Some(started);
            }
            changes.transitions.push(ServerTransition::Restarted(index, started));
        }
        if endpoint.state == EndpointState::Gone {
            self.set_gone(index);
        }
        if !matches!(endpoint.state, EndpointState::Ready { .. }) {
            changes.transitions.push(ServerTransition::Closed(index));
        }
        changes.updates.push(EndpointUpdate {
            server: index,
            number: endpoint.number,
            state: endpoint.state,
            weight: endpoint.weight,
        });
    }

    fn set_gone(&mut self, server: ServerIx) {
        self.get_mut(server).state = EndpointState::Gone;
        if !self.gone.contains(&server) {
            self.gone.push_back(server);
        }
    }

    /// Returns the index of a listed server and adds the server if it is new. Returns `None` if a new server is listed as
    /// gone, or if the table is full and no index can be reused.
    fn find_or_insert(
        &mut self,
        endpoint: &Endpoint,
        now: Moment,
        is_unused: impl Fn(ServerIx) -> bool,
    ) -> Option<ServerIx> {
        if let Some(server) = self.by_id.get(&endpoint.id) {
            self.gone.retain(|gone| gone != server);
            return Some(*server);
        }
        if endpoint.state == EndpointState::Gone {
            return None;
        }
        let new = Server::new(endpoint, now);
        let server = if self.servers.len() < self.capacity {
            self.servers.push(new);
            ServerIx::new(self.servers.len() - 1)
        } else {
            let server = self.reusable_index(endpoint.number, is_unused)?;
            self.gone.retain(|gone| *gone != server);
            let previous = std::mem::replace(self.get_mut(server), new);
            self.by_id.remove(&previous.id);
            server
        };
        self.by_id.insert(endpoint.id.clone(), server);
        Some(server)
    }

    /// Returns the index of a removed server without connections or calls. The controller treats a reused index as a
    /// restart of the same server, so a server with the same number is preferred.
    fn reusable_index(&self, number: i64, is_unused: impl Fn(ServerIx) -> bool) -> Option<ServerIx> {
        let is_free = |server: &&ServerIx| self.get(**server).connections.is_empty() && is_unused(**server);
        let has_number = |server: &&ServerIx| self.get(**server).number == number;
        let mut free = self.gone.iter().filter(is_free);
        free.clone().find(has_number).or_else(|| free.next()).copied()
    }
}

/// Whether an earlier process of a server that this table lists for the first time may have ended shortly before `started`:
/// the list that told of it may be older than the table.
fn may_have_predecessor(started: Moment, created_at: Moment) -> bool {
    started < created_at + protocol::SILENT_FAILURE_DEADLINE
}

/// When a server in service started, as far as its state tells.
fn started(state: EndpointState) -> Option<Moment> {
    match state {
        EndpointState::Ready { started } => started,
        _ => None,
    }
}
