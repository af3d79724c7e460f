//! Whoever decides, with one thing wrong.

use std::collections::{BTreeMap, BTreeSet};

use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_core::types::{
    CallRequest, Decision, DecisionReason, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity,
    LoadReport, ServerSnapshot,
};
use ochrelead_host::call_policy::CallPolicy;

/// What is wrong with whoever decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    ReleaseWaitSkipped,
    DrainReadAsAdvice,
    StartForgotten,
    AnswerForgotten,
    InvitedTwice,
    TokenNotCharged,
}

/// A judge that does one thing wrong.
pub struct Wrong {
    fault: Fault,
    judge: Box<dyn CallPolicy + Send>,
    again: Option<Decision>,
    invites: BTreeMap<SessionIx, u32>,
    servers: BTreeSet<ServerIx>,
}

impl CallPolicy for Wrong {
    fn advance_to(&mut self, now: Moment) {
        self.judge.advance_to(now);
    }
    fn on_call_request(&mut self, session: SessionIx, offer: CallRequest) {
        self.invites.insert(session, 0);
        self.judge.on_call_request(session, offer);
    }
    fn on_call_established(&mut self, session: SessionIx) {
        self.judge.on_call_established(session);
    }
    fn on_invite_ended(&mut self, session: SessionIx, server: ServerIx, ending: InviteOutcome, over: bool) {
        let waits =
            matches!(ending, InviteOutcome::TimedOut | InviteOutcome::Reset | InviteOutcome::Cancelled);
        let ending = match self.fault {
            Fault::ReleaseWaitSkipped if waits && !over => {
                InviteOutcome::Rejected { no_line: false, retry_after: None }
            }
            _ => ending,
        };
        self.judge.on_invite_ended(session, server, ending, over);
    }
    fn on_caller_gone(&mut self, session: SessionIx) {
        self.judge.on_caller_gone(session);
    }
    fn on_endpoints(&mut self, whole: bool, listings: &[EndpointUpdate]) {
        self.servers.extend(listings.iter().map(|own| own.server));
        let listings: Vec<EndpointUpdate> = listings
            .iter()
            .map(|own| {
                let ready = EndpointState::Ready { started: None };
                let state = match (self.fault, own.state) {
                    (Fault::DrainReadAsAdvice, EndpointState::Draining) => ready,
                    (Fault::StartForgotten, EndpointState::Ready { .. }) => ready,
                    (_, state) => state,
                };
                EndpointUpdate { state, ..*own }
            })
            .collect();
        self.judge.on_endpoints(whole, &listings);
    }
    fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]) {
        self.judge.on_service_servers(service, servers);
    }
    fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity) {
        self.judge.on_line_capacity(server, lines);
    }
    fn on_load_report(&mut self, server: ServerIx, report: LoadReport) {
        self.judge.on_load_report(server, report);
    }
    fn next_decision(&mut self) -> Option<Decision> {
        if let Some(again) = self.again.take() {
            return Some(again);
        }
        let decision = self.judge.next_decision()?;
        match (self.fault, decision) {
            (Fault::AnswerForgotten, Decision::Reject { .. } | Decision::Fail { .. }) => self.next_decision(),
            (Fault::InvitedTwice, Decision::Invite { .. }) => {
                self.again = Some(decision);
                Some(decision)
            }
            (Fault::TokenNotCharged, Decision::Reject { session, .. }) => {
                let invites = self.invites.entry(session).or_insert(0);
                *invites += 1;
                let server = self.servers.first().copied().filter(|_| *invites < 8);
                Some(server.map_or(decision, |server| Decision::Invite {
                    session,
                    server,
                    answer_timeout: None,
                }))
            }
            _ => Some(decision),
        }
    }
    fn poll_timeout(&mut self) -> Option<Moment> {
        self.judge.poll_timeout()
    }
    fn last_reason(&self) -> Option<DecisionReason> {
        self.judge.last_reason()
    }
    fn server_snapshot(&self, server: ServerIx) -> Option<ServerSnapshot> {
        self.judge.server_snapshot(server)
    }
}

impl Wrong {
    pub fn new(fault: Fault, judge: Box<dyn CallPolicy + Send>) -> Wrong {
        Wrong { fault, judge, again: None, invites: BTreeMap::new(), servers: BTreeSet::new() }
    }
}
