//! The server list as a sequence of numbered events, which all coordinators of a trial share.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::history::Lifecycle;

/// A server as it appears in the list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// Its id.
    pub id: String,
    /// Its address for node 0; node `n` uses the port `n` higher.
    pub address: SocketAddr,
    /// Its number, which the list gives as its cell.
    pub number: usize,
    /// Its state.
    pub state: Lifecycle,
    /// Start time in Unix milliseconds for a server added during the trial; otherwise 0.
    pub started_at_ms: u128,
}

impl ListedServer {
    fn to_json(&self, node: usize) -> Value {
        let address = SocketAddr::new(self.address.ip(), self.address.port() + node as u16);
        json!({"instanceId": self.id, "hostPort": address, "cell": self.number, "zone": "east",
            "lifecycle": self.state.as_str(), "weight": 1, "startedAtMs": self.started_at_ms as u64})
    }
}

/// A change to the list, or the full list.
struct ListEvent {
    is_full: bool,
    changed: Vec<ListedServer>,
}

/// The current servers, and the numbered events that led to them.
#[derive(Default)]
pub struct ServerList {
    servers: Vec<ListedServer>,
    /// The events in order; the first has number 1.
    events: Vec<ListEvent>,
}

impl ServerList {
    /// Creates a list whose first event names these servers.
    pub fn new(servers: Vec<ListedServer>) -> ServerList {
        let events = vec![ListEvent { is_full: true, changed: servers.clone() }];
        ServerList { servers, events }
    }

    /// Applies changes and appends them as one event.
    pub fn change(&mut self, changed: &[ListedServer]) {
        for server in changed {
            self.servers.retain(|listed| listed.id != server.id);
            if server.state != Lifecycle::Removed {
                self.servers.push(server.clone());
            }
        }
        self.events.push(ListEvent { is_full: false, changed: changed.to_vec() });
    }

    /// Returns `known` of a node's configuration: the full list with the number of the last event.
    pub fn known(&self, node: usize) -> Value {
        let index = self.events.len();
        json!({"index": index, "updates": [event_json(index, true, &self.servers, node)]})
    }

    /// Returns the number of the last event.
    pub(super) fn last_number(&self) -> usize {
        self.events.len()
    }

    /// Returns the lines of the events after a number, with the addresses for a node.
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
