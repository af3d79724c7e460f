//! How well the diagnosis detects what a script did: troubles in the fronts' event logs, against the script.

mod corruption;
mod expected;

use std::collections::BTreeMap;
use std::io;
use std::path::Path;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::incident::{Incident, IncidentKind};
use ochrelead_event_log::reader::{Damage, Log, open_logs};
use ochrelead_report::incident_report::IncidentReport;
use thiserror::Error;

use crate::capture::CapturedDatagram;
use crate::rig_event::scenario_start;

/// The most that the onset of a detected trouble may be off.
const MAX_ONSET_ERROR: Span = Span::from_secs(3);
/// The most that the end of a detected trouble may be off.
const MAX_END_ERROR: Span = Span::from_secs(5);

/// A trouble that the script causes, and whether it was detected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptedTrouble {
    /// What the diagnosis should call it.
    pub kind: IncidentKind,
    /// The server, front or member concerned; empty where it is the fleet.
    pub subject: String,
    /// When it begins, from the scenario's start.
    pub start: Span,
    /// How long it lasts.
    pub duration: Span,
    /// What the diagnosis made of it; none where it was missed.
    pub detected: Option<Incident>,
}

/// The result for one scenario. Moments of troubles are counted from the scenario's start.
#[derive(Clone, Debug, Default)]
pub struct DetectionResult {
    /// The script's troubles.
    pub scripted: Vec<ScriptedTrouble>,
    /// Troubles that were detected, but are in no script.
    pub false_positives: Vec<Incident>,
}

/// Why the event logs of a run can't be compared with its script.
#[derive(Debug, Error)]
pub enum DetectionError {
    /// The capture does not say when the scenario began.
    #[error("the capture has no start")]
    NoStart,
    /// The event logs can't be read.
    #[error(transparent)]
    EventLog(#[from] io::Error),
}

/// Compares the event logs of a run with its script. Where a seed is given, the logs are corrupted by it first.
///
/// # Errors
///
/// Where the event logs can't be read, or the capture has no start.
pub fn compare(
    scenario: &Scenario,
    datagrams: &[CapturedDatagram],
    event_logs: &Path,
    corruption_seed: Option<u64>,
) -> Result<DetectionResult, DetectionError> {
    let start = scenario_start(datagrams).ok_or(DetectionError::NoStart)?;
    let (logs, _) = open_logs(event_logs)?;
    Ok(compare_logs(scenario, logs, start, corruption_seed))
}

/// Like [`compare`], with logs of a scenario that began at `start`.
pub fn compare_logs(
    scenario: &Scenario,
    logs: Vec<Log>,
    start: Moment,
    corruption_seed: Option<u64>,
) -> DetectionResult {
    let logs = match corruption_seed {
        Some(seed) => corruption::corrupt_logs(logs, seed),
        None => logs,
    };
    let incident = IncidentReport::from_logs(&logs, Damage::default());
    // The incident's clock is that of some front, the script's that of the last one, which is never corrupted.
    let clock_offset_us = incident.incarnations.last().map_or(0, |summary| summary.clock_offset_us);
    let start = Moment::from_micros(start.micros().saturating_add_signed(clock_offset_us));
    let since_start = |moment: Moment| Moment::START + moment.since(start);
    let troubles = incident.incidents.into_iter().map(|trouble| Incident {
        onset: since_start(trouble.onset),
        end: trouble.end.map(since_start),
        ..trouble
    });
    match_troubles(scenario, troubles.collect())
}

fn match_troubles(scenario: &Scenario, mut troubles: Vec<Incident>) -> DetectionResult {
    let mut scripted = expected::scripted_troubles(scenario);
    let scenario_end = Moment::START + scenario.duration;
    for expected in &mut scripted {
        if let Some(index) = troubles.iter().position(|trouble| expected.is_matched(trouble, scenario_end)) {
            expected.detected = Some(troubles.remove(index));
        }
    }
    // Where more is offered than all servers together can carry, a detected overload is never wrong.
    let is_overloaded = expected::exceeds_capacity(scenario, 1.0);
    troubles.retain(|trouble| !(is_overloaded && trouble.kind == IncidentKind::Overload));
    DetectionResult { scripted, false_positives: troubles }
}

impl ScriptedTrouble {
    /// The moment at which it begins, counted from the scenario's start.
    fn onset(&self) -> Moment {
        Moment::START + self.start
    }

    fn is_matched(&self, trouble: &Incident, scenario_end: Moment) -> bool {
        let has_subject = trouble.subject == self.subject || self.kind == IncidentKind::HotNumber;
        let end = trouble.end.unwrap_or(scenario_end);
        trouble.kind == self.kind
            && has_subject
            && distance(trouble.onset, self.onset()) <= MAX_ONSET_ERROR
            && distance(end, self.onset() + self.duration) <= MAX_END_ERROR
    }
}

fn distance(a: Moment, b: Moment) -> Span {
    a.since(b).max(b.since(a))
}

/// The results of many scenarios for one kind of trouble.
#[derive(Clone, Debug, Default)]
pub struct DetectionTally {
    /// How many the scripts had.
    pub scripted: usize,
    /// How many of them were detected.
    pub detected: usize,
    /// How many were detected that no script had.
    pub false_positives: usize,
    /// How far off the onsets of those detected were, in seconds.
    pub onset_errors: Vec<f64>,
}

impl DetectionTally {
    /// Whether all was detected and nothing else.
    pub fn is_perfect(&self) -> bool {
        self.detected == self.scripted && self.false_positives == 0
    }

    /// The middle of the onset errors, in seconds; none where nothing was detected.
    pub fn median_onset_error(&self) -> Option<f64> {
        let mut errors = self.onset_errors.clone();
        errors.sort_by(f64::total_cmp);
        errors.get(errors.len() / 2).copied()
    }
}

/// Adds the result of a scenario to the tallies.
pub fn add_to_tallies(tallies: &mut BTreeMap<IncidentKind, DetectionTally>, result: &DetectionResult) {
    for scripted in &result.scripted {
        let tally = tallies.entry(scripted.kind).or_default();
        tally.scripted += 1;
        if let Some(trouble) = &scripted.detected {
            tally.detected += 1;
            let error = distance(trouble.onset, scripted.onset());
            tally.onset_errors.push(error.ratio(Span::from_secs(1)));
        }
    }
    for trouble in &result.false_positives {
        tallies.entry(trouble.kind).or_default().false_positives += 1;
    }
}
