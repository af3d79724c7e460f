//! The servers by index, and who prevails where the list, a server's own report and the persisted state disagree.
//!
//! | the list says | the server reported | in force |
//! | --- | --- | --- |
//! | draining | anything | draining |
//! | ready | nothing, or that it started | ready |
//! | ready | that it drains, or that it is gone | draining, gone |
//! | ready after draining (a change) | anything | ready: the operator takes it back |
//! | another address (a change) | anything | ready; another process, started now or as the one there before |
//! | new in a list that was in force | - | ready, started now unless the list says when |
//! | a later start than known | - | ready, started then |
//! | not listed | anything | gone |

use std::collections::HashMap;
use std::net::SocketAddr;

use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::index::ServerIx;
use ochrelead_core::time::Moment;
use ochrelead_core::types::{EndpointState, EndpointUpdate};

/// A restart method of an RSIP command (RFC 3435 section 2.3.12).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartMethod {
    /// `restart`: the process has started; its former calls are gone.
    Restart,
    /// `graceful`: it takes no new calls; established ones go on.
    Graceful,
    /// `forced`: it is gone, with all its calls.
    Forced,
    /// `cancel-graceful`: it takes new calls after all.
    CancelGraceful,
    /// `disconnected`: it had lost contact with this front; nothing changes.
    Disconnected,
}

impl RestartMethod {
    /// The method of an `RM` line; none where RFC 3435 has no such method.
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

/// What a server last reported of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelfReport {
    /// Nothing, or that it is in service.
    #[default]
    None,
    /// It takes no new calls.
    Draining,
    /// It is gone.
    Gone,
}

/// A server of the list, with what it reported of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedServer {
    /// The server as listed, with the last start that is known.
    pub endpoint: ServerEndpoint,
    /// What it last reported.
    pub self_report: SelfReport,
}

/// What follows from a server's restart method.
#[derive(Clone, Copy, Debug)]
pub struct RestartEffect {
    /// The state of the server from now on.
    pub update: EndpointUpdate,
    /// Whether its calls are gone.
    pub calls_lost: bool,
}

/// A server that is listed or has been.
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

    /// Takes over what a new list says of it. `process_started`: the start of the process that it is now, where it
    /// has moved.
    fn update(&mut self, listed: &ServerEndpoint, process_started: Option<Moment>) {
        let has_moved = self.endpoint.address != listed.address;
        let is_taken_back = self.endpoint.draining && !listed.draining;
        let known_start = if has_moved { process_started } else { self.endpoint.started };
        let started = known_start.max(listed.started);
        if has_moved || is_taken_back {
            self.self_report = SelfReport::None;
        }
        self.endpoint = ServerEndpoint { started, ..listed.clone() };
        self.is_listed = true;
    }

    /// Takes over what the server reports; whether its calls are gone, or none where nothing changes. A drain that is
    /// reported late does not bring back what is gone, and what is gone is not back without a start.
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

    /// Its line in the status: its state and the reason for it.
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

/// The servers in the order in which they were first listed.
#[derive(Default)]
pub struct ServerTable {
    servers: Vec<ServerEntry>,
    by_address: HashMap<SocketAddr, ServerIx>,
    by_name: HashMap<String, ServerIx>,
    /// A list that is not empty has been in force.
    has_had_list: bool,
}

impl ServerTable {
    /// Replaces the list: what it names is listed, all else is gone. A server that moves to another address keeps its
    /// index.
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
                None => self.add(endpoint.clone(), now),
            }
        }
        self.index_addresses();
        self.has_had_list |= !endpoints.is_empty();
        self.updates()
    }

    fn add(&mut self, mut endpoint: ServerEndpoint, now: Moment) {
        // A server that is new in a running fleet has most likely just started.
        if self.has_had_list {
            endpoint.started = endpoint.started.or(Some(now));
        }
        self.by_name.insert(endpoint.name.clone(), ServerIx::new(self.servers.len()));
        self.servers.push(ServerEntry { endpoint, is_listed: true, self_report: SelfReport::None });
    }

    /// Indexes the listed servers' addresses. A server that has left an address is still known by it, until another
    /// takes it.
    fn index_addresses(&mut self) {
        for (index, entry) in self.servers.iter().enumerate().filter(|(_, entry)| entry.is_listed) {
            self.by_address.insert(entry.endpoint.address, ServerIx::new(index));
        }
    }

    /// Restores what the servers had reported before this front was restarted, for those that are listed at the same
    /// address.
    pub fn restore_self_reports(&mut self, persisted: &[ListedServer]) -> Vec<EndpointUpdate> {
        for ListedServer { endpoint, self_report } in persisted {
            let Some(server) = self.by_name.get(&endpoint.name) else { continue };
            let entry = &mut self.servers[server.index()];
            if entry.endpoint.address == endpoint.address {
                entry.self_report = *self_report;
                entry.endpoint.started = entry.endpoint.started.max(endpoint.started);
            }
        }
        self.updates()
    }

    fn updates(&self) -> Vec<EndpointUpdate> {
        (0..self.servers.len()).map(ServerIx::new).map(|server| self.update_of(server)).collect()
    }

    fn update_of(&self, server: ServerIx) -> EndpointUpdate {
        let entry = &self.servers[server.index()];
        let ServerEndpoint { number, weight, .. } = entry.endpoint;
        EndpointUpdate { server, number, state: entry.state(), weight }
    }

    /// A server reports its restart, its drain or its end; none where that changes nothing.
    pub fn handle_restart(
        &mut self,
        server: ServerIx,
        method: RestartMethod,
        now: Moment,
    ) -> Option<RestartEffect> {
        let calls_lost = self.servers[server.index()].handle_restart(method, now)?;
        Some(RestartEffect { update: self.update_of(server), calls_lost })
    }

    /// The server that is, or was last, at an address.
    pub fn find_by_address(&self, address: SocketAddr) -> Option<ServerIx> {
        self.by_address.get(&address).copied()
    }

    /// The server of a name, in any case of letters.
    pub fn find_by_name(&self, name: &str) -> Option<ServerIx> {
        self.by_name.get(&name.to_ascii_lowercase()).copied()
    }

    /// A server as it was last listed, with the last start that is known.
    pub fn endpoint(&self, server: ServerIx) -> &ServerEndpoint {
        &self.servers[server.index()].endpoint
    }

    /// The list in force, with what each server reported of itself.
    pub fn listed_servers(&self) -> Vec<ListedServer> {
        let listed = self.servers.iter().filter(|entry| entry.is_listed);
        listed
            .map(|entry| ListedServer { endpoint: entry.endpoint.clone(), self_report: entry.self_report })
            .collect()
    }

    /// One line a server: its state and the reason for it.
    pub fn status(&self) -> Vec<String> {
        self.servers.iter().map(ServerEntry::status).collect()
    }
}
