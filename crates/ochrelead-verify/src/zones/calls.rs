//! Handles the events of a call: the caller's attempt, the INVITE and its answer, the end of the call, and the
//! attempt that may follow a rejection.

use ochrelead_core::index::{CalledNumberIx, ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::Span;
use ochrelead_core::types::{CallRequest, Decision, InviteOutcome};
use ochrelead_node::observation::{Observation, ServerReport};
use ochrelead_zone::{ServerLocation, ZoneId};
use rand::RngExt;
use rand_distr::{Distribution, Exp};

use super::events::{Answer, Event, Invite};
use super::front::{ActiveCall, ReducedShare, moment, reduced_share, server_key};
use super::monitor::SentInvite;
use super::mutation;
use super::scenario::Mutation;
use super::server::{self, MS, ServerResponse};
use super::world::World;

/// One-way delay between a front and a server of the same zone.
const LOCAL_DELAY_US: u64 = 5 * MS;
/// One-way delay between a front and a server of another zone.
const REMOTE_DELAY_US: u64 = 15 * MS;
/// Probability that a rejected caller attempts again.
const RETRY_PROBABILITY: f64 = 0.35;
/// Mean of the exponentially distributed wait before that attempt, in seconds.
const MEAN_RETRY_DELAY_SECONDS: f64 = 0.8;
/// A caller gives up after this number of attempts.
const MAX_ATTEMPTS: u32 = 3;
/// An answer to a halted front is delivered again after this interval, until the front runs.
const HALTED_RECHECK_INTERVAL_US: u64 = 50 * MS;

impl World {
    /// Runs a front's engines at the current time, applies their decisions, sends their datagrams, and schedules
    /// the next run. A halted front does nothing.
    pub(super) fn run_front(&mut self, front: u32) {
        let now = moment(self.now);
        let state = &mut self.fronts[front as usize];
        if state.is_halted {
            return;
        }
        state.controller.advance_to(now);
        let mut datagrams = Vec::new();
        let mut timeout = None;
        if let Some(coordination) = &mut state.coordination {
            for datagram in std::mem::take(&mut state.unread) {
                coordination.handle_input(now, datagram.from, &datagram.bytes);
            }
            coordination.process(now);
            let servers = &self.servers;
            coordination.update_servers(now, || {
                let location = |(index, server): (usize, &server::Server)| ServerLocation {
                    server: server_key(index as u32),
                    zone: ZoneId(server.zone),
                };
                let locations = servers.iter().enumerate().map(location).collect();
                ServerReport { activity: Vec::new(), locations }
            });
            while coordination.poll_action().is_some() {}
            while let Some(datagram) = coordination.poll_output() {
                datagrams.push(datagram);
            }
            timeout = coordination.poll_timeout();
        }
        self.apply_shares(front);
        while let Some(decision) = self.fronts[front as usize].controller.next_decision() {
            self.apply_decision(front, decision);
        }
        for datagram in datagrams {
            self.send_datagram(front, datagram.destination, &datagram.bytes);
        }
        let controller_timeout = self.fronts[front as usize].controller.poll_timeout();
        if let Some(timeout) = [timeout, controller_timeout].into_iter().flatten().min() {
            self.schedule_front(front, (self.now + timeout.since(now).micros()).max(self.now + MS));
        }
    }

    /// Schedules a front's next run for `at`, unless an earlier run is already scheduled.
    fn schedule_front(&mut self, front: u32, at: u64) {
        let state = &mut self.fronts[front as usize];
        if state.next_run_at <= self.now || at < state.next_run_at {
            state.next_run_at = at;
            self.events.push(at, Event::FrontDue { front });
        }
    }

    /// Passes the zones' shares to the controller if they have changed, as the node does.
    fn apply_shares(&mut self, front: u32) {
        let (now, mutation) = (moment(self.now), self.scenario.mutation);
        let state = &mut self.fronts[front as usize];
        let changed =
            state.coordination.as_mut().and_then(|coordination| coordination.poll_traffic_shares(now));
        let Some(changed) = changed else { return };
        let mut shares: Vec<ReducedShare> = changed
            .into_iter()
            .map(|reduced| ReducedShare { zone: reduced.zone, share: reduced.share })
            .collect();
        mutation::mutate_shares(mutation, &mut shares, state, &mut self.rng);
        state.has_had_full_use |= shares.is_empty();
        for (index, server) in self.servers.iter().enumerate() {
            let is_skipped = mutation == Some(Mutation::ShareForSomeServers)
                && index as u32 / self.scenario.zones % 2 != 0;
            if !is_skipped {
                let share = reduced_share(&shares, ZoneId(server.zone)).unwrap_or(1.0);
                state.controller.on_zone_share(ServerIx::new(index), share);
            }
        }
        state.shares = shares;
    }

    fn apply_decision(&mut self, front: u32, decision: Decision) {
        let state = &mut self.fronts[front as usize];
        match decision {
            Decision::Invite { session, server, answer_timeout } => {
                let timeout = answer_timeout.map(|timeout| self.now + timeout.micros());
                let invite = Invite {
                    id: self.invites + 1,
                    front,
                    session: session.index(),
                    server: server.index() as u32,
                };
                self.send_invite(invite, timeout);
            }
            Decision::Reject { session, retry_after } => {
                if let Some(call) = state.end_call(session.index()) {
                    self.maybe_retry(call.request, retry_after.map_or(0, Span::micros));
                }
            }
            Decision::Fail { session } => {
                if let Some(call) = state.end_call(session.index()) {
                    self.maybe_retry(call.request, 0);
                }
            }
        }
    }

    /// Sends an INVITE if its session is still active. It times out at `timeout` or at the session's deadline,
    /// whichever is earlier.
    fn send_invite(&mut self, invite: Invite, timeout: Option<u64>) {
        self.invites = invite.id;
        let Invite { id, front, session, server } = invite;
        let state = &mut self.fronts[front as usize];
        let Some(call) = state.calls.get_mut(&session) else { return };
        call.invite = id;
        let times_out_at = timeout.map_or(call.deadline, |timeout| call.deadline.min(timeout));
        let target = &self.servers[server as usize];
        let zone = target.zone;
        let share = reduced_share(&state.shares, ZoneId(zone));
        let sent = SentInvite { front, zone, share, server_is_up: target.is_up };
        self.monitor.on_invite_sent(self.now, &sent, &mut self.outcome);
        self.observe(front, Observation::InviteSent { server: server_key(server), invite: id });
        let is_remote = zone != front % self.scenario.zones;
        if self.scenario.mutation == Some(Mutation::LossReportedEarly) && is_remote {
            self.observe(front, Observation::InviteFailed { invite: id });
        }
        self.events.push(times_out_at, Event::InviteTimesOut(invite));
        self.events.push(self.now + self.delay(front, server), Event::InviteArrives(invite));
    }

    /// The one-way delay between a front and a server.
    fn delay(&self, front: u32, server: u32) -> u64 {
        let is_local = front % self.scenario.zones == self.servers[server as usize].zone;
        if is_local { LOCAL_DELAY_US } else { REMOTE_DELAY_US }
    }

    /// With [`RETRY_PROBABILITY`], schedules another attempt of a caller that was rejected, `min_delay` from now or
    /// later.
    fn maybe_retry(&mut self, request: usize, min_delay: u64) {
        if self.requests[request].attempts < MAX_ATTEMPTS && self.rng.random_bool(RETRY_PROBABILITY) {
            let delay_seconds = exponential(1.0 / MEAN_RETRY_DELAY_SECONDS).sample(&mut self.rng);
            let at = self.now + min_delay + (delay_seconds * 1e6) as u64;
            self.events.push(at, Event::CallerAttempts { request });
        }
    }

    /// A caller requests its session from a front. If the front is down or halted, the caller may try it again
    /// later.
    pub(super) fn on_attempt(&mut self, request: usize) {
        let now = self.now;
        let session_request = &mut self.requests[request];
        session_request.attempts += 1;
        let front = session_request.front;
        let state = &mut self.fronts[front as usize];
        if state.is_halted || state.up_since > now {
            return self.maybe_retry(request, 0);
        }
        let session = state.allocate_session();
        let deadline = now + server::CALL_DEADLINE_US;
        state.calls.insert(session, ActiveCall { request, invite: 0, is_established: false, deadline });
        let call_request = CallRequest {
            service: ServiceIx::new(session_request.service),
            tenant: None,
            called_number: Some(CalledNumberIx::new(session_request.called_number as usize)),
            destination: i64::from(session_request.destination),
            deadline: moment(deadline),
            is_redial: false,
        };
        state.controller.advance_to(moment(now));
        state.controller.on_call_request(SessionIx::new(session), call_request);
        self.run_front(front);
    }

    /// An INVITE arrives at a server, unless a fault separates it from the front.
    pub(super) fn on_invite(&mut self, invite: Invite) {
        let Invite { front, server, .. } = invite;
        if !self.reaches_server(front, server) {
            return;
        }
        let state = &mut self.servers[server as usize];
        let failures_before = state.cold_failures;
        let response = state.on_invite(self.now);
        let incarnation = state.incarnation;
        if state.cold_failures > failures_before {
            self.outcome.cold_failures += 1;
            let state = &self.servers[server as usize];
            self.monitor.on_cold_failure(self.now, &self.scenario, state, &mut self.outcome);
        }
        let (answered_at, answer) = match response {
            ServerResponse::EstablishedAt(at) => (at, Answer::Established),
            ServerResponse::QueueFull => (self.now, Answer::QueueFull),
            ServerResponse::NoLine => (self.now, Answer::NoLine),
            ServerResponse::Silent => return,
        };
        let arrives_at = answered_at + self.delay(front, server);
        self.events.push(arrives_at, Event::AnswerArrives { invite, incarnation, answer });
    }

    pub(super) fn on_answer(&mut self, invite: Invite, incarnation: u32, answer: Answer) {
        let Invite { id, front, session, server } = invite;
        // A server that stops loses the INVITEs that it had accepted, so their answers are never sent.
        if self.servers[server as usize].incarnation != incarnation || !self.reaches_server(front, server) {
            return;
        }
        if self.fronts[front as usize].is_halted {
            let event = Event::AnswerArrives { invite, incarnation, answer };
            return self.events.push(self.now + HALTED_RECHECK_INTERVAL_US, event);
        }
        self.observe(front, Observation::InviteAnswered { invite: id });
        let state = &mut self.fronts[front as usize];
        state.controller.advance_to(moment(self.now));
        match (state.pending_call(session, id), answer) {
            // The front no longer waits for this INVITE: the server frees the line.
            (None, Answer::Established) => self.servers[server as usize].lines_in_use -= 1,
            (None, _) => {}
            (Some(call), Answer::Established) => {
                call.is_established = true;
                let request = call.request;
                state.controller.on_call_established(SessionIx::new(session));
                self.establish(invite, incarnation, request);
            }
            (Some(_), _) => {
                let no_line = answer == Answer::NoLine;
                let rejected = InviteOutcome::Rejected { no_line, retry_after: None };
                self.end_invite(invite, rejected, false);
            }
        }
        self.run_front(front);
    }

    /// Credits the value of an established call, less if it is late, and schedules the end of the call.
    fn establish(&mut self, invite: Invite, incarnation: u32, request: usize) {
        let request = &mut self.requests[request];
        let is_late = self.now - request.requested_at > server::POST_DIAL_TARGET_US;
        request.served_value = request.value() * if is_late { server::LATE_VALUE_SHARE } else { 1.0 };
        let hold_seconds = exponential(1e6 / server::MEAN_HOLD_TIME_US as f64).sample(&mut self.rng);
        let ends_at = self.now + (hold_seconds * 1e6) as u64;
        self.events.push(ends_at, Event::CallEnds { invite, incarnation });
    }

    /// A front cancels an INVITE that is still pending.
    pub(super) fn on_invite_timeout(&mut self, invite: Invite) {
        let Invite { id, front, session, .. } = invite;
        let state = &mut self.fronts[front as usize];
        if state.pending_call(session, id).is_none() {
            return;
        }
        state.controller.advance_to(moment(self.now));
        self.end_invite(invite, InviteOutcome::TimedOut, false);
        self.observe(front, Observation::InviteCancelled { invite: id });
        self.run_front(front);
    }

    /// An established call ends: the server frees its line, and the front releases the session.
    pub(super) fn on_call_end(&mut self, invite: Invite, incarnation: u32) {
        let Invite { id, front, session, server } = invite;
        let server = &mut self.servers[server as usize];
        if server.incarnation == incarnation {
            server.lines_in_use -= 1;
        }
        let state = &mut self.fronts[front as usize];
        if state.calls.get(&session).is_some_and(|call| call.invite == id) {
            state.end_call(session);
            state.controller.advance_to(moment(self.now));
            self.end_invite(invite, InviteOutcome::Released, true);
        }
    }

    /// Reports the outcome of an INVITE to the front's controller.
    fn end_invite(&mut self, invite: Invite, outcome: InviteOutcome, is_final: bool) {
        let controller = &mut self.fronts[invite.front as usize].controller;
        let (session, server) = (SessionIx::new(invite.session), ServerIx::new(invite.server as usize));
        controller.on_invite_ended(session, server, outcome, is_final);
    }
}

fn exponential(rate: f64) -> Exp<f64> {
    Exp::new(rate).expect("the rate is a positive constant")
}
