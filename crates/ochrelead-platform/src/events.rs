//! The coordinator's numbered events: the list of signalling servers, and where to resume it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use ochrelead_core::time::Moment;
use ochrelead_core::types::EndpointState;

/// One signalling server as an event names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Post {
    pub id: String,
    pub address: SocketAddr,
    /// Its number, as sessions name the server of first choice.
    pub number: i64,
    pub state: EndpointState,
    pub weight: f64,
    /// The district that it is in, by name or number, where that is said.
    pub district: Option<String>,
}

/// A change of the list; `whole` where it names all servers there are.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub whole: bool,
    pub posts: Vec<Post>,
}

/// What a line of the coordinator did.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Change(Change),
    /// The last number only, or an event that is known.
    Nothing,
    /// Events are missing: to be asked for again from the last one known.
    Gap,
}

#[derive(Deserialize)]
struct Event {
    index: u64,
    endpoints: Option<Endpoints>,
}

#[derive(Deserialize)]
struct Endpoints {
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
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

/// The last event that is known.
#[derive(Clone, Copy, Debug, Default)]
pub struct Followed {
    last: u64,
}

impl Followed {
    /// The events of the start; one that can't be read is passed over, with all after it: the coordinator is asked
    /// for those again.
    pub fn start(known: &Value) -> (Followed, Vec<Change>) {
        let mut followed = Followed::default();
        let mut changes = Vec::new();
        let last = known.get("index").and_then(Value::as_u64).unwrap_or(0);
        for update in known.get("updates").and_then(Value::as_array).into_iter().flatten() {
            let Ok(event) = Event::deserialize(update) else { return (followed, changes) };
            let index = event.index;
            match event.change() {
                Ok(change) => changes.extend(change),
                Err(_) => return (followed, changes),
            }
            followed.last = followed.last.max(index);
        }
        followed.last = followed.last.max(last);
        (followed, changes)
    }

    /// What to ask the coordinator for.
    pub fn request(&self) -> String {
        format!("follow {}\n", self.last)
    }

    /// Reads a whole line of the coordinator.
    ///
    /// # Errors
    ///
    /// Where it is neither a number nor an event.
    pub fn hear(&mut self, line: &[u8]) -> Result<Heard, serde_json::Error> {
        let event: Event = serde_json::from_slice(line)?;
        if event.index <= self.last {
            return Ok(Heard::Nothing);
        }
        // A number alone that is beyond the last event known: that event did not come.
        if event.index > self.last + 1 || event.endpoints.is_none() {
            return Ok(Heard::Gap);
        }
        let index = event.index;
        let change = event.change()?;
        self.last = index;
        Ok(change.map_or(Heard::Nothing, Heard::Change))
    }
}

impl Event {
    fn change(self) -> Result<Option<Change>, serde_json::Error> {
        let Some(endpoints) = self.endpoints else { return Ok(None) };
        let posts = endpoints.instances.into_iter().map(Instance::post).collect::<Result<_, _>>()?;
        Ok(Some(Change { whole: endpoints.reset, posts }))
    }
}

impl Instance {
    fn post(self) -> Result<Post, serde_json::Error> {
        let started = self.started_at_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
        let started = started.map(|ms| Moment::from_micros((ms * 1_000.0) as u64));
        let state = match self.lifecycle.as_str() {
            "up" => EndpointState::Ready { started },
            "draining" => EndpointState::Draining,
            "removed" => EndpointState::Gone,
            other => return Err(serde::de::Error::custom(format!("unknown lifecycle {other}"))),
        };
        let weight = self.weight.filter(|weight| weight.is_finite() && *weight > 0.0).unwrap_or(1.0);
        let number = self.cell.unwrap_or(-1);
        let district = match self.zone {
            Value::String(name) => Some(name),
            Value::Number(number) => Some(number.to_string()),
            _ => None,
        };
        Ok(Post { id: self.instance_id, address: self.host_port, number, state, weight, district })
    }
}
