//! The page's tables.

use maud::{Markup, html};

use crate::incident::Incident;
use crate::page::seconds;
use crate::readable_name;
use crate::survey::Stretch;
use crate::time_series::{SessionCounts, TimeSeries};

const MICROS_PER_SECOND: f64 = 1e6;

/// All troubles.
pub(super) fn troubles(incident: &Incident) -> Markup {
    let from = incident.from;
    html! {
        table {
            tr { th { "Trouble" } th { "Of" } th.num { "From" } th.num { "To" } th.num { "Sure" } th { "Seen" } }
            @for trouble in &incident.troubles {
                tr {
                    td { (trouble.kind.name()) }
                    td { (trouble.of) }
                    td.num { (format!("{:.1} s", seconds(trouble.onset.since(from)))) }
                    td.num {
                        (trouble.end.map_or("lasts".to_owned(), |end| format!("{:.1} s", seconds(end.since(from)))))
                    }
                    td.num { (format!("{:.0} %", trouble.confidence * 100.0)) }
                    td.faint { (trouble.evidence) }
                }
            }
        }
    }
}

/// The share of sessions that were established, by service and by member.
pub(super) fn service(series: &TimeSeries) -> Markup {
    html! {
        table {
            tr { th { "" } th.num { "Tries" } th.num { "Stood" } th.num { "in 100" } }
            @for (service, counts) in &series.services {
                tr { td { "service " (service + 1) } (session_cells(*counts)) }
            }
            @for (member, counts) in &series.members {
                tr { td { @if *member == 0 { "no member" } @else { "member " (member) } } (session_cells(*counts)) }
            }
        }
    }
}

fn session_cells(counts: SessionCounts) -> Markup {
    let share = counts.established as f64 * 100.0 / counts.accepted.max(1) as f64;
    html! {
        td.num { (counts.accepted) }
        td.num { (counts.established) }
        td.num { (format!("{share:.1}")) }
    }
}

/// How often sessions were rejected, INVITEs failed and re-sends were granted, by cause.
pub(super) fn outcomes(series: &TimeSeries) -> Markup {
    let groups = [
        ("given up", &series.denials),
        ("INVITE ended", &series.endings),
        ("re-send paid by", &series.payments),
    ];
    html! {
        table {
            @for (group, counts) in groups {
                @for (name, count) in counts {
                    tr { td { (group) ": " (readable_name(name)) } td.num { (count) } }
                }
            }
        }
    }
}

/// The fronts whose clocks were moved or whose events are not all there.
pub(super) fn clocks(incident: &Incident) -> Markup {
    let notable: Vec<&Stretch> = incident.stretches.iter().filter(|stretch| is_notable(stretch)).collect();
    html! {
        @if !notable.is_empty() {
            table {
                tr { th { "Front" } th.num { "Clock moved by" } th.num { "Give or take" } th.num { "Gained" } th.num { "Set" }
                    th.num { "Events lost" } }
                @for stretch in notable { (clock_row(stretch)) }
            }
        }
        @if !incident.loose.is_empty() {
            p { "Nothing ties the clocks of " (incident.loose.len()) " lives to the others': their order against them is not known." }
        }
    }
}

fn is_notable(stretch: &Stretch) -> bool {
    stretch.moved_us != 0 || stretch.steps > 0 || stretch.lost > 0 || stretch.missing > 0
}

fn clock_row(stretch: &Stretch) -> Markup {
    let bound = stretch.bound.map_or("not known".to_owned(), |bound| format!("{:.2} s", seconds(bound)));
    html! {
        tr {
            td { (stretch.incarnation.front) }
            td.num { (format!("{:.2} s", stretch.moved_us as f64 / MICROS_PER_SECOND)) }
            td.num { (bound) }
            td.num { (format!("{:.0} in a million", stretch.gains_us)) }
            td.num { @if stretch.steps > 0 { (stretch.steps) " times" } }
            td.num { (stretch.lost + stretch.missing) }
        }
    }
}

/// What of the logs could not be read.
pub(super) fn damage(incident: &Incident) -> Markup {
    let damage = &incident.damage;
    html! {
        @for (name, bytes) in &damage.truncated { p.sub { (name) ": " (bytes) " bytes at the end were torn." } }
        @for (name, version) in &damage.newer { p.sub { (name) " was written by a newer version (" (version) ")." } }
        @for name in &damage.foreign { p.sub { (name) " is no segment and was passed over." } }
    }
}
