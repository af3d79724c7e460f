//! The current state of one server.

use std::collections::BTreeMap;
use std::fmt;

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::incident::{Incident, IncidentKind};
use ochrelead_event_log::schema::Outlook;

use crate::fleet_view::FRONT_TIMEOUT;
use crate::rate_series::RateSeries;

/// The state of a server, derived from the ongoing incident at the server or else from the reports of the fronts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// No problem is known.
    #[default]
    Healthy,
    /// It started recently and is in slow start.
    WarmingUp,
    /// It answers late.
    Slow,
    /// Its answers are partly lost.
    AnswersLost,
    /// More than half of the fronts have ejected it.
    Ejected,
    /// No front hears from it.
    Silent,
}

impl ServerState {
    /// The label shown to the user. Stable: scripts may read it.
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

/// The last report of a front's controller on a server.
#[derive(Clone, Debug, PartialEq)]
struct FrontReport {
    time: Moment,
    limit: f64,
    answer_time: Span,
    ejected: bool,
}

/// The current state of a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerView {
    invites: RateSeries,
    /// The last report of each front.
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

    /// The start of the current state: the onset of the incident if there is one.
    pub fn state_since(&self) -> Option<Moment> {
        self.state_since
    }

    /// The number of INVITEs sent to it per second.
    pub fn invites(&self) -> &RateSeries {
        &self.invites
    }

    /// The median of the answer times that the fronts report.
    pub fn answer_time(&self) -> Span {
        self.answer_time
    }

    /// The mean of the in-flight limits that the fronts report.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// The number of its free lines in the last report.
    pub fn free_lines(&self) -> u32 {
        self.free_lines
    }

    /// The number of all its lines in the last report.
    pub fn total_lines(&self) -> u32 {
        self.total_lines
    }

    /// Advances the time by `seconds`.
    pub(crate) fn advance(&mut self, seconds: u64) {
        self.invites.advance(seconds);
    }

    /// Counts an INVITE sent to the server.
    pub(crate) fn on_invite(&mut self) {
        if self.invites.is_empty() {
            self.invites.begin_second();
        }
        self.invites.increment();
    }

    /// Applies the periodic report of a front's controller on the server.
    pub(crate) fn on_report(&mut self, time: Moment, front: &str, report: &Outlook) {
        self.free_lines = report.free;
        self.total_lines = report.lines;
        self.warming_up = report.fresh;
        let front_report = FrontReport {
            time,
            limit: report.limit,
            answer_time: Span::from_micros(report.answer_us),
            ejected: report.sick,
        };
        self.reports.insert(front.to_owned(), front_report);
    }

    /// Updates state, limit and answer time. `incident` is the oldest ongoing incident at the server.
    pub(crate) fn evaluate(&mut self, now: Moment, incident: Option<&Incident>) {
        let current: Vec<&FrontReport> =
            self.reports.values().filter(|report| now.since(report.time) < FRONT_TIMEOUT).collect();
        let limits = current.iter().map(|report| report.limit);
        let limit = limits.sum::<f64>() / current.len().max(1) as f64;
        let answer_time = median(current.iter().map(|report| report.answer_time).collect());
        let ejections = current.iter().filter(|report| report.ejected).count();
        let is_mostly_ejected = ejections * 2 > current.len();

        let state = match incident.map(|incident| incident.kind) {
            Some(IncidentKind::Silent) => ServerState::Silent,
            Some(IncidentKind::Slow) => ServerState::Slow,
            Some(IncidentKind::AnswersLost) => ServerState::AnswersLost,
            _ if self.warming_up => ServerState::WarmingUp,
            _ if is_mostly_ejected => ServerState::Ejected,
            _ => ServerState::Healthy,
        };
        if state != self.state || self.state_since.is_none() {
            self.state_since = incident.map(|incident| incident.onset).or(Some(now));
        }
        self.state = state;
        self.limit = limit;
        self.answer_time = answer_time;
    }
}

/// The median; the upper median of an even number of spans, and zero if there are none.
fn median(mut spans: Vec<Span>) -> Span {
    spans.sort_unstable();
    spans.get(spans.len() / 2).copied().unwrap_or_default()
}
