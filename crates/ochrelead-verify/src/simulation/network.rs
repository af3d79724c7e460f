//! The links between fronts: loss, delay, duplication and partitions.

use rand::{Rng, RngExt};

use super::{MILLISECOND, Scenario};

/// Upper limit of the additional random delay of a very late message.
const MAX_VERY_LATE_MS: u64 = 60_000;

/// Loss, delay and duplication of messages, the same for all links of a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conditions {
    /// Probability that a copy of a message is lost.
    pub(super) loss: f64,
    /// Maximum delay of a message that is not very late, in microseconds.
    pub(super) max_delay_us: u64,
    /// Probability that a message is sent twice.
    duplication: f64,
    /// Probability that a copy of a message is very late.
    very_late: f64,
}

impl Conditions {
    /// Draws the conditions of a run; without faults only a short delay remains.
    pub(super) fn draw(rng: &mut impl Rng, scenario: &Scenario) -> Conditions {
        if scenario.without_faults {
            return Conditions { loss: 0.0, max_delay_us: 5 * MILLISECOND, duplication: 0.0, very_late: 0.0 };
        }
        let loss = rng.random_range(0.0..0.4);
        let max_delay_us = rng.random_range(1..300) * MILLISECOND;
        let duplication = rng.random_range(0.0..0.2);
        let very_late = if rng.random_bool(0.5) { 0.02 } else { 0.0 };
        Conditions { loss, max_delay_us, duplication, very_late }
    }

    /// Draws the number of copies of a message: 1 or 2.
    pub(super) fn draw_copies(&self, rng: &mut impl Rng) -> u32 {
        1 + u32::from(rng.random_bool(self.duplication))
    }

    /// Draws the delay of a copy of a message, in microseconds.
    pub(super) fn draw_delay(&self, rng: &mut impl Rng) -> u64 {
        let delay = rng.random_range(0..=self.max_delay_us);
        if rng.random_bool(self.very_late) {
            delay + rng.random_range(0..MAX_VERY_LATE_MS) * MILLISECOND
        } else {
            delay
        }
    }
}

/// A set of links that are cut.
#[derive(Clone, Debug)]
pub(super) enum Partition {
    /// The links from the fronts of the first side to the others, or the links in both directions.
    Sides { is_on_first_side: Vec<bool>, both_ways: bool },
    /// The incoming links of one front unless it can receive, and its outgoing links unless it can send.
    Front { front: u32, can_receive: bool, can_send: bool },
}

impl Partition {
    /// Whether the link from one front to another is cut.
    pub(super) fn cuts(&self, from: u32, to: u32) -> bool {
        match self {
            Partition::Sides { is_on_first_side, both_ways } => {
                let (from, to) = (is_on_first_side[from as usize], is_on_first_side[to as usize]);
                from != to && (*both_ways || from)
            }
            Partition::Front { front, can_receive, can_send } => {
                (to == *front && !can_receive) || (from == *front && !can_send)
            }
        }
    }
}
