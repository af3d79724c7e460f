//! The list of servers as numbered events, which all coordinators of a trial share.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::history::Lifecycle;

/// A server as the list has it.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Its id.
    pub id: String,
    /// Its address for the first node; the others reach it at the ports that follow.
    pub address: SocketAddr,
    /// Its number.
    pub number: usize,
    /// Its state.
    pub state: Lifecycle,
    /// Unix milliseconds of a late start; 0 for none.
    pub started_at_ms: u128,
}

impl ListedServer {
    fn to_json(&self, node: usize) -> Value {
        let address = SocketAddr::new(self.address.ip(), self.address.port() + node as u16);
        json!({"instanceId": self.id, "hostPort": address, "cell": self.number, "zone": "east",
            "lifecycle": self.state.as_str(), "weight": 1, "startedAtMs": self.started_at_ms as u64})
    }
}

/// A change of the list.
struct ListEvent {
    is_full: bool,
    changed: Vec<ListedServer>,
}

/// The list of servers as numbered events, shared by all coordinators.
#[derive(Default)]
pub struct ServerList {
    servers: Vec<ListedServer>,
    /// The number of the first is 1.
    events: Vec<ListEvent>,
}

impl ServerList {
    /// A list whose first event names the servers.
    pub fn new(servers: Vec<ListedServer>) -> ServerList {
        let events = vec![ListEvent { is_full: true, changed: servers.clone() }];
        ServerList { servers, events }
    }

    /// Applies changes as one event.
    pub fn change(&mut self, changed: &[ListedServer]) {
        for server in changed {
            self.servers.retain(|listed| listed.id != server.id);
            if server.state != Lifecycle::Removed {
                self.servers.push(server.clone());
            }
        }
        self.events.push(ListEvent { is_full: false, changed: changed.to_vec() });
    }

    /// `known` for a node's configuration: the whole list under the last number.
    pub fn known(&self, node: usize) -> Value {
        let index = self.events.len();
        json!({"index": index, "updates": [event_json(index, true, &self.servers, node)]})
    }

    /// The number of the last event.
    pub(super) fn last_number(&self) -> usize {
        self.events.len()
    }

    /// The lines of the events after a number.
    pub(super) fn lines_after(&self, number: usize, node: usize) -> Vec<String> {
        let events = self.events.iter().enumerate().skip(number);
        let line = |(index, event): (usize, &ListEvent)| {
            format!("{}\n", event_json(index + 1, event.is_full, &event.changed, node))
        };
        events.map(line).collect()
    }
}

fn event_json(index: usize, is_full: bool, servers: &[ListedServer], node: usize) -> Value {
    let instances: Vec<Value> = servers.iter().map(|server| server.to_json(node)).collect();
    let endpoints = json!({"generation": index, "reset": is_full, "instances": instances});
    json!({"index": index, "endpoints": endpoints})
}
