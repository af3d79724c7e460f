//! What observations change in the state; nothing is decided here.

use rand::RngExt;

use super::health::EASY_ANSWER_SHARE;
use super::{Controller, LONG_TERM_BUCKET, RECENT_BUCKET};
use crate::index::{CalledNumberIx, ServerIx, ServiceIx, SessionIx};
use crate::state::mean_hold_time_s;
use crate::state::{AnswerSample, BucketWidths, OutstandingInvite, ServerState, SessionState};
use crate::time::{Moment, Span};
use crate::types::{CallRequest, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity, LoadReport};

/// A session to a number that was rejected less than so many latency objectives ago counts as a redial.
const REDIAL_OBJECTIVES: u64 = 4;
/// After a sign of it, a server's answers are assumed to get lost for so many latency objectives.
const LOSSY_OBJECTIVES: u64 = 8;
/// A called number is left alone for at most so many latency objectives after its lines were busy.
const MAX_BUSY_OBJECTIVES: u32 = 4;
/// An answer slower than so many times an easy one reduces the server's weight.
const SLOW_ANSWER_MULTIPLE: f64 = 2.0;
/// How far one session moves the mean priority weight.
const PRIORITY_WEIGHT_SMOOTHING: f64 = 0.05;
/// The width of the buckets of lines in use.
const LINES_BUCKET: Span = Span::from_secs(1);
/// The time in which overload breaks a server that is warming up, in buckets of what it was sent.
const SEND_BUCKETS: u64 = 4;

impl Controller {
    /// A caller asks for a session; a decision on it is due at once.
    pub fn on_call_request(&mut self, session: SessionIx, request: CallRequest) {
        // Redials pass for first attempts where nothing marks them: they are known by their number.
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

    /// The session's INVITE was answered: the call is established.
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
        if took > objective.scaled(EASY_ANSWER_SHARE * SLOW_ANSWER_MULTIPLE) {
            server.reduce_weight(now);
        }
        if took > objective {
            server.eject(now, objective, objective);
        } else {
            server.ejection = None;
        }
    }

    /// An INVITE, or the call that it set up, has ended. `is_final`: the session has its answer.
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
            if outcome.may_have_run() {
                state.not_before = now + self.config.resend_delay;
            }
            self.sessions.schedule(session, now);
        }
        if let Some(number) = called_number {
            self.observe_called_number(number, outcome);
        }
    }

    /// A number whose lines were all busy is left alone, longer each time; a release frees a line.
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

    /// The caller has gone, or the session was answered elsewhere.
    pub fn on_caller_gone(&mut self, session: SessionIx) {
        let Some(state) = self.sessions.get_mut(session) else { return };
        state.is_settled = true;
        if state.outstanding.is_none() {
            self.remove_session(session);
        }
    }

    /// An update of the endpoints; `is_complete` where it names all servers there are.
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

    /// A server reports the load of its processor.
    pub fn on_load_report(&mut self, server: ServerIx, report: LoadReport) {
        let server = self.servers.get_mut(server).filter(|_| report != LoadReport::default());
        if let Some(server) = server {
            (server.load_report, server.load_reported_at) = (report, self.now);
        }
    }

    /// The numbers of the servers that serve a service from now on; any where none is named.
    pub fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]) {
        if let Some(service) = self.services.get_mut(service) {
            service.servers = servers.to_vec();
        }
    }

    /// A server reports its lines.
    pub fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity) {
        if let Some(server) = self.servers.get_mut(server) {
            server.update_lines(self.now, lines, mean_hold_time_s(&self.services));
        }
    }

    /// The share of the sessions that a server admits from now on, the same at all fronts; 1 for all.
    pub fn on_zone_share(&mut self, server: ServerIx, share: f64) {
        if let Some(server) = self.servers.get_mut(server) {
            server.zone_share = share;
        }
    }
}

impl ServerState {
    /// What the end of an INVITE sent at `sent_at`, or of the call that it set up, says of the server.
    fn observe_outcome(&mut self, now: Moment, outcome: InviteOutcome, sent_at: Moment, objective: Span) {
        use InviteOutcome::{Cancelled, ConnectFailed, Failed, Rejected, Released, Reset, TimedOut, Unsent};
        // No answer, though a later INVITE had one: it was lost; the server is not slow. Otherwise it takes
        // longer than this: were that forgotten, one INVITE of each front after the other would keep a jammed
        // server jammed. Harm: where answers get lost, the server is held back for a while.
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
            // Busy lines, a number's or its own, are no sign of a full processor. A probe that met them does
            // not tell whether the server is healthy: the next session is another probe.
            Failed { lines_busy: true } => {
                self.ejection.iter_mut().for_each(|ejection| ejection.probe_in_flight = false);
            }
            // A server that answers quickly with failures would attract ever more sessions.
            Failed { lines_busy: false } => {
                self.record_failure(now);
                self.eject(now, objective, objective);
                self.ejection.iter_mut().for_each(|ejection| ejection.for_faults = true);
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
            // A probe that fails, or ends without an answer, leaves the server ejected, for longer.
            Rejected { retry_after: None, .. } | TimedOut | Reset | Cancelled | Unsent => {
                self.record_failure(now);
                if self.is_ejected() {
                    self.eject(now, objective, objective);
                }
            }
        }
    }
}
