//! The links between fronts: loss, delay, duplicates, and partitions.

use rand::{Rng, RngExt};

use super::{MILLISECOND, Scenario};

/// A message that is very late takes up to so long.
const MAX_VERY_LATE_MS: u64 = 60_000;

/// How a network treats messages.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conditions {
    /// The share of messages that are lost.
    pub(super) loss: f64,
    /// The longest that a message usually takes, in microseconds.
    pub(super) max_delay_us: u64,
    /// The share of messages that arrive twice.
    duplicates: f64,
    /// The share of messages that are very late.
    very_late: f64,
}

impl Conditions {
    pub(super) fn draw(rng: &mut impl Rng, scenario: &Scenario) -> Conditions {
        if scenario.without_faults {
            return Conditions { loss: 0.0, max_delay_us: 5 * MILLISECOND, duplicates: 0.0, very_late: 0.0 };
        }
        let loss = rng.random_range(0.0..0.4);
        let max_delay_us = rng.random_range(1..300) * MILLISECOND;
        let duplicates = rng.random_range(0.0..0.2);
        let very_late = if rng.random_bool(0.5) { 0.02 } else { 0.0 };
        Conditions { loss, max_delay_us, duplicates, very_late }
    }

    /// How many copies of a message are sent.
    pub(super) fn draw_copies(&self, rng: &mut impl Rng) -> u32 {
        1 + u32::from(rng.random_bool(self.duplicates))
    }

    /// How long a copy takes, in microseconds.
    pub(super) fn draw_delay(&self, rng: &mut impl Rng) -> u64 {
        let delay = rng.random_range(0..=self.max_delay_us);
        if rng.random_bool(self.very_late) {
            delay + rng.random_range(0..MAX_VERY_LATE_MS) * MILLISECOND
        } else {
            delay
        }
    }
}

/// Which links are cut.
#[derive(Clone, Debug)]
pub(super) enum Partition {
    /// From the fronts of one side to the others, or both ways.
    Sides { is_on_side: Vec<bool>, both_ways: bool },
    /// One front's links.
    Front { front: u32, hears: bool, is_heard: bool },
}

impl Partition {
    pub(super) fn cuts(&self, from: u32, to: u32) -> bool {
        match self {
            Partition::Sides { is_on_side, both_ways } => {
                let (from, to) = (is_on_side[from as usize], is_on_side[to as usize]);
                from != to && (*both_ways || from)
            }
            Partition::Front { front, hears, is_heard } => {
                (to == *front && !hears) || (from == *front && !is_heard)
            }
        }
    }
}
