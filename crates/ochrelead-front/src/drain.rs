//! Leaving service: no new session is taken, each held one gets its final answer or stands on, and there is a
//! bound on the wait.

use ochrelead_core::time::{Moment, Span};

/// Whether a front is in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    #[default]
    InService,
    /// Takes nothing new; sessions without an answer are failed at this moment.
    Draining { until: Moment },
    /// Nothing is owed any more.
    Closed,
}

impl DrainState {
    /// Asked to leave. A second request changes nothing: the bound holds from the first.
    pub fn start(&mut self, now: Moment, bound: Span) {
        if *self == DrainState::InService {
            *self = DrainState::Draining { until: now + bound };
        }
    }

    pub fn accepts_sessions(self) -> bool {
        self == DrainState::InService
    }

    /// Whether the bound has passed: what is still held is to be failed now.
    pub fn is_overdue(self, now: Moment) -> bool {
        matches!(self, DrainState::Draining { until } if now >= until)
    }

    /// Closes once `owed` (sessions without a final answer, and commands without a response) is none, or a
    /// second bound after the first has passed: a peer that never responds must not hold the process.
    pub fn update(&mut self, now: Moment, owed: usize, bound: Span) {
        if let DrainState::Draining { until } = *self
            && (owed == 0 || now >= until + bound)
        {
            *self = DrainState::Closed;
        }
    }

    pub fn poll_timeout(self, now: Moment, bound: Span) -> Option<Moment> {
        match self {
            DrainState::Draining { until } if until > now => Some(until),
            DrainState::Draining { until } => Some(until + bound),
            _ => None,
        }
    }
}
