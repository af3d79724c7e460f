//! The instances of one process.

use std::collections::{BTreeMap, HashMap};

use ochrelead_core::time::Moment;
use serde_json::{Value, json};

use crate::error::{BatchError, Diagnostic, EventError};
use crate::fields::{moment, required, text, unsigned};
use crate::front::{Endpoint, Front};

/// The instances of one process. They share the numbered endpoint lists and nothing else.
#[derive(Default)]
pub struct Host {
    fronts: HashMap<u64, Front>,
    lists: BTreeMap<u64, Vec<Endpoint>>,
    /// Errors in parts and events of batches that were answered nevertheless. The caller drains them.
    pub diagnostics: Vec<Diagnostic>,
}

impl Host {
    /// Answers one batch.
    ///
    /// # Errors
    ///
    /// If the batch as a whole cannot be answered. Errors in single parts and events are added to
    /// [`diagnostics`](Self::diagnostics) instead.
    pub fn process(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Value = serde_json::from_str(line).map_err(BatchError::NotJson)?;
        let now = moment(&batch, "momentMs").ok_or(BatchError::MissingClock)?;
        let parts = match batch.get("parts") {
            None | Some(Value::Null) => &[][..],
            Some(parts) => parts.as_array().ok_or(BatchError::PartsNotArray)?,
        };
        let mut instances = Vec::new();
        for (position, part) in parts.iter().enumerate() {
            let Some(instance) = unsigned(part, "who") else {
                self.diagnostics.push(Diagnostic::MissingInstance { part: position });
                continue;
            };
            if !instances.contains(&instance) {
                instances.push(instance);
            }
            self.process_part(instance, part, now);
        }
        let mut replies = Vec::new();
        for instance in instances {
            let actions = self.fronts.get_mut(&instance).map(|front| front.actions(now)).unwrap_or_default();
            if !actions.is_empty() {
                replies.push(json!({"who": instance, "decisions": actions}));
            }
        }
        let sequence = batch.get("seq").cloned().unwrap_or(Value::Null);
        Ok(json!({"seq": sequence, "parts": replies}).to_string())
    }

    fn process_part(&mut self, instance: u64, part: &Value, now: Moment) {
        let events = part.get("msgs").and_then(Value::as_array).into_iter().flatten();
        for (position, event) in events.enumerate() {
            if let Err(error) = self.process_event(instance, now, event) {
                self.diagnostics.push(Diagnostic::Event { instance, event: position, error });
            }
        }
    }

    fn process_event(&mut self, instance: u64, now: Moment, event: &Value) -> Result<(), EventError> {
        let fields = event.as_object().filter(|fields| fields.len() == 1);
        let (name, body) = fields.and_then(|fields| fields.iter().next()).ok_or(EventError::NotAnEvent)?;
        match name.as_str() {
            "Hello" => {
                self.fronts.insert(instance, Front::start(body, now)?);
                return Ok(());
            }
            "Page" => return self.store_list(body),
            "Destroy" => {
                self.fronts.remove(&instance);
                return Ok(());
            }
            _ => {}
        }
        let front = self.fronts.get_mut(&instance);
        let front = front.ok_or_else(|| EventError::NotStarted { event: name.clone() })?;
        if name != "Endpoints" {
            return front.handle_event(name, body, now);
        }
        let scope = required(text(body, "scope"), "Endpoints", "scope")?;
        let list = unsigned(body, "setId").and_then(|list| self.lists.get(&list));
        front.update_endpoints(scope, list.map(Vec::as_slice), now)
    }

    fn store_list(&mut self, body: &Value) -> Result<(), EventError> {
        let entries = required(body.get("membersList").and_then(Value::as_array), "Page", "membersList")?;
        let endpoints = entries.iter().map(Endpoint::read).collect::<Result<_, _>>()?;
        self.lists.insert(required(unsigned(body, "setId"), "Page", "setId")?, endpoints);
        Ok(())
    }
}
