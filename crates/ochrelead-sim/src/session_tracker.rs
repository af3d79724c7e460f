//! Follows a front's sessions by its events, and finds events that contradict each other.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_front::events::SessionStep;
use thiserror::Error;

/// The phase of a session, by the front's events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPhase {
    /// No INVITE is out.
    Waiting,
    /// An INVITE is out.
    Inviting,
    /// The call is established.
    Established,
}

/// An event of a session that can't follow those before it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SessionEventError {
    /// The event does not fit to the session's phase.
    #[error("{event} while {phase:?}")]
    UnexpectedEvent {
        /// The event.
        event: &'static str,
        /// The phase before it; none where the session is unknown.
        phase: Option<SessionPhase>,
    },
    /// The INVITE does not fit to the session's phase, or is numbered wrong.
    #[error("INVITE {attempt} while {phase:?}, the {invites}th")]
    UnexpectedInvite {
        /// Which INVITE it is, as the event says.
        attempt: u32,
        /// The phase before it.
        phase: SessionPhase,
        /// The INVITEs of the session with this one.
        invites: u32,
    },
    /// The session has more INVITEs than it may.
    #[error("{invites} INVITEs where {limit} are the most")]
    TooManyInvites {
        /// The INVITEs of the session with this one.
        invites: u32,
        /// The most that a session may have.
        limit: u32,
    },
}

/// A session that has begun and has not ended.
#[derive(Clone, Debug)]
struct TrackedSession {
    phase: SessionPhase,
    invites: u32,
    /// Since when no INVITE has been out, while none is.
    idle_since: Option<Moment>,
}

/// The sessions of one process of a front.
#[derive(Clone, Debug, Default)]
pub struct SessionTracker {
    /// By the id of the caller's attempt.
    sessions: BTreeMap<String, TrackedSession>,
}

impl SessionTracker {
    /// Applies an event of a session.
    ///
    /// # Errors
    ///
    /// Where the event can't follow those before it.
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

    /// A session for which no INVITE has been out for longer than that, though it has no answer yet.
    pub fn idle_session(&self, now: Moment, limit: Span) -> Option<&str> {
        let is_idle =
            |session: &TrackedSession| session.idle_since.is_some_and(|since| now.since(since) > limit);
        self.sessions.iter().find(|(_, session)| is_idle(session)).map(|(attempt, _)| attempt.as_str())
    }

    /// How many sessions there are.
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
            SessionStep::Invited { attempt: number, .. } => self.invite(attempt, *number, max_invites),
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

    fn invite(&mut self, attempt: &str, number: u32, limit: u32) -> Result<(), SessionEventError> {
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
