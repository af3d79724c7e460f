//! The health of a server, by its answers: outlier detection, weight, answer time, in-flight limit.

use super::Controller;
use crate::index::ServerIx;
use crate::state::{Ejection, ServerState};
use crate::time::{Moment, Span};
use crate::types::ServerSnapshot;

/// An answer within this share of the latency objective is easy: no sign of a queue. So is one within this
/// multiple of the shortest of the long term.
pub(super) const EASY_ANSWER_SHARE: f64 = 0.2;
const EASY_ANSWER_MULTIPLE: u64 = 2;
/// The least in-flight limit, as a share of one INVITE.
const MIN_IN_FLIGHT_LIMIT: f64 = 0.125;
/// The in-flight limit has room for so many INVITEs beside so many times what the answer rate carries.
const SPARE_IN_FLIGHT: f64 = 1.25;
const IN_FLIGHT_MULTIPLE: f64 = 1.5;
/// With so many recent answers a front sees a queue by itself.
pub(super) const MIN_RECENT_ANSWERS: u32 = 4;
/// What a server reports, and its latest answer, count for so many latency objectives.
pub(super) const REPORT_VALIDITY_OBJECTIVES: u64 = 6;
/// A server's weight after a slow or full set-up, and how much of the lost part each second brings back.
const WEIGHT_REDUCTION: f64 = 0.5;
const WEIGHT_RECOVERY_PER_S: f64 = 0.1;
/// The longest time between two probes of an ejected server, in latency objectives.
const MAX_BACKOFF_OBJECTIVES: u64 = 4;

impl Controller {
    /// Ends probes that were not answered. A server that is only silent is not ejected: the age of what waits
    /// there counts as its answer time and holds new sessions back.
    pub(super) fn expire_probes(&mut self) {
        let (now, objective) = (self.now, self.latency_objective);
        for server in self.servers.iter_mut() {
            if server.probe_expires_at(objective).is_some_and(|expires_at| expires_at <= now) {
                server.eject(now, Span::ZERO, objective);
            }
        }
    }

    /// The present state of a server, for the event log.
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
    /// Ejects the server for the backoff; then one session probes it, and each failure lengthens the backoff.
    pub(super) fn eject(&mut self, now: Moment, first_backoff: Span, objective: Span) {
        let backoff = match self.ejection {
            Some(ejection) if !ejection.probe_in_flight => return,
            Some(ejection) => (ejection.backoff * 2).clamp(objective, objective * MAX_BACKOFF_OBJECTIVES),
            None => first_backoff,
        };
        let until = now + backoff;
        self.ejection = Some(Ejection { until, backoff, probe_in_flight: false, for_faults: false });
        self.recent_answers.clear();
    }

    /// When the probe of an ejected server counts as unanswered: the next one does not wait for its deadline.
    pub(super) fn probe_expires_at(&self, objective: Span) -> Option<Moment> {
        self.ejection.filter(|ejection| ejection.probe_in_flight)?;
        Some(self.in_flight.last()?.sent_at + objective)
    }

    /// When the INVITEs that count as waiting for an answer were sent, oldest first. One that a later one has
    /// overtaken, or that is not answered for a latency objective although the server was heard since, was
    /// lost on the way: it says nothing of the server's present state.
    pub(super) fn waiting(&self, objective: Span) -> impl Iterator<Item = Moment> {
        let sent_at = self.in_flight.iter().map(|invite| invite.sent_at);
        sent_at.filter(move |sent_at| {
            *sent_at >= self.newest_answered_sent_at && self.last_heard_at.since(*sent_at) <= objective
        })
    }

    /// The last attempt failed, which counts until an answer.
    pub(super) fn record_failure(&mut self, now: Moment) {
        self.last_attempt_failed = true;
        self.reduce_weight(now);
    }

    pub(super) fn reduce_weight(&mut self, now: Moment) {
        self.weight_factor = self.recovered_weight_factor(now) * WEIGHT_REDUCTION;
        self.weight_updated_at = now;
    }

    fn recovered_weight_factor(&self, now: Moment) -> f64 {
        let seconds = now.since(self.weight_updated_at).ratio(Span::from_secs(1));
        1.0 - (1.0 - self.weight_factor) * (1.0 - WEIGHT_RECOVERY_PER_S).powf(seconds)
    }

    /// Its weight in the draw among servers: the listed one, by its recent set-ups and its free lines.
    pub(super) fn routing_weight(&self, now: Moment) -> f64 {
        self.listed_weight * self.recovered_weight_factor(now) * f64::from(self.lines.free.max(1))
    }

    /// The present answer time: of recent answers, or the age of what waits where that is longer. Without a
    /// recent one the latest counts: in a large fleet a front sees a server less often than a queue lasts.
    pub(super) fn answer_time(&self, now: Moment, objective: Span) -> Span {
        let longest_wait = self.waiting(objective).next().map_or(Span::ZERO, |sent_at| now.since(sent_at));
        let validity = objective * REPORT_VALIDITY_OBJECTIVES;
        let latest = self.latest_answer.filter(|answer| now.since(answer.received_at) < validity);
        let latest_time = latest.map_or(Span::ZERO, |answer| answer.took);
        self.recent_answers.stats(now).mean().unwrap_or(latest_time).max(longest_wait)
    }

    /// How many INVITEs may be in flight: what it answered recently times the easy answer time, with one to
    /// spare, by the ratio of the easy answer time to the present one. A server that has answered little, as
    /// it is new or back from silence, so starts at about one and grows with its answers.
    pub(super) fn in_flight_limit(&self, now: Moment, objective: Span) -> f64 {
        let shortest = self.long_term_answers.stats(now).min.unwrap_or(Span::ZERO);
        let easy = (shortest * EASY_ANSWER_MULTIPLE).max(objective.scaled(EASY_ANSWER_SHARE));
        let carried = self.answer_rate(now) * easy.ratio(Span::from_secs(1));
        let ratio = easy.ratio(self.answer_time(now, objective)).min(1.0);
        ((SPARE_IN_FLIGHT + IN_FLIGHT_MULTIPLE * carried) * ratio).max(MIN_IN_FLIGHT_LIMIT)
    }
}
