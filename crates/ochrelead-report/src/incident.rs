//! All records of some folders on one clock, with the diagnosis. They are read three times, piece by piece: what
//! ties the clocks, what happened, and the steps of the sessions that are told. None is kept.

use std::path::PathBuf;

use ochrelead_core::time::Moment;
use ochrelead_diagnosis::diagnosis::Diagnosis;
use ochrelead_diagnosis::trouble::Trouble;
use ochrelead_event_log::reader::{Damage, FrontIncarnation, Log};

use crate::error::ReportError;
use crate::longest_sessions::{LongestSessions, SessionTrace};
use crate::merged_log::MergedLog;
use crate::survey::{IncarnationSummary, Survey, open_folders, survey};
use crate::time_series::TimeSeries;

/// What is known of an incident.
pub struct Incident {
    /// The time of the first event.
    pub from: Moment,
    /// The time of the last event.
    pub to: Moment,
    /// How many events there are.
    pub events: u64,
    /// What there is of each front's incarnation.
    pub incarnations: Vec<IncarnationSummary>,
    /// What went wrong.
    pub troubles: Vec<Trouble>,
    /// What is plotted.
    pub series: TimeSeries,
    /// The sessions that waited longest.
    pub longest_sessions: Vec<SessionTrace>,
    /// What of the logs could not be read.
    pub damage: Damage,
    /// Incarnations whose clocks nothing ties to the others'.
    pub unsynchronized: Vec<FrontIncarnation>,
}

impl Incident {
    /// Reads some folders.
    ///
    /// # Errors
    ///
    /// Where one can't be read.
    pub fn read(folders: &[PathBuf]) -> Result<Incident, ReportError> {
        let (logs, damage) = open_folders(folders)?;
        Ok(Incident::from_logs(&logs, damage))
    }

    /// Of logs, with what was already found damaged about them.
    pub fn from_logs(logs: &[Log], mut damage: Damage) -> Incident {
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
        Incident {
            from,
            to,
            events,
            incarnations: incarnations.into_values().collect(),
            troubles: diagnosis.troubles(),
            series,
            longest_sessions: longest.into_traces(),
            damage,
            unsynchronized: clocks.unrelated().to_vec(),
        }
    }

    /// The first and the last moment.
    pub fn span(&self) -> (Moment, Moment) {
        (self.from, self.to)
    }
}
