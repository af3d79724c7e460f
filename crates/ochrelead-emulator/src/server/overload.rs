//! Detects whether a server that is warming up is so overloaded that its process crashes.

use std::collections::VecDeque;

use ochrelead_config::front_config::FrontConfig;
use ochrelead_core::time::{Moment, Span};

/// Set-ups that a cold server tolerates beyond its limit, regardless of its capacity, because arrivals are random.
const RANDOM_ARRIVAL_ALLOWANCE: f64 = 3.0;

/// Compares the work that arrived within a sliding window, in units of one set-up, with the processor's capacity.
pub(super) struct OverloadDetector {
    /// The process crashes if the arrived work exceeds this multiple of its capacity.
    overload_multiple: f64,
    /// The length of the sliding window.
    window: Span,
    arrivals: VecDeque<(Moment, f64)>,
}

impl OverloadDetector {
    pub(super) fn new(config: &FrontConfig) -> OverloadDetector {
        OverloadDetector {
            overload_multiple: config.controller.overload_multiple,
            window: config.controller.overload_duration,
            arrivals: VecDeque::new(),
        }
    }

    pub(super) fn window(&self) -> Span {
        self.window
    }

    /// Adds arrived work. Returns whether the work within the window overloads a processor that can do `capacity`
    /// set-ups in the window.
    pub(super) fn is_overloaded_by(&mut self, now: Moment, set_ups: f64, capacity: f64) -> bool {
        self.arrivals.push_back((now, set_ups));
        while self.arrivals.front().is_some_and(|(arrived_at, _)| now.since(*arrived_at) > self.window) {
            self.arrivals.pop_front();
        }
        let total: f64 = self.arrivals.iter().map(|(_, set_ups)| set_ups).sum();
        total > capacity * self.overload_multiple + RANDOM_ARRIVAL_ALLOWANCE
    }

    pub(super) fn clear(&mut self) {
        self.arrivals.clear();
    }
}
