//! From what was read to what is in force. Every reading is whole; a bad one changes nothing.

use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::time::{Moment, Span};
use thiserror::Error;

use crate::adoption::{self, Refusal, ServerChange, Verdict};
use crate::counters::Counters;
use crate::fleet::{self, Fleet};
use crate::in_one_line;
use crate::source_file::SourceFile;

/// A rejected reading is reported only when it is still there after this time: a file that is being written is
/// invalid for a moment.
const REPORT_DELAY: Span = Span::from_millis(150);

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ReloadOutcome {
    /// These servers are the list from now on.
    Adopted {
        /// The servers.
        servers: Vec<ServerEndpoint>,
        /// The generation of the fleet.
        generation: u64,
        /// What differs from the list before.
        changes: Vec<ServerChange>,
    },
    /// The list stays, and the reason is to be logged.
    Rejected(ReadingError),
}

/// Why a reading is not adopted.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ReadingError {
    /// There is no file.
    #[error("no fleet file is there")]
    NoFiles,
    /// The files are no valid fleet.
    #[error("{}", in_one_line(.0))]
    Invalid(Vec<Diagnostic>),
    /// The fleet does not follow on the one in force.
    #[error("{0}")]
    Refused(Refusal),
}

impl ReadingError {
    /// Its name in counters.
    pub fn name(&self) -> &'static str {
        match self {
            ReadingError::NoFiles | ReadingError::Invalid(_) => "unsound",
            ReadingError::Refused(refusal) => refusal.name(),
        }
    }
}

/// A rejected reading that has not been reported yet.
struct PendingReport {
    since: Moment,
    error: ReadingError,
}

/// Decides on each reading of the files, and remembers the fleet in force.
pub struct EndpointReloader {
    services: Vec<String>,
    in_force: Fleet,
    adopted_at: Option<Moment>,
    last_reading: Vec<SourceFile>,
    pending_report: Option<PendingReport>,
    counters: Counters,
}

impl EndpointReloader {
    /// Starts with the fleet that was in force before a restart, if any. `services`: the names of the services that
    /// must each have a server.
    pub fn new(services: Vec<String>, persisted: Option<Fleet>) -> EndpointReloader {
        EndpointReloader {
            services,
            in_force: persisted.unwrap_or_default(),
            adopted_at: None,
            last_reading: Vec::new(),
            pending_report: None,
            counters: Counters::default(),
        }
    }

    /// Handles all files as they were read at once.
    pub fn handle_files(&mut self, now: Moment, files: Vec<SourceFile>) -> Option<ReloadOutcome> {
        if files == self.last_reading {
            return self.poll_report(now);
        }
        self.counters.readings += 1;
        let evaluated = self.evaluate(&files);
        self.last_reading = files;
        match evaluated {
            Ok(None) => {
                self.pending_report = None;
                None
            }
            Ok(Some((candidate, changes))) => Some(self.adopt(now, candidate, changes)),
            Err(error) => {
                self.counters.count_refusal(error.name());
                self.pending_report = Some(PendingReport { since: now, error });
                None
            }
        }
    }

    /// The fleet to adopt and what it changes; none where it is the one in force.
    fn evaluate(&self, files: &[SourceFile]) -> Result<Option<(Fleet, Vec<ServerChange>)>, ReadingError> {
        if files.is_empty() {
            return Err(ReadingError::NoFiles);
        }
        let candidate = fleet::join(files, &self.services).map_err(ReadingError::Invalid)?;
        match adoption::evaluate(&self.in_force, &candidate) {
            Verdict::Unchanged => Ok(None),
            Verdict::Adopted(changes) => Ok(Some((candidate, changes))),
            Verdict::Refused(refusal) => Err(ReadingError::Refused(refusal)),
        }
    }

    fn adopt(&mut self, now: Moment, fleet: Fleet, changes: Vec<ServerChange>) -> ReloadOutcome {
        self.pending_report = None;
        self.adopted_at = Some(now);
        self.counters.count_adoption(&changes);
        let (servers, generation) = (fleet.servers.clone(), fleet.generation());
        self.in_force = fleet;
        ReloadOutcome::Adopted { servers, generation, changes }
    }

    /// Why the last reading was rejected, once it has been there long enough; reported once.
    pub fn poll_report(&mut self, now: Moment) -> Option<ReloadOutcome> {
        let report = self.pending_report.take_if(|report| now.since(report.since) >= REPORT_DELAY)?;
        Some(ReloadOutcome::Rejected(report.error))
    }

    /// When [`EndpointReloader::poll_report`] has something to report.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.pending_report.as_ref().map(|report| report.since + REPORT_DELAY)
    }

    /// The fleet in force.
    pub fn in_force(&self) -> &Fleet {
        &self.in_force
    }

    /// How long the fleet has been in force; none where it was adopted before a restart, or there is none.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.adopted_at.map(|adopted_at| now.since(adopted_at))
    }

    /// What was counted.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
