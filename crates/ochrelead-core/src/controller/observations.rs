//! What is made of what is seen; nothing goes out here.

use rand::RngExt;

use super::health::EASY_SHARE;
use super::{Controller, LONG, PRESENT};
use crate::index::{ServerIx, ServiceIx, SessionIx};
use crate::state::{Desk, Out, Server, Session};
use crate::time::Span;
use crate::types::{CallRequest, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity, LoadReport};

/// A session to a number given up on less than so many post-dial targets ago is taken for a redial.
const REDIAL_TARGETS: u64 = 4;
/// For so many targets after a sign of it, a server's answers are held to get lost.
const LOSSY_TARGETS: u64 = 8;
/// How far one session moves the mean worth.
const WORTH_STEP: f64 = 0.05;
/// The width of the buckets of lines told.
const TOLD: Span = Span::from_secs(1);

impl Controller {
    pub fn on_call_request(&mut self, session: SessionIx, offer: CallRequest) {
        // Redials pass for first tries where nothing marks them: they are known by their number.
        let (now, memory) = (self.now, self.target * REDIAL_TARGETS);
        let known = offer.called_number.map(|number| self.numbers.get(number)).unwrap_or_default();
        let again = known.given_up.filter(|given_up| now.since(*given_up) < memory);
        let first_tried = again.map_or(now, |_| known.first_tried);
        if let Some(number) = offer.called_number {
            self.numbers.get_mut(number).first_tried = first_tried;
        }
        if let Some(quota) = offer.tenant.and_then(|member| self.quotas.get_mut(member.index())) {
            quota.asked.record(now, Span::ZERO);
        }
        if let Some(desk) = self.desks.get_mut(offer.service.index()) {
            desk.offered += 1.0;
        }
        for at in self.servers.iter_mut().filter(|at| at.number == offer.destination) {
            at.wanted.record(now, Span::ZERO);
        }
        let luck = self.chance.random::<f64>();
        let held = Session::new(offer, now, first_tried, luck);
        self.usual_worth += (self.worth(&held) - self.usual_worth) * WORTH_STEP;
        self.sessions.put(session, held);
        self.due.insert((self.now, session));
    }

    /// The session's INVITE was answered: the call stands.
    pub fn on_call_established(&mut self, session: SessionIx) {
        let now = self.now;
        let Some(held) = self.sessions.get_mut(session) else { return };
        let Some(Out { server, sent }) = held.out.take() else { return };
        held.standing = true;
        if let Some(number) = held.offer.called_number {
            self.numbers.get_mut(number).run = 0;
        }
        let took = now.since(sent) - self.overslept;
        self.answers.record(now, took);
        let slow = self.target.scaled(EASY_SHARE * 2.0);
        let at = &mut self.servers[server.index()];
        at.out.retain(|(_, out)| *out != session);
        at.present.record(now, took);
        at.long.record(now, took);
        at.latest = Some((now, took));
        at.answered_sent = at.answered_sent.max(sent);
        at.heard = now;
        at.troubled = false;
        if took > slow {
            at.cut_weight(now);
        }
        if took > self.target {
            at.fall_sick(now, self.target, self.target);
        } else {
            (at.sick, at.gap) = (false, Span::ZERO);
        }
    }

    /// An INVITE, or the call that it set up, has ended. `over`: the session has its answer.
    pub fn on_invite_ended(
        &mut self,
        session: SessionIx,
        server: ServerIx,
        ending: InviteOutcome,
        over: bool,
    ) {
        let now = self.now;
        let sent = self.sessions.get(session).and_then(|held| held.out).map_or(now, |out| out.sent);
        if let Some(at) = self.servers.get_mut(server.index()) {
            at.out.retain(|(_, out)| *out != session);
            // No answer, though a later INVITE had one: it was lost, and the server is not slow. Else what
            // was waited for took longer than that: forgotten as it ends, one INVITE of each front after the
            // other keeps a jammed server jammed. Harm: where answers get lost, it is held back for a while.
            if ending == InviteOutcome::TimedOut {
                match sent < at.answered_sent {
                    true => at.lossy_until = now + self.target * LOSSY_TARGETS,
                    false => at.latest = Some((now, now.since(sent))),
                }
            }
            match ending {
                // Busy lines, a number's or its own, are no trouble of the processor.
                InviteOutcome::Released => at.heard = now,
                // Nor does a trial that met them tell whether it is fit: the next session is another.
                InviteOutcome::Failed { lines_busy: true } => (at.heard, at.tried) = (now, false),
                // A server that answers quickly with faults would draw ever more sessions into them.
                InviteOutcome::Failed { lines_busy: false } => {
                    at.heard = now;
                    at.meet_trouble(now);
                    at.fall_sick(now, self.target, self.target);
                    at.faulty = true;
                }
                InviteOutcome::Rejected { no_line: true, .. } => {
                    (at.heard, at.lines.free, at.sick) = (now, 0, false);
                    at.cut_weight(now);
                }
                InviteOutcome::Rejected { retry_after: wait, .. } => {
                    at.heard = now;
                    at.meet_trouble(now);
                    if at.sick || wait.is_some() {
                        at.fall_sick(now, wait.unwrap_or(self.target), self.target);
                    }
                }
                InviteOutcome::ConnectFailed => at.fall_sick(now, self.target, self.target),
                InviteOutcome::TimedOut
                | InviteOutcome::Reset
                | InviteOutcome::Cancelled
                | InviteOutcome::Unsent => {
                    at.meet_trouble(now);
                    // A trial that ends without an answer leaves the server sick, for longer.
                    if at.sick {
                        at.fall_sick(now, self.target, self.target);
                    }
                }
            }
        }
        let (target, release_wait) = (self.target, self.release_wait);
        let Some(held) = self.sessions.get_mut(session) else { return };
        held.last = Some(ending);
        let number = held.offer.called_number;
        if over || held.over || held.standing {
            self.forget(session);
        } else {
            held.out = None;
            held.spurned.push(server);
            if matches!(ending, InviteOutcome::TimedOut | InviteOutcome::Reset | InviteOutcome::Cancelled) {
                held.not_before = now + release_wait;
            }
            held.due = Some(now);
            self.due.insert((now, session));
        }
        // A number whose lines were all busy is left alone, longer each time; a release frees one.
        if let Some(number) = number {
            let known = self.numbers.get_mut(number);
            match ending {
                InviteOutcome::Failed { lines_busy: true } => {
                    known.run = known.run.saturating_add(1);
                    known.busy_until = now + target * u64::from(known.run.min(4));
                }
                InviteOutcome::Released => known.busy_until = now,
                _ => {}
            }
        }
    }

    /// The caller has gone, or the session was answered elsewhere.
    pub fn on_caller_gone(&mut self, session: SessionIx) {
        let Some(held) = self.sessions.get_mut(session) else { return };
        held.over = true;
        if held.out.is_none() {
            self.forget(session);
        }
    }

    /// News of the server list; `whole` where it names all servers there are.
    pub fn on_endpoints(&mut self, whole: bool, listings: &[EndpointUpdate]) {
        let now = self.now;
        if whole {
            self.servers.iter_mut().for_each(|server| server.open = false);
        }
        for listing in listings {
            while self.servers.len() <= listing.server.index() {
                self.servers.push(Server::new(now, self.fall_after / 4, TOLD, PRESENT, LONG));
            }
            let warm_after = self.warm_after;
            let server = &mut self.servers[listing.server.index()];
            server.number = listing.number;
            server.listed_weight = listing.weight;
            server.open = matches!(listing.state, EndpointState::Ready { .. });
            if let EndpointState::Ready { started: Some(started) } = listing.state
                && server.started != Some(started)
            {
                server.started = Some(started);
                if started + warm_after > now {
                    server.restart(now, started + warm_after);
                }
            }
        }
    }

    /// The numbers of the servers that take a service from now on; any where none is named.
    pub fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]) {
        if let Some(desk) = self.desks.get_mut(service.index()) {
            desk.servers = servers.to_vec();
        }
    }

    pub fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity) {
        let hold = Desk::mean_hold(&self.desks);
        if let Some(at) = self.servers.get_mut(server.index()) {
            at.told(self.now, lines, hold);
        }
    }

    /// What share of the sessions a server takes from now on, at all fronts alike: 1 where it is not eased.
    pub fn on_zone_share(&mut self, server: ServerIx, share: f64) {
        if let Some(at) = self.servers.get_mut(server.index()) {
            at.eased = share;
        }
    }

    /// What a server says of its processor.
    pub fn on_load_report(&mut self, server: ServerIx, report: LoadReport) {
        let Some(at) = self.servers.get_mut(server.index()) else { return };
        if report != LoadReport::default() {
            (at.report, at.reported) = (report, self.now);
        }
    }
}
