//! The coordinator's numbered events: the list of signalling servers, and from where to resume it.

use std::cmp::Ordering;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use ochrelead_core::time::Moment;
use ochrelead_core::types::EndpointState;

/// One signalling server as an event names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its id, the same for as long as the server is listed.
    pub id: String,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its number, by which sessions name the server of first choice; -1 where the event has none.
    pub number: i64,
    /// Whether it is in service.
    pub state: EndpointState,
    /// Its part of weighted draws; above zero, 1 by default.
    pub weight: f64,
    /// The zone that it is in, by name or number, where the event has one.
    pub zone: Option<String>,
}

/// A change of the list of servers.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// Whether it replaces the whole list; otherwise it changes the servers that it names.
    pub is_full: bool,
    /// The servers that it names.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointChange {
    /// The whole list that changes in a row lead to; `None` where none of them is the whole list.
    pub fn merge(changes: &[EndpointChange]) -> Option<EndpointChange> {
        let last_full = changes.iter().rposition(|change| change.is_full)?;
        let mut endpoints: Vec<Endpoint> = Vec::new();
        for changed in changes[last_full..].iter().flat_map(|change| &change.endpoints) {
            endpoints.retain(|endpoint| endpoint.id != changed.id);
            if changed.state != EndpointState::Gone {
                endpoints.push(changed.clone());
            }
        }
        Some(EndpointChange { is_full: true, endpoints })
    }
}

/// The effect of one line of the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum EventOutcome {
    /// The list of servers changes.
    Changed(EndpointChange),
    /// Nothing changes: an event or a number that is known already.
    Unchanged,
    /// The number of the last event known, alone: there are no later ones.
    UpToDate,
    /// A later number alone: there are events that have not come. They may still come.
    Behind,
    /// A later event than the next, without the whole list: those between have to be requested again.
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

/// The position in the coordinator's events: the last one that is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCursor {
    last_index: u64,
}

impl EventCursor {
    /// The cursor after the events of the configuration, and their changes. An event that can't be parsed is skipped with
    /// all after it: the coordinator is asked for those again.
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

    /// The number of the last event that is known.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// The request for the events after the cursor, as a line to the coordinator.
    pub fn request(&self) -> String {
        format!("follow {}\n", self.last_index)
    }

    /// Parses a whole line of the coordinator, which holds an event or a number alone, by itself or as an event's index,
    /// and advances over its event.
    ///
    /// # Errors
    ///
    /// Where the line is neither a number nor an event; the cursor stays.
    pub fn handle_line(&mut self, line: &[u8]) -> Result<EventOutcome, serde_json::Error> {
        let event = match serde_json::from_slice(line) {
            Ok(index) => Event { index, endpoints: None },
            Err(_) => serde_json::from_slice(line)?,
        };
        let is_number = event.endpoints.is_none();
        let is_full = event.endpoints.as_ref().is_some_and(|listed| listed.reset);
        match event.index.cmp(&self.last_index) {
            Ordering::Equal if is_number => return Ok(EventOutcome::UpToDate),
            Ordering::Less | Ordering::Equal => return Ok(EventOutcome::Unchanged),
            Ordering::Greater if is_number => return Ok(EventOutcome::Behind),
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
        let Some(listed) = self.endpoints else { return Ok(None) };
        let endpoints =
            listed.instances.into_iter().map(EventInstance::into_endpoint).collect::<Result<_, _>>()?;
        Ok(Some(EndpointChange { is_full: listed.reset, endpoints }))
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
            other => return Err(serde::de::Error::custom(format!("unknown lifecycle {other}"))),
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
