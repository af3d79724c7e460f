//! The queue of a discrete event simulation.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event and when it happens.
#[derive(Clone, Debug)]
struct Scheduled<E> {
    at_us: u64,
    /// Events of the same time happen in the order in which they were scheduled.
    sequence: u64,
    event: E,
}

impl<E> Scheduled<E> {
    fn key(&self) -> (u64, u64) {
        (self.at_us, self.sequence)
    }
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Reversed, so that the earliest event is the greatest.
impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// Events to come, on a virtual clock in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct EventQueue<E> {
    events: BinaryHeap<Scheduled<E>>,
    last_sequence: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> EventQueue<E> {
        EventQueue { events: BinaryHeap::new(), last_sequence: 0 }
    }

    pub(crate) fn push(&mut self, at_us: u64, event: E) {
        self.last_sequence += 1;
        self.events.push(Scheduled { at_us, sequence: self.last_sequence, event });
    }

    /// The next event and its time, where that is not after `until_us`.
    pub(crate) fn pop_until(&mut self, until_us: u64) -> Option<(u64, E)> {
        self.events.peek().filter(|next| next.at_us <= until_us)?;
        self.events.pop().map(|next| (next.at_us, next.event))
    }
}
