//! Renders the report as a self-contained HTML page: without scripts and external resources, for light and dark mode.

mod plots;
mod tables;

use maud::{DOCTYPE, Markup, PreEscaped, html};
use ochrelead_core::time::Span;
use ochrelead_diagnosis::incident::Incident;

use crate::incident_report::IncidentReport;

const STYLE: &str = include_str!("page/style.css");

/// Renders the page.
pub fn render(report: &IncidentReport) -> String {
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Incident report" }
                style { (PreEscaped(STYLE)) }
            }
            body { (body(report)) }
        }
    };
    page.into_string()
}

fn body(report: &IncidentReport) -> Markup {
    let series = &report.series;
    let length = seconds(report.to.since(report.from));
    html! {
        h1 { "What happened" }
        p.sub { (format!("{length:.0} s of records, from {} lives of fronts", report.incarnations.len())) }
        (summary(report))
        h2 { "Timeline of troubles" }
        div.scroll { (plots::incidents(report)) }
        (tables::incidents(report))
        h2 { "Servers" }
        p.sub { "Answer times (red, seconds), INVITEs a second (blue), the fronts' in-flight limit (green, dashed)." }
        @for (name, server) in &series.servers {
            div.scroll { (plots::server(name, server, series.interval, length)) }
        }
        h2 { "Service" }
        (tables::service(series))
        h2 { "Why sessions were given up, and how INVITEs ended" }
        (tables::outcomes(series))
        h2 { "Fronts and their records" }
        div.scroll { (plots::incarnations(report)) }
        (tables::clocks(report))
        (tables::damage(report))
        h2 { "The sessions that waited longest" }
        (longest_sessions(report))
    }
}

fn summary(report: &IncidentReport) -> Markup {
    let sessions = report.series.sessions;
    let share = match sessions.accepted {
        0 => 100.0,
        accepted => sessions.established as f64 / accepted as f64 * 100.0,
    };
    html! {
        p { (format!("Callers tried {} times; {share:.0} in 100 tries stood.", sessions.accepted)) " "
            @if report.incidents.is_empty() { "Nothing was wrong that these records show." }
            @else { (report.incidents.len()) " troubles were found:" } }
        ul {
            @for incident in &report.incidents {
                li {
                    strong { (format!("{:.1} s", seconds(incident.onset.since(report.from)))) } " " (sentence(incident))
                }
            }
        }
    }
}

/// Describes an incident in a sentence.
fn sentence(incident: &Incident) -> String {
    let duration = match incident.end {
        Some(end) => format!("for {:.1} s", seconds(end.since(incident.onset))),
        None => "and it lasts".to_owned(),
    };
    let subject = if incident.subject.is_empty() { String::new() } else { format!("{}: ", incident.subject) };
    format!("{subject}{} {duration}; {}.", incident.kind.name(), incident.evidence)
}

/// Lists the longest sessions with their steps.
fn longest_sessions(report: &IncidentReport) -> Markup {
    html! {
        @for trace in &report.longest_sessions {
            details {
                summary { "Try " (trace.session) ", " (format!("{:.2} s", seconds(trace.waited))) }
                ol.story {
                    @for step in &trace.steps {
                        li { (format!("{:.3} s", seconds(step.time.since(report.from)))) " " (step.description) }
                    }
                }
            }
        }
    }
}

fn seconds(span: Span) -> f64 {
    span.ratio(Span::from_secs(1))
}
