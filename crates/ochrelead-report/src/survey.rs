//! The first pass over the logs: estimates the clock offsets and summarizes the log of each front incarnation.

use std::collections::BTreeMap;
use std::path::PathBuf;

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::clocks::{ClockEstimator, Clocks};
use ochrelead_event_log::reader::{Damage, FrontIncarnation, Log, Record, open_logs};
use ochrelead_event_log::schema::{Event, event::What};

use crate::error::ReportError;

const PARTS_PER_MILLION: f64 = 1e6;

/// Summarizes the log of one front incarnation. Times are on the common clock.
#[derive(Clone, Debug, PartialEq)]
pub struct IncarnationSummary {
    /// The incarnation.
    pub incarnation: FrontIncarnation,
    /// The time of its first event.
    pub from: Moment,
    /// The time of its last event.
    pub to: Moment,
    /// The clock offset at its first event, in microseconds. It is added to the front's times.
    pub clock_offset_us: i64,
    /// The bound on the error of the offset; `None` if no shared event relates its clock to others.
    pub clock_uncertainty: Option<Span>,
    /// The estimated drift of its clock: microseconds gained per second.
    pub clock_gain_us_per_s: f64,
    /// The number of clock steps.
    pub clock_steps: usize,
    /// The number of events that the front reports as not recorded.
    pub lost_events: u64,
    /// The number of events missing from the sequence without such a report, for example in dropped segments.
    pub missing_events: u64,
}

/// The results of the first pass.
pub struct Survey {
    /// The clock offsets.
    pub clocks: Clocks,
    /// The summary of each incarnation's log.
    pub incarnations: BTreeMap<FrontIncarnation, IncarnationSummary>,
}

/// The coverage of one incarnation's log, up to the last event read.
struct Coverage {
    first: Event,
    last: Event,
    lost: u64,
    missing: u64,
}

impl Coverage {
    fn starting_with(first: &Event) -> Coverage {
        Coverage { first: first.clone(), last: first.clone(), lost: 0, missing: 0 }
    }

    fn extend(&mut self, event: Event) {
        self.missing += event.nth.saturating_sub(self.last.nth + 1);
        if let Some(What::Lost(count)) = event.what {
            self.lost += count;
            self.missing = self.missing.saturating_sub(count);
        }
        self.last = event;
    }

    fn into_summary(self, incarnation: FrontIncarnation, clocks: &Clocks) -> IncarnationSummary {
        let common_time = |event: &Event| Moment::from_micros(clocks.common_time_us(&incarnation, event));
        let from = common_time(&self.first);
        let to = common_time(&self.last).max(from);
        let offset = clocks.initial_offset(&incarnation);
        IncarnationSummary {
            from,
            to,
            clock_offset_us: offset.offset_us,
            clock_uncertainty: offset.error_bound,
            clock_gain_us_per_s: -offset.drift * PARTS_PER_MILLION,
            clock_steps: clocks.step_count(&incarnation),
            lost_events: self.lost,
            missing_events: self.missing,
            incarnation,
        }
    }
}

/// Reads all logs and summarizes them.
pub fn survey(logs: &[Log]) -> Survey {
    let mut estimator = ClockEstimator::default();
    let mut coverages: BTreeMap<FrontIncarnation, Coverage> = BTreeMap::new();
    for Record { incarnation, event, .. } in logs.iter().cloned().flatten() {
        estimator.handle_event(&incarnation, &event);
        let coverage = coverages.entry(incarnation);
        coverage.or_insert_with(|| Coverage::starting_with(&event)).extend(event);
    }
    let clocks = estimator.estimate();
    let incarnations = coverages
        .into_iter()
        .map(|(incarnation, coverage)| (incarnation.clone(), coverage.into_summary(incarnation, &clocks)))
        .collect();
    Survey { clocks, incarnations }
}

/// Opens the logs of the records folders. Returns them with the damage of the folders.
pub(crate) fn open_folders(folders: &[PathBuf]) -> Result<(Vec<Log>, Damage), ReportError> {
    let mut logs = Vec::new();
    let mut damage = Damage::default();
    for folder in folders {
        let (folder_logs, folder_damage) =
            open_logs(folder).map_err(|error| ReportError::io(folder, error))?;
        logs.extend(folder_logs);
        damage.merge(&folder_damage);
    }
    Ok((logs, damage))
}
