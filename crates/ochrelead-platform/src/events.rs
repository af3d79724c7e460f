//! The coordinator's numbered events, which maintain the list of signalling servers, and the position from which to
//! resume them.

use std::cmp::Ordering;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use ochrelead_core::time::Moment;
use ochrelead_core::types::EndpointState;

/// A signalling server as an event describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The id of the server, which stays the same while the server is listed.
    pub id: String,
    /// The address on which the server accepts connections.
    pub address: SocketAddr,
    /// The number by which a set-up names the server as its destination; -1 if the event has none.
    pub number: i64,
    /// Whether the server is in service, draining or removed.
    pub state: EndpointState,
    /// The weight of the server in weighted draws; above 0, 1 by default.
    pub weight: f64,
    /// The zone of the server, by name or number, if the event has one.
    pub zone: Option<String>,
}

/// A change to the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// Whether the change replaces the whole list. Otherwise it adds or updates the servers in `endpoints` only.
    pub is_full: bool,
    /// The servers that are listed, updated or removed.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointChange {
    /// Returns the list that results from consecutive changes, starting at the last full one. Returns `None` if none of
    /// them is full.
    pub fn merge(changes: &[EndpointChange]) -> Option<EndpointChange> {
        let last_full = changes.iter().rposition(|change| change.is_full)?;
        let mut endpoints: Vec<Endpoint> = Vec::new();
        for update in changes[last_full..].iter().flat_map(|change| &change.endpoints) {
            endpoints.retain(|endpoint| endpoint.id != update.id);
            if update.state != EndpointState::Gone {
                endpoints.push(update.clone());
            }
        }
        Some(EndpointChange { is_full: true, endpoints })
    }
}

/// The effect of one line from the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum EventOutcome {
    /// The list of servers changes.
    Changed(EndpointChange),
    /// Nothing changes: the line has an earlier index or repeats the last event.
    Unchanged,
    /// The line is the index of the last known event without an event: there are no later events.
    UpToDate,
    /// The line is a later index without an event: there are events that have not arrived. They may still arrive.
    Behind,
    /// The line is an event that skips at least one index and does not hold the full list. The skipped events have to
    /// be requested again.
    Gap,
}

#[derive(Deserialize)]
struct Event {
    index: u64,
    endpoints: Option<EventEndpoints>,
}

#[derive(Deserialize)]
struct EventEndpoints {
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<EventInstance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct EventInstance {
    instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: Value,
    #[serde(default)]
    cell: Option<i64>,
    lifecycle: String,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    started_at_ms: Option<f64>,
}

/// The position in the coordinator's events: the index of the last known event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCursor {
    last_index: u64,
}

impl EventCursor {
    /// Returns the cursor after the events that the configuration holds, and their changes. Stops at the first event
    /// that can't be parsed, so that the coordinator sends it and all later ones again.
    pub fn from_known_events(known: &Value) -> (EventCursor, Vec<EndpointChange>) {
        let mut cursor = EventCursor::default();
        let mut changes = Vec::new();
        let last_index = known.get("index").and_then(Value::as_u64).unwrap_or(0);
        for update in known.get("updates").and_then(Value::as_array).into_iter().flatten() {
            let Ok(event) = Event::deserialize(update) else { return (cursor, changes) };
            let index = event.index;
            match event.into_change() {
                Ok(change) => changes.extend(change),
                Err(_) => return (cursor, changes),
            }
            cursor.last_index = cursor.last_index.max(index);
        }
        cursor.last_index = cursor.last_index.max(last_index);
        (cursor, changes)
    }

    /// Returns the index of the last known event.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Encodes the request to the coordinator for all events after the cursor, as one line.
    pub fn request(&self) -> String {
        format!("follow {}\n", self.last_index)
    }

    /// Parses a complete line from the coordinator and advances the cursor past its event. A line holds an event, or
    /// an event index without an event: a bare number, or an object with `index` only.
    ///
    /// # Errors
    ///
    /// If the line is neither an index nor an event. The cursor does not change.
    pub fn handle_line(&mut self, line: &[u8]) -> Result<EventOutcome, serde_json::Error> {
        let event = match serde_json::from_slice(line) {
            Ok(index) => Event { index, endpoints: None },
            Err(_) => serde_json::from_slice(line)?,
        };
        let is_index_only = event.endpoints.is_none();
        let is_full = event.endpoints.as_ref().is_some_and(|endpoints| endpoints.reset);
        match event.index.cmp(&self.last_index) {
            Ordering::Equal if is_index_only => return Ok(EventOutcome::UpToDate),
            Ordering::Less | Ordering::Equal => return Ok(EventOutcome::Unchanged),
            Ordering::Greater if is_index_only => return Ok(EventOutcome::Behind),
            Ordering::Greater if event.index > self.last_index + 1 && !is_full => {
                return Ok(EventOutcome::Gap);
            }
            Ordering::Greater => {}
        }
        let index = event.index;
        let change = event.into_change()?;
        self.last_index = index;
        Ok(change.map_or(EventOutcome::Unchanged, EventOutcome::Changed))
    }
}

impl Event {
    fn into_change(self) -> Result<Option<EndpointChange>, serde_json::Error> {
        let Some(EventEndpoints { reset, instances }) = self.endpoints else { return Ok(None) };
        let endpoints = instances.into_iter().map(EventInstance::into_endpoint).collect::<Result<_, _>>()?;
        Ok(Some(EndpointChange { is_full: reset, endpoints }))
    }
}

impl EventInstance {
    fn into_endpoint(self) -> Result<Endpoint, serde_json::Error> {
        let started_at_ms = self.started_at_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
        let started = started_at_ms.map(|ms| Moment::from_micros((ms * 1_000.0) as u64));
        let state = match self.lifecycle.as_str() {
            "up" => EndpointState::Ready { started },
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Gone,
            other => {
                return Err(serde::de::Error::custom(format!(
                    "lifecycle is {other:?}; it must be up, draining or removed"
                )));
            }
        };
        let zone = match self.zone {
            Value::String(name) => Some(name),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        };
        Ok(Endpoint {
            id: self.instance_id,
            address: self.host_port,
            number: self.cell.unwrap_or(-1),
            state,
            weight: self.weight.filter(|weight| weight.is_finite() && *weight > 0.0).unwrap_or(1.0),
            zone,
        })
    }
}
