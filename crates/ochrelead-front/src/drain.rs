//! Leaving service: no new session is taken, each held one gets its final answer or stands on, and there is a
//! bound on the wait.

use ochrelead_core::time::{Moment, Span};

/// Whether a front is in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Service {
    #[default]
    Open,
    /// Takes nothing new; sessions without an answer are failed at this moment.
    Draining { until: Moment },
    /// Nothing is owed any more.
    Closed,
}

impl Service {
    /// Asked to leave. A second request changes nothing: the bound holds from the first.
    pub fn leave(&mut self, now: Moment, bound: Span) {
        if *self == Service::Open {
            *self = Service::Draining { until: now + bound };
        }
    }

    pub fn takes_sessions(self) -> bool {
        self == Service::Open
    }

    /// Whether the bound has passed: what is still held is to be failed now.
    pub fn is_overdue(self, now: Moment) -> bool {
        matches!(self, Service::Draining { until } if now >= until)
    }

    /// Closes once `owed` (sessions without a final answer, and commands without a response) is none, or a
    /// second bound after the first has passed: a peer that never responds must not hold the process.
    pub fn settle(&mut self, now: Moment, owed: usize, bound: Span) {
        if let Service::Draining { until } = *self
            && (owed == 0 || now >= until + bound)
        {
            *self = Service::Closed;
        }
    }

    pub fn wake(self, now: Moment, bound: Span) -> Option<Moment> {
        match self {
            Service::Draining { until } if until > now => Some(until),
            Service::Draining { until } => Some(until + bound),
            _ => None,
        }
    }
}
