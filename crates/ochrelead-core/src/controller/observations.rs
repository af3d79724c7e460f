//! State updates from the host's observations. No routing decision is made here.

use rand::RngExt;

use super::health::UNCONGESTED_ANSWER_SHARE;
use super::{Controller, LONG_TERM_BUCKET, RECENT_BUCKET};
use crate::index::{CalledNumberIx, ServerIx, ServiceIx, SessionIx};
use crate::state::mean_hold_time_s;
use crate::state::{AnswerSample, BucketWidths, OutstandingInvite, ServerState, SessionState};
use crate::time::{Moment, Span};
use crate::types::{CallRequest, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity, LoadReport};

/// A session counts as a redial if one to the same number was rejected within this many latency objectives.
const REDIAL_OBJECTIVES: u64 = 4;
/// Latency objectives for which a server's answers are assumed to get lost after an INVITE timed out although a
/// later one was answered.
const LOSSY_OBJECTIVES: u64 = 8;
/// Upper bound, in latency objectives, of the time for which a called number with busy lines is not called.
const MAX_BUSY_OBJECTIVES: u32 = 4;
/// An answer that takes more than this multiple of the uncongested share of the latency objective reduces the
/// server's routing weight.
const SLOW_ANSWER_MULTIPLE: f64 = 2.0;
/// Smoothing factor of the moving average of priority weights, applied for each requested session.
const PRIORITY_WEIGHT_SMOOTHING: f64 = 0.05;
/// Bucket width of the window over lines in use.
const LINES_BUCKET: Span = Span::from_secs(1);
/// Number of buckets of the window over sent INVITEs, which covers the overload duration.
const SEND_BUCKETS: u64 = 4;

impl Controller {
    /// Records a caller's request for a session. A decision on it is due at once.
    pub fn on_call_request(&mut self, session: SessionIx, request: CallRequest) {
        // A redial that is not marked as one is recognized by its called number.
        let (now, memory) = (self.now, self.latency_objective * REDIAL_OBJECTIVES);
        let known = request.called_number.map(|number| self.called_numbers.get(number)).unwrap_or_default();
        let rejected_at = known.rejected_at.filter(|rejected_at| now.since(*rejected_at) < memory);
        let first_tried_at = rejected_at.map_or(now, |_| known.first_tried_at);
        if let Some(number) = request.called_number {
            self.called_numbers.get_mut(number).first_tried_at = first_tried_at;
        }
        if let Some(tenant) = request.tenant.and_then(|tenant| self.tenants.get_mut(tenant)) {
            tenant.demand.record(now, Span::ZERO);
        }
        if let Some(service) = self.services.get_mut(request.service) {
            service.requests += 1.0;
        }
        for server in self.servers.iter_mut().filter(|server| server.number == request.destination) {
            server.demand.record(now, Span::ZERO);
        }
        let state = SessionState::new(request, now, first_tried_at, self.rng.random());
        let deviation = self.priority_weight(&state) - self.mean_priority_weight;
        self.mean_priority_weight += deviation * PRIORITY_WEIGHT_SMOOTHING;
        self.sessions.insert(session, state);
    }

    /// Records that the session's INVITE was answered and its call is established.
    pub fn on_call_established(&mut self, session: SessionIx) {
        let (now, objective) = (self.now, self.latency_objective);
        let Some(state) = self.sessions.get_mut(session) else { return };
        let Some(OutstandingInvite { server, sent_at }) = state.outstanding.take() else { return };
        state.is_settled = true;
        if let Some(number) = state.request.called_number {
            self.called_numbers.get_mut(number).busy_count = 0;
        }
        let took = now.since(sent_at) - self.stall;
        self.answers.record(now, took);
        let server = &mut self.servers[server];
        server.remove_invite(session);
        server.record_answer(now, sent_at, took);
        if took > objective.scaled(UNCONGESTED_ANSWER_SHARE * SLOW_ANSWER_MULTIPLE) {
            server.reduce_weight(now);
        }
        if took > objective {
            server.eject(now, objective, objective);
        } else {
            server.ejection = None;
        }
    }

    /// Records the end of an INVITE, or of the call that it set up. `is_final` means that the caller has the
    /// session's final answer, so that no further INVITE is sent for it.
    pub fn on_invite_ended(
        &mut self,
        session: SessionIx,
        server: ServerIx,
        outcome: InviteOutcome,
        is_final: bool,
    ) {
        let now = self.now;
        let outstanding = self.sessions.get(session).and_then(|state| state.outstanding);
        let sent_at = outstanding.map_or(now, |invite| invite.sent_at);
        if let Some(server) = self.servers.get_mut(server) {
            server.remove_invite(session);
            server.observe_outcome(now, outcome, sent_at, self.latency_objective);
        }
        let Some(state) = self.sessions.get_mut(session) else { return };
        state.last_outcome = Some(outcome);
        let called_number = state.request.called_number;
        if is_final || state.is_settled {
            self.remove_session(session);
        } else {
            state.outstanding = None;
            state.excluded_servers.push(server);
            if outcome.may_have_set_up_call() {
                state.not_before = now + self.config.resend_delay;
            }
            self.sessions.schedule(session, now);
        }
        if let Some(number) = called_number {
            self.observe_called_number(number, outcome);
        }
    }

    /// Sets until when a called number counts as busy: after the n-th INVITE that met busy lines since a call to it
    /// was last established, for min(n, `MAX_BUSY_OBJECTIVES`) latency objectives. A release frees a line and
    /// ends that time.
    fn observe_called_number(&mut self, number: CalledNumberIx, outcome: InviteOutcome) {
        let number = self.called_numbers.get_mut(number);
        match outcome {
            InviteOutcome::Failed { lines_busy: true } => {
                number.busy_count = number.busy_count.saturating_add(1);
                let objectives = u64::from(number.busy_count.min(MAX_BUSY_OBJECTIVES));
                number.busy_until = self.now + self.latency_objective * objectives;
            }
            InviteOutcome::Released => number.busy_until = self.now,
            _ => {}
        }
    }

    /// Records that the caller has abandoned the session, or that it was answered elsewhere.
    pub fn on_caller_gone(&mut self, session: SessionIx) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        state.is_settled = true;
        if state.outstanding.is_none() {
            self.remove_session(session);
        }
    }

    /// Applies a discovery update. If `is_complete`, servers that it does not list get no new sessions.
    pub fn on_endpoints(&mut self, is_complete: bool, updates: &[EndpointUpdate]) {
        let (now, warm_up_time) = (self.now, self.config.warm_up_time);
        if is_complete {
            self.servers.iter_mut().for_each(|server| server.is_ready = false);
        }
        let (sends, lines) = (self.config.overload_duration / SEND_BUCKETS, LINES_BUCKET);
        let widths = BucketWidths { sends, lines, recent: RECENT_BUCKET, long_term: LONG_TERM_BUCKET };
        for update in updates {
            let server = self.servers.get_or_insert_with(update.server, || ServerState::new(now, widths));
            server.number = update.number;
            server.listed_weight = update.weight;
            server.is_ready = matches!(update.state, EndpointState::Ready { .. });
            if let EndpointState::Ready { started: Some(started_at) } = update.state {
                let has_restarted = server.started_at.replace(started_at) != Some(started_at);
                if has_restarted && started_at + warm_up_time > now {
                    server.restart(now, started_at + warm_up_time);
                }
            }
        }
    }

    /// Records a server's report of its processor load; a report without values changes nothing.
    pub fn on_load_report(&mut self, server: ServerIx, report: LoadReport) {
        let server = self.servers.get_mut(server).filter(|_| report != LoadReport::default());
        if let Some(server) = server {
            (server.load_report, server.load_reported_at) = (report, self.now);
        }
    }

    /// Replaces the numbers of the servers that serve a service; an empty list allows all servers.
    pub fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]) {
        if let Some(service) = self.services.get_mut(service) {
            service.servers = servers.to_vec();
        }
    }

    /// Records a server's report of its lines.
    pub fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity) {
        if let Some(server) = self.servers.get_mut(server) {
            server.update_lines(self.now, lines, mean_hold_time_s(&self.services));
        }
    }

    /// Sets the share of the sessions, from 0 to 1, that a server admits while traffic leaves or re-enters its
    /// zone. The share is the same at all fronts.
    pub fn on_zone_share(&mut self, server: ServerIx, share: f64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.zone_share = share;
        }
    }
}

impl ServerState {
    /// Updates the server's health for the end of an INVITE sent at `sent_at`, or of the call that it set up.
    fn observe_outcome(&mut self, now: Moment, outcome: InviteOutcome, sent_at: Moment, objective: Span) {
        use InviteOutcome::{Cancelled, ConnectFailed, Failed, Rejected, Released, Reset, TimedOut, Unsent};
        // If a later INVITE has been answered, the answer was lost and the server is not slow. Otherwise the time
        // since `sent_at` is a lower bound of its answer time. Without that record, one INVITE from each front
        // in turn would keep an overloaded server overloaded. Trade-off: if answers get lost, the server is sent
        // less for a while.
        if outcome == TimedOut && sent_at < self.newest_answered_sent_at {
            self.answers_lossy_until = now + objective * LOSSY_OBJECTIVES;
        } else if outcome == TimedOut {
            self.latest_answer = Some(AnswerSample { received_at: now, took: now.since(sent_at) });
        }
        if outcome.is_answer() {
            self.last_heard_at = now;
        }
        match outcome {
            Released => {}
            // Busy lines, of the called number or of the server, do not indicate a full processor. A probe that
            // met them does not show whether the server is healthy, so the next session is another probe.
            Failed { lines_busy: true } => {
                self.ejection.iter_mut().for_each(|ejection| ejection.probe_in_flight = false);
            }
            // Without ejection, a server that quickly answers with failures would attract more and more sessions.
            Failed { lines_busy: false } => {
                self.record_failure(now);
                self.eject(now, objective, objective);
                self.ejection.iter_mut().for_each(|ejection| ejection.for_failure_answers = true);
            }
            Rejected { no_line: true, .. } => {
                self.lines.free = 0;
                self.ejection = None;
                self.reduce_weight(now);
            }
            Rejected { retry_after: Some(retry_after), .. } => {
                self.record_failure(now);
                self.eject(now, retry_after, objective);
            }
            ConnectFailed => self.eject(now, objective, objective),
            // A probe that fails, or ends without an answer, extends the ejection.
            Rejected { retry_after: None, .. } | TimedOut | Reset | Cancelled | Unsent => {
                self.record_failure(now);
                if self.is_ejected() {
                    self.eject(now, objective, objective);
                }
            }
        }
    }
}
