//! The servers by index, and the rules that determine the state of a server from the list, the server's own report and
//! the persisted state.
//!
//! | list | report of the server | resulting state |
//! | --- | --- | --- |
//! | draining | none, or draining | draining |
//! | draining | gone | gone |
//! | ready | none, or restart | ready |
//! | ready | draining, or gone | as reported |
//! | changed from draining to ready | any | ready: the operator ends the drain, the report is discarded |
//! | changed to another address | any | as listed, report discarded; started now, or as the server listed there before |
//! | new, and a list was in force before | - | as listed; started now unless the list has a start |
//! | start later than the known one | - | the state as above, with the listed start |
//! | not listed | any | gone |

use std::collections::HashMap;
use std::net::SocketAddr;

use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::index::ServerIx;
use ochrelead_core::time::Moment;
use ochrelead_core::types::{EndpointState, EndpointUpdate};

/// A restart method of an RSIP command (RFC 3435 section 2.3.12).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartMethod {
    /// `restart`: the process has started; its previous calls are lost.
    Restart,
    /// `graceful`: the server takes no new calls; established ones continue.
    Graceful,
    /// `forced`: the server is gone and all its calls are lost.
    Forced,
    /// `cancel-graceful`: the server cancels a `graceful` and takes new calls.
    CancelGraceful,
    /// `disconnected`: the server had lost contact with this front; its state does not change.
    Disconnected,
}

impl RestartMethod {
    /// Parses the method of an `RM` line. Returns `None` for any other than the five methods above.
    pub fn parse(method: &str) -> Option<RestartMethod> {
        match method.to_ascii_lowercase().as_str() {
            "restart" => Some(RestartMethod::Restart),
            "graceful" => Some(RestartMethod::Graceful),
            "forced" => Some(RestartMethod::Forced),
            "cancel-graceful" => Some(RestartMethod::CancelGraceful),
            "disconnected" => Some(RestartMethod::Disconnected),
            _ => None,
        }
    }
}

/// The state that a server last reported about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelfReport {
    /// No report, or that the server is in service.
    #[default]
    None,
    /// The server takes no new calls.
    Draining,
    /// The server is gone.
    Gone,
}

/// A listed server and its own last report.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The server as listed, with its last known start.
    pub endpoint: ServerEndpoint,
    /// The last report of the server.
    pub self_report: SelfReport,
}

/// The effect of a restart method that a server reported.
#[derive(Clone, Copy, Debug)]
pub struct RestartEffect {
    /// The resulting state of the server.
    pub update: EndpointUpdate,
    /// Whether all calls of the server are lost.
    pub calls_lost: bool,
}

/// A server that is listed, or was listed before.
struct ServerEntry {
    endpoint: ServerEndpoint,
    is_listed: bool,
    self_report: SelfReport,
}

impl ServerEntry {
    fn state(&self) -> EndpointState {
        match self.self_report {
            _ if !self.is_listed => EndpointState::Gone,
            SelfReport::Gone => EndpointState::Gone,
            SelfReport::Draining => EndpointState::Draining,
            SelfReport::None if self.endpoint.draining => EndpointState::Draining,
            SelfReport::None => EndpointState::Ready { started: self.endpoint.started },
        }
    }

    /// Applies the entry of a new list. `process_started` is the start of the process at the listed address; it is used
    /// if the server has moved.
    fn update(&mut self, listed: &ServerEndpoint, process_started: Option<Moment>) {
        let has_moved = self.endpoint.address != listed.address;
        let is_drain_ended = self.endpoint.draining && !listed.draining;
        let known_start = if has_moved { process_started } else { self.endpoint.started };
        let started = known_start.max(listed.started);
        if has_moved || is_drain_ended {
            self.self_report = SelfReport::None;
        }
        self.endpoint = ServerEndpoint { started, ..listed.clone() };
        self.is_listed = true;
    }

    /// Applies a restart method that the server reported. Returns whether its calls are lost, or `None` if nothing
    /// changes. A server that is gone stays gone until it reports a restart: a late `graceful` or `cancel-graceful` is
    /// ignored.
    fn handle_restart(&mut self, method: RestartMethod, now: Moment) -> Option<bool> {
        match (method, self.self_report) {
            (RestartMethod::Restart, _) => {
                self.self_report = SelfReport::None;
                self.endpoint.started = Some(now);
                Some(true)
            }
            (RestartMethod::Graceful, SelfReport::None) => {
                self.self_report = SelfReport::Draining;
                Some(false)
            }
            (RestartMethod::Forced, _) => {
                self.self_report = SelfReport::Gone;
                Some(true)
            }
            (RestartMethod::CancelGraceful, SelfReport::Draining) => {
                self.self_report = SelfReport::None;
                Some(false)
            }
            _ => None,
        }
    }

    /// The status line of the server: its state and the reason for it.
    fn status(&self) -> String {
        let (state, reason) = match (self.is_listed, self.self_report, self.endpoint.draining) {
            (false, ..) => ("gone", "the list does not name it"),
            (_, SelfReport::Gone, _) => ("gone", "it said so (RSIP forced)"),
            (_, SelfReport::Draining, _) => ("draining", "it said so (RSIP graceful)"),
            (_, _, true) => ("draining", "the list says so"),
            _ => ("ready", "listed"),
        };
        let ServerEndpoint { name, address, number, weight, .. } = &self.endpoint;
        format!("{name} {address} number {number} weight {weight}: {state}, {reason}")
    }
}

/// All servers, indexed in the order in which they were first listed.
#[derive(Default)]
pub struct ServerTable {
    servers: Vec<ServerEntry>,
    by_address: HashMap<SocketAddr, ServerIx>,
    by_name: HashMap<String, ServerIx>,
    /// Whether a non-empty list has been in force.
    had_list: bool,
}

impl ServerTable {
    /// Replaces the list and returns the state of all servers. Servers that are not in the new list are gone. A server
    /// that moves to another address keeps its index.
    pub fn replace_list(&mut self, endpoints: &[ServerEndpoint], now: Moment) -> Vec<EndpointUpdate> {
        let listed = self.servers.iter().filter(|entry| entry.is_listed);
        let process_starts: HashMap<SocketAddr, Option<Moment>> =
            listed.map(|entry| (entry.endpoint.address, entry.endpoint.started)).collect();
        for entry in &mut self.servers {
            entry.is_listed = false;
        }
        for endpoint in endpoints {
            match self.by_name.get(&endpoint.name) {
                Some(server) => {
                    let process_started = process_starts.get(&endpoint.address).copied().unwrap_or(Some(now));
                    self.servers[server.index()].update(endpoint, process_started);
                }
                None => self.add_server(endpoint.clone(), now),
            }
        }
        self.index_addresses();
        self.had_list |= !endpoints.is_empty();
        self.all_updates()
    }

    fn add_server(&mut self, mut endpoint: ServerEndpoint, now: Moment) {
        // A server that is added to a list in force has most likely just started.
        if self.had_list {
            endpoint.started = endpoint.started.or(Some(now));
        }
        self.by_name.insert(endpoint.name.clone(), ServerIx::new(self.servers.len()));
        self.servers.push(ServerEntry { endpoint, is_listed: true, self_report: SelfReport::None });
    }

    /// Indexes the addresses of the listed servers. The previous address of a server still maps to it until another
    /// server is listed there, so that late messages from that address are attributed to it.
    fn index_addresses(&mut self) {
        for (index, entry) in self.servers.iter().enumerate().filter(|(_, entry)| entry.is_listed) {
            self.by_address.insert(entry.endpoint.address, ServerIx::new(index));
        }
    }

    /// Restores the reports and starts of the servers from before a restart of this front, for servers that are listed
    /// at the same address. Returns the state of all servers.
    pub fn restore_self_reports(&mut self, persisted: &[ListedServer]) -> Vec<EndpointUpdate> {
        for ListedServer { endpoint, self_report } in persisted {
            let Some(server) = self.by_name.get(&endpoint.name) else { continue };
            let entry = &mut self.servers[server.index()];
            if entry.endpoint.address == endpoint.address {
                entry.self_report = *self_report;
                entry.endpoint.started = entry.endpoint.started.max(endpoint.started);
            }
        }
        self.all_updates()
    }

    fn all_updates(&self) -> Vec<EndpointUpdate> {
        (0..self.servers.len()).map(ServerIx::new).map(|server| self.update_for(server)).collect()
    }

    fn update_for(&self, server: ServerIx) -> EndpointUpdate {
        let entry = &self.servers[server.index()];
        let ServerEndpoint { number, weight, .. } = entry.endpoint;
        EndpointUpdate { server, number, state: entry.state(), weight }
    }

    /// Handles a restart method that a server reported. Returns `None` if it changes nothing.
    pub fn handle_restart(
        &mut self,
        server: ServerIx,
        method: RestartMethod,
        now: Moment,
    ) -> Option<RestartEffect> {
        let calls_lost = self.servers[server.index()].handle_restart(method, now)?;
        Some(RestartEffect { update: self.update_for(server), calls_lost })
    }

    /// The server that is listed at an address, or was the last one there.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<ServerIx> {
        self.by_address.get(&address).copied()
    }

    /// The server with a name; upper and lower case are not distinguished.
    pub fn find_by_name(&self, name: &str) -> Option<ServerIx> {
        self.by_name.get(&name.to_ascii_lowercase()).copied()
    }

    /// A server as it was last listed, with its last known start.
    pub fn endpoint(&self, server: ServerIx) -> &ServerEndpoint {
        &self.servers[server.index()].endpoint
    }

    /// The list in force, with the last report of each server.
    pub fn listed_servers(&self) -> Vec<ListedServer> {
        let listed = self.servers.iter().filter(|entry| entry.is_listed);
        listed
            .map(|entry| ListedServer { endpoint: entry.endpoint.clone(), self_report: entry.self_report })
            .collect()
    }

    /// Returns one status line for each server: its state and the reason for it.
    pub fn status(&self) -> Vec<String> {
        self.servers.iter().map(ServerEntry::status).collect()
    }
}
