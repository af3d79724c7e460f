//! Renders the plots of the page as SVG.

use maud::{Markup, html};
use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::incident::Incident;

use crate::incident_report::IncidentReport;
use crate::page::{seconds, sentence};
use crate::time_series::ServerSeries;

/// The width of all plots, in SVG units.
const WIDTH: f64 = 900.0;
/// The x position of the start of the time axis. Labels are to the left of it.
const AXIS_LEFT: f64 = 150.0;
/// The height of a row in the timeline of incidents.
const INCIDENT_ROW_HEIGHT: f64 = 20.0;
/// The height of a row in the plot of fronts.
const FRONT_ROW_HEIGHT: f64 = 14.0;
/// The height of the lines of a server's plot, above the axis.
const SERVER_PLOT_HEIGHT: f64 = 70.0;
/// The height of the axis labels.
const AXIS_HEIGHT: f64 = 18.0;
/// The space above the highest point of a line.
const LINE_MARGIN: f64 = 4.0;
/// The shortest duration of the time axis, in seconds: avoids a division by zero.
const MIN_LENGTH: f64 = 0.001;
/// The maximum number of intervals between axis marks.
const MAX_AXIS_STEPS: f64 = 12.0;
/// The candidates for the interval between axis marks, in seconds. The first that does not exceed `MAX_AXIS_STEPS` is
/// used.
const AXIS_STEPS: [f64; 9] = [1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0, 900.0, 3_600.0];
/// The interval between axis marks if no candidate is long enough, in seconds.
const LONGEST_AXIS_STEP: f64 = 14_400.0;
/// The maximum number of characters in a label.
const MAX_LABEL_LENGTH: usize = 25;

/// The x position of a time since the start of the axis. `time` and `length` are in seconds.
fn axis_position(time: f64, length: f64) -> f64 {
    AXIS_LEFT + (WIDTH - AXIS_LEFT) * time / length.max(MIN_LENGTH)
}

fn axis(length: f64, height: f64) -> Markup {
    let step = AXIS_STEPS.into_iter().find(|step| length / step <= MAX_AXIS_STEPS);
    let step = step.unwrap_or(LONGEST_AXIS_STEP);
    let marks = (0..=(length / step) as u32).map(|index| f64::from(index) * step);
    html! {
        @for mark in marks {
            @let x = axis_position(mark, length);
            line.axis x1=(x) x2=(x) y1="0" y2=(height - 14.0) {}
            text.faint x=(x + 2.0) y=(height - 3.0) { (format!("{mark:.0} s")) }
        }
    }
}

/// Plots the timeline of incidents, from onset to end.
pub(super) fn incidents(report: &IncidentReport) -> Markup {
    let length = seconds(report.to.since(report.from));
    let height = report.incidents.len() as f64 * INCIDENT_ROW_HEIGHT + INCIDENT_ROW_HEIGHT;
    let position = |time: Moment| axis_position(seconds(time.since(report.from)), length);
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {height}")) role="img" aria-label="timeline of troubles" {
            (axis(length, height))
            @for (row, incident) in report.incidents.iter().enumerate() {
                @let (left, right) = (position(incident.onset), position(incident.end.unwrap_or(report.to)));
                @let top = row as f64 * INCIDENT_ROW_HEIGHT + 3.0;
                text x="0" y=(top + 11.0) { (incident_label(incident)) }
                rect.bar x=(left) y=(top) width=((right - left).max(2.0)) height="14" rx="2" {
                    title { (sentence(incident)) }
                }
            }
        }
    }
}

fn incident_label(incident: &Incident) -> String {
    let subject = incident.subject.split('.').next().unwrap_or("");
    let text = format!("{subject} {}", incident.kind.short_name());
    text.trim().chars().take(MAX_LABEL_LENGTH).collect()
}

/// Plots the answer times, the INVITE rate and the in-flight limit of a server.
pub(super) fn server(name: &str, series: &ServerSeries, interval: Span, length: f64) -> Markup {
    let height = SERVER_PLOT_HEIGHT + AXIS_HEIGHT;
    let rates: Vec<Option<f64>> =
        series.invites.iter().map(|count| Some(count / seconds(interval))).collect();
    let top_answer = max_value(&series.answers, 0.5);
    let top_rate = max_value(&rates, 1.0);
    let top_limit = max_value(&series.limit, 1.0);
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {height}")) role="img" aria-label=(format!("course of {name}")) {
            (axis(length, height))
            text x="0" y="14" { (name.split('.').next().unwrap_or(name)) }
            text.faint x="0" y="30" { (format!("up to {top_answer:.2} s")) }
            text.faint x="0" y="44" { (format!("up to {top_rate:.0} INVITEs/s")) }
            text.faint x="0" y="58" { (format!("limit up to {top_limit:.1}")) }
            (line("limit", &series.limit, top_limit))
            (line("invites", &rates, top_rate))
            (line("answers", &series.answers, top_answer))
        }
    }
}

/// The maximum of `values`, or `minimum` if that is larger.
fn max_value(values: &[Option<f64>], minimum: f64) -> f64 {
    values.iter().flatten().copied().fold(minimum, f64::max)
}

/// Draws a line through the values, scaled so that `top` is at the top. A missing value leaves a gap.
fn line(class: &str, values: &[Option<f64>], top: f64) -> Markup {
    let column_width = (WIDTH - AXIS_LEFT) / values.len().max(1) as f64;
    let mut path = String::new();
    let mut command = "M";
    for (column, value) in values.iter().enumerate() {
        let Some(value) = value else {
            command = "M";
            continue;
        };
        let x = AXIS_LEFT + column_width * (column as f64 + 0.5);
        let y = SERVER_PLOT_HEIGHT - (SERVER_PLOT_HEIGHT - LINE_MARGIN) * (value / top).min(1.0);
        path.push_str(&format!("{command}{x:.1} {y:.1}"));
        command = "L";
    }
    html! { path class=(class) d=(path) {} }
}

/// Plots the time covered by the log of each front's incarnations.
pub(super) fn incarnations(report: &IncidentReport) -> Markup {
    let length = seconds(report.to.since(report.from));
    let position = |time: Moment| axis_position(seconds(time.since(report.from)), length);
    let mut fronts: Vec<&str> =
        report.incarnations.iter().map(|summary| summary.incarnation.front.as_str()).collect();
    fronts.dedup();
    let height = fronts.len() as f64 * FRONT_ROW_HEIGHT + AXIS_HEIGHT;
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {height}")) role="img" aria-label="lives of fronts; gaps are gaps in the records" {
            (axis(length, height))
            @for (row, front) in fronts.iter().enumerate() {
                @let top = row as f64 * FRONT_ROW_HEIGHT;
                text x="0" y=(top + 11.0) { (front) }
                @for summary in report.incarnations.iter().filter(|summary| summary.incarnation.front == *front) {
                    @let (left, right) = (position(summary.from), position(summary.to));
                    rect.life x=(left) y=(top + 2.0) width=((right - left).max(1.0)) height="10" {}
                }
            }
        }
    }
}
