//! The diagnosis for machines.

use serde_json::{Value, json};

use crate::incident::Incident;

/// Troubles, clocks and gaps; moments in microseconds since 1970 on the common clock.
pub fn of(incident: &Incident) -> Value {
    let troubles: Vec<Value> = incident
        .troubles
        .iter()
        .map(|own| {
            json!({
                "kind": own.kind.id(), "name": own.kind.name(), "of": own.of,
                "onset_us": own.onset.micros(), "end_us": own.end.map(|end| end.micros()),
                "confidence": own.confidence, "evidence": own.evidence,
            })
        })
        .collect();
    let lives: Vec<Value> = incident
        .stretches
        .iter()
        .map(|own| {
            json!({
                "front": own.life.front, "started_us": own.life.started_us,
                "from_us": own.from.micros(), "to_us": own.to.micros(), "clock_moved_us": own.moved_us,
                "clock_bound_us": own.bound.map(|bound| bound.micros()), "clock_gains_us_per_s": own.gains_us,
                "clock_set": own.steps, "lost": own.lost, "missing": own.missing,
            })
        })
        .collect();
    let (from, to) = incident.span();
    json!({
        "from_us": from.micros(), "to_us": to.micros(), "events": incident.events, "troubles": troubles, "lives": lives,
        "torn": incident.damage.truncated, "newer": incident.damage.newer, "foreign": incident.damage.foreign,
    })
}
