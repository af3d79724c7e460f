//! Carries the bench's wire to the calls of `ochrelead-core` and its decisions back. Nothing is decided here.

mod door;
mod front;

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde_json::{Value, json};

use front::{Entry, Front};
use ochrelead_core::time::{Moment, Span};

/// All fronts of one process; they share nothing but the numbered lists of the wire.
#[derive(Default)]
pub struct Host {
    fronts: HashMap<u64, Front>,
    lists: BTreeMap<u64, Vec<Entry>>,
    /// What was wrong with the batch but did not keep it from being answered.
    pub complaints: Vec<String>,
}

impl Host {
    /// Answers one batch. An error means that there can be no reply.
    pub fn turn(&mut self, line: &str) -> Result<String, String> {
        let batch: Value = serde_json::from_str(line).map_err(|error| format!("not JSON: {error}"))?;
        let now = batch.get("momentMs").and_then(moment).ok_or("no clock (momentMs)")?;
        let parts = match batch.get("parts") {
            None | Some(Value::Null) => &[][..],
            Some(parts) => parts.as_array().ok_or("parts is not an array")?,
        };
        let mut touched = Vec::new();
        for (at, part) in parts.iter().enumerate() {
            let Some(who) = part.get("who").and_then(Value::as_u64) else {
                self.complaints.push(format!("part {at}: no instance (who)"));
                continue;
            };
            if !touched.contains(&who) {
                touched.push(who);
            }
            for (nth, msg) in part.get("msgs").and_then(Value::as_array).into_iter().flatten().enumerate() {
                if let Err(error) = self.take(who, now, msg) {
                    self.complaints.push(format!("instance {who}, event {nth}: {error}"));
                }
            }
        }
        let mut replies = Vec::new();
        for who in touched {
            let decisions = self.fronts.get_mut(&who).map(|front| front.decisions(now)).unwrap_or_default();
            if !decisions.is_empty() {
                replies.push(json!({"who": who, "decisions": decisions}));
            }
        }
        let seq = batch.get("seq").cloned().unwrap_or(Value::Null);
        Ok(json!({"seq": seq, "parts": replies}).to_string())
    }

    fn take(&mut self, who: u64, now: Moment, msg: &Value) -> Result<(), String> {
        let (name, body) = msg
            .as_object()
            .filter(|object| object.len() == 1)
            .and_then(|object| object.iter().next())
            .ok_or("not an object with one key")?;
        match name.as_str() {
            "Hello" => {
                self.fronts.insert(who, Front::start(body, now)?);
                return Ok(());
            }
            "Page" => {
                let entries =
                    body.get("membersList").and_then(Value::as_array).ok_or("Page: no membersList")?;
                let entries = entries.iter().map(Entry::read).collect::<Result<_, _>>()?;
                self.lists.insert(whole(body, "setId").ok_or("Page: no setId")?, entries);
                return Ok(());
            }
            "Destroy" => {
                self.fronts.remove(&who);
                return Ok(());
            }
            _ => {}
        }
        let front = self.fronts.get_mut(&who).ok_or_else(|| format!("{name}: it never had its Hello"))?;
        if name != "Endpoints" {
            return front.take(name, body, now);
        }
        let scope = body.get("scope").and_then(Value::as_str).ok_or("Endpoints: no scope")?;
        let list = whole(body, "setId").and_then(|list| self.lists.get(&list));
        front.list(scope, list.map(Vec::as_slice), now)
    }
}

/// A whole number, where there is one.
fn whole(body: &Value, key: &str) -> Option<u64> {
    body.get(key).and_then(Value::as_u64)
}

fn micros(value: &Value) -> Option<u64> {
    value.as_f64().filter(|ms| ms.is_finite() && *ms >= 0.0).map(|ms| (ms * 1_000.0).round() as u64)
}

fn moment(value: &Value) -> Option<Moment> {
    micros(value).map(Moment::from_micros)
}

fn millis(span: Span) -> f64 {
    span.micros() as f64 / 1_000.0
}
