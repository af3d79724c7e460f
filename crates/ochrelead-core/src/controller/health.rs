//! Health of a server, judged by its answers: outlier detection, routing weight, answer time, in-flight limit.

use super::Controller;
use crate::index::ServerIx;
use crate::state::{Ejection, ServerState};
use crate::time::{Moment, Span};
use crate::types::ServerSnapshot;

/// Uncongested answer time: an answer within this share of the latency objective, or within this multiple of the
/// shortest answer time in the long-term window, does not indicate a queue at the server.
pub(super) const UNCONGESTED_ANSWER_SHARE: f64 = 0.2;
const UNCONGESTED_ANSWER_MULTIPLE: u64 = 2;
/// Lower bound of the in-flight limit, in INVITEs.
const MIN_IN_FLIGHT_LIMIT: f64 = 0.125;
/// Without congestion the in-flight limit is `SPARE_IN_FLIGHT` + `IN_FLIGHT_MULTIPLE` * the number of INVITEs in
/// flight at the present answer rate.
const SPARE_IN_FLIGHT: f64 = 1.25;
const IN_FLIGHT_MULTIPLE: f64 = 1.5;
/// Number of recent answers from which a front can detect a queue at the server by itself.
pub(super) const MIN_RECENT_ANSWERS: u32 = 4;
/// Validity of a server's reports, and of its latest answer time, in latency objectives.
pub(super) const REPORT_VALIDITY_OBJECTIVES: u64 = 6;
/// Factor on a server's routing weight after a slow answer, a failure or a lack of lines.
const WEIGHT_REDUCTION: f64 = 0.5;
/// Share of the lost routing weight that is recovered each second.
const WEIGHT_RECOVERY_PER_S: f64 = 0.1;
/// Upper bound of the backoff between two probes of an ejected server, in latency objectives.
const MAX_BACKOFF_OBJECTIVES: u64 = 4;

impl Controller {
    /// Counts probes without an answer within the latency objective as failed. Silence alone does not
    /// eject a server: the age of its oldest waiting INVITE counts as its answer time and lowers its in-flight
    /// limit.
    pub(super) fn expire_probes(&mut self) {
        let (now, objective) = (self.now, self.latency_objective);
        for server in self.servers.iter_mut() {
            if server.probe_expires_at(objective).is_some_and(|expires_at| expires_at <= now) {
                server.eject(now, Span::ZERO, objective);
            }
        }
    }

    /// Returns the current state of a server for the event log, or `None` if the server is not known.
    pub fn server_snapshot(&self, server: ServerIx) -> Option<ServerSnapshot> {
        let (server, now, objective) = (self.servers.get(server)?, self.now, self.latency_objective);
        Some(ServerSnapshot {
            in_flight_limit: server.in_flight_limit(now, objective),
            in_flight: u32::try_from(server.waiting(objective).count()).unwrap_or(u32::MAX),
            answer_time: server.answer_time(now, objective),
            ejected: server.is_ejected(),
            warming_up: now < server.warming_up_until,
            last_attempt_failed: server.last_attempt_failed,
            setup_rate: server.setup_rate,
            lines: server.lines,
        })
    }
}

impl ServerState {
    /// Ejects the server for `first_backoff`, after which one session probes it. Each failed probe doubles the
    /// backoff, within 1 to `MAX_BACKOFF_OBJECTIVES` latency objectives. Has no effect on an ejected server
    /// without a probe in flight.
    pub(super) fn eject(&mut self, now: Moment, first_backoff: Span, objective: Span) {
        let backoff = match self.ejection {
            Some(ejection) if !ejection.probe_in_flight => return,
            Some(ejection) => (ejection.backoff * 2).clamp(objective, objective * MAX_BACKOFF_OBJECTIVES),
            None => first_backoff,
        };
        let until = now + backoff;
        self.ejection = Some(Ejection { until, backoff, probe_in_flight: false, for_failure_answers: false });
        self.recent_answers.clear();
    }

    /// Returns when the probe of an ejected server counts as failed: one latency objective after it was sent, so
    /// that the next probe does not have to wait for the session's deadline.
    pub(super) fn probe_expires_at(&self, objective: Span) -> Option<Moment> {
        self.ejection.filter(|ejection| ejection.probe_in_flight)?;
        Some(self.in_flight.last()?.sent_at + objective)
    }

    /// Returns when the INVITEs that count as waiting for an answer were sent, oldest first.
    ///
    /// An INVITE counts as lost, and is left out, if a later one has been answered, or if the server was last
    /// heard from more than a latency objective after the INVITE was sent: it does not show the server's
    /// present state.
    pub(super) fn waiting(&self, objective: Span) -> impl Iterator<Item = Moment> {
        let sent_at = self.in_flight.iter().map(|invite| invite.sent_at);
        sent_at.filter(move |sent_at| {
            *sent_at >= self.newest_answered_sent_at && self.last_heard_at.since(*sent_at) <= objective
        })
    }

    /// Records that the last attempt failed; the next answer clears it.
    pub(super) fn record_failure(&mut self, now: Moment) {
        self.last_attempt_failed = true;
        self.reduce_weight(now);
    }

    /// Multiplies the routing weight by `WEIGHT_REDUCTION`.
    pub(super) fn reduce_weight(&mut self, now: Moment) {
        self.weight_factor = self.recovered_weight_factor(now) * WEIGHT_REDUCTION;
        self.weight_updated_at = now;
    }

    /// Returns the weight factor at `now`: its distance from 1 shrinks by `WEIGHT_RECOVERY_PER_S` each second.
    fn recovered_weight_factor(&self, now: Moment) -> f64 {
        let seconds = now.since(self.weight_updated_at).ratio(Span::from_secs(1));
        1.0 - (1.0 - self.weight_factor) * (1.0 - WEIGHT_RECOVERY_PER_S).powf(seconds)
    }

    /// Returns the weight in the draw among servers: listed weight * recovered weight factor * free lines.
    pub(super) fn routing_weight(&self, now: Moment) -> f64 {
        self.listed_weight * self.recovered_weight_factor(now) * f64::from(self.lines.free.max(1))
    }

    /// Returns the present answer time: the mean of recent answers, or the age of the oldest waiting INVITE if
    /// that is longer. If there is no recent answer, the latest valid one stands in for the mean: in a large
    /// fleet a front sends to one server less often than a queue there lasts.
    pub(super) fn answer_time(&self, now: Moment, objective: Span) -> Span {
        let longest_wait = self.waiting(objective).next().map_or(Span::ZERO, |sent_at| now.since(sent_at));
        let validity = objective * REPORT_VALIDITY_OBJECTIVES;
        let latest = self.latest_answer.filter(|answer| now.since(answer.received_at) < validity);
        let latest_time = latest.map_or(Span::ZERO, |answer| answer.took);
        self.recent_answers.stats(now).mean().unwrap_or(latest_time).max(longest_wait)
    }

    /// Returns the number of INVITEs that may be in flight: base * min(1, uncongested answer time / present answer
    /// time), at least `MIN_IN_FLIGHT_LIMIT`, where base = `SPARE_IN_FLIGHT` + `IN_FLIGHT_MULTIPLE` * answer rate *
    /// uncongested answer time.
    ///
    /// For a server that is new or has been silent the limit therefore starts at about one INVITE and grows
    /// with its answers.
    pub(super) fn in_flight_limit(&self, now: Moment, objective: Span) -> f64 {
        let shortest = self.long_term_answers.stats(now).min.unwrap_or(Span::ZERO);
        let uncongested =
            (shortest * UNCONGESTED_ANSWER_MULTIPLE).max(objective.scaled(UNCONGESTED_ANSWER_SHARE));
        let in_flight_at_rate = self.answer_rate(now) * uncongested.ratio(Span::from_secs(1));
        let ratio = uncongested.ratio(self.answer_time(now, objective)).min(1.0);
        ((SPARE_IN_FLIGHT + IN_FLIGHT_MULTIPLE * in_flight_at_rate) * ratio).max(MIN_IN_FLIGHT_LIMIT)
    }
}
