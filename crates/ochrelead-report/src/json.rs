//! Renders the diagnosis as JSON.

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::incident::Incident;
use serde_json::{Value, json};

use crate::incident_report::IncidentReport;
use crate::survey::IncarnationSummary;

/// Renders incidents, clock offsets and gaps in the logs. Times are in microseconds since 1970 on the common clock.
pub fn render(report: &IncidentReport) -> Value {
    let incidents: Vec<Value> = report.incidents.iter().map(incident).collect();
    let incarnations: Vec<Value> = report.incarnations.iter().map(incarnation).collect();
    json!({
        "from_us": report.from.micros(),
        "to_us": report.to.micros(),
        "events": report.events,
        "troubles": incidents,
        "lives": incarnations,
        "torn": report.damage.truncated,
        "newer": report.damage.newer,
        "foreign": report.damage.foreign,
    })
}

fn incident(incident: &Incident) -> Value {
    json!({
        "kind": incident.kind.id(),
        "name": incident.kind.name(),
        "of": incident.subject,
        "onset_us": incident.onset.micros(),
        "end_us": incident.end.map(Moment::micros),
        "confidence": incident.confidence,
        "evidence": incident.evidence,
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
