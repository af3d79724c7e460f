//! Gathers the contents of a report from event logs. Reads the logs in three passes: to estimate the clock offsets,
//! to detect incidents and count events, and to collect the steps of the longest sessions. Records are streamed and
//! not kept in memory.

use std::path::PathBuf;

use ochrelead_core::time::Moment;
use ochrelead_diagnosis::diagnosis::Diagnosis;
use ochrelead_diagnosis::incident::Incident;
use ochrelead_event_log::reader::{Damage, FrontIncarnation, Log};

use crate::error::ReportError;
use crate::longest_sessions::{LongestSessions, SessionTrace};
use crate::merged_log::MergedLog;
use crate::survey::{IncarnationSummary, Survey, open_folders, survey};
use crate::time_series::TimeSeries;

/// The contents of a report on one or more event logs.
pub struct IncidentReport {
    /// The time of the first event.
    pub from: Moment,
    /// The time of the last event.
    pub to: Moment,
    /// The number of events.
    pub events: u64,
    /// The coverage of the log of each front incarnation.
    pub incarnations: Vec<IncarnationSummary>,
    /// The detected incidents, in the order of their onsets.
    pub incidents: Vec<Incident>,
    /// Counts and answer times per interval.
    pub series: TimeSeries,
    /// The sessions whose callers waited longest.
    pub longest_sessions: Vec<SessionTrace>,
    /// The parts of the logs that could not be read.
    pub damage: Damage,
    /// Incarnations whose clock offset to the others is unknown, see
    /// [`ochrelead_diagnosis::clocks::Clocks::unrelated`].
    pub unsynchronized: Vec<FrontIncarnation>,
}

impl IncidentReport {
    /// Reads the event logs of the records folders.
    ///
    /// # Errors
    ///
    /// If a folder can't be read.
    pub fn read(folders: &[PathBuf]) -> Result<IncidentReport, ReportError> {
        let (logs, damage) = open_folders(folders)?;
        Ok(IncidentReport::from_logs(&logs, damage))
    }

    /// Gathers the report from logs. `damage` is the damage found while opening them.
    pub fn from_logs(logs: &[Log], mut damage: Damage) -> IncidentReport {
        let Survey { clocks, incarnations } = survey(logs);
        let from = incarnations.values().map(|summary| summary.from).min().unwrap_or(Moment::START);
        let to = incarnations.values().map(|summary| summary.to).max().unwrap_or(from);

        let mut series = TimeSeries::over(from, to);
        let mut longest = LongestSessions::default();
        let mut diagnosis = Diagnosis::default();
        let mut events = 0;
        let mut merged = MergedLog::new(logs.to_vec(), &clocks);
        for (time, record) in merged.by_ref() {
            events += 1;
            diagnosis.handle_event(time, &record.incarnation, &record.event);
            series.handle_record(time, &record);
            longest.consider(&record);
        }
        damage.merge(merged.damage());
        series.finish();
        if !longest.is_empty() {
            MergedLog::new(logs.to_vec(), &clocks)
                .for_each(|(time, record)| longest.collect_step(time, &record));
        }
        IncidentReport {
            from,
            to,
            events,
            incarnations: incarnations.into_values().collect(),
            incidents: diagnosis.incidents(),
            series,
            longest_sessions: longest.into_traces(),
            damage,
            unsynchronized: clocks.unrelated().to_vec(),
        }
    }

    /// The times of the first and the last event.
    pub fn span(&self) -> (Moment, Moment) {
        (self.from, self.to)
    }
}
