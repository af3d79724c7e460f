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
    /// The usual answer time while nothing was wrong; slow to follow.
    pub usual: Option<f64>,
}

impl Default for Server {
    fn default() -> Server {
        Server {
            out: BTreeMap::new(),
            answers: Lately::new(Span::from_secs(6)),
            heard: None,
            heard_by: BTreeMap::new(),
            drains_since: None,
            usual: None,
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
