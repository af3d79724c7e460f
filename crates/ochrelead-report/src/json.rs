//! The diagnosis for machines.

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::trouble::Trouble;
use serde_json::{Value, json};

use crate::incident::Incident;
use crate::survey::Stretch;

/// Troubles, clocks and gaps; moments in microseconds since 1970 on the common clock.
pub fn render(incident: &Incident) -> Value {
    let troubles: Vec<Value> = incident.troubles.iter().map(trouble).collect();
    let incarnations: Vec<Value> = incident.stretches.iter().map(incarnation).collect();
    json!({
        "from_us": incident.from.micros(),
        "to_us": incident.to.micros(),
        "events": incident.events,
        "troubles": troubles,
        "lives": incarnations,
        "torn": incident.damage.truncated,
        "newer": incident.damage.newer,
        "foreign": incident.damage.foreign,
    })
}

fn trouble(trouble: &Trouble) -> Value {
    json!({
        "kind": trouble.kind.id(),
        "name": trouble.kind.name(),
        "of": trouble.of,
        "onset_us": trouble.onset.micros(),
        "end_us": trouble.end.map(Moment::micros),
        "confidence": trouble.confidence,
        "evidence": trouble.evidence,
    })
}

fn incarnation(stretch: &Stretch) -> Value {
    json!({
        "front": stretch.incarnation.front,
        "started_us": stretch.incarnation.started_us,
        "from_us": stretch.from.micros(),
        "to_us": stretch.to.micros(),
        "clock_moved_us": stretch.moved_us,
        "clock_bound_us": stretch.bound.map(Span::micros),
        "clock_gains_us_per_s": stretch.gains_us,
        "clock_set": stretch.steps,
        "lost": stretch.lost,
        "missing": stretch.missing,
    })
}
