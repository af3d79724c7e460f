//! The state of a signalling server, as one front sees it.

use crate::index::SessionIx;
use crate::retry_budget::RetryBudget;
use crate::sliding_window::{GaugeWindow, SlidingWindow};
use crate::time::{Moment, Span};
use crate::types::{LineCapacity, LoadReport};

/// What is known of a signalling server.
pub(crate) struct ServerState {
    pub(crate) number: i64,
    /// Whether discovery lists it as ready for new sessions.
    pub(crate) is_ready: bool,
    pub(crate) started_at: Option<Moment>,
    pub(crate) retry_budget: RetryBudget,
    /// It counts as warming up until then.
    pub(crate) warming_up_until: Moment,
    /// The INVITEs sent, over the time in which a server that is warming up breaks down under overload.
    pub(crate) sends: SlidingWindow<4>,
    /// The answers a second that this front had from it before its last start, where it had any.
    pub(crate) rate_before_restart: Option<f64>,
    /// The sessions whose destination it was, over the long term.
    pub(crate) demand: SlidingWindow<16>,
    /// As last reported, the free ones less the INVITEs sent since; zero where none were reported.
    pub(crate) lines: LineCapacity,
    /// When its lines were last reported.
    pub(crate) lines_reported_at: Moment,
    lines_in_use: GaugeWindow<4>,
    /// The sessions a second that it sets up for all fronts, estimated from its lines.
    pub(crate) setup_rate: Option<f64>,
    /// How many of its lines are released in a second.
    pub(crate) line_release_rate: f64,
    /// The sessions a second, from all fronts, that would fill all its lines.
    pub(crate) line_fill_rate: f64,
    /// What it last reported of its processor, and when.
    pub(crate) load_report: LoadReport,
    pub(crate) load_reported_at: Moment,
    /// The INVITEs that wait for an answer, oldest first.
    pub(crate) in_flight: Vec<InFlightInvite>,
    /// Its answer times, of the last seconds and over the long term.
    pub(crate) recent_answers: SlidingWindow<8>,
    pub(crate) long_term_answers: SlidingWindow<16>,
    /// The latest answer, or the latest INVITE that timed out.
    pub(crate) latest_answer: Option<AnswerSample>,
    /// When anything was last received from it.
    pub(crate) last_heard_at: Moment,
    pub(crate) last_attempt_failed: bool,
    /// When the newest of the INVITEs that it answered was sent.
    pub(crate) newest_answered_sent_at: Moment,
    /// Its answers are assumed to get lost until then.
    pub(crate) answers_lossy_until: Moment,
    /// Set while outlier detection has ejected it.
    pub(crate) ejection: Option<Ejection>,
    /// Its weight in the draw, as discovery lists it.
    pub(crate) listed_weight: f64,
    /// The share of that weight which its recent set-ups leave it, from 0 to 1, as of the moment below.
    pub(crate) weight_factor: f64,
    pub(crate) weight_updated_at: Moment,
    /// The share of the sessions that it admits while its zone is left or re-entered; otherwise 1.
    pub(crate) zone_share: f64,
}

/// An INVITE that waits for an answer of a server.
#[derive(Clone, Copy)]
pub(crate) struct InFlightInvite {
    pub(crate) sent_at: Moment,
    pub(crate) session: SessionIx,
}

/// How long one answer took.
#[derive(Clone, Copy)]
pub(crate) struct AnswerSample {
    pub(crate) received_at: Moment,
    pub(crate) took: Span,
}

/// An ejected server is left alone for the backoff, then probed with one session.
#[derive(Clone, Copy)]
pub(crate) struct Ejection {
    /// The next probe may be sent then.
    pub(crate) until: Moment,
    pub(crate) backoff: Span,
    /// A probe waits for its answer.
    pub(crate) probe_in_flight: bool,
    /// It answers, but with failures.
    pub(crate) for_faults: bool,
}

/// The widths of the buckets of a server's windows.
#[derive(Clone, Copy)]
pub(crate) struct BucketWidths {
    pub(crate) sends: Span,
    pub(crate) lines: Span,
    pub(crate) recent: Span,
    pub(crate) long_term: Span,
}

impl ServerState {
    /// A server that the front learns of at `now`.
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

    /// Recent answers a second.
    pub(crate) fn answer_rate(&self, now: Moment) -> f64 {
        let seconds = self.recent_answers.duration().ratio(Span::from_secs(1));
        f64::from(self.recent_answers.stats(now).count) / seconds
    }

    /// An INVITE of the session is sent to it; while it is ejected that is its probe.
    pub(crate) fn record_invite(&mut self, now: Moment, session: SessionIx) {
        self.in_flight.push(InFlightInvite { sent_at: now, session });
        if let Some(ejection) = &mut self.ejection {
            ejection.probe_in_flight = true;
        }
        self.sends.record(now, Span::ZERO);
        self.lines.free = self.lines.free.saturating_sub(1);
    }

    /// The session's INVITE no longer waits for an answer.
    pub(crate) fn remove_invite(&mut self, session: SessionIx) {
        self.in_flight.retain(|invite| invite.session != session);
    }

    /// It has answered an INVITE that was sent at `sent_at`.
    pub(crate) fn record_answer(&mut self, now: Moment, sent_at: Moment, took: Span) {
        self.recent_answers.record(now, took);
        self.long_term_answers.record(now, took);
        self.latest_answer = Some(AnswerSample { received_at: now, took });
        self.newest_answered_sent_at = self.newest_answered_sent_at.max(sent_at);
        self.last_heard_at = now;
        self.last_attempt_failed = false;
    }

    /// It has reported its lines; `mean_hold_time_s` is zero where that is unknown.
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

    /// It has restarted: what was observed of the former process no longer counts.
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
