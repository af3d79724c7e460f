//! Event counts per second, for the plots.

use std::collections::VecDeque;

/// The number of seconds that a series keeps.
pub const SECONDS_KEPT: usize = 180;

/// Event counts per second, in the order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RateSeries {
    counts: VecDeque<u64>,
}

impl RateSeries {
    /// Starts a new second with count zero.
    pub(crate) fn begin_second(&mut self) {
        self.counts.push_back(0);
    }

    /// Starts as many seconds as have passed, and drops the oldest ones beyond [`SECONDS_KEPT`].
    pub(crate) fn advance(&mut self, seconds: u64) {
        for _ in 0..seconds.min(SECONDS_KEPT as u64) {
            self.begin_second();
        }
        let surplus = self.counts.len().saturating_sub(SECONDS_KEPT);
        self.counts.drain(..surplus);
    }

    /// Counts an event in the newest second. Has no effect before the first second has started.
    pub(crate) fn increment(&mut self) {
        if let Some(newest) = self.counts.back_mut() {
            *newest += 1;
        }
    }

    /// Whether no second has started.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    /// The highest count of all seconds.
    pub fn peak(&self) -> u64 {
        self.counts.iter().max().copied().unwrap_or(0)
    }

    /// The counts of the newest `seconds`, in the order of time.
    pub fn latest(&self, seconds: usize) -> Vec<u64> {
        self.counts.iter().copied().skip(self.counts.len().saturating_sub(seconds)).collect()
    }

    /// The mean count of the newest `seconds` that are complete.
    pub fn average(&self, seconds: usize) -> f64 {
        let complete = self.counts.iter().rev().skip(1).take(seconds);
        complete.sum::<u64>() as f64 / seconds as f64
    }
}
