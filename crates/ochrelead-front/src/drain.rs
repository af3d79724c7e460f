//! The drain of a front: no new session is accepted, each held session without a final answer gets one, and the
//! duration is bounded.

use ochrelead_core::time::{Moment, Span};

/// Whether a front is in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DrainState {
    /// The front accepts sessions.
    #[default]
    InService,
    /// The front accepts no new sessions.
    Draining {
        /// The time at which sessions without a final answer fail.
        until: Moment,
    },
    /// The drain has finished.
    Closed,
}

impl DrainState {
    /// Starts to drain. A second request changes nothing: the bound runs from the first.
    pub fn start(&mut self, now: Moment, bound: Span) {
        if *self == DrainState::InService {
            *self = DrainState::Draining { until: now + bound };
        }
    }

    /// Whether new sessions are accepted.
    pub fn accepts_sessions(self) -> bool {
        self == DrainState::InService
    }

    /// Whether the bound has passed, so that sessions without a final answer must fail.
    pub fn is_overdue(self, now: Moment) -> bool {
        matches!(self, DrainState::Draining { until } if now >= until)
    }

    /// Closes when `unfinished` is 0 (the number of sessions without a final answer, commands without a response and
    /// scheduled releases), or when twice the bound has passed: a peer that never responds must not keep the process
    /// running.
    pub fn update(&mut self, now: Moment, unfinished: usize, bound: Span) {
        if let DrainState::Draining { until } = *self
            && (unfinished == 0 || now >= until + bound)
        {
            *self = DrainState::Closed;
        }
    }

    /// When the state may change without further input.
    pub fn poll_timeout(self, now: Moment, bound: Span) -> Option<Moment> {
        match self {
            DrainState::Draining { until } if until > now => Some(until),
            DrainState::Draining { until } => Some(until + bound),
            _ => None,
        }
    }
}
