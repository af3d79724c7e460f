//! Whether a server can admit a session: its limit, the shares that it admits, the priority of the session.

use super::Controller;
use super::health::{EASY_ANSWER_SHARE, MIN_RECENT_ANSWERS, REPORT_VALIDITY_OBJECTIVES};
use crate::index::{ServerIx, SessionIx, TenantIx};
use crate::sliding_window::SlidingWindow;
use crate::state::{Ejection, ServerState, SessionState};
use crate::time::{Moment, Span};
use crate::types::LoadReport;

/// The share of a server's lines that is reserved from a session of weight 1, and less from heavier ones.
const RESERVED_LINE_SHARE: f64 = 0.01;
/// Where lines are that short, so much of what is released is filled; the rest is a margin for chance.
const RELEASED_LINE_USE: f64 = 0.6;
/// A server is sent so many times what it answers or, of its own sessions, sets up ...
pub(super) const GROWTH_FACTOR: f64 = 1.5;
/// ... and, unless it is warming up, this share of what fills its lines besides: a server that takes over
/// from a larger one has to grow within a drain, not within the next.
const TRICKLE_SHARE: f64 = 0.2;
/// The trickle where this front's last attempt failed.
const FAILING_TRICKLE_SHARE: f64 = TRICKLE_SHARE / 10.0;
/// The most INVITEs that may wait for an answer of a server that is warming up.
const MAX_WARM_UP_IN_FLIGHT: f64 = 2.0;

impl Controller {
    /// Whether the server can admit this session now.
    pub(super) fn can_admit(&self, server: ServerIx, session: SessionIx) -> bool {
        let Some(session) = self.sessions.get(session) else { return false };
        let sample = session.sample(server);
        let Some(server) = self.servers.get(server) else { return false };
        let now = self.now;
        let is_barred = |ejection: &Ejection| now < ejection.until || ejection.probe_in_flight;
        if !server.is_ready || server.ejection.as_ref().is_some_and(is_barred) {
            return false;
        }
        let is_destination = session.request.destination == server.number;
        let weight = self.priority_weight(session);
        // A zone that is left, or re-entered: those whose destination it is first, the weightier ones ahead.
        let zone_share = server.zone_share * weight / self.mean_priority_weight;
        if server.zone_share < 1.0 && (!is_destination || sample >= zone_share) {
            return false;
        }
        let waiting = server.waiting(self.latency_objective).count() as f64;
        let limit = server.in_flight_limit(now, self.latency_objective);
        if now < server.warming_up_until {
            return !server.is_ejected()
                && waiting < limit.clamp(1.0, MAX_WARM_UP_IN_FLIGHT)
                && self.admits_slow_start(server, is_destination, sample);
        }
        if !server.is_ejected() && waiting >= limit * weight.sqrt() {
            return false;
        }
        let setup_share = self.setup_share(server, is_destination);
        let share = setup_share.min(self.line_share(server, is_destination, weight));
        // A limit under one INVITE is a share of the sessions, by chance: no two fronts move in step.
        let share = if limit < 1.0 { share.min(limit) } else { share };
        sample < share * weight / self.mean_priority_weight
    }

    /// Where no server can admit a session, one ejected for its faults alone is better than none: it answers,
    /// some well. Protects against a second failure while one server answers with faults; covers any share of
    /// faults. Harm: where it answers nothing else, each such session costs it an INVITE. One at a time.
    pub(super) fn is_last_resort(&self, server: ServerIx) -> bool {
        let server = &self.servers[server];
        server.is_ready
            && server.zone_share >= 1.0
            && server.ejection.is_some_and(|ejection| ejection.for_faults)
            && self.now >= server.warming_up_until
            && server.waiting(self.latency_objective).next().is_none()
    }

    /// The share of the sessions which may go to a server, so that all fronts together send it no more than a
    /// multiple of what it sets up. Where this front has answers enough, its own limit serves better; a
    /// destination is not restricted until something says that it is under pressure.
    fn setup_share(&self, server: &ServerState, is_destination: bool) -> f64 {
        let has_few_answers = server.recent_answers.stats(self.now).count < MIN_RECENT_ANSWERS;
        let is_needed = has_few_answers && self.is_current(server.lines_reported_at);
        let Some(setup_rate) = server.setup_rate.filter(|_| is_needed) else { return f64::INFINITY };
        let is_reported = self.is_current(server.load_reported_at);
        let report = if is_reported { server.load_report } else { LoadReport::default() };
        let held_back = report.hold_back_share.unwrap_or(0.0).clamp(0.0, 1.0);
        let reduced_rate = report.accepted_rate.filter(|accepted| *accepted < setup_rate);
        let has_failed = server.last_attempt_failed;
        if is_destination && !has_failed && held_back == 0.0 && reduced_rate.is_none() {
            return f64::INFINITY;
        }
        let trickle = if has_failed { FAILING_TRICKLE_SHARE } else { TRICKLE_SHARE };
        // Overflow is granted what its own sessions leave, and the trickle: in a surge everywhere, growth at
        // each server admitted half as much again everywhere, and jammed one after the other. Harm: where one
        // server fails, the others take over its sessions more slowly.
        let growth = if is_destination { GROWTH_FACTOR } else { 1.0 };
        let grown = (setup_rate * growth + server.line_fill_rate * trickle) * (1.0 - held_back);
        let allowed = reduced_rate.unwrap_or(grown.max(report.accepted_rate.unwrap_or(0.0)));
        let capacity = allowed * self.queue_factor(server);
        let part = self.traffic_share();
        let own = self.rate(&server.demand).min(setup_rate * part);
        self.grant_share(server, is_destination, capacity * part, own)
    }

    /// Whether what was reported then still counts.
    fn is_current(&self, then: Moment) -> bool {
        self.now.since(then) < self.latency_objective * REPORT_VALIDITY_OBJECTIVES
    }

    /// What is left of a server's capacity when its latest answer took more than the easy time: its queue has
    /// to drain before set-ups that wait there are repeated, which is work again, or all it sets up is late.
    fn queue_factor(&self, server: &ServerState) -> f64 {
        let latest = server.latest_answer.filter(|answer| self.is_current(answer.received_at));
        let easy = self.latency_objective.scaled(EASY_ANSWER_SHARE);
        let ratio = latest.map_or(1.0, |answer| easy.ratio(answer.took).min(1.0));
        ratio * ratio
    }

    /// Where lines are short: what is released goes to sessions of its destination, by chance. Reports of
    /// free lines reach all fronts at once; all staying away and all coming back would leave them half empty.
    fn line_share(&self, server: &ServerState, is_destination: bool, weight: f64) -> f64 {
        let reserved = f64::from(server.lines.total) * RESERVED_LINE_SHARE / weight;
        if f64::from(server.lines.free) >= reserved || !self.is_current(server.lines_reported_at) {
            return f64::INFINITY;
        }
        let released = server.line_release_rate * RELEASED_LINE_USE * self.traffic_share();
        if is_destination { released / self.rate(&server.demand) } else { 0.0 }
    }

    /// A granted rate, in sessions a second, as a share of those that ask for it: first of the destination's
    /// own; for others what those (`own`, in sessions a second) leave.
    pub(super) fn grant_share(&self, server: &ServerState, is_destination: bool, rate: f64, own: f64) -> f64 {
        if is_destination {
            return rate / self.rate(&server.demand);
        }
        (rate - own) / self.rate(&self.overflow)
    }

    /// The rate of what was counted, at the least one over the whole window.
    pub(super) fn rate<const N: usize>(&self, window: &SlidingWindow<N>) -> f64 {
        window.rate(self.now, self.started_at).max(1.0 / window.duration().ratio(Span::from_secs(1)))
    }

    /// This front's share of all sessions that the servers set up; an even one while it has answers of few.
    fn traffic_share(&self) -> f64 {
        let all = self.servers.iter().filter_map(|server| server.setup_rate).sum::<f64>();
        let few = f64::from(MIN_RECENT_ANSWERS) / self.answers.duration().ratio(Span::from_secs(1));
        (self.answers.rate(self.now, self.started_at) + few) / (all + few / self.even_share)
    }

    /// What is left to gain with a session, in values of the cheapest service: after the latency objective of
    /// its first attempt, the late share. Never zero: what earns nothing is set up where nothing is short.
    pub(super) fn priority_weight(&self, session: &SessionState) -> f64 {
        let service = &self.services[session.request.service];
        let is_late = self.now.since(session.first_tried_at) > service.latency_objective
            || (session.request.is_redial && session.first_tried_at == session.requested_at);
        let late_factor = if is_late { service.late_value_share } else { 1.0 };
        let left = service.value * self.quota_factor(session.request.tenant) * late_factor;
        left.max(f64::MIN_POSITIVE)
    }

    /// What is left of the value of a tenant's sessions, on the mean, when it asks here for more than an even
    /// part of its quota: what lies beyond earns little, and goes first when capacity is short. Harm: a front
    /// with much of a tenant's traffic ranks it low although all fronts together are within its quota.
    fn quota_factor(&self, tenant: Option<TenantIx>) -> f64 {
        let Some(quota) = tenant.and_then(|tenant| self.tenants.get(tenant)) else { return 1.0 };
        let within = (quota.rate_per_s / self.rate(&quota.demand)).min(1.0);
        within + (1.0 - within) * self.config.over_quota_value_share
    }
}
