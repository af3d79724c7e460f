//! The routing decisions of one front.
//!
//! In each iteration of its event loop the host sets the clock with [`Controller::advance_to`], reports its
//! observations through the `on_*` methods, which only update state, calls [`Controller::next_decision`] until
//! it returns `None`, and schedules the next iteration by [`Controller::poll_timeout`].
//!
//! This module takes a session that is due to a decision. `observations` updates the state; `admission`
//! decides whether a server can admit a session; `slow_start` limits what a server is sent while it warms up;
//! `health` contains outlier detection, routing weights and in-flight limits.

mod admission;
mod health;
mod observations;
mod slow_start;

use rand::SeedableRng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand_pcg::Pcg64Mcg;

use crate::config::{ControllerConfig, Tenant};
use crate::index::{ServerIx, ServiceIx, SessionIx, TenantIx};
use crate::index_vec::IndexVec;
use crate::sliding_window::SlidingWindow;
use crate::state::{BudgetReservation, CalledNumbers, ServerState, ServiceState, SessionState};
use crate::state::{Sessions, TenantQuota};
use crate::time::{Moment, Span};
use crate::types::{BudgetGrant, Decision, DecisionReason, InviteOutcome, RejectionCause, RoutingChoice};

/// Upper bound on the INVITEs for one session, which the configuration can lower but not raise.
const MAX_INVITES_PER_SESSION: u32 = 3;
/// The retry-after of a rejection, as a share of the latency objective: short enough for a redial to be
/// established within the objective of the first request.
const RETRY_AFTER_SHARE: f64 = 0.2;
/// Answer timeout of an INVITE to a server whose answers get lost, as a share of the latency objective.
const LOSSY_ANSWER_TIMEOUT_SHARE: f64 = 0.5;
/// Bucket width of the windows over recent events: 8 buckets cover 2 s.
const RECENT_BUCKET: Span = Span::from_millis(250);
/// Bucket width of the long-term windows: 16 buckets cover 32 s.
const LONG_TERM_BUCKET: Span = Span::from_secs(2);
/// Number of polls per latency objective while an INVITE is outstanding, so that a stall of this front shows.
const POLLS_PER_OBJECTIVE: u64 = 8;
/// This front has stalled if the host polls later than due by more than this many minimum poll intervals.
const STALL_INTERVALS: u64 = 4;

/// Makes the routing decisions of one front, from the state of its services, tenants, servers, called numbers
/// and sessions. The host passes in the time and its observations, and carries out the decisions.
pub struct Controller {
    config: ControllerConfig,
    started_at: Moment,
    now: Moment,
    services: IndexVec<ServiceIx, ServiceState>,
    /// The shortest latency objective of all services; 1 s if there is no service.
    latency_objective: Span,
    tenants: IndexVec<TenantIx, TenantQuota>,
    /// The share of all sessions that one front carries if traffic is spread evenly: 1 / number of fronts.
    even_share: f64,
    /// The answers of all servers in the long-term window.
    answers: SlidingWindow<16>,
    /// Decisions of the last 4 s that did not send the session to its destination.
    overflow: SlidingWindow<8>,
    /// Moving average of the priority weight of requested sessions.
    mean_priority_weight: f64,
    sessions: Sessions,
    servers: IndexVec<ServerIx, ServerState>,
    called_numbers: CalledNumbers,
    /// The time that `poll_timeout` last returned.
    timeout_at: Option<Moment>,
    /// How late the current poll is if this front has stalled, otherwise zero. Subtracted from answer times.
    stall: Span,
    last_reason: DecisionReason,
    rng: Pcg64Mcg,
}

impl Controller {
    /// Returns the controller of a front that starts at `now`, without servers.
    pub fn new(config: &ControllerConfig, now: Moment) -> Self {
        let services = &config.services;
        let lowest_value = services.iter().map(|service| service.value).fold(f64::INFINITY, f64::min);
        let shortest_objective = services.iter().map(|service| service.post_dial_target).min();
        let fronts = f64::from(config.fronts.max(1));
        let quota = |tenant: &Tenant| TenantQuota::new(tenant.quota_per_s / fronts, LONG_TERM_BUCKET);
        Controller {
            started_at: now,
            now,
            services: services.iter().map(|service| ServiceState::new(service, lowest_value)).collect(),
            latency_objective: shortest_objective.unwrap_or(Span::from_secs(1)),
            tenants: config.tenants.iter().map(quota).collect(),
            even_share: 1.0 / fronts,
            answers: SlidingWindow::new(LONG_TERM_BUCKET),
            overflow: SlidingWindow::new(RECENT_BUCKET * 2),
            mean_priority_weight: 1.0,
            sessions: Sessions::default(),
            servers: IndexVec::default(),
            called_numbers: CalledNumbers::default(),
            timeout_at: None,
            stall: Span::ZERO,
            last_reason: DecisionReason::Rejected(RejectionCause::NoCapacity),
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            config: config.clone(),
        }
    }

    /// Sets the clock. The host calls it before it reports observations or takes decisions.
    ///
    /// After a stall, a front reads everything that arrived meanwhile in one poll. The time by which that poll
    /// is late is therefore not counted as answer time of the servers.
    pub fn advance_to(&mut self, now: Moment) {
        if now > self.now {
            let late = self.timeout_at.map_or(Span::ZERO, |timeout_at| now.since(timeout_at));
            let has_stalled = late > self.config.min_poll_interval * STALL_INTERVALS;
            self.stall = if has_stalled { late } else { Span::ZERO };
            self.now = now;
        }
    }

    /// Returns the next decision that is due, or `None` if no further one is due at the current time.
    pub fn next_decision(&mut self) -> Option<Decision> {
        self.expire_probes();
        while let Some(session) = self.sessions.pop_due(self.now) {
            let decision = self.evaluate(session).unwrap_or_else(|cause| Some(self.reject(session, cause)));
            if decision.is_some() {
                return decision;
            }
        }
        None
    }

    /// Returns the reason for the last decision.
    pub fn last_reason(&self) -> DecisionReason {
        self.last_reason
    }

    /// Returns the latest time of the next poll, or `None` if nothing is scheduled.
    ///
    /// It is the earliest of: the next session due, the expiry of a probe and, while an INVITE is outstanding,
    /// 1 / `POLLS_PER_OBJECTIVE` of the latency objective from now, by which a stall of this front is detected.
    pub fn poll_timeout(&mut self) -> Option<Moment> {
        let (now, objective) = (self.now, self.latency_objective);
        let probes = self.servers.iter().filter_map(|server| server.probe_expires_at(objective));
        let is_awaiting = self.servers.iter().any(|server| !server.in_flight.is_empty());
        let stall_check = is_awaiting.then(|| now + objective / POLLS_PER_OBJECTIVE);
        let moments = self.sessions.next_due_at().into_iter().chain(probes).chain(stall_check);
        self.timeout_at = moments.filter(|moment| *moment > now).min();
        self.timeout_at
    }

    /// Evaluates a session that is due. Returns an INVITE, `None` if the INVITE has to wait for the resend
    /// delay, or the cause for which to reject the session.
    fn evaluate(&mut self, session: SessionIx) -> Result<Option<Decision>, RejectionCause> {
        let Some(state) = self.sessions.get(session) else { return Ok(None) };
        let (destination, reservation) = (state.request.destination, state.reservation);
        let ready_at = state.not_before.max(self.now);
        self.check_limits(state, ready_at)?;
        let reserved = reservation.map(|reservation| reservation.server);
        let admitting = reserved.filter(|server| self.can_admit(*server, session));
        let chosen = admitting.or_else(|| self.choose_server(session));
        if chosen.is_none_or(|server| self.servers[server].number != destination) {
            self.overflow.record(self.now, Span::ZERO);
        }
        let server = chosen.ok_or(RejectionCause::NoCapacity)?;
        let grant = self.acquire_budget(session, server).ok_or(RejectionCause::NoRetryBudget)?;
        if ready_at <= self.now {
            return Ok(self.send_invite(session, server, grant));
        }
        if let Some(state) = self.sessions.get_mut(session) {
            state.reservation = Some(BudgetReservation { server, grant });
        }
        self.sessions.schedule(session, ready_at);
        Ok(None)
    }

    /// Checks the limits that hold for all servers, for a session whose next INVITE can be sent at `ready_at`.
    fn check_limits(&self, session: &SessionState, ready_at: Moment) -> Result<(), RejectionCause> {
        let request = &session.request;
        let may_send = match session.last_outcome {
            None | Some(InviteOutcome::Rejected { .. }) => true,
            Some(outcome) => outcome.may_have_set_up_call() && self.services[request.service].is_retryable,
        };
        let is_in_time = ready_at + self.config.min_poll_interval < request.deadline;
        // A number is not called again until the wait after its busy lines is over.
        let is_busy = |number| self.called_numbers.get(number).busy_until > self.now;
        let configured = self.config.max_invites;
        let max_invites =
            if configured == 0 { MAX_INVITES_PER_SESSION } else { configured.min(MAX_INVITES_PER_SESSION) };
        let limits = [
            (may_send, RejectionCause::NotRetryable),
            (is_in_time, RejectionCause::DeadlineTooClose),
            (!request.called_number.is_some_and(is_busy), RejectionCause::CalledNumberBusy),
            (session.invites_sent < max_invites, RejectionCause::AttemptsExhausted),
        ];
        limits.into_iter().try_for_each(|(is_met, cause)| if is_met { Ok(()) } else { Err(cause) })
    }

    /// Returns the grant for the session's next INVITE to a server, or `None` if the server's retry budget is
    /// empty. The first INVITE is free; a reservation for the same server is used before the budget is charged.
    fn acquire_budget(&mut self, session: SessionIx, server: ServerIx) -> Option<BudgetGrant> {
        let state = self.sessions.get(session)?;
        match state.reservation {
            _ if state.invites_sent == 0 => Some(BudgetGrant::Free),
            Some(reserved) if reserved.server == server => Some(reserved.grant),
            _ => {
                self.refund_reservation(session);
                self.servers[server].retry_budget.withdraw(self.now)
            }
        }
    }

    fn send_invite(&mut self, session: SessionIx, server: ServerIx, grant: BudgetGrant) -> Option<Decision> {
        let now = self.now;
        let state = self.sessions.get_mut(session)?;
        state.record_invite(now, server);
        let target = &mut self.servers[server];
        target.record_invite(now, session);
        if state.invites_sent == 1 {
            target.retry_budget.deposit(now);
        }
        let is_destination = target.number == state.request.destination;
        let choice = if is_destination { RoutingChoice::Destination } else { RoutingChoice::WeightedDraw };
        self.last_reason = DecisionReason::Sent { choice, grant };
        // If answers get lost, a short answer timeout leaves time for another INVITE.
        let service = &self.services[state.request.service];
        let is_lossy = now < target.answers_lossy_until && service.is_retryable;
        let answer_timeout = is_lossy.then(|| service.latency_objective.scaled(LOSSY_ANSWER_TIMEOUT_SHARE));
        Some(Decision::Invite { session, server, answer_timeout })
    }

    /// Chooses the destination if it can admit the session, otherwise draws by routing weight among the other
    /// servers that can. If no server can admit it, servers of last resort are the candidates.
    fn choose_server(&mut self, session: SessionIx) -> Option<ServerIx> {
        let state = self.sessions.get(session)?;
        let allowed = &self.services[state.request.service].servers;
        let is_allowed = |number| allowed.is_empty() || allowed.contains(&number);
        let is_candidate = |server: &ServerIx| {
            is_allowed(self.servers[*server].number) && !state.excluded_servers.contains(server)
        };
        let candidates = || self.servers.indices().filter(is_candidate);
        let mut admitting: Vec<_> = candidates().filter(|server| self.can_admit(*server, session)).collect();
        if admitting.is_empty() {
            admitting = candidates().filter(|server| self.is_last_resort(*server)).collect();
        }
        let destination = state.request.destination;
        if let Some(preferred) = admitting.iter().find(|server| self.servers[**server].number == destination)
        {
            return Some(*preferred);
        }
        let weights = admitting.iter().map(|server| self.servers[*server].routing_weight(self.now));
        let draw = WeightedIndex::new(weights).ok()?;
        Some(admitting[draw.sample(&mut self.rng)])
    }

    /// Rejects a session, with a retry-after if callers follow one. If the service is not retryable, a session
    /// for which an INVITE has been sent fails instead.
    fn reject(&mut self, session: SessionIx, cause: RejectionCause) -> Decision {
        self.last_reason = DecisionReason::Rejected(cause);
        let Some(state) = self.remove_session(session) else { return Decision::Fail { session } };
        if let Some(number) = state.request.called_number {
            self.called_numbers.get_mut(number).rejected_at = Some(self.now);
        }
        let service = &self.services[state.request.service];
        if state.invites_sent > 0 && !service.is_retryable {
            return Decision::Fail { session };
        }
        let max_retry_after = self.config.max_retry_after;
        let retry_after = max_retry_after.min(service.latency_objective.scaled(RETRY_AFTER_SHARE));
        Decision::Reject { session, retry_after: (max_retry_after > Span::ZERO).then_some(retry_after) }
    }

    fn remove_session(&mut self, session: SessionIx) -> Option<SessionState> {
        self.refund_reservation(session);
        self.sessions.remove(session)
    }

    /// Refunds the grant that a session has reserved for its next INVITE, if any.
    fn refund_reservation(&mut self, session: SessionIx) {
        let state = self.sessions.get_mut(session);
        if let Some(reserved) = state.and_then(|state| state.reservation.take()) {
            self.servers[reserved.server].retry_budget.refund(self.now, reserved.grant);
        }
    }
}
