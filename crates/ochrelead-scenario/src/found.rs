//! How well the diagnosis finds what a day's script did: from the fronts' records, against the script.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context;
use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::trouble::{Kind, Trouble};
use ochrelead_event_log::reader::{Damage, Log, Record, open_logs};
use ochrelead_report::incident::Incident;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::capture::Sight;
use crate::party::Party;
use crate::world::server_name;

/// A trouble may be found so much later or earlier than it began, and so much than it ended.
const ONSET: Span = Span::from_secs(3);
const END: Span = Span::from_secs(5);

/// One scripted trouble at one party, and what was made of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Scripted {
    pub kind: Kind,
    pub of: String,
    pub at: Span,
    pub length: Span,
    pub found: Option<Trouble>,
}

/// The outcome for one day; moments of troubles are counted from the day's start.
#[derive(Clone, Debug, Default)]
pub struct Found {
    pub scripted: Vec<Scripted>,
    /// Found, but in no script.
    pub invented: Vec<Trouble>,
}

/// What the script says, in the diagnosis's words. A surge is a trouble where more is offered than the
/// script's servers can carry.
fn scripted(day: &Scenario) -> Vec<Scripted> {
    let mut all = Vec::new();
    for own in &day.faults {
        let mut add = |kind, of: String| {
            all.push(Scripted { kind, of, at: own.start, length: own.duration, found: None });
        };
        match own.kind {
            FaultKind::AllSlow => add(Kind::AllSlow, String::new()),
            FaultKind::HotNumber => add(Kind::HotNumber, String::new()),
            FaultKind::Surge => {
                let capacity: f64 = day.servers.iter().map(|own| own.sessions_per_s).sum();
                if day.callers.sessions_per_s * own.magnitude > capacity {
                    add(Kind::Overload, String::new());
                }
            }
            kind => {
                for which in &own.targets {
                    let front = format!("f{which}.example");
                    match kind {
                        FaultKind::Crash | FaultKind::Vanish => add(Kind::Crashed, server_name(*which)),
                        FaultKind::Silent => add(Kind::Silent, server_name(*which)),
                        FaultKind::Slow => add(Kind::Slow, server_name(*which)),
                        FaultKind::Replaced => add(Kind::Replaced, server_name(*which)),
                        FaultKind::AnswersLost => add(Kind::AnswersLost, server_name(*which)),
                        FaultKind::FrontKilled => add(Kind::FrontKilled, front),
                        FaultKind::FrontStall => add(Kind::FrontStalled, front),
                        FaultKind::LinkCut => add(Kind::CutOff, front),
                        FaultKind::Redials => add(Kind::Redials, format!("member {}", which + 1)),
                        _ => {}
                    }
                }
            }
        }
    }
    all
}

/// Compares the records of a day with its script; marred first where there is a seed for it.
///
/// # Errors
///
/// Where records or capture can't be read.
pub fn compare(day: &Scenario, sights: &[Sight], records: &Path, mar: Option<u64>) -> anyhow::Result<Found> {
    let marks = sights.iter().filter(|sight| sight.from == Party::Rig);
    let start = marks
        .map(|sight| String::from_utf8_lossy(&sight.bytes).into_owned())
        .find_map(|text| text.strip_prefix("start ").and_then(|us| us.parse().ok()))
        .map(Moment::from_micros)
        .context("the capture has no start")?;
    Ok(of_logs(day, open_logs(records)?.0, start, mar))
}

/// Compares logs with the script of a day that began at `start`.
pub fn of_logs(day: &Scenario, logs: Vec<Log>, start: Moment, mar: Option<u64>) -> Found {
    let logs = mar.map_or(logs.clone(), |seed| marred(logs, seed));
    let incident = Incident::of(&logs, Damage::default());
    // The common clock is some front's: the script's is that of the last, which is never marred.
    let right = incident.stretches.last().map_or(0, |own| own.moved_us);
    let start = Moment::from_micros(start.micros().saturating_add_signed(right));
    let shifted = |at: Moment| Moment::START + at.since(start);
    let troubles = incident.troubles.into_iter().map(|own| Trouble {
        onset: shifted(own.onset),
        end: own.end.map(shifted),
        ..own
    });
    matched(day, troubles.collect())
}

/// Records that are cut out together, and one run of so many is.
const RUN: usize = 25;
const CUT: u32 = 10;
/// What the clocks of the fronts show, by turns: ahead, behind, fast, set back in mid-life; the others are right.
const OFF: [fn(f64, f64) -> f64; 4] = [
    |at, _| at + 40.0,
    |at, _| at - 3.0,
    |at, _| at * 1.000_2,
    |at, half| if at < half { at } else { at - 5.0 },
];

/// The same records with clocks that are wrong and a tenth of them gone.
fn marred(logs: Vec<Log>, seed: u64) -> Vec<Log> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fronts: Vec<String> = logs.iter().map(|log| log.incarnation.front.clone()).collect();
    fronts.dedup();
    let mut all = Vec::new();
    for log in logs {
        let nth = fronts.iter().position(|front| *front == log.incarnation.front).unwrap_or(0);
        let life = log.incarnation.clone();
        let records: Vec<Record> = log.collect();
        let first = records.first().map_or(0, |own| own.event.at_us);
        let last = records.last().map_or(first, |own| own.event.at_us);
        let half = (last - first) as f64 / 2e6;
        let shown = |at: u64| {
            // One of all fronts at least is right, wherever there is more than one.
            let off = OFF.get(nth).filter(|_| nth + 1 < fronts.len() || fronts.len() == 1);
            let since = (at - first) as f64 / 1e6;
            first.saturating_add_signed((off.map_or(since, |off| off(since, half)) * 1e6) as i64)
        };
        let mut kept = Vec::new();
        for run in records.chunks(RUN) {
            if rng.random_ratio(1, CUT) {
                continue;
            }
            kept.extend(run.iter().cloned().map(|mut own| {
                own.event.at_us = shown(own.event.at_us);
                own
            }));
        }
        all.push(Log::from_records(life, kept));
    }
    all
}

/// What was found of each kind, over many days.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub scripted: usize,
    pub found: usize,
    pub invented: usize,
    /// How far off the onsets of those found were, in seconds.
    pub onsets: Vec<f64>,
}

/// Adds a day to the tally.
pub fn count(tally: &mut BTreeMap<Kind, Tally>, found: &Found) {
    for own in &found.scripted {
        let kind = tally.entry(own.kind).or_default();
        kind.scripted += 1;
        if let Some(trouble) = &own.found {
            kind.found += 1;
            let off = apart(trouble.onset, Moment::START + own.at);
            kind.onsets.push(off.ratio(Span::from_secs(1)));
        }
    }
    for own in &found.invented {
        tally.entry(own.kind).or_default().invented += 1;
    }
}

fn apart(a: Moment, b: Moment) -> Span {
    a.since(b).max(b.since(a))
}

fn matched(day: &Scenario, mut troubles: Vec<Trouble>) -> Found {
    let mut found = Found { scripted: scripted(day), invented: Vec::new() };
    let day_ends = Moment::START + day.duration;
    for own in &mut found.scripted {
        let (begins, ends) = (Moment::START + own.at, Moment::START + own.at + own.length);
        let fits = |trouble: &Trouble| {
            let of = trouble.of == own.of || matches!(own.kind, Kind::HotNumber);
            let end = trouble.end.unwrap_or(day_ends);
            trouble.kind == own.kind && of && apart(trouble.onset, begins) <= ONSET && apart(end, ends) <= END
        };
        if let Some(at) = troubles.iter().position(fits) {
            own.found = Some(troubles.remove(at));
        }
    }
    // Where more is offered than all servers together could carry, saying so is never invented.
    let capacity: f64 = day.servers.iter().map(|own| own.sessions_per_s).sum();
    let over = day.callers.sessions_per_s > capacity;
    found.invented = troubles.into_iter().filter(|own| !(over && own.kind == Kind::Overload)).collect();
    found
}
