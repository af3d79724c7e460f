//! Sliding windows of events and learned averages, per server and front. Makes no decisions.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};

/// How long a server's answers and INVITEs are kept.
pub(crate) const SERVER_RETENTION: Span = Span::from_secs(6);
/// The number of samples after which a new sample keeps a constant weight of 1/50 in a learned mean.
const MAX_SAMPLES: u32 = 50;
/// The number of samples that a learned mean requires.
const MIN_SAMPLES: u32 = 4;

/// Converts a span to seconds.
pub(crate) fn seconds(span: Span) -> f64 {
    span.ratio(Span::from_secs(1))
}

/// A value with the time of its event.
#[derive(Clone, Debug)]
pub(crate) struct Timed<T> {
    pub(crate) time: Moment,
    pub(crate) value: T,
}

/// A sliding window of events.
#[derive(Clone, Debug)]
pub(crate) struct RecentEvents<T> {
    retention: Span,
    events: VecDeque<Timed<T>>,
}

impl<T> RecentEvents<T> {
    pub(crate) fn new(retention: Span) -> RecentEvents<T> {
        RecentEvents { retention, events: VecDeque::new() }
    }

    pub(crate) fn record(&mut self, time: Moment, value: T) {
        self.events.push_back(Timed { time, value });
        self.expire(time);
    }

    pub(crate) fn expire(&mut self, now: Moment) {
        while self.events.front().is_some_and(|event| now.since(event.time) > self.retention) {
            self.events.pop_front();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.events.len()
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &T> {
        self.events.iter().map(|event| &event.value)
    }

    /// The events of the last `span` before `now`.
    pub(crate) fn within(&self, now: Moment, span: Span) -> impl Iterator<Item = &Timed<T>> {
        self.events.iter().filter(move |event| now.since(event.time) < span)
    }
}

/// A running mean: the arithmetic mean of the first samples, then an exponential moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LearnedMean {
    mean: f64,
    samples: u32,
}

impl LearnedMean {
    pub(crate) fn learn(&mut self, sample: f64) {
        self.samples = (self.samples + 1).min(MAX_SAMPLES);
        self.mean += (sample - self.mean) / f64::from(self.samples);
    }

    /// The mean; `None` until there are `MIN_SAMPLES` samples.
    pub(crate) fn known(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean)
    }
}

/// The median of recent answer times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MedianAnswerTime {
    pub(crate) seconds: f64,
    /// The number of answers.
    pub(crate) count: usize,
}

/// Statistics of a server, pooled over all fronts.
#[derive(Clone, Debug)]
pub(crate) struct ServerStats {
    /// The times at which unanswered INVITEs were sent, by call attempt.
    pub(crate) outstanding: BTreeMap<String, Moment>,
    /// Answer times of established calls.
    pub(crate) answers: RecentEvents<Span>,
    /// INVITEs sent to the server.
    pub(crate) invites: RecentEvents<()>,
    pub(crate) first_invite_at: Option<Moment>,
    /// When any front last heard from the server.
    pub(crate) last_heard_at: Option<Moment>,
    /// When each front last heard from the server.
    pub(crate) last_heard_by: BTreeMap<String, Moment>,
    pub(crate) draining_since: Option<Moment>,
    /// When it last announced a start.
    pub(crate) started_at: Option<Moment>,
    /// When an evaluation last found it silent.
    pub(crate) silent_at: Option<Moment>,
    /// The usual answer time while the server is healthy, in seconds.
    pub(crate) usual_answer_time: LearnedMean,
    /// The usual rate of INVITEs to the server while it is healthy, per second.
    pub(crate) usual_invite_rate: LearnedMean,
}

impl Default for ServerStats {
    fn default() -> ServerStats {
        ServerStats {
            outstanding: BTreeMap::new(),
            answers: RecentEvents::new(SERVER_RETENTION),
            invites: RecentEvents::new(SERVER_RETENTION),
            first_invite_at: None,
            last_heard_at: None,
            last_heard_by: BTreeMap::new(),
            draining_since: None,
            started_at: None,
            silent_at: None,
            usual_answer_time: LearnedMean::default(),
            usual_invite_rate: LearnedMean::default(),
        }
    }
}

impl ServerStats {
    /// Records that a front heard from the server at `time`.
    pub(crate) fn record_heard(&mut self, front: &str, time: Moment) {
        self.last_heard_at = self.last_heard_at.max(Some(time));
        let last_heard_at = self.last_heard_by.entry(front.to_owned()).or_insert(time);
        *last_heard_at = (*last_heard_at).max(time);
    }

    /// The median answer time of the last `span`; `None` without an answer.
    pub(crate) fn median_answer_time(&self, now: Moment, span: Span) -> Option<MedianAnswerTime> {
        let mut times: Vec<f64> =
            self.answers.within(now, span).map(|answer| seconds(answer.value)).collect();
        times.sort_by(f64::total_cmp);
        let count = times.len();
        times.get(count / 2).map(|median| MedianAnswerTime { seconds: *median, count })
    }
}

/// The activity of a front in its current incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct FrontActivity {
    /// When the incarnation started, in microseconds; 0 if no incarnation is known.
    pub(crate) started_us: u64,
    /// The time of its last record.
    pub(crate) last_record_at: Moment,
    /// Whether it has announced that it leaves service.
    pub(crate) has_left: bool,
}
