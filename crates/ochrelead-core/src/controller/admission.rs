//! Admission control: in-flight limit, admitted shares of the sessions, and session priority.
//!
//! A share admits a session if `session.sample(server) < share * weight / mean_priority_weight`; the sample is
//! uniform from 0 to 1, so on average that share of the sessions is admitted, and more of the weightier ones.
//! Slow start applies its share without the weight.

use super::Controller;
use super::health::{MIN_RECENT_ANSWERS, REPORT_VALIDITY_OBJECTIVES, UNCONGESTED_ANSWER_SHARE};
use crate::index::{ServerIx, SessionIx, TenantIx};
use crate::sliding_window::SlidingWindow;
use crate::state::{Ejection, ServerState, SessionState};
use crate::time::{Moment, Span};
use crate::types::LoadReport;

/// Share of a server's lines that a session of weight 1 must leave free; divided by the session's weight.
const RESERVED_LINE_SHARE: f64 = 0.01;
/// Share of the released lines that is filled while free lines are below the reserve. The remainder is a margin
/// for random variation.
const RELEASED_LINE_FILL_SHARE: f64 = 0.6;
/// Factor by which the rate of INVITEs sent to a server may exceed the rate at which it answers or sets up
/// sessions.
pub(super) const GROWTH_FACTOR: f64 = 1.5;
/// Share of the rate that fills a server's lines which is allowed in addition, unless the server is warming up.
/// A server that takes over from a larger one thereby grows while that one drains.
const LINE_FILL_ALLOWANCE: f64 = 0.2;
/// The line fill allowance after this front's last attempt at the server failed.
const LINE_FILL_ALLOWANCE_AFTER_FAILURE: f64 = LINE_FILL_ALLOWANCE / 10.0;
/// Upper bound on the INVITEs in flight to a server that is warming up.
const MAX_WARM_UP_IN_FLIGHT: f64 = 2.0;

impl Controller {
    /// Returns whether the server can admit the session now.
    pub(super) fn can_admit(&self, server: ServerIx, session: SessionIx) -> bool {
        let Some(session) = self.sessions.get(session) else { return false };
        let sample = session.sample(server);
        let Some(server) = self.servers.get(server) else { return false };
        let now = self.now;
        let is_blocked = |ejection: &Ejection| now < ejection.until || ejection.probe_in_flight;
        if !server.is_ready || server.ejection.as_ref().is_some_and(is_blocked) {
            return false;
        }
        let is_destination = session.request.destination == server.number;
        let weight = self.priority_weight(session);
        // While traffic leaves or re-enters the server's zone, it admits a share of the sessions whose
        // destination it is, by priority, and no others.
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
        // A limit below one INVITE is applied as a share of the sessions, by their random samples, so that the
        // fronts do not send in synchrony.
        let share = if limit < 1.0 { share.min(limit) } else { share };
        sample < share * weight / self.mean_priority_weight
    }

    /// Returns whether the server is a candidate for a session that no server can admit.
    ///
    /// That is a server that was ejected for failure answers, has no INVITE waiting, is not warming up and is
    /// in a zone with full share. It still answers, and may establish some of the calls. This keeps a second
    /// failure from rejecting every session while one server answers with failures, whatever the share of
    /// failures. Trade-off: a server that answers with nothing but failures gets one INVITE at a time for such
    /// sessions.
    pub(super) fn is_last_resort(&self, server: ServerIx) -> bool {
        let server = &self.servers[server];
        server.is_ready
            && server.zone_share >= 1.0
            && server.ejection.is_some_and(|ejection| ejection.for_failure_answers)
            && self.now >= server.warming_up_until
            && server.waiting(self.latency_objective).next().is_none()
    }

    /// Returns the share of the sessions that may go to a server, so that all fronts together send it at most a
    /// multiple of the rate at which it sets up sessions. `INFINITY` means no restriction.
    ///
    /// The allowed rate is the accepted rate, if the server reports one below its set-up rate; otherwise the
    /// higher of the accepted rate and (set-up rate * growth + line fill rate * allowance) * (1 - hold-back
    /// share). The share is allowed rate * queue factor * traffic share of this front, relative to the demand.
    ///
    /// No restriction applies if this front has at least `MIN_RECENT_ANSWERS` recent answers, as its in-flight
    /// limit is more accurate then, or if the set-up rate is unknown or out of date. Sessions whose
    /// destination is this server are restricted only if the last attempt failed or the server reports overload.
    fn setup_share(&self, server: &ServerState, is_destination: bool) -> f64 {
        let has_few_answers = server.recent_answers.stats(self.now).count < MIN_RECENT_ANSWERS;
        let is_needed = has_few_answers && self.is_current(server.lines_reported_at);
        let Some(setup_rate) = server.setup_rate.filter(|_| is_needed) else { return f64::INFINITY };
        let is_reported = self.is_current(server.load_reported_at);
        let report = if is_reported { server.load_report } else { LoadReport::default() };
        let hold_back_share = report.hold_back_share.unwrap_or(0.0).clamp(0.0, 1.0);
        let reduced_rate = report.accepted_rate.filter(|accepted| *accepted < setup_rate);
        let has_failed = server.last_attempt_failed;
        if is_destination && !has_failed && hold_back_share == 0.0 && reduced_rate.is_none() {
            return f64::INFINITY;
        }
        let allowance = if has_failed { LINE_FILL_ALLOWANCE_AFTER_FAILURE } else { LINE_FILL_ALLOWANCE };
        // Sessions with another destination (overflow) get no growth factor, only the capacity that the
        // server's own sessions leave and the allowance: with growth, a surge at all servers sent 1.5 times the
        // set-up rate to every server and overloaded one after another. Trade-off: if one server fails, the
        // others take over its sessions more slowly.
        let growth = if is_destination { GROWTH_FACTOR } else { 1.0 };
        let grown_rate = (setup_rate * growth + server.line_fill_rate * allowance) * (1.0 - hold_back_share);
        let allowed_rate = reduced_rate.unwrap_or(grown_rate.max(report.accepted_rate.unwrap_or(0.0)));
        let capacity = allowed_rate * self.queue_factor(server);
        let traffic_share = self.traffic_share();
        let destination_rate = self.rate(&server.demand).min(setup_rate * traffic_share);
        self.share_of_demand(server, is_destination, capacity * traffic_share, destination_rate)
    }

    /// Returns whether a report of that time is still valid.
    fn is_current(&self, reported_at: Moment) -> bool {
        self.now.since(reported_at) < self.latency_objective * REPORT_VALIDITY_OBJECTIVES
    }

    /// Returns the factor on a server's capacity for its queue: the square of (uncongested answer time / latest
    /// answer time), at most 1. The queue has to drain before the set-ups that wait in it are retransmitted,
    /// which adds work, or all of them are established late.
    fn queue_factor(&self, server: &ServerState) -> f64 {
        let latest = server.latest_answer.filter(|answer| self.is_current(answer.received_at));
        let uncongested = self.latency_objective.scaled(UNCONGESTED_ANSWER_SHARE);
        let ratio = latest.map_or(1.0, |answer| uncongested.ratio(answer.took).min(1.0));
        ratio * ratio
    }

    /// Returns the share of the sessions that a server admits by its lines; `INFINITY` if enough are free.
    ///
    /// If free lines < total * `RESERVED_LINE_SHARE` / weight, the share is released lines per second *
    /// `RELEASED_LINE_FILL_SHARE` * traffic share of this front, relative to the demand, for sessions whose
    /// destination is this server, and zero for others. Admitting by random share avoids synchrony: line reports
    /// reach all fronts at once, and if all stopped and resumed together the lines would be half empty.
    fn line_share(&self, server: &ServerState, is_destination: bool, weight: f64) -> f64 {
        let reserved = f64::from(server.lines.total) * RESERVED_LINE_SHARE / weight;
        if f64::from(server.lines.free) >= reserved || !self.is_current(server.lines_reported_at) {
            return f64::INFINITY;
        }
        let released = server.line_release_rate * RELEASED_LINE_FILL_SHARE * self.traffic_share();
        if is_destination { released / self.rate(&server.demand) } else { 0.0 }
    }

    /// Converts an allowed rate (sessions/s) to a share of the demand. Sessions whose destination is this
    /// server come first; overflow gets what remains after `destination_rate` (sessions/s).
    pub(super) fn share_of_demand(
        &self,
        server: &ServerState,
        is_destination: bool,
        allowed_rate: f64,
        destination_rate: f64,
    ) -> f64 {
        if is_destination {
            return allowed_rate / self.rate(&server.demand);
        }
        (allowed_rate - destination_rate) / self.rate(&self.overflow)
    }

    /// Returns the events per second in a window, at least 1 / the window's duration in seconds.
    pub(super) fn rate<const N: usize>(&self, window: &SlidingWindow<N>) -> f64 {
        window.rate(self.now, self.started_at).max(1.0 / window.duration().ratio(Span::from_secs(1)))
    }

    /// Returns the estimated share of this front in all sessions that the servers set up:
    /// (its answer rate + p) / (all servers' set-up rate + p / even share). The prior p, `MIN_RECENT_ANSWERS`
    /// per window, makes the share an even one while this front has few answers.
    fn traffic_share(&self) -> f64 {
        let fleet_rate = self.servers.iter().filter_map(|server| server.setup_rate).sum::<f64>();
        let prior_rate = f64::from(MIN_RECENT_ANSWERS) / self.answers.duration().ratio(Span::from_secs(1));
        (self.answers.rate(self.now, self.started_at) + prior_rate)
            / (fleet_rate + prior_rate / self.even_share)
    }

    /// Returns the priority weight of a session, in multiples of the value of the cheapest service:
    /// service value * quota factor, times the late value share once the latency objective has passed since
    /// the caller's first attempt. A redial whose first attempt is not known counts as late. Always above
    /// zero, so that a session of no value is admitted if there is spare capacity.
    pub(super) fn priority_weight(&self, session: &SessionState) -> f64 {
        let service = &self.services[session.request.service];
        let is_late = self.now.since(session.first_tried_at) > service.latency_objective
            || (session.request.is_redial && session.first_tried_at == session.requested_at);
        let late_factor = if is_late { service.late_value_share } else { 1.0 };
        let weight = service.value * self.quota_factor(session.request.tenant) * late_factor;
        weight.max(f64::MIN_POSITIVE)
    }

    /// Returns the mean factor on the value of a tenant's sessions: 1 within the tenant's quota at this front,
    /// otherwise w + (1 - w) * `over_quota_value_share`, where w = quota / demand. Sessions of a tenant over its
    /// quota are rejected first if capacity is short. Trade-off: the quota at one front is an even part, so a
    /// front that carries most of a tenant's traffic lowers its priority although the total is within the quota.
    fn quota_factor(&self, tenant: Option<TenantIx>) -> f64 {
        let Some(quota) = tenant.and_then(|tenant| self.tenants.get(tenant)) else { return 1.0 };
        let within = (quota.rate_per_s / self.rate(&quota.demand)).min(1.0);
        within + (1.0 - within) * self.config.over_quota_value_share
    }
}
