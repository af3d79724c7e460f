//! The state of a signalling server as observed by one front.

use crate::index::SessionIx;
use crate::retry_budget::RetryBudget;
use crate::sliding_window::{GaugeWindow, SlidingWindow};
use crate::time::{Moment, Span};
use crate::types::{LineCapacity, LoadReport};

/// Observations and estimates of a signalling server.
pub(crate) struct ServerState {
    /// The number by which destinations name the server; -1 before the first discovery update.
    pub(crate) number: i64,
    /// Whether discovery lists it as ready for new sessions.
    pub(crate) is_ready: bool,
    pub(crate) started_at: Option<Moment>,
    pub(crate) retry_budget: RetryBudget,
    /// The server is warming up before this time.
    pub(crate) warming_up_until: Moment,
    /// INVITEs sent within the overload duration.
    pub(crate) sends: SlidingWindow<4>,
    /// Answers per second to this front before the last restart; `None` if there were none.
    pub(crate) rate_before_restart: Option<f64>,
    /// Requested sessions whose destination it is, in the long-term window.
    pub(crate) demand: SlidingWindow<16>,
    /// The lines last reported, with free lines reduced by the INVITEs sent since; zero without a report.
    pub(crate) lines: LineCapacity,
    pub(crate) lines_reported_at: Moment,
    lines_in_use: GaugeWindow<4>,
    /// Sessions per second that it sets up for all fronts, estimated from its lines.
    pub(crate) setup_rate: Option<f64>,
    /// Estimated number of its lines that are released per second.
    pub(crate) line_release_rate: f64,
    /// Sessions per second from all fronts that would keep all its lines in use.
    pub(crate) line_fill_rate: f64,
    /// The last report of its processor load.
    pub(crate) load_report: LoadReport,
    pub(crate) load_reported_at: Moment,
    /// INVITEs that are waiting for an answer, oldest first.
    pub(crate) in_flight: Vec<InFlightInvite>,
    /// Answer times in the window over recent events.
    pub(crate) recent_answers: SlidingWindow<8>,
    /// Answer times in the long-term window.
    pub(crate) long_term_answers: SlidingWindow<16>,
    /// The latest answer time, or the waiting time of an INVITE that timed out since.
    pub(crate) latest_answer: Option<AnswerSample>,
    /// When an answer was last received from it, or when it was added or restarted.
    pub(crate) last_heard_at: Moment,
    pub(crate) last_attempt_failed: bool,
    /// When the newest INVITE that it answered was sent.
    pub(crate) newest_answered_sent_at: Moment,
    /// Its answers are assumed to get lost before this time.
    pub(crate) answers_lossy_until: Moment,
    /// Set while outlier detection has ejected it.
    pub(crate) ejection: Option<Ejection>,
    /// The weight listed by discovery.
    pub(crate) listed_weight: f64,
    /// Factor from 0 to 1 on the listed weight, reduced by slow answers and failures, at `weight_updated_at`.
    pub(crate) weight_factor: f64,
    pub(crate) weight_updated_at: Moment,
    /// Share of the sessions that it admits while traffic leaves or re-enters its zone; otherwise 1.
    pub(crate) zone_share: f64,
}

/// An INVITE that is waiting for a server's answer.
#[derive(Clone, Copy)]
pub(crate) struct InFlightInvite {
    pub(crate) sent_at: Moment,
    pub(crate) session: SessionIx,
}

/// One answer time.
#[derive(Clone, Copy)]
pub(crate) struct AnswerSample {
    pub(crate) received_at: Moment,
    pub(crate) took: Span,
}

/// The ejection of a server: it gets no sessions during the backoff, then one session as a probe.
#[derive(Clone, Copy)]
pub(crate) struct Ejection {
    /// The earliest time of the next probe.
    pub(crate) until: Moment,
    pub(crate) backoff: Span,
    /// A probe is waiting for its answer.
    pub(crate) probe_in_flight: bool,
    /// The server was ejected for failure answers, so it can be reached.
    pub(crate) for_failure_answers: bool,
}

/// Bucket widths of a server's windows.
#[derive(Clone, Copy)]
pub(crate) struct BucketWidths {
    pub(crate) sends: Span,
    pub(crate) lines: Span,
    pub(crate) recent: Span,
    pub(crate) long_term: Span,
}

impl ServerState {
    /// Returns the state of a server that discovery first lists at `now`.
    pub(crate) fn new(now: Moment, widths: BucketWidths) -> Self {
        ServerState {
            number: -1,
            is_ready: false,
            started_at: None,
            retry_budget: RetryBudget::default(),
            warming_up_until: Moment::START,
            sends: SlidingWindow::new(widths.sends),
            rate_before_restart: None,
            demand: SlidingWindow::new(widths.long_term),
            lines: LineCapacity::default(),
            lines_reported_at: Moment::START,
            lines_in_use: GaugeWindow::new(widths.lines),
            setup_rate: None,
            line_release_rate: 0.0,
            line_fill_rate: 0.0,
            load_report: LoadReport::default(),
            load_reported_at: Moment::START,
            in_flight: Vec::new(),
            recent_answers: SlidingWindow::new(widths.recent),
            long_term_answers: SlidingWindow::new(widths.long_term),
            latest_answer: None,
            last_heard_at: now,
            last_attempt_failed: false,
            newest_answered_sent_at: Moment::START,
            answers_lossy_until: Moment::START,
            ejection: None,
            listed_weight: 1.0,
            weight_factor: 1.0,
            weight_updated_at: now,
            zone_share: 1.0,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Returns the recent answers per second.
    pub(crate) fn answer_rate(&self, now: Moment) -> f64 {
        let seconds = self.recent_answers.duration().ratio(Span::from_secs(1));
        f64::from(self.recent_answers.stats(now).count) / seconds
    }

    /// Records an INVITE of the session sent to the server, which is a probe if the server is ejected.
    pub(crate) fn record_invite(&mut self, now: Moment, session: SessionIx) {
        self.in_flight.push(InFlightInvite { sent_at: now, session });
        if let Some(ejection) = &mut self.ejection {
            ejection.probe_in_flight = true;
        }
        self.sends.record(now, Span::ZERO);
        self.lines.free = self.lines.free.saturating_sub(1);
    }

    /// Removes the session's INVITE from those that are waiting for an answer.
    pub(crate) fn remove_invite(&mut self, session: SessionIx) {
        self.in_flight.retain(|invite| invite.session != session);
    }

    /// Records the server's answer to an INVITE that was sent at `sent_at`.
    pub(crate) fn record_answer(&mut self, now: Moment, sent_at: Moment, took: Span) {
        self.recent_answers.record(now, took);
        self.long_term_answers.record(now, took);
        self.latest_answer = Some(AnswerSample { received_at: now, took });
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(sent_at);
        self.last_heard_at = now;
        self.last_attempt_failed = false;
    }

    /// Records a line report and estimates the rates from it, in sessions per second:
    /// release rate = mean lines in use / mean hold time, set-up rate = release rate + change of lines in use per
    /// second, fill rate = total lines / mean hold time. `mean_hold_time_s` is zero if it is unknown.
    pub(crate) fn update_lines(&mut self, now: Moment, lines: LineCapacity, mean_hold_time_s: f64) {
        self.lines = lines;
        self.lines_reported_at = now;
        self.lines_in_use.record(now, f64::from(lines.total.saturating_sub(lines.free)));
        let is_hold_time_known = mean_hold_time_s > 0.0;
        let trend = self.lines_in_use.trend(now).filter(|_| is_hold_time_known);
        self.line_release_rate = trend.map_or(0.0, |trend| trend.mean / mean_hold_time_s);
        self.setup_rate = trend.map(|trend| (trend.change_per_s + trend.mean / mean_hold_time_s).max(0.0));
        self.line_fill_rate =
            if is_hold_time_known { f64::from(lines.total) / mean_hold_time_s } else { 0.0 };
    }

    /// Starts the warm-up after a restart. Discards the answers, the line trend, the load report and the ejection
    /// of the former process, but keeps its answer rate.
    pub(crate) fn restart(&mut self, now: Moment, warming_up_until: Moment) {
        let had_answers = self.long_term_answers.stats(now).count > 0;
        self.rate_before_restart = had_answers.then(|| self.long_term_answers.rate(now, Moment::START));
        self.warming_up_until = warming_up_until;
        self.recent_answers.clear();
        self.long_term_answers.clear();
        self.latest_answer = None;
        self.lines_in_use.clear();
        self.setup_rate = None;
        self.load_report = LoadReport::default();
        self.ejection = None;
        self.last_heard_at = now;
    }
}
