//! Decides on each reading of the fleet files whether it becomes the fleet in force. A reading contains all files; one
//! that is rejected changes nothing.

use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::time::{Moment, Span};
use thiserror::Error;

use crate::adoption::{self, Refusal, ServerChange, Verdict};
use crate::counters::Counters;
use crate::fleet::{self, Fleet};
use crate::join_diagnostics;
use crate::source_file::SourceFile;

/// A rejected reading is reported only if the files are unchanged after this time: a file is invalid for a moment while
/// it is being written.
const REPORT_DELAY: Span = Span::from_millis(150);

/// The result of a reading that the host must act on.
#[derive(Clone, Debug, PartialEq)]
pub enum ReloadOutcome {
    /// A new fleet is in force.
    Adopted {
        /// The servers.
        servers: Vec<ServerEndpoint>,
        /// The generation of the fleet.
        generation: u64,
        /// The changes from the previous fleet.
        changes: Vec<ServerChange>,
    },
    /// The fleet in force is unchanged; the host logs this reason.
    Rejected(ReadingError),
}

/// Why a reading is not adopted.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ReadingError {
    /// There is no fleet file.
    #[error("no fleet file found")]
    NoFiles,
    /// The files are not a valid fleet.
    #[error("{}", join_diagnostics(.0))]
    Invalid(Vec<Diagnostic>),
    /// The fleet is valid but may not replace the one in force.
    #[error("{0}")]
    Refused(Refusal),
}

impl ReadingError {
    /// The name of this reason in counters.
    pub fn name(&self) -> &'static str {
        match self {
            ReadingError::NoFiles | ReadingError::Invalid(_) => "unsound",
            ReadingError::Refused(refusal) => refusal.name(),
        }
    }
}

/// A rejected reading that has not been reported yet.
struct PendingReport {
    rejected_at: Moment,
    error: ReadingError,
}

/// Decides on each reading of the fleet files, and holds the fleet in force.
pub struct EndpointReloader {
    services: Vec<String>,
    in_force: Fleet,
    adopted_at: Option<Moment>,
    last_reading: Vec<SourceFile>,
    pending_report: Option<PendingReport>,
    counters: Counters,
}

impl EndpointReloader {
    /// Creates a reloader that starts with the fleet that was in force before a restart, if any. `services` are the
    /// names of the services that must each have a server.
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

    /// Handles one reading of all files. If they have changed, returns the adopted fleet, or `None` if they give the
    /// fleet in force or are rejected. If they are unchanged, returns a pending rejection that is due, as
    /// [`EndpointReloader::poll_report`] does.
    pub fn handle_files(&mut self, now: Moment, files: Vec<SourceFile>) -> Option<ReloadOutcome> {
        if files == self.last_reading {
            return self.poll_report(now);
        }
        self.counters.readings += 1;
        let evaluation = self.evaluate(&files);
        self.last_reading = files;
        match evaluation {
            Ok(None) => {
                self.pending_report = None;
                None
            }
            Ok(Some((candidate, changes))) => Some(self.adopt(now, candidate, changes)),
            Err(error) => {
                self.counters.count_refusal(error.name());
                self.pending_report = Some(PendingReport { rejected_at: now, error });
                None
            }
        }
    }

    /// Returns the fleet to adopt and its changes, or `None` if the files give the fleet in force.
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

    /// Returns why the last reading was rejected, once `REPORT_DELAY` has passed. Each rejection is reported once.
    pub fn poll_report(&mut self, now: Moment) -> Option<ReloadOutcome> {
        let report = self.pending_report.take_if(|report| now.since(report.rejected_at) >= REPORT_DELAY)?;
        Some(ReloadOutcome::Rejected(report.error))
    }

    /// When [`EndpointReloader::poll_report`] will return a pending rejection.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.pending_report.as_ref().map(|report| report.rejected_at + REPORT_DELAY)
    }

    /// The fleet in force.
    pub fn in_force(&self) -> &Fleet {
        &self.in_force
    }

    /// The time since this process adopted the fleet in force. `None` if the fleet was adopted before a restart or
    /// there is none.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.adopted_at.map(|adopted_at| now.since(adopted_at))
    }

    /// The counters since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }
}
