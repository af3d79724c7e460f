//! Violations of invariants that a simulation detects.

use std::fmt;

use ochrelead_core::time::{Moment, Span};
use thiserror::Error;

use crate::session_tracker::SessionEventError;

/// The kind of a violated invariant. A shrunk scenario must reproduce a violation of the same kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ViolationKind {
    /// A front's events contradict each other or its reported load, or the front makes no progress.
    Bookkeeping,
    /// A call is established at a server, but no front or caller has a session for it.
    UnclaimedCall,
    /// A rule of the auditor, numbered from 1.
    Rule(usize),
}

impl fmt::Display for ViolationKind {
    /// Writes the name that is printed and stored in result tables and shrunk scenarios.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ViolationKind::Bookkeeping => f.write_str("books"),
            ViolationKind::UnclaimedCall => f.write_str("circuits"),
            ViolationKind::Rule(rule) => write!(f, "rule {rule}"),
        }
    }
}

/// How an invariant was violated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ViolationCause {
    /// A front's events for a session are in an invalid order.
    #[error(transparent)]
    Session(#[from] SessionEventError),
    /// A front requests another iteration of its event loop too often without time passing.
    #[error("{limit} turns at one moment")]
    EndlessLoop {
        /// The maximum number of iterations at one point in time.
        limit: u32,
    },
    /// A session that awaits its outcome has had no outstanding INVITE for too long.
    #[error("nothing is under way for it for {} ms", limit.micros() / 1_000)]
    SessionIdle {
        /// The longest time that a session may have no outstanding INVITE.
        limit: Span,
    },
    /// The number of sessions in a front's load report differs from the number tracked from its events.
    #[error("{reported} sessions held where the notes say {tracked}")]
    SessionCount {
        /// The number of sessions in the load report.
        reported: usize,
        /// The number of sessions tracked from the events.
        tracked: usize,
    },
    /// At the end of the scenario a call is established at a server, but no front or caller has a session for it.
    #[error("it still stands at {server}, and neither front nor caller knows it")]
    UnclaimedCall {
        /// The name of the server.
        server: String,
    },
    /// The auditor reported a violated rule.
    #[error("{detail}")]
    Rule {
        /// The rule, numbered from 1.
        rule: usize,
        /// The auditor's description of the violation.
        detail: String,
    },
}

impl ViolationCause {
    /// Returns the kind of the violated invariant.
    pub fn kind(&self) -> ViolationKind {
        match self {
            ViolationCause::Session(_)
            | ViolationCause::EndlessLoop { .. }
            | ViolationCause::SessionIdle { .. }
            | ViolationCause::SessionCount { .. } => ViolationKind::Bookkeeping,
            ViolationCause::UnclaimedCall { .. } => ViolationKind::UnclaimedCall,
            ViolationCause::Rule { rule, .. } => ViolationKind::Rule(*rule),
        }
    }
}

/// A violated invariant, without the simulation step at which it was detected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{subject}: {cause}")]
pub struct InvariantError {
    /// The id of the attempt, or the name of the front or server, that is affected.
    pub subject: String,
    /// How the invariant was violated.
    pub cause: ViolationCause,
}

/// A violated invariant, with the step and time at which it was detected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The simulation step at which the violation was detected.
    pub step: u64,
    /// Simulated time of the violation, relative to the start of the scenario.
    pub time: Moment,
    /// The id of the attempt, or the name of the front or server, that is affected.
    pub subject: String,
    /// How the invariant was violated.
    pub cause: ViolationCause,
}

impl Violation {
    /// Returns the kind of the violated invariant.
    pub fn kind(&self) -> ViolationKind {
        self.cause.kind()
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.time.micros() as f64 / 1e3;
        let (kind, subject) = (self.kind(), &self.subject);
        write!(f, "{kind} by {subject} at {ms:.3} ms (step {}): {}", self.step, self.cause)
    }
}
