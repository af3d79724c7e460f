//! Compares the faults that the diagnosis detects in the fronts' event logs with the faults of the script.

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
use crate::harness_event::scenario_start;

/// The maximum error of the onset of a detected fault.
const MAX_ONSET_ERROR: Span = Span::from_secs(3);
/// The maximum error of the end of a detected fault.
const MAX_END_ERROR: Span = Span::from_secs(5);

/// A fault of the script that the diagnosis is expected to report, and whether it did.
#[derive(Clone, Debug, PartialEq)]
pub struct ExpectedFault {
    /// The kind that the diagnosis should report.
    pub kind: IncidentKind,
    /// The name of the affected server, front or tenant; empty for the whole fleet.
    pub subject: String,
    /// When it begins, relative to the scenario's start.
    pub start: Span,
    /// How long it lasts.
    pub duration: Span,
    /// The matching fault that the diagnosis detected; `None` if it missed the fault.
    pub detected: Option<Incident>,
}

/// The result for one scenario. Moments are relative to the scenario's start.
#[derive(Clone, Debug, Default)]
pub struct DetectionResult {
    /// The faults of the script.
    pub scripted: Vec<ExpectedFault>,
    /// Detected faults that match none of the script.
    pub false_positives: Vec<Incident>,
}

/// The error when the event logs of a run can't be compared with its script.
#[derive(Debug, Error)]
pub enum DetectionError {
    /// The capture has no start event of the scenario.
    #[error("the capture has no start event of the scenario")]
    NoStart,
    /// The event logs can't be read.
    #[error(transparent)]
    EventLog(#[from] io::Error),
}

/// Compares the event logs of a run with its script. If a seed is given, the logs are first corrupted with it.
///
/// # Errors
///
/// If the event logs can't be read, or the capture has no start event.
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

/// Like [`compare`], for logs that are already read and a scenario that started at `start`.
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
    // Times of the incident are on a clock that the diagnosis selects. The offset of the last front converts the
    // scenario's start to that clock; its own clock stays correct if there is more than one front.
    let clock_offset_us = incident.incarnations.last().map_or(0, |summary| summary.clock_offset_us);
    let start = Moment::from_micros(start.micros().saturating_add_signed(clock_offset_us));
    let relative_to_start = |moment: Moment| Moment::START + moment.since(start);
    let troubles = incident.incidents.into_iter().map(|trouble| Incident {
        onset: relative_to_start(trouble.onset),
        end: trouble.end.map(relative_to_start),
        ..trouble
    });
    match_troubles(scenario, troubles.collect())
}

fn match_troubles(scenario: &Scenario, mut troubles: Vec<Incident>) -> DetectionResult {
    let mut scripted = expected::expected_faults(scenario);
    let scenario_end = Moment::START + scenario.duration;
    for expected in &mut scripted {
        if let Some(index) = troubles.iter().position(|trouble| expected.is_matched(trouble, scenario_end)) {
            expected.detected = Some(troubles.remove(index));
        }
    }
    // If the normal load exceeds the servers' capacity, a detected overload is not a false positive.
    let is_overloaded = expected::exceeds_capacity(scenario, 1.0);
    troubles.retain(|trouble| !(is_overloaded && trouble.kind == IncidentKind::Overload));
    DetectionResult { scripted, false_positives: troubles }
}

impl ExpectedFault {
    /// Returns when it begins, relative to the scenario's start.
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

/// The results of several scenarios for one kind of fault.
#[derive(Clone, Debug, Default)]
pub struct DetectionTally {
    /// The number of faults in the scripts.
    pub scripted: usize,
    /// The number of these that were detected.
    pub detected: usize,
    /// The number of detected faults that match none of a script.
    pub false_positives: usize,
    /// The absolute errors of the detected onsets, in seconds.
    pub onset_errors: Vec<f64>,
}

impl DetectionTally {
    /// Whether all faults were detected, without false positives.
    pub fn is_perfect(&self) -> bool {
        self.detected == self.scripted && self.false_positives == 0
    }

    /// Returns the median of the onset errors in seconds; `None` if nothing was detected.
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
