//! The decisions on sessions.
//!
//! A host reports what it observes through the `on_*` methods, which only update state. After each turn it
//! calls [`Controller::next_decision`] until none is left, then [`Controller::poll_timeout`] for the next.
//! Here: the course of a session. `observations`: what events mean; `admission`: whether a server can admit a
//! session; `slow_start`: what a restarted server may be sent; `health`: outlier detection, in-flight limits.

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

/// The most INVITEs for one session, whatever the configuration allows.
const MAX_INVITES: u32 = 3;
/// Callers are asked back after this share of the latency objective: the same attempt may still meet it.
const RETRY_AFTER_SHARE: f64 = 0.2;
/// Where answers get lost the front waits for one for this share of the latency objective.
const LOSSY_ANSWER_TIMEOUT_SHARE: f64 = 0.5;
/// The widths of the buckets of windows over the recent past (eight) and over the long term (sixteen).
const RECENT_BUCKET: Span = Span::from_millis(250);
const LONG_TERM_BUCKET: Span = Span::from_secs(2);
/// While an INVITE is outstanding the host is asked to come so many times in a latency objective.
const POLLS_PER_OBJECTIVE: u64 = 8;
/// A turn that comes later than so many of the host's shortest intervals shows that this front stood still.
const STALL_INTERVALS: u64 = 4;

/// The decisions of one front, and what it knows of services, tenants, servers, called numbers and sessions.
/// The host tells it the time and what it observes, and carries out its decisions.
pub struct Controller {
    config: ControllerConfig,
    started_at: Moment,
    now: Moment,
    services: IndexVec<ServiceIx, ServiceState>,
    /// The shortest latency objective of all services.
    latency_objective: Span,
    tenants: IndexVec<TenantIx, TenantQuota>,
    /// The part of all sessions that each front carries where the traffic is even.
    even_share: f64,
    /// The answers of all servers over the long term.
    answers: SlidingWindow<16>,
    /// The recent sessions that did not go to their destination.
    overflow: SlidingWindow<8>,
    /// The mean priority weight of recent sessions.
    mean_priority_weight: f64,
    sessions: Sessions,
    servers: IndexVec<ServerIx, ServerState>,
    called_numbers: CalledNumbers,
    /// When the host was last asked to come, and by how much it came too late for this turn.
    timeout_at: Option<Moment>,
    stall: Span,
    last_reason: DecisionReason,
    rng: Pcg64Mcg,
}

impl Controller {
    /// A front that starts at `now` and knows no servers yet.
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

    /// Sets the clock; called before anything else of a turn. A front that stood still finds all that came
    /// meanwhile in one turn: by how much the turn is late is not taken for the servers' answer time.
    pub fn advance_to(&mut self, now: Moment) {
        if now > self.now {
            let late = self.timeout_at.map_or(Span::ZERO, |timeout_at| now.since(timeout_at));
            let has_stalled = late > self.config.min_turn_interval * STALL_INTERVALS;
            self.stall = if has_stalled { late } else { Span::ZERO };
            self.now = now;
        }
    }

    /// The next decision, until there is none left for this turn.
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

    /// Why the last decision was made.
    pub fn last_reason(&self) -> DecisionReason {
        self.last_reason
    }

    /// When the host is to come again at the latest: in time to notice that this front itself stood still.
    pub fn poll_timeout(&mut self) -> Option<Moment> {
        let (now, objective) = (self.now, self.latency_objective);
        let probes = self.servers.iter().filter_map(|server| server.probe_expires_at(objective));
        let is_awaiting = self.servers.iter().any(|server| !server.in_flight.is_empty());
        let stall_check = is_awaiting.then(|| now + objective / POLLS_PER_OBJECTIVE);
        let moments = self.sessions.next_due_at().into_iter().chain(probes).chain(stall_check);
        self.timeout_at = moments.filter(|moment| *moment > now).min();
        self.timeout_at
    }

    /// Decides on a session that is due: an INVITE, none while a re-send has to wait, or why to reject it.
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

    /// Whether a session whose next INVITE may be sent at `ready_at` may be sent to any server.
    fn check_limits(&self, session: &SessionState, ready_at: Moment) -> Result<(), RejectionCause> {
        let request = &session.request;
        let may_send = match session.last_outcome {
            None | Some(InviteOutcome::Rejected { .. }) => true,
            Some(outcome) => outcome.may_have_run() && self.services[request.service].is_retryable,
        };
        let is_in_time = ready_at + self.config.min_turn_interval < request.deadline;
        // A number whose lines were all busy a moment ago is not called.
        let is_busy = |number| self.called_numbers.get(number).busy_until > self.now;
        let configured = self.config.max_invites;
        let max_invites = if configured == 0 { MAX_INVITES } else { configured.min(MAX_INVITES) };
        let limits = [
            (may_send, RejectionCause::NotRetryable),
            (is_in_time, RejectionCause::DeadlineTooClose),
            (!request.called_number.is_some_and(is_busy), RejectionCause::CalledNumberBusy),
            (session.invites_sent < max_invites, RejectionCause::AttemptsExhausted),
        ];
        limits.into_iter().try_for_each(|(holds, cause)| if holds { Ok(()) } else { Err(cause) })
    }

    /// What lets the next INVITE go to a server; none where its retry budget is empty.
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
        // Where answers get lost there has to be time for another INVITE.
        let service = &self.services[state.request.service];
        let is_lossy = now < target.answers_lossy_until && service.is_retryable;
        let answer_timeout = is_lossy.then(|| service.latency_objective.scaled(LOSSY_ANSWER_TIMEOUT_SHARE));
        Some(Decision::Invite { session, server, answer_timeout })
    }

    /// The destination while it can admit the session, then a weighted draw among the others that can.
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
        if let Some(first) = admitting.iter().find(|server| self.servers[**server].number == destination) {
            return Some(*first);
        }
        let weights = admitting.iter().map(|server| self.servers[*server].routing_weight(self.now));
        let draw = WeightedIndex::new(weights).ok()?;
        Some(admitting[draw.sample(&mut self.rng)])
    }

    /// Answers a session at once, with a time to come back where callers follow one.
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
        let max = self.config.max_retry_after;
        let retry_after = max.min(service.latency_objective.scaled(RETRY_AFTER_SHARE));
        Decision::Reject { session, retry_after: (max > Span::ZERO).then_some(retry_after) }
    }

    fn remove_session(&mut self, session: SessionIx) -> Option<SessionState> {
        self.refund_reservation(session);
        self.sessions.remove(session)
    }

    /// Gives back, once, what a session's next INVITE had taken from a retry budget.
    fn refund_reservation(&mut self, session: SessionIx) {
        let state = self.sessions.get_mut(session);
        if let Some(reserved) = state.and_then(|state| state.reservation.take()) {
            self.servers[reserved.server].retry_budget.refund(self.now, reserved.grant);
        }
    }
}
