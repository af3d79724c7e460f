//! One self-contained file for people: no script, no font and no picture from elsewhere, light and dark.

use maud::{DOCTYPE, Markup, PreEscaped, html};
use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::trouble::Trouble;

use crate::incident::Incident;
use crate::series::{self, Series};
use crate::story::words;

/// The width of all plots and the place of the time axis in them, in SVG units.
const WIDE: f64 = 900.0;
const LEFT: f64 = 150.0;

const STYLE: &str = "
:root { color-scheme: light dark; --ink: #1c1b19; --paper: #fbfaf7; --faint: #8a867c; --line: #ddd8cc;
  --bad: #b3401e; --good: #3b6e57; --cool: #35628f; --soft: #f1ede3; }
@media (prefers-color-scheme: dark) { :root { --ink: #ebe7dd; --paper: #191816; --faint: #98938a;
  --line: #3a3732; --bad: #e98a62; --good: #83b99d; --cool: #8db8e2; --soft: #24221f; } }
* { box-sizing: border-box; }
body { margin: 0 auto; max-width: 62rem; padding: 1.2rem; background: var(--paper); color: var(--ink);
  font: 16px/1.5 system-ui, sans-serif; }
h1 { font-size: 1.5rem; margin: 0 0 .2rem; } h2 { font-size: 1.1rem; margin: 2rem 0 .4rem; }
p.sub, td.faint, .faint { color: var(--faint); }
.scroll { overflow-x: auto; } svg { display: block; min-width: 640px; width: 100%; height: auto; }
table { border-collapse: collapse; width: 100%; font-size: .92rem; }
th, td { text-align: left; padding: .3rem .6rem .3rem 0; border-bottom: 1px solid var(--line);
  vertical-align: top; }
td.num, th.num { text-align: right; white-space: nowrap; font-variant-numeric: tabular-nums; }
ol.story { font-size: .9rem; } details { background: var(--soft); padding: .5rem .8rem; margin: .5rem 0; }
svg text { fill: var(--ink); font-size: 11px; } svg text.faint { fill: var(--faint); }
.axis { stroke: var(--line); } .bar { fill: var(--bad); opacity: .75; } .life { fill: var(--good); opacity: .55; }
.answers { stroke: var(--bad); fill: none; stroke-width: 1.5; } .invites { stroke: var(--cool); fill: none;
  stroke-width: 1.3; } .limit { stroke: var(--good); fill: none; stroke-dasharray: 3 2; }
";

/// The whole page.
pub fn of(incident: &Incident) -> String {
    let series = &incident.series;
    let (from, to) = incident.span();
    let length = seconds(to.since(from));
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Incident report" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "What happened" }
                p.sub { (format!("{length:.0} s of records, from {} lives of fronts", incident.stretches.len())) }
                (summary(incident, series))
                h2 { "Timeline of troubles" }
                div.scroll { (timeline(incident)) }
                (table(incident))
                h2 { "Servers" }
                p.sub { "Answer times (red, seconds), INVITEs a second (blue), the fronts' in-flight limit (green, dashed)." }
                @for (name, course) in &series.servers {
                    div.scroll { (server(name, course, series, length)) }
                }
                h2 { "Service" }
                (service(series))
                h2 { "Why sessions were given up, and how INVITEs ended" }
                (reasons(series))
                h2 { "Fronts and their records" }
                div.scroll { (lives(incident)) }
                (clocks(incident))
                h2 { "The sessions that waited longest" }
                (stories(incident))
            }
        }
    };
    page.into_string()
}

fn seconds(span: Span) -> f64 {
    span.ratio(Span::from_secs(1))
}

fn summary(incident: &Incident, series: &Series) -> Markup {
    let (from, _) = incident.span();
    let tried: f64 = series.tried.iter().sum();
    let stood: f64 = series.stood.iter().sum();
    let share = if tried > 0.0 { stood / tried * 100.0 } else { 100.0 };
    html! {
        p { (format!("Callers tried {tried:.0} times; {share:.0} in 100 tries stood.")) " "
            @if incident.troubles.is_empty() { "Nothing was wrong that these records show." }
            @else { (incident.troubles.len()) " troubles were found:" } }
        ul {
            @for own in &incident.troubles {
                li { strong { (format!("{:.1} s", seconds(own.onset.since(from)))) } " " (sentence(own)) }
            }
        }
    }
}

/// A trouble as a sentence.
fn sentence(own: &Trouble) -> String {
    let lasted = own
        .end
        .map_or("and it lasts".to_owned(), |end| format!("for {:.1} s", seconds(end.since(own.onset))));
    let of = if own.of.is_empty() { String::new() } else { format!("{}: ", own.of) };
    format!("{of}{} {lasted}; {}.", own.kind.name(), own.evidence)
}

fn x(at: Moment, from: Moment, length: f64) -> f64 {
    LEFT + (WIDE - LEFT) * seconds(at.since(from)) / length.max(0.001)
}

fn axis(length: f64, height: f64) -> Markup {
    let step = [1.0, 2.0, 5.0, 10.0, 30.0, 60.0, 300.0, 900.0, 3_600.0]
        .into_iter()
        .find(|step| length / step <= 12.0);
    let step = step.unwrap_or(14_400.0);
    let marks = (0..=(length / step) as u32).map(|nth| f64::from(nth) * step);
    html! {
        @for mark in marks {
            @let at = LEFT + (WIDE - LEFT) * mark / length.max(0.001);
            line.axis x1=(at) x2=(at) y1="0" y2=(height - 14.0) {}
            text.faint x=(at + 2.0) y=(height - 3.0) { (format!("{mark:.0} s")) }
        }
    }
}

fn timeline(incident: &Incident) -> Markup {
    let (from, to) = incident.span();
    let length = seconds(to.since(from));
    let height = incident.troubles.len() as f64 * 20.0 + 20.0;
    html! {
        svg viewBox=(format!("0 0 {WIDE} {height}")) role="img" aria-label="timeline of troubles" {
            (axis(length, height))
            @for (nth, own) in incident.troubles.iter().enumerate() {
                @let (left, right) = (x(own.onset, from, length), x(own.end.unwrap_or(to), from, length));
                @let top = nth as f64 * 20.0 + 3.0;
                text x="0" y=(top + 11.0) { (label(own)) }
                rect.bar x=(left) y=(top) width=((right - left).max(2.0)) height="14" rx="2" {
                    title { (sentence(own)) }
                }
            }
        }
    }
}

fn label(own: &Trouble) -> String {
    let of = own.of.split('.').next().unwrap_or("");
    let text = format!("{of} {}", own.kind.short());
    text.trim().chars().take(25).collect()
}

fn table(incident: &Incident) -> Markup {
    let (from, _) = incident.span();
    html! {
        table {
            tr { th { "Trouble" } th { "Of" } th.num { "From" } th.num { "To" } th.num { "Sure" } th { "Seen" } }
            @for own in &incident.troubles {
                tr {
                    td { (own.kind.name()) }
                    td { (own.of) }
                    td.num { (format!("{:.1} s", seconds(own.onset.since(from)))) }
                    td.num { (own.end.map_or("lasts".to_owned(), |end| format!("{:.1} s", seconds(end.since(from))))) }
                    td.num { (format!("{:.0} %", own.confidence * 100.0)) }
                    td.faint { (own.evidence) }
                }
            }
        }
    }
}

/// Points of a line; a gap where there is no figure.
fn line(class: &str, values: &[Option<f64>], most: f64, height: f64) -> Markup {
    let wide = (WIDE - LEFT) / values.len().max(1) as f64;
    let mut path = String::new();
    let mut open = false;
    for (nth, value) in values.iter().enumerate() {
        let Some(value) = value else {
            open = false;
            continue;
        };
        let (x, y) = (LEFT + wide * (nth as f64 + 0.5), height - (height - 4.0) * (value / most).min(1.0));
        path.push_str(&format!("{}{x:.1} {y:.1}", if open { "L" } else { "M" }));
        open = true;
    }
    html! { path class=(class) d=(path) {} }
}

fn server(name: &str, course: &series::Course, series: &Series, length: f64) -> Markup {
    let plot = 70.0;
    let rate: Vec<Option<f64>> =
        course.invites.iter().map(|count| Some(count / seconds(series.stretch))).collect();
    let top = |values: &[Option<f64>], least: f64| values.iter().flatten().copied().fold(least, f64::max);
    let (answers, rates, limits) = (top(&course.answers, 0.5), top(&rate, 1.0), top(&course.limit, 1.0));
    html! {
        svg viewBox=(format!("0 0 {WIDE} {}", plot + 18.0)) role="img" aria-label=(format!("course of {name}")) {
            (axis(length, plot + 18.0))
            text x="0" y="14" { (name.split('.').next().unwrap_or(name)) }
            text.faint x="0" y="30" { (format!("up to {answers:.2} s")) }
            text.faint x="0" y="44" { (format!("up to {rates:.0} INVITEs/s")) }
            text.faint x="0" y="58" { (format!("limit up to {limits:.1}")) }
            (line("limit", &course.limit, limits, plot))
            (line("invites", &rate, rates, plot))
            (line("answers", &course.answers, answers, plot))
        }
    }
}

fn service(series: &Series) -> Markup {
    let share =
        |(tried, stood): &(u64, u64)| format!("{:.1}", *stood as f64 * 100.0 / (*tried).max(1) as f64);
    html! {
        table {
            tr { th { "" } th.num { "Tries" } th.num { "Stood" } th.num { "in 100" } }
            @for (nth, counts) in &series.services {
                tr { td { "service " (nth + 1) } td.num { (counts.0) } td.num { (counts.1) } td.num { (share(counts)) } }
            }
            @for (nth, counts) in &series.members {
                tr { td { @if *nth == 0 { "no member" } @else { "member " (nth) } }
                    td.num { (counts.0) } td.num { (counts.1) } td.num { (share(counts)) } }
            }
        }
    }
}

fn reasons(series: &Series) -> Markup {
    let kinds = [
        ("given up", &series.denials),
        ("INVITE ended", &series.endings),
        ("re-send paid by", &series.payments),
    ];
    html! {
        table {
            @for (what, counts) in kinds {
                @for (name, count) in counts {
                    tr { td { (what) ": " (words(name)) } td.num { (count) } }
                }
            }
        }
    }
}

fn lives(incident: &Incident) -> Markup {
    let (from, to) = incident.span();
    let length = seconds(to.since(from));
    let mut fronts: Vec<&str> = incident.stretches.iter().map(|own| own.life.front.as_str()).collect();
    fronts.dedup();
    let height = fronts.len() as f64 * 14.0 + 18.0;
    html! {
        svg viewBox=(format!("0 0 {WIDE} {height}")) role="img" aria-label="lives of fronts; gaps are gaps in the records" {
            (axis(length, height))
            @for (nth, front) in fronts.iter().enumerate() {
                text x="0" y=(nth as f64 * 14.0 + 11.0) { (front) }
                @for own in incident.stretches.iter().filter(|own| own.life.front == *front) {
                    @let (left, right) = (x(own.from, from, length), x(own.to, from, length));
                    rect.life x=(left) y=(nth as f64 * 14.0 + 2.0) width=((right - left).max(1.0)) height="10" {}
                }
            }
        }
    }
}

fn clocks(incident: &Incident) -> Markup {
    let odd = |own: &&crate::incident::Stretch| {
        own.moved_us != 0 || own.steps > 0 || own.lost > 0 || own.missing > 0
    };
    let damage = &incident.damage;
    html! {
        @if incident.stretches.iter().any(|own| odd(&own)) {
            table {
                tr { th { "Front" } th.num { "Clock moved by" } th.num { "Give or take" } th.num { "Gained" } th.num { "Set" }
                    th.num { "Events lost" } }
                @for own in incident.stretches.iter().filter(odd) {
                    tr {
                        td { (own.life.front) }
                        td.num { (format!("{:.2} s", own.moved_us as f64 / 1e6)) }
                        td.num { (own.bound.map_or("not known".to_owned(), |bound| format!("{:.2} s", seconds(bound)))) }
                        td.num { (format!("{:.0} in a million", own.gains_us)) }
                        td.num { @if own.steps > 0 { (own.steps) " times" } }
                        td.num { (own.lost + own.missing) }
                    }
                }
            }
        }
        @if !incident.loose.is_empty() {
            p { "Nothing ties the clocks of " (incident.loose.len()) " lives to the others': their order against them is not known." }
        }
        @for (name, bytes) in &damage.truncated { p.sub { (name) ": " (bytes) " bytes at the end were torn." } }
        @for (name, version) in &damage.newer { p.sub { (name) " was written by a newer version (" (version) ")." } }
        @for name in &damage.foreign { p.sub { (name) " is no segment and was passed over." } }
    }
}

/// The longest sessions, each with all its steps.
fn stories(incident: &Incident) -> Markup {
    let (from, _) = incident.span();
    html! {
        @for own in &incident.stories {
            details {
                summary { "Try " (own.tried) ", " (format!("{:.2} s", seconds(own.waited))) }
                ol.story {
                    @for (at, text) in &own.steps {
                        li { (format!("{:.3} s", seconds(at.since(from)))) " " (text) }
                    }
                }
            }
        }
    }
}
