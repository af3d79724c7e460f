//! Whether a server that warms up is overloaded so far that its process crashes.

use std::collections::VecDeque;

use ochrelead_config::front_config::FrontConfig;
use ochrelead_core::time::{Moment, Span};

/// Set-ups that a cold server takes beyond its limit, whatever its capacity: an allowance for chance.
const ALLOWANCE: f64 = 3.0;

/// Work that has arrived, in set-ups, against what the processor is able to do.
pub(super) struct OverloadDetector {
    /// The process crashes above this multiple of its capacity.
    multiple: f64,
    /// Work is counted for so long.
    window: Span,
    arrivals: VecDeque<(Moment, f64)>,
}

impl OverloadDetector {
    pub(super) fn new(config: &FrontConfig) -> OverloadDetector {
        OverloadDetector {
            multiple: config.controller.overload_multiple,
            window: config.controller.overload_duration,
            arrivals: VecDeque::new(),
        }
    }

    pub(super) fn window(&self) -> Span {
        self.window
    }

    /// Adds work that has arrived. Whether it is more than a processor of this capacity in the window stands.
    pub(super) fn is_overloaded_by(&mut self, now: Moment, set_ups: f64, capacity: f64) -> bool {
        self.arrivals.push_back((now, set_ups));
        while self.arrivals.front().is_some_and(|(arrived_at, _)| now.since(*arrived_at) > self.window) {
            self.arrivals.pop_front();
        }
        let total: f64 = self.arrivals.iter().map(|(_, set_ups)| set_ups).sum();
        total > capacity * self.multiple + ALLOWANCE
    }

    pub(super) fn clear(&mut self) {
        self.arrivals.clear();
    }
}
