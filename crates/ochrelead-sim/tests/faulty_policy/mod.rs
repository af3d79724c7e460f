//! A call policy with one deliberate fault.

use std::collections::{BTreeMap, BTreeSet};

use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_core::types::{
    CallRequest, Decision, DecisionReason, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity,
    LoadReport, ServerSnapshot,
};
use ochrelead_host::call_policy::CallPolicy;

/// A deliberate fault of a call policy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum PolicyFault {
    /// An INVITE that needs a release is reported as rejected, so the release is not awaited.
    ReleaseWaitSkipped,
    /// A draining server is reported as ready.
    DrainIgnored,
    /// The start time of a server is withheld, so it is not warmed up.
    StartTimeIgnored,
    /// Rejections and failures are dropped, so the caller gets no final answer.
    FinalAnswerOmitted,
    /// Every INVITE decision is made twice.
    ConcurrentInvites,
    /// Rejections become INVITEs that are not charged to the retry budget.
    RetryBudgetBypassed,
}

/// From this rejection of a session on, rejections are no longer replaced by INVITEs.
const FREE_INVITE_LIMIT: u32 = 8;

/// Delegates to another policy and injects one fault.
pub(crate) struct FaultyPolicy {
    fault: PolicyFault,
    policy: Box<dyn CallPolicy + Send>,
    /// A decision to return a second time.
    repeated: Option<Decision>,
    /// The number of rejections per session that were considered for replacement by an INVITE.
    free_invites: BTreeMap<SessionIx, u32>,
    /// All servers that have been listed.
    servers: BTreeSet<ServerIx>,
}

impl FaultyPolicy {
    pub(crate) fn new(fault: PolicyFault, policy: Box<dyn CallPolicy + Send>) -> FaultyPolicy {
        let (free_invites, servers) = (BTreeMap::new(), BTreeSet::new());
        FaultyPolicy { fault, policy, repeated: None, free_invites, servers }
    }

    /// Returns the state of a server that is passed to the policy.
    fn altered_state(&self, state: EndpointState) -> EndpointState {
        let ready = EndpointState::Ready { started: None };
        match (self.fault, state) {
            (PolicyFault::DrainIgnored, EndpointState::Draining) => ready,
            (PolicyFault::StartTimeIgnored, EndpointState::Ready { .. }) => ready,
            (_, state) => state,
        }
    }

    /// Returns an INVITE that is not charged to the retry budget, to replace a rejection.
    fn free_invite(&mut self, session: SessionIx) -> Option<Decision> {
        let invites = self.free_invites.entry(session).or_insert(0);
        *invites += 1;
        let server = self.servers.first().copied().filter(|_| *invites < FREE_INVITE_LIMIT)?;
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
        let altered = |update: &EndpointUpdate| {
            let state = self.altered_state(update.state);
            EndpointUpdate { state, ..*update }
        };
        let updates: Vec<EndpointUpdate> = updates.iter().map(altered).collect();
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
            (PolicyFault::FinalAnswerOmitted, Decision::Reject { .. } | Decision::Fail { .. }) => {
                self.next_decision()
            }
            (PolicyFault::ConcurrentInvites, Decision::Invite { .. }) => {
                self.repeated = Some(decision);
                Some(decision)
            }
            (PolicyFault::RetryBudgetBypassed, Decision::Reject { session, .. }) => {
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
