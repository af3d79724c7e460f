//! What is known of one server, and its state.

use std::collections::BTreeMap;
use std::fmt;

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::trouble::{Trouble, TroubleKind};
use ochrelead_event_log::schema::Outlook;

use crate::fleet_view::FRONT_TIMEOUT;
use crate::rate_series::RateSeries;

/// The state of a server: the worst trouble there, else what the fronts' controllers make of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Nothing is wrong.
    #[default]
    Healthy,
    /// It has started lately and is in slow start.
    WarmingUp,
    /// It answers late.
    Slow,
    /// Answers of it get lost.
    AnswersLost,
    /// More than half of the fronts have ejected it.
    Ejected,
    /// Nothing is heard of it.
    Silent,
}

impl ServerState {
    /// The state as shown.
    pub fn label(self) -> &'static str {
        match self {
            ServerState::Healthy => "well",
            ServerState::WarmingUp => "cold",
            ServerState::Slow => "slow",
            ServerState::AnswersLost => "lossy",
            ServerState::Ejected => "sick",
            ServerState::Silent => "silent",
        }
    }
}

impl fmt::Display for ServerState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

/// What one front's controller last reported of a server.
#[derive(Clone, Debug, PartialEq)]
struct FrontReport {
    time: Moment,
    limit: f64,
    answer_time: Span,
    ejected: bool,
}

/// A server now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerView {
    invites: RateSeries,
    reports: BTreeMap<String, FrontReport>,
    answer_time: Span,
    limit: f64,
    free_lines: u32,
    total_lines: u32,
    warming_up: bool,
    state: ServerState,
    state_since: Option<Moment>,
}

impl ServerView {
    /// The server's state.
    pub fn state(&self) -> ServerState {
        self.state
    }

    /// Since when it is in that state: the onset of the trouble, where there is one.
    pub fn state_since(&self) -> Option<Moment> {
        self.state_since
    }

    /// INVITEs sent to it, by second.
    pub fn invites(&self) -> &RateSeries {
        &self.invites
    }

    /// The median of the fronts' answer times.
    pub fn answer_time(&self) -> Span {
        self.answer_time
    }

    /// The average of the fronts' concurrency limits.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Its free lines, as last reported.
    pub fn free_lines(&self) -> u32 {
        self.free_lines
    }

    /// All its lines, as last reported.
    pub fn total_lines(&self) -> u32 {
        self.total_lines
    }

    /// Seconds have passed.
    pub(crate) fn advance(&mut self, seconds: u64) {
        self.invites.advance(seconds);
    }

    /// An INVITE was sent to it.
    pub(crate) fn on_invite(&mut self) {
        if self.invites.is_empty() {
            self.invites.begin_second();
        }
        self.invites.increment();
    }

    /// A front's controller has reported its view of the server.
    pub(crate) fn on_report(&mut self, time: Moment, front: &str, outlook: &Outlook) {
        self.free_lines = outlook.free;
        self.total_lines = outlook.lines;
        self.warming_up = outlook.fresh;
        let report = FrontReport {
            time,
            limit: outlook.limit,
            answer_time: Span::from_micros(outlook.answer_us),
            ejected: outlook.sick,
        };
        self.reports.insert(front.to_owned(), report);
    }

    /// Works out state, limit and answer time anew; `trouble` is the oldest that lasts at the server.
    pub(crate) fn evaluate(&mut self, now: Moment, trouble: Option<&Trouble>) {
        let current: Vec<&FrontReport> =
            self.reports.values().filter(|report| now.since(report.time) < FRONT_TIMEOUT).collect();
        let limits = current.iter().map(|report| report.limit);
        let limit = limits.sum::<f64>() / current.len().max(1) as f64;
        let answer_time = median(current.iter().map(|report| report.answer_time).collect());
        let ejections = current.iter().filter(|report| report.ejected).count();
        let mostly_ejected = ejections * 2 > current.len();

        let state = match trouble.map(|trouble| trouble.kind) {
            Some(TroubleKind::Silent) => ServerState::Silent,
            Some(TroubleKind::Slow) => ServerState::Slow,
            Some(TroubleKind::AnswersLost) => ServerState::AnswersLost,
            _ if self.warming_up => ServerState::WarmingUp,
            _ if mostly_ejected => ServerState::Ejected,
            _ => ServerState::Healthy,
        };
        if state != self.state || self.state_since.is_none() {
            self.state_since = trouble.map(|trouble| trouble.onset).or(Some(now));
        }
        self.state = state;
        self.limit = limit;
        self.answer_time = answer_time;
    }
}

/// The median, the upper one of an even number; zero of none.
fn median(mut spans: Vec<Span>) -> Span {
    spans.sort_unstable();
    spans.get(spans.len() / 2).copied().unwrap_or_default()
}
