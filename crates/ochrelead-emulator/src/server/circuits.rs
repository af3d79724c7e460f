//! The established calls of a server, and the number of calls to each called number.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// The number of concurrent calls that one called number accepts at one server.
const LINES_PER_NUMBER: usize = 4;

/// One established call.
pub(super) struct Circuit {
    pub(super) front: SocketAddr,
    pub(super) call_id: String,
    pub(super) called_number: String,
}

/// Selects the circuits that a DLCX releases.
pub(super) struct CircuitSelector<'a> {
    /// The front that sent the DLCX: a front can release only calls that it set up.
    pub(super) front: SocketAddr,
    /// The local name of the endpoint, for example `trunk/7`.
    pub(super) local_name: &'a str,
    /// The endpoint name has a wildcard and matches all circuits.
    pub(super) has_wildcard: bool,
    pub(super) call_id: Option<&'a str>,
    pub(super) connection_id: Option<&'a str>,
}

impl CircuitSelector<'_> {
    fn selects(&self, id: u32, circuit: &Circuit) -> bool {
        let matches_endpoint = self.has_wildcard || self.local_name == local_name(id);
        matches_endpoint
            && circuit.front == self.front
            && self.connection_id.is_none_or(|connection| connection == connection_id(id))
            && self.call_id.is_none_or(|call_id| call_id == circuit.call_id)
    }
}

/// Returns the local name of a circuit's endpoint.
pub(super) fn local_name(id: u32) -> String {
    format!("trunk/{id}")
}

/// Returns the connection id of a circuit.
pub(super) fn connection_id(id: u32) -> String {
    format!("c{id}")
}

#[derive(Default)]
pub(super) struct CircuitTable {
    circuits: BTreeMap<u32, Circuit>,
    last_id: u32,
    calls_by_number: HashMap<String, usize>,
}

impl CircuitTable {
    pub(super) fn len(&self) -> usize {
        self.circuits.len()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (u32, &Circuit)> {
        self.circuits.iter().map(|(id, circuit)| (*id, circuit))
    }

    /// Whether all lines of a called number are busy.
    pub(super) fn is_busy(&self, called_number: &str) -> bool {
        self.calls_by_number.get(called_number).is_some_and(|calls| *calls >= LINES_PER_NUMBER)
    }

    /// Adds an established call and returns the id of its circuit.
    pub(super) fn insert(&mut self, circuit: Circuit) -> u32 {
        self.last_id += 1;
        *self.calls_by_number.entry(circuit.called_number.clone()).or_insert(0) += 1;
        self.circuits.insert(self.last_id, circuit);
        self.last_id
    }

    /// Returns the ids of the circuits that a DLCX releases.
    pub(super) fn select(&self, selector: &CircuitSelector<'_>) -> Vec<u32> {
        let selected = self.iter().filter(|(id, circuit)| selector.selects(*id, circuit));
        selected.map(|(id, _)| id).collect()
    }

    pub(super) fn release(&mut self, ids: &[u32]) {
        for id in ids {
            if let Some(circuit) = self.circuits.remove(id)
                && let Some(calls) = self.calls_by_number.get_mut(&circuit.called_number)
            {
                *calls = calls.saturating_sub(1);
            }
        }
        self.calls_by_number.retain(|_, calls| *calls > 0);
    }

    /// Removes all calls. Circuit ids are not reused.
    pub(super) fn clear(&mut self) {
        self.circuits.clear();
        self.calls_by_number.clear();
    }
}
