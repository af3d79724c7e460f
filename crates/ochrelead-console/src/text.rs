//! The fleet as text, for a pipe.

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::trouble::Trouble;

use crate::fleet_view::FleetView;
use crate::server_view::ServerView;

/// Past troubles that are printed.
const PAST_TROUBLES_SHOWN: usize = 10;
/// Seconds over which a server's INVITEs are averaged.
const INVITE_RATE_SECONDS: usize = 5;

/// The whole fleet, a line for each server and each trouble.
pub fn render(fleet: &FleetView) -> String {
    let now = fleet.now();
    let mut lines = vec![format!("{} of {} fronts write", fleet.active_front_count(), fleet.front_count())];
    for (name, server) in fleet.servers() {
        lines.push(describe_server(name, server, now));
    }
    let ongoing = fleet.ongoing_troubles();
    let heading = if ongoing.is_empty() { "no trouble in hand" } else { "troubles in hand:" };
    lines.push(heading.to_owned());
    for trouble in &ongoing {
        lines.push(format!("  {}", describe_trouble(trouble, now)));
    }
    for trouble in fleet.past_troubles().iter().take(PAST_TROUBLES_SHOWN) {
        lines.push(format!("  passed: {}", describe_trouble(trouble, now)));
    }
    lines.join("\n") + "\n"
}

/// A trouble as one line, with how long ago it began.
pub(crate) fn describe_trouble(trouble: &Trouble, now: Moment) -> String {
    let age = seconds(now.since(trouble.onset));
    let subject = if trouble.subject.is_empty() { "the fleet" } else { &trouble.subject };
    let duration = match trouble.end {
        Some(end) => format!("lasted {:.1} s", seconds(end.since(trouble.onset))),
        None => "lasts".to_owned(),
    };
    format!("{age:.0} s ago, {duration}: {subject}: {}: {}", trouble.kind.name(), trouble.evidence)
}

/// A server as one line.
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
