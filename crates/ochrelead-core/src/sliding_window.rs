//! Statistics over a sliding time window, in a ring of buckets of equal width.

use crate::time::{Moment, Span};

/// The statistics of one bucket or of several buckets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowStats {
    /// Number of samples.
    pub count: u32,
    /// The sum of the samples.
    pub total: Span,
    /// The smallest sample; `None` without samples.
    pub min: Option<Span>,
}

impl WindowStats {
    /// Returns the mean of the samples; `None` without samples.
    pub fn mean(&self) -> Option<Span> {
        (self.count > 0).then(|| self.total / u64::from(self.count))
    }

    fn merge(self, other: WindowStats) -> WindowStats {
        WindowStats {
            count: self.count + other.count,
            total: self.total + other.total,
            min: match (self.min, other.min) {
                (Some(first), Some(second)) => Some(first.min(second)),
                (first, second) => first.or(second),
            },
        }
    }
}

/// Returns the number of the bucket that contains `now`, counted from the zero of the clock.
fn bucket_number(now: Moment, bucket_width: Span) -> u64 {
    now.micros() / bucket_width.micros().max(1)
}

/// Returns the position of a bucket in a ring of `N` buckets.
const fn slot<const N: usize>(bucket_number: u64) -> usize {
    (bucket_number % N as u64) as usize
}

/// A sliding window of `N` buckets over samples. It moves forward by whole buckets.
#[derive(Clone, Debug)]
pub struct SlidingWindow<const N: usize> {
    bucket_width: Span,
    /// The number of the newest bucket.
    newest: u64,
    buckets: [WindowStats; N],
}

impl<const N: usize> SlidingWindow<N> {
    /// Returns an empty window.
    pub fn new(bucket_width: Span) -> Self {
        SlidingWindow { bucket_width, newest: 0, buckets: [WindowStats::default(); N] }
    }

    /// Moves the window forward to the bucket of `now` and clears the buckets that it enters.
    fn advance_to(&mut self, now: Moment) {
        let number = bucket_number(now, self.bucket_width);
        if number <= self.newest {
            return;
        }
        for age in 0..(number - self.newest).min(N as u64) {
            self.buckets[slot::<N>(number - age)] = WindowStats::default();
        }
        self.newest = number;
    }

    /// Records a sample taken at `now`.
    pub fn record(&mut self, now: Moment, sample: Span) {
        self.advance_to(now);
        let bucket = &mut self.buckets[slot::<N>(self.newest)];
        *bucket = bucket.merge(WindowStats { count: 1, total: sample, min: Some(sample) });
    }

    /// Returns the statistics of the samples within the window that ends at `now`.
    pub fn stats(&self, now: Moment) -> WindowStats {
        let expired = bucket_number(now, self.bucket_width).saturating_sub(self.newest);
        let current = (0..(N as u64).saturating_sub(expired)).filter_map(|age| self.newest.checked_sub(age));
        let buckets = current.map(|number| self.buckets[slot::<N>(number)]);
        buckets.fold(WindowStats::default(), WindowStats::merge)
    }

    /// Returns the samples per second: the number of samples in the window / max(1 s, min(window duration, time
    /// since `start`)).
    pub fn rate(&self, now: Moment, start: Moment) -> f64 {
        let seconds = now.since(start).min(self.duration()).ratio(Span::from_secs(1)).max(1.0);
        f64::from(self.stats(now).count) / seconds
    }

    /// Returns the duration of the window.
    pub fn duration(&self) -> Span {
        self.bucket_width * N as u64
    }

    /// Removes all samples.
    pub fn clear(&mut self) {
        self.buckets = [WindowStats::default(); N];
    }
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    read_at: Moment,
    level: f64,
}

/// The mean and the rate of change of a level over a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trend {
    /// The mean of the readings.
    pub mean: f64,
    /// The change from the oldest to the newest reading, per second.
    pub change_per_s: f64,
}

/// A sliding window of `N` buckets over a level, with the last reading in each bucket.
#[derive(Clone, Debug)]
pub struct GaugeWindow<const N: usize> {
    bucket_width: Span,
    readings: [Option<Reading>; N],
}

impl<const N: usize> GaugeWindow<N> {
    /// Returns a window without readings.
    pub fn new(bucket_width: Span) -> Self {
        GaugeWindow { bucket_width, readings: [None; N] }
    }

    /// Records the level at `now`; replaces an earlier reading in the same bucket.
    pub fn record(&mut self, now: Moment, level: f64) {
        self.readings[slot::<N>(bucket_number(now, self.bucket_width))] =
            Some(Reading { read_at: now, level });
    }

    /// Returns the trend of the readings within the window, or `None` if the oldest and the newest are less than
    /// one bucket width apart.
    pub fn trend(&self, now: Moment) -> Option<Trend> {
        let window = self.bucket_width * N as u64;
        let current = || self.readings.iter().flatten().filter(|reading| now.since(reading.read_at) < window);
        let oldest = current().min_by_key(|reading| reading.read_at)?;
        let newest = current().max_by_key(|reading| reading.read_at)?;
        let elapsed = newest.read_at.since(oldest.read_at);
        let mean = current().map(|reading| reading.level).sum::<f64>() / current().count() as f64;
        let change_per_s = (newest.level - oldest.level) / elapsed.ratio(Span::from_secs(1));
        (elapsed >= self.bucket_width).then_some(Trend { mean, change_per_s })
    }

    /// Removes all readings.
    pub fn clear(&mut self) {
        self.readings = [None; N];
    }
}
