//! Renders the fleet as text.

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::incident::Incident;

use crate::fleet_view::FleetView;
use crate::server_view::ServerView;

/// The number of past incidents that are printed.
const PAST_INCIDENTS_SHOWN: usize = 10;
/// The number of seconds over which the INVITE rate of a server is averaged.
const INVITE_RATE_SECONDS: usize = 5;

/// Renders the whole fleet, one line for each server and each incident.
pub fn render(fleet: &FleetView) -> String {
    let now = fleet.now();
    let mut lines = vec![format!("{} of {} fronts write", fleet.active_front_count(), fleet.front_count())];
    for (name, server) in fleet.servers() {
        lines.push(describe_server(name, server, now));
    }
    let ongoing = fleet.ongoing_incidents();
    let heading = if ongoing.is_empty() { "no trouble in hand" } else { "troubles in hand:" };
    lines.push(heading.to_owned());
    for incident in &ongoing {
        lines.push(format!("  {}", describe_incident(incident, now)));
    }
    for incident in fleet.past_incidents().iter().take(PAST_INCIDENTS_SHOWN) {
        lines.push(format!("  passed: {}", describe_incident(incident, now)));
    }
    lines.join("\n") + "\n"
}

/// Describes an incident in one line, with the time since its onset.
pub(crate) fn describe_incident(incident: &Incident, now: Moment) -> String {
    let age = seconds(now.since(incident.onset));
    let subject = if incident.subject.is_empty() { "the fleet" } else { &incident.subject };
    let duration = match incident.end {
        Some(end) => format!("lasted {:.1} s", seconds(end.since(incident.onset))),
        None => "lasts".to_owned(),
    };
    format!("{age:.0} s ago, {duration}: {subject}: {}: {}", incident.kind.name(), incident.evidence)
}

/// Describes a server in one line.
pub(crate) fn describe_server(name: &str, server: &ServerView, now: Moment) -> String {
    let state_age = server.state_since().map_or(0.0, |since| seconds(now.since(since)));
    format!(
        "{name}: {} for {state_age:.0} s, answers in {:.2} s, {:.1} INVITEs/s, limit {:.1}, lines {}/{} free",
        server.state(),
        seconds(server.answer_time()),
        server.invites().average(INVITE_RATE_SECONDS),
        server.limit(),
        server.free_lines(),
        server.total_lines()
    )
}

fn seconds(span: Span) -> f64 {
    span.ratio(Span::from_secs(1))
}
