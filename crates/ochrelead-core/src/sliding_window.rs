//! Statistics over the recent past, in buckets of equal width that are reused in a ring.

use crate::time::{Moment, Span};

/// The statistics of one bucket, or of several together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowStats {
    /// How many samples were recorded.
    pub count: u32,
    /// The sum of the samples.
    pub total: Span,
    /// The least sample; none where there are none.
    pub min: Option<Span>,
}

impl WindowStats {
    /// The mean of the samples; none where there are none.
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

/// The running number, since the clock's zero, of the bucket that `now` lies in.
fn bucket_number(now: Moment, bucket_width: Span) -> u64 {
    now.micros() / bucket_width.micros().max(1)
}

/// The place of a bucket in a ring of `N`.
const fn slot<const N: usize>(bucket_number: u64) -> usize {
    (bucket_number % N as u64) as usize
}

/// Samples of the recent past, in `N` buckets of equal width.
#[derive(Clone, Debug)]
pub struct SlidingWindow<const N: usize> {
    bucket_width: Span,
    /// The running number of the newest bucket.
    newest: u64,
    buckets: [WindowStats; N],
}

impl<const N: usize> SlidingWindow<N> {
    /// An empty window.
    pub fn new(bucket_width: Span) -> Self {
        SlidingWindow { bucket_width, newest: 0, buckets: [WindowStats::default(); N] }
    }

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

    /// The statistics of all samples within the window at `now`.
    pub fn stats(&self, now: Moment) -> WindowStats {
        let expired = bucket_number(now, self.bucket_width).saturating_sub(self.newest);
        let current = (0..(N as u64).saturating_sub(expired)).filter_map(|age| self.newest.checked_sub(age));
        let buckets = current.map(|number| self.buckets[slot::<N>(number)]);
        buckets.fold(WindowStats::default(), WindowStats::merge)
    }

    /// The samples a second over the window, or over the time since `start` where that is shorter, but over
    /// one second at the least.
    pub fn rate(&self, now: Moment, start: Moment) -> f64 {
        let seconds = now.since(start).min(self.duration()).ratio(Span::from_secs(1)).max(1.0);
        f64::from(self.stats(now).count) / seconds
    }

    /// The time that the whole window covers.
    pub fn duration(&self) -> Span {
        self.bucket_width * N as u64
    }

    /// Forgets all samples.
    pub fn clear(&mut self) {
        self.buckets = [WindowStats::default(); N];
    }
}

#[derive(Clone, Copy, Debug)]
struct Reading {
    read_at: Moment,
    level: f64,
}

/// How a level has developed over a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trend {
    /// The mean of the readings.
    pub mean: f64,
    /// The change from the oldest to the newest reading, a second.
    pub change_per_s: f64,
}

/// The last reading of a level in each of `N` buckets of equal width.
#[derive(Clone, Debug)]
pub struct GaugeWindow<const N: usize> {
    bucket_width: Span,
    readings: [Option<Reading>; N],
}

impl<const N: usize> GaugeWindow<N> {
    /// A window without readings.
    pub fn new(bucket_width: Span) -> Self {
        GaugeWindow { bucket_width, readings: [None; N] }
    }

    /// Records the level at `now`, in place of an earlier reading in the same bucket.
    pub fn record(&mut self, now: Moment, level: f64) {
        self.readings[slot::<N>(bucket_number(now, self.bucket_width))] =
            Some(Reading { read_at: now, level });
    }

    /// The trend of the readings within the window; none before two are at least a bucket's width apart.
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

    /// Forgets all readings.
    pub fn clear(&mut self) {
        self.readings = [None; N];
    }
}
