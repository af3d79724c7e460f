//! What a simulation finds: an invariant that does not hold.

use std::fmt;

use ochrelead_core::time::{Moment, Span};
use thiserror::Error;

use crate::session_tracker::SessionEventError;

/// The kind of an invariant. Shrinking keeps to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ViolationKind {
    /// A front's events contradict each other or its load, or it does not go on.
    Bookkeeping,
    /// A call is established at a server, and nobody knows it.
    UnclaimedCall,
    /// A rule of the auditor, counted from 1.
    Rule(usize),
}

impl fmt::Display for ViolationKind {
    /// The names that are printed, and written into tables and shrunk scenarios.
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
    /// A front's events of a session contradict each other.
    #[error(transparent)]
    Session(#[from] SessionEventError),
    /// A front wants to be called again and again without time passing.
    #[error("{limit} turns at one moment")]
    EndlessLoop {
        /// How often a front may be called at one moment.
        limit: u32,
    },
    /// Nothing has been under way for a session for too long.
    #[error("nothing is under way for it for {} ms", limit.micros() / 1_000)]
    SessionIdle {
        /// How long nothing may be under way.
        limit: Span,
    },
    /// A front's load differs from what its events say.
    #[error("{reported} sessions held where the notes say {tracked}")]
    SessionCount {
        /// The sessions of the front's load.
        reported: usize,
        /// The sessions by its events.
        tracked: usize,
    },
    /// A call is established at a server at the end, and nobody knows it.
    #[error("it still stands at {server}, and neither front nor caller knows it")]
    UnclaimedCall {
        /// The name of the server.
        server: String,
    },
    /// The auditor found a rule broken.
    #[error("{detail}")]
    Rule {
        /// The rule, counted from 1.
        rule: usize,
        /// What the auditor says of it.
        detail: String,
    },
}

impl ViolationCause {
    /// Its kind.
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

/// A violated invariant, before it is known at which step of the simulation that was.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{subject}: {cause}")]
pub struct InvariantError {
    /// The attempt, front or server concerned.
    pub subject: String,
    /// How the invariant was violated.
    pub cause: ViolationCause,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The step of the simulation that showed it.
    pub step: u64,
    /// When that was, counted from the start of the scenario.
    pub time: Moment,
    /// The attempt, front or server concerned.
    pub subject: String,
    /// How the invariant was violated.
    pub cause: ViolationCause,
}

impl Violation {
    /// Its kind.
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
