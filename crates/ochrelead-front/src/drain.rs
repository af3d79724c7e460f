//! Leaving service: no new session is accepted, each held one gets its final answer or stays established, and the wait
//! is bounded.

use ochrelead_core::time::{Moment, Span};

/// Whether a front is in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    /// It accepts sessions.
    #[default]
    InService,
    /// It accepts no sessions any more.
    Draining {
        /// Sessions without an answer fail at this moment.
        until: Moment,
    },
    /// Nothing is left to do.
    Closed,
}

impl DrainState {
    /// Starts to drain. A second request changes nothing: the bound holds from the first.
    pub fn start(&mut self, now: Moment, bound: Span) {
        if *self == DrainState::InService {
            *self = DrainState::Draining { until: now + bound };
        }
    }

    /// Whether new sessions are accepted.
    pub fn accepts_sessions(self) -> bool {
        self == DrainState::InService
    }

    /// Whether the bound has passed: sessions without an answer have to fail now.
    pub fn is_overdue(self, now: Moment) -> bool {
        matches!(self, DrainState::Draining { until } if now >= until)
    }

    /// Closes once nothing is `unfinished` (sessions without a final answer, and commands without a response), or a
    /// second bound after the first has passed: a peer that never responds must not hold the process.
    pub fn update(&mut self, now: Moment, unfinished: usize, bound: Span) {
        if let DrainState::Draining { until } = *self
            && (unfinished == 0 || now >= until + bound)
        {
            *self = DrainState::Closed;
        }
    }

    /// When the state may change by itself.
    pub fn poll_timeout(self, now: Moment, bound: Span) -> Option<Moment> {
        match self {
            DrainState::Draining { until } if until > now => Some(until),
            DrainState::Draining { until } => Some(until + bound),
            _ => None,
        }
    }
}
