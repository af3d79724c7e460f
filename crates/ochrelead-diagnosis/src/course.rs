//! What is known of servers, members and fronts over the last seconds. Bookkeeping only.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};

/// Things that happened, kept for a while.
#[derive(Clone, Debug)]
pub struct Lately<T> {
    kept: Span,
    items: VecDeque<(Moment, T)>,
}

impl<T> Lately<T> {
    pub fn new(kept: Span) -> Lately<T> {
        Lately { kept, items: VecDeque::new() }
    }

    pub fn add(&mut self, now: Moment, item: T) {
        self.items.push_back((now, item));
        self.forget(now);
    }

    pub fn forget(&mut self, now: Moment) {
        while self.items.front().is_some_and(|(at, _)| now.since(*at) > self.kept) {
            self.items.pop_front();
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &(Moment, T)> {
        self.items.iter()
    }

    /// Of the last `span` before `now`.
    pub fn within(&self, now: Moment, span: Span) -> impl Iterator<Item = &(Moment, T)> {
        self.items.iter().filter(move |(at, _)| now.since(*at) < span)
    }
}

/// A server, pooled over all fronts.
#[derive(Clone, Debug)]
pub struct Server {
    /// INVITEs that wait for an answer: try, and when sent.
    pub out: BTreeMap<String, Moment>,
    /// Answer times of late: of set-ups that stand.
    pub answers: Lately<Span>,
    /// The last sign of life, and per front.
    pub heard: Option<Moment>,
    pub heard_by: BTreeMap<String, Moment>,
    pub drains_since: Option<Moment>,
    /// INVITEs sent there of late.
    pub sent: Lately<()>,
    /// The usual answer time, and INVITEs in a stretch, while nothing was wrong; slow to follow.
    pub usual_answer: Usual,
    pub usual_sent: Usual,
    /// The first INVITE that was seen.
    pub first_sent: Option<Moment>,
    /// When it last started, as it said.
    pub started: Option<Moment>,
    /// When it last was silent.
    pub silent: Option<Moment>,
}

/// A mean that is quick to learn and slow to forget.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    mean: f64,
    cases: u32,
}

/// After so many cases a mean follows no faster.
const SETTLED: u32 = 50;
/// Before so many it is not known.
const KNOWN: u32 = 4;

impl Usual {
    pub fn learn(&mut self, figure: f64) {
        self.cases = (self.cases + 1).min(SETTLED);
        self.mean += (figure - self.mean) / f64::from(self.cases);
    }

    pub fn known(&self) -> Option<f64> {
        (self.cases >= KNOWN).then_some(self.mean)
    }
}

impl Default for Server {
    fn default() -> Server {
        Server {
            out: BTreeMap::new(),
            answers: Lately::new(Span::from_secs(6)),
            heard: None,
            heard_by: BTreeMap::new(),
            drains_since: None,
            sent: Lately::new(Span::from_secs(6)),
            usual_answer: Usual::default(),
            usual_sent: Usual::default(),
            first_sent: None,
            started: None,
            silent: None,
        }
    }
}

impl Server {
    /// A sign of life that a front had at that moment.
    pub fn hear(&mut self, front: &str, at: Moment) {
        self.heard = self.heard.max(Some(at));
        let own = self.heard_by.entry(front.to_owned()).or_insert(at);
        *own = (*own).max(at);
    }

    /// The middle answer time of late, in seconds, and of how many.
    pub fn middle(&self, now: Moment, span: Span) -> Option<(f64, usize)> {
        let mut times: Vec<f64> = self.answers.within(now, span).map(|(_, took)| seconds(*took)).collect();
        times.sort_by(f64::total_cmp);
        (!times.is_empty()).then(|| (times[times.len() / 2], times.len()))
    }
}

pub fn seconds(span: Span) -> f64 {
    span.ratio(Span::from_secs(1))
}

/// A front in its present life.
#[derive(Clone, Debug, Default)]
pub struct Front {
    pub life: u64,
    pub last: Moment,
    pub stopped: bool,
}
