//! Figures over the last while, in fixed buckets of time that are used again in a ring.

use crate::time::{Moment, Span};

/// What one bucket, or several together, have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowStats {
    pub count: u32,
    pub total: Span,
    pub min: Option<Span>,
}

impl WindowStats {
    pub fn mean(&self) -> Option<Span> {
        (self.count > 0).then(|| self.total / u64::from(self.count))
    }

    fn join(self, other: WindowStats) -> WindowStats {
        WindowStats {
            count: self.count + other.count,
            total: self.total + other.total,
            min: match (self.min, other.min) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
        }
    }
}

/// A ring of `N` buckets of `width` each.
#[derive(Clone, Debug)]
pub struct SlidingWindow<const N: usize> {
    width: Span,
    /// The running number of the bucket in use, counted from the clock's zero.
    turn: u64,
    buckets: [WindowStats; N],
}

impl<const N: usize> SlidingWindow<N> {
    pub fn new(width: Span) -> Self {
        SlidingWindow { width, turn: 0, buckets: [WindowStats::default(); N] }
    }

    fn turn_to(&mut self, now: Moment) {
        let turn = now.micros() / self.width.micros().max(1);
        if turn <= self.turn {
            return;
        }
        for passed in 0..(turn - self.turn).min(N as u64) {
            self.buckets[((turn - passed) % N as u64) as usize] = WindowStats::default();
        }
        self.turn = turn;
    }

    pub fn record(&mut self, now: Moment, span: Span) {
        self.turn_to(now);
        let bucket = &mut self.buckets[(self.turn % N as u64) as usize];
        *bucket = bucket.join(WindowStats { count: 1, total: span, min: Some(span) });
    }

    /// All that lies within the ring at `now`.
    pub fn stats(&self, now: Moment) -> WindowStats {
        let turn = now.micros() / self.width.micros().max(1);
        let stale = turn.saturating_sub(self.turn);
        let kept = (0..(N as u64).saturating_sub(stale)).filter_map(|back| self.turn.checked_sub(back));
        let buckets = kept.map(|turn| self.buckets[(turn % N as u64) as usize]);
        buckets.fold(WindowStats::default(), WindowStats::join)
    }

    /// The count a second over the ring's span, or over the time since `start` where that is shorter, but a
    /// second at min.
    pub fn rate(&self, now: Moment, start: Moment) -> f64 {
        let seen = now.since(start).min(self.duration()).ratio(Span::from_secs(1)).max(1.0);
        f64::from(self.stats(now).count) / seen
    }

    /// The time that the whole ring covers.
    pub fn duration(&self) -> Span {
        self.width * N as u64
    }

    pub fn clear(&mut self) {
        self.buckets = [WindowStats::default(); N];
    }
}

/// The last reading of a level in each of `N` buckets of `width`.
#[derive(Clone, Debug)]
pub struct GaugeWindow<const N: usize> {
    width: Span,
    readings: [Option<(Moment, f64)>; N],
}

impl<const N: usize> GaugeWindow<N> {
    pub fn new(width: Span) -> Self {
        GaugeWindow { width, readings: [None; N] }
    }

    pub fn record(&mut self, now: Moment, level: f64) {
        let turn = now.micros() / self.width.micros().max(1);
        self.readings[(turn % N as u64) as usize] = Some((now, level));
    }

    /// The mean level and its change a second, from readings a bucket's width apart at min.
    pub fn trend(&self, now: Moment) -> Option<(f64, f64)> {
        let recent = |reading: &&(Moment, f64)| now.since(reading.0) < self.width * N as u64;
        let kept = || self.readings.iter().flatten().filter(recent);
        let (first, last) = (kept().min_by_key(|(at, _)| *at)?, kept().max_by_key(|(at, _)| *at)?);
        let apart = last.0.since(first.0);
        let mean = kept().map(|(_, level)| level).sum::<f64>() / kept().count() as f64;
        (apart >= self.width).then(|| (mean, (last.1 - first.1) / apart.ratio(Span::from_secs(1))))
    }

    pub fn clear(&mut self) {
        self.readings = [None; N];
    }
}
