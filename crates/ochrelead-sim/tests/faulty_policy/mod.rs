//! A policy with one thing wrong.

use std::collections::{BTreeMap, BTreeSet};

use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_core::types::{
    CallRequest, Decision, DecisionReason, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity,
    LoadReport, ServerSnapshot,
};
use ochrelead_host::call_policy::CallPolicy;

/// What is wrong with a policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PolicyFault {
    ReleaseWaitSkipped,
    DrainReadAsAdvice,
    StartForgotten,
    AnswerForgotten,
    InvitedTwice,
    TokenNotCharged,
}

/// How many rejections of a session become INVITEs.
const MAX_FREE_INVITES: u32 = 8;

/// A policy that decides as another one does, but for one fault.
pub(crate) struct FaultyPolicy {
    fault: PolicyFault,
    policy: Box<dyn CallPolicy + Send>,
    /// A decision that is taken a second time.
    repeated: Option<Decision>,
    /// INVITEs in place of rejections.
    free_invites: BTreeMap<SessionIx, u32>,
    /// All servers that were listed.
    servers: BTreeSet<ServerIx>,
}

impl FaultyPolicy {
    pub(crate) fn new(fault: PolicyFault, policy: Box<dyn CallPolicy + Send>) -> FaultyPolicy {
        let (free_invites, servers) = (BTreeMap::new(), BTreeSet::new());
        FaultyPolicy { fault, policy, repeated: None, free_invites, servers }
    }

    /// The state of a server as the policy gets it.
    fn changed_state(&self, state: EndpointState) -> EndpointState {
        let ready = EndpointState::Ready { started: None };
        match (self.fault, state) {
            (PolicyFault::DrainReadAsAdvice, EndpointState::Draining) => ready,
            (PolicyFault::StartForgotten, EndpointState::Ready { .. }) => ready,
            (_, state) => state,
        }
    }

    /// An INVITE that no retry budget is charged for, in place of a rejection.
    fn free_invite(&mut self, session: SessionIx) -> Option<Decision> {
        let invites = self.free_invites.entry(session).or_insert(0);
        *invites += 1;
        let server = self.servers.first().copied().filter(|_| *invites < MAX_FREE_INVITES)?;
        Some(Decision::Invite { session, server, answer_timeout: None })
    }
}

impl CallPolicy for FaultyPolicy {
    fn advance_to(&mut self, now: Moment) {
        self.policy.advance_to(now);
    }

    fn on_call_request(&mut self, session: SessionIx, request: CallRequest) {
        self.free_invites.insert(session, 0);
        self.policy.on_call_request(session, request);
    }

    fn on_call_established(&mut self, session: SessionIx) {
        self.policy.on_call_established(session);
    }

    fn on_invite_ended(
        &mut self,
        session: SessionIx,
        server: ServerIx,
        outcome: InviteOutcome,
        released: bool,
    ) {
        let needs_release =
            matches!(outcome, InviteOutcome::TimedOut | InviteOutcome::Reset | InviteOutcome::Cancelled);
        let outcome = match self.fault {
            PolicyFault::ReleaseWaitSkipped if needs_release && !released => {
                InviteOutcome::Rejected { no_line: false, retry_after: None }
            }
            _ => outcome,
        };
        self.policy.on_invite_ended(session, server, outcome, released);
    }

    fn on_caller_gone(&mut self, session: SessionIx) {
        self.policy.on_caller_gone(session);
    }

    fn on_endpoints(&mut self, complete: bool, updates: &[EndpointUpdate]) {
        self.servers.extend(updates.iter().map(|update| update.server));
        let changed = |update: &EndpointUpdate| {
            let state = self.changed_state(update.state);
            EndpointUpdate { state, ..*update }
        };
        let updates: Vec<EndpointUpdate> = updates.iter().map(changed).collect();
        self.policy.on_endpoints(complete, &updates);
    }

    fn on_service_servers(&mut self, service: ServiceIx, servers: &[i64]) {
        self.policy.on_service_servers(service, servers);
    }

    fn on_line_capacity(&mut self, server: ServerIx, lines: LineCapacity) {
        self.policy.on_line_capacity(server, lines);
    }

    fn on_load_report(&mut self, server: ServerIx, report: LoadReport) {
        self.policy.on_load_report(server, report);
    }

    fn next_decision(&mut self) -> Option<Decision> {
        if let Some(repeated) = self.repeated.take() {
            return Some(repeated);
        }
        let decision = self.policy.next_decision()?;
        match (self.fault, decision) {
            (PolicyFault::AnswerForgotten, Decision::Reject { .. } | Decision::Fail { .. }) => {
                self.next_decision()
            }
            (PolicyFault::InvitedTwice, Decision::Invite { .. }) => {
                self.repeated = Some(decision);
                Some(decision)
            }
            (PolicyFault::TokenNotCharged, Decision::Reject { session, .. }) => {
                self.free_invite(session).or(Some(decision))
            }
            _ => Some(decision),
        }
    }

    fn poll_timeout(&mut self) -> Option<Moment> {
        self.policy.poll_timeout()
    }

    fn last_reason(&self) -> Option<DecisionReason> {
        self.policy.last_reason()
    }

    fn server_snapshot(&self, server: ServerIx) -> Option<ServerSnapshot> {
        self.policy.server_snapshot(server)
    }
}
