//! The event queue of a discrete-event simulation.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// An event and its time.
#[derive(Clone, Debug)]
struct Scheduled<E> {
    at_us: u64,
    /// Orders events of the same time: first scheduled, first returned.
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

/// Reverses the order, because [`BinaryHeap`] is a max-heap and the earliest event comes first.
impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}

/// Pending events, ordered by virtual time in microseconds.
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

    /// Removes and returns the next event and its time, unless that time is after `until_us`.
    pub(crate) fn pop_until(&mut self, until_us: u64) -> Option<(u64, E)> {
        self.events.peek().filter(|next| next.at_us <= until_us)?;
        self.events.pop().map(|next| (next.at_us, next.event))
    }
}
