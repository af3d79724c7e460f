//! The signalling servers by index, and the connections to each. State only: the engine connects, sends and closes.
//!
//! An index belongs to one server for as long as anything refers to it. Once the table is full, the index of a removed
//! server is used again.

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
use crate::io::ServerConnectionId;

pub(crate) use connections::{ConnectionState, ServerConnection};

/// One signalling server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) number: i64,
    pub(crate) state: EndpointState,
    /// The zone that the endpoint list names for it.
    pub(crate) zone: Option<String>,
    pub(crate) connections: Vec<ServerConnectionId>,
    /// INVITEs that wait for a connection.
    pub(crate) waiting_invites: Vec<SessionIx>,
    /// Releases that wait for a connection.
    pub(crate) pending_releases: Vec<CallId>,
    /// When the last message arrived from it, or the last connection was established.
    pub(crate) last_heard: Moment,
    /// When its last message arrived that was not the response to a health check.
    pub(crate) last_unprompted: Moment,
    /// When a peer last heard it.
    pub(crate) last_heard_by_peer: Option<Moment>,
    /// Connection attempts that timed out since it was last heard.
    pub(crate) failed_connects: u32,
    /// No connection is attempted before.
    pub(crate) reconnect_at: Moment,
    /// A connection has ended on which a release may have been lost; the server repeats it on the next one.
    pub(crate) awaits_repeated_releases: bool,
}

impl Server {
    fn new(endpoint: &Endpoint, now: Moment) -> Server {
        Server {
            id: endpoint.id.clone(),
            address: endpoint.address,
            number: endpoint.number,
            state: EndpointState::Draining,
            zone: endpoint.zone.clone(),
            connections: Vec::new(),
            waiting_invites: Vec::new(),
            pending_releases: Vec::new(),
            last_heard: now,
            last_unprompted: now,
            last_heard_by_peer: None,
            failed_connects: 0,
            reconnect_at: now,
            awaits_repeated_releases: false,
        }
    }

    pub(crate) fn is_gone(&self) -> bool {
        self.state == EndpointState::Gone
    }

    pub(crate) fn is_ready(&self) -> bool {
        matches!(self.state, EndpointState::Ready { .. })
    }

    /// Whether it has been silent for so long that it needs a probe.
    pub(crate) fn is_silent(&self, now: Moment) -> bool {
        now.since(effective_last_heard(self.last_heard, self.last_heard_by_peer))
            >= protocol::SILENCE_THRESHOLD
    }
}

/// What an endpoint change means for the calls and connections of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ServerTransition {
    /// It takes no new calls.
    Closed(ServerIx),
    /// The process that ran before this moment has ended, and its calls with it.
    Restarted(ServerIx, Moment),
    /// Another server listens at its address: it has ended, whatever answers there.
    Displaced(ServerIx),
}

/// What follows from a change of the endpoint list.
#[derive(Default)]
pub(crate) struct EndpointChanges {
    /// The updates for the controller.
    pub(crate) updates: Vec<EndpointUpdate>,
    pub(crate) transitions: Vec<ServerTransition>,
}

/// All servers and the connections to them.
pub(crate) struct ServerTable {
    servers: Vec<Server>,
    by_id: HashMap<String, ServerIx>,
    connections: BTreeMap<ServerConnectionId, ServerConnection>,
    /// Removed servers, the first removed first.
    gone: VecDeque<ServerIx>,
    capacity: usize,
    last_connection: u64,
}

impl ServerTable {
    pub(crate) fn new(capacity: usize) -> ServerTable {
        ServerTable {
            servers: Vec::new(),
            by_id: HashMap::new(),
            connections: BTreeMap::new(),
            gone: VecDeque::new(),
            capacity,
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

    /// Whether any server with the number is or was listed.
    pub(crate) fn knows_number(&self, number: i64) -> bool {
        self.servers.iter().any(|server| server.number == number)
    }

    /// Applies a change of the endpoint list. `is_unused` tells whether no call refers to a server any more.
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
            if is_new {
                self.displace_others(server, endpoint.address, &mut changes);
            }
            self.update(server, endpoint, &mut changes);
        }
        changes
    }

    /// Removes the servers that a complete list no longer names.
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

    /// Removes the servers at the address of a new one.
    fn displace_others(&mut self, new: ServerIx, address: SocketAddr, changes: &mut EndpointChanges) {
        let displaced: Vec<ServerIx> =
            self.indices().filter(|server| *server != new && self.get(*server).address == address).collect();
        for server in displaced {
            // Whatever the list still says of it: what is sent there would reach the new one.
            if !self.get(server).is_gone() {
                let number = self.get(server).number;
                let state = EndpointState::Gone;
                changes.updates.push(EndpointUpdate { server, number, state, weight: 1.0 });
                self.set_gone(server);
            }
            changes.transitions.push(ServerTransition::Displaced(server));
        }
    }

    /// Copies a listed entry into its server.
    fn update(&mut self, index: ServerIx, endpoint: &Endpoint, changes: &mut EndpointChanges) {
        let server = self.get_mut(index);
        let former = server.state;
        server.address = endpoint.address;
        server.number = endpoint.number;
        server.state = endpoint.state;
        server.zone.clone_from(&endpoint.zone);
        if let EndpointState::Ready { started: Some(started) } = endpoint.state
            && !matches!(former, EndpointState::Ready { started: Some(known) } if known >= started)
        {
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

    /// The index of a listed server; `None` where it is unknown and gone, or the table is full of live ones.
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
            let former = std::mem::replace(self.get_mut(server), new);
            self.by_id.remove(&former.id);
            server
        };
        self.by_id.insert(endpoint.id.clone(), server);
        Some(server)
    }

    /// The index of a removed server that nothing refers to. The controller takes a reused index for a restart of the
    /// same server, which fits best where the number is the same.
    fn reusable_index(&self, number: i64, is_unused: impl Fn(ServerIx) -> bool) -> Option<ServerIx> {
        let is_free = |server: &&ServerIx| self.get(**server).connections.is_empty() && is_unused(**server);
        let has_number = |server: &&ServerIx| self.get(**server).number == number;
        let mut free = self.gone.iter().filter(is_free);
        free.clone().find(has_number).or_else(|| free.next()).copied()
    }
}
