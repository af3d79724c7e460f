//! Figures over the last while, in fixed buckets of time that are used again in a ring.

use crate::time::{Moment, Span};

/// What one bucket, or several together, have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub count: u32,
    pub total: Span,
    pub least: Option<Span>,
}

impl Tally {
    pub fn mean(&self) -> Option<Span> {
        (self.count > 0).then(|| self.total / u64::from(self.count))
    }

    fn join(self, other: Tally) -> Tally {
        Tally {
            count: self.count + other.count,
            total: self.total + other.total,
            least: match (self.least, other.least) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
        }
    }
}

/// A ring of `N` buckets of `width` each.
#[derive(Clone, Debug)]
pub struct Ring<const N: usize> {
    width: Span,
    /// The running number of the bucket in use, counted from the clock's zero.
    turn: u64,
    buckets: [Tally; N],
}

impl<const N: usize> Ring<N> {
    pub fn new(width: Span) -> Self {
        Ring { width, turn: 0, buckets: [Tally::default(); N] }
    }

    fn turn_to(&mut self, now: Moment) {
        let turn = now.micros() / self.width.micros().max(1);
        if turn <= self.turn {
            return;
        }
        for passed in 0..(turn - self.turn).min(N as u64) {
            self.buckets[((turn - passed) % N as u64) as usize] = Tally::default();
        }
        self.turn = turn;
    }

    pub fn add(&mut self, now: Moment, span: Span) {
        self.turn_to(now);
        let bucket = &mut self.buckets[(self.turn % N as u64) as usize];
        *bucket = bucket.join(Tally { count: 1, total: span, least: Some(span) });
    }

    /// All that lies within the ring at `now`.
    pub fn tally(&self, now: Moment) -> Tally {
        let turn = now.micros() / self.width.micros().max(1);
        let stale = turn.saturating_sub(self.turn);
        let kept = (0..(N as u64).saturating_sub(stale)).filter_map(|back| self.turn.checked_sub(back));
        let buckets = kept.map(|turn| self.buckets[(turn % N as u64) as usize]);
        buckets.fold(Tally::default(), Tally::join)
    }

    /// The time that the whole ring covers.
    pub fn span(&self) -> Span {
        self.width * N as u64
    }

    pub fn clear(&mut self) {
        self.buckets = [Tally::default(); N];
    }
}
