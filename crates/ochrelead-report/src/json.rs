//! Renders the diagnosis as JSON.

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::trouble::Trouble;
use serde_json::{Value, json};

use crate::incident::Incident;
use crate::survey::IncarnationSummary;

/// Renders incidents, clock offsets and gaps in the logs. Times are in microseconds since 1970 on the common clock.
pub fn render(incident: &Incident) -> Value {
    let troubles: Vec<Value> = incident.troubles.iter().map(trouble).collect();
    let incarnations: Vec<Value> = incident.incarnations.iter().map(incarnation).collect();
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
        "of": trouble.subject,
        "onset_us": trouble.onset.micros(),
        "end_us": trouble.end.map(Moment::micros),
        "confidence": trouble.confidence,
        "evidence": trouble.evidence,
    })
}

fn incarnation(summary: &IncarnationSummary) -> Value {
    json!({
        "front": summary.incarnation.front,
        "started_us": summary.incarnation.started_us,
        "from_us": summary.from.micros(),
        "to_us": summary.to.micros(),
        "clock_moved_us": summary.clock_offset_us,
        "clock_bound_us": summary.clock_uncertainty.map(Span::micros),
        "clock_gains_us_per_s": summary.clock_gain_us_per_s,
        "clock_set": summary.clock_steps,
        "lost": summary.lost_events,
        "missing": summary.missing_events,
    })
}
