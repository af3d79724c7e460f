//! Renders the tables of the page.

use maud::{Markup, html};

use crate::incident_report::IncidentReport;
use crate::page::seconds;
use crate::readable_name;
use crate::survey::IncarnationSummary;
use crate::time_series::{SessionCounts, TimeSeries};

const MICROS_PER_SECOND: f64 = 1e6;

/// The table of incidents.
pub(super) fn incidents(report: &IncidentReport) -> Markup {
    let from = report.from;
    html! {
        table {
            tr { th { "Trouble" } th { "Of" } th.num { "From" } th.num { "To" } th.num { "Sure" } th { "Seen" } }
            @for incident in &report.incidents {
                tr {
                    td { (incident.kind.name()) }
                    td { (incident.subject) }
                    td.num { (format!("{:.1} s", seconds(incident.onset.since(from)))) }
                    td.num {
                        (incident.end.map_or("lasts".to_owned(), |end| format!("{:.1} s", seconds(end.since(from)))))
                    }
                    td.num { (format!("{:.0} %", incident.confidence * 100.0)) }
                    td.faint { (incident.evidence) }
                }
            }
        }
    }
}

/// The share of sessions that were established, by service and by tenant.
pub(super) fn service(series: &TimeSeries) -> Markup {
    html! {
        table {
            tr { th { "" } th.num { "Tries" } th.num { "Stood" } th.num { "in 100" } }
            @for (service, counts) in &series.services {
                tr { td { "service " (service + 1) } (session_cells(*counts)) }
            }
            @for (tenant, counts) in &series.tenants {
                tr { td { @if *tenant == 0 { "no member" } @else { "member " (tenant) } } (session_cells(*counts)) }
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

/// The numbers of rejected sessions, failed INVITEs and granted re-sends, by cause.
pub(super) fn outcomes(series: &TimeSeries) -> Markup {
    let groups = [
        ("given up", &series.rejections),
        ("INVITE ended", &series.invite_failures),
        ("re-send paid by", &series.resend_grants),
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

/// The fronts whose clocks were corrected or whose events are incomplete.
pub(super) fn clocks(report: &IncidentReport) -> Markup {
    let notable: Vec<&IncarnationSummary> =
        report.incarnations.iter().filter(|summary| is_notable(summary)).collect();
    html! {
        @if !notable.is_empty() {
            table {
                tr { th { "Front" } th.num { "Clock moved by" } th.num { "Give or take" } th.num { "Gained" } th.num { "Set" }
                    th.num { "Events lost" } }
                @for summary in notable { (clock_row(summary)) }
            }
        }
        @if !report.unsynchronized.is_empty() {
            p { "Nothing ties the clocks of " (report.unsynchronized.len()) " lives to the others': their order against them is not known." }
        }
    }
}

fn is_notable(summary: &IncarnationSummary) -> bool {
    summary.clock_offset_us != 0
        || summary.clock_steps > 0
        || summary.lost_events > 0
        || summary.missing_events > 0
}

fn clock_row(summary: &IncarnationSummary) -> Markup {
    let bound =
        summary.clock_uncertainty.map_or("not known".to_owned(), |bound| format!("{:.2} s", seconds(bound)));
    html! {
        tr {
            td { (summary.incarnation.front) }
            td.num { (format!("{:.2} s", summary.clock_offset_us as f64 / MICROS_PER_SECOND)) }
            td.num { (bound) }
            td.num { (format!("{:.0} in a million", summary.clock_gain_us_per_s)) }
            td.num { @if summary.clock_steps > 0 { (summary.clock_steps) " times" } }
            td.num { (summary.lost_events + summary.missing_events) }
        }
    }
}

/// The parts of the logs that could not be read.
pub(super) fn damage(report: &IncidentReport) -> Markup {
    let damage = &report.damage;
    html! {
        @for (name, bytes) in &damage.truncated { p.sub { (name) ": " (bytes) " bytes at the end were torn." } }
        @for (name, version) in &damage.newer { p.sub { (name) " was written by a newer version (" (version) ")." } }
        @for name in &damage.foreign { p.sub { (name) " is no segment and was passed over." } }
    }
}
