//! Tracks a front's sessions by the events that its engine emits, and detects events in an invalid order.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_front::events::SessionStep;
use thiserror::Error;

/// The phase of a session, derived from the front's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPhase {
    /// No INVITE is outstanding.
    Waiting,
    /// An INVITE is outstanding.
    Inviting,
    /// The call is established.
    Established,
}

/// An event that is invalid after the session's previous events.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SessionEventError {
    /// The event is invalid in the session's phase.
    #[error("{event} while {phase:?}")]
    UnexpectedEvent {
        /// The name of the event, as printed in a violation.
        event: &'static str,
        /// The phase before the event; `None` if the session is unknown.
        phase: Option<SessionPhase>,
    },
    /// The INVITE is invalid in the session's phase, or its number is out of sequence.
    #[error("INVITE {attempt} while {phase:?}, the {invites}th")]
    UnexpectedInvite {
        /// The number of the INVITE within its session, as given by the event.
        attempt: u32,
        /// The phase before the event.
        phase: SessionPhase,
        /// The number of INVITEs of the session, including this one.
        invites: u32,
    },
    /// The session has sent more INVITEs than allowed.
    #[error("{invites} INVITEs where {limit} are the most")]
    TooManyInvites {
        /// The number of INVITEs of the session, including this one.
        invites: u32,
        /// The maximum number of INVITEs per session.
        limit: u32,
    },
}

/// A session that has been accepted and has not ended.
#[derive(Clone, Debug)]
struct TrackedSession {
    phase: SessionPhase,
    invites: u32,
    /// Start of the current period without an outstanding INVITE; `None` in the other phases.
    idle_since: Option<Moment>,
}

/// The sessions of one front process.
#[derive(Clone, Debug, Default)]
pub struct SessionTracker {
    /// Keyed by the id of the caller's attempt.
    sessions: BTreeMap<String, TrackedSession>,
}

impl SessionTracker {
    /// Applies an event of the session of `attempt`.
    ///
    /// # Errors
    ///
    /// Returns an error if the event is invalid after the session's previous events.
    pub fn apply(
        &mut self,
        now: Moment,
        attempt: &str,
        step: &SessionStep,
        max_invites: u32,
    ) -> Result<(), SessionEventError> {
        let applied = self.advance(attempt, step, max_invites);
        if let Some(session) = self.sessions.get_mut(attempt) {
            session.idle_since = match session.phase {
                SessionPhase::Waiting => Some(session.idle_since.unwrap_or(now)),
                SessionPhase::Inviting | SessionPhase::Established => None,
            };
        }
        applied
    }

    /// Returns a session that is neither established nor ended and has had no outstanding INVITE for longer than
    /// `limit`.
    pub fn idle_session(&self, now: Moment, limit: Span) -> Option<&str> {
        let is_idle =
            |session: &TrackedSession| session.idle_since.is_some_and(|since| now.since(since) > limit);
        self.sessions.iter().find(|(_, session)| is_idle(session)).map(|(attempt, _)| attempt.as_str())
    }

    /// Returns the number of sessions that have not ended.
    pub fn session_count(&self) -> usize {
        self.sessions.len()
    }

    fn advance(
        &mut self,
        attempt: &str,
        step: &SessionStep,
        max_invites: u32,
    ) -> Result<(), SessionEventError> {
        match step {
            SessionStep::Accepted { .. } => self.begin(attempt),
            SessionStep::Invited { attempt: number, .. } => self.start_invite(attempt, *number, max_invites),
            SessionStep::InviteEnded { .. } => {
                self.end_invite(attempt, SessionPhase::Waiting, "an INVITE ended")
            }
            SessionStep::Established { .. } => self.end_invite(attempt, SessionPhase::Established, "stands"),
            SessionStep::Rejected { .. } => {
                self.end(attempt, "given up", &[SessionPhase::Waiting, SessionPhase::Inviting])
            }
            SessionStep::CallerGone { .. } => {
                self.end(attempt, "hung up", &[SessionPhase::Waiting, SessionPhase::Inviting])
            }
            SessionStep::CutByServer { .. } | SessionStep::Released { .. } => {
                self.end(attempt, "ended", &[SessionPhase::Established])
            }
            SessionStep::UnclaimedCallReleased { .. } => Ok(()),
        }
    }

    fn begin(&mut self, attempt: &str) -> Result<(), SessionEventError> {
        if self.sessions.contains_key(attempt) {
            return Err(self.unexpected(attempt, "taken"));
        }
        let session = TrackedSession { phase: SessionPhase::Waiting, invites: 0, idle_since: None };
        self.sessions.insert(attempt.to_owned(), session);
        Ok(())
    }

    fn start_invite(&mut self, attempt: &str, number: u32, limit: u32) -> Result<(), SessionEventError> {
        let Some(session) = self.sessions.get_mut(attempt) else {
            return Err(self.unexpected(attempt, "INVITE"));
        };
        session.invites += 1;
        let (phase, invites) = (session.phase, session.invites);
        if phase != SessionPhase::Waiting || invites != number {
            return Err(SessionEventError::UnexpectedInvite { attempt: number, phase, invites });
        }
        if invites > limit {
            return Err(SessionEventError::TooManyInvites { invites, limit });
        }
        session.phase = SessionPhase::Inviting;
        Ok(())
    }

    fn end_invite(
        &mut self,
        attempt: &str,
        next: SessionPhase,
        event: &'static str,
    ) -> Result<(), SessionEventError> {
        match self.sessions.get_mut(attempt) {
            Some(session) if session.phase == SessionPhase::Inviting => {
                session.phase = next;
                Ok(())
            }
            _ => Err(self.unexpected(attempt, event)),
        }
    }

    fn end(
        &mut self,
        attempt: &str,
        event: &'static str,
        allowed: &[SessionPhase],
    ) -> Result<(), SessionEventError> {
        if !self.phase(attempt).is_some_and(|phase| allowed.contains(&phase)) {
            return Err(self.unexpected(attempt, event));
        }
        self.sessions.remove(attempt);
        Ok(())
    }

    fn phase(&self, attempt: &str) -> Option<SessionPhase> {
        self.sessions.get(attempt).map(|session| session.phase)
    }

    fn unexpected(&self, attempt: &str, event: &'static str) -> SessionEventError {
        SessionEventError::UnexpectedEvent { event, phase: self.phase(attempt) }
    }
}
