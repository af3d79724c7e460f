//! Textbook routing policies that replace the controller, for comparison only.
//!
//! They keep the rules that don't depend on load: one outstanding INVITE per call, the release delay, and no new
//! calls to a server that is leaving. Neither of them considers load.

use std::collections::{BTreeMap, BTreeSet};

use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{
    CallRequest, Decision, EndpointState, EndpointUpdate, InviteOutcome, LineCapacity, LoadReport,
};
use ochrelead_host::call_policy::CallPolicy;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The maximum number of re-sends of a call by [`BaselineKind::Random`].
const MAX_RESENDS: u32 = 3;
/// The minimum time to the deadline for sending an INVITE.
const MIN_TIME_TO_DEADLINE: Span = Span::from_millis(20);
/// The minimum pause after a rejected INVITE; prevents a busy loop of INVITEs that one server rejects at once.
const REJECTION_PAUSE_MS: u64 = 10;
/// The exclusive upper bound of the random time that is added to pauses.
const PAUSE_JITTER_MS: u64 = 5;

/// The kind of textbook policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// Sends to a random server, with up to three re-sends, each to a random server other than the last one.
    Random,
    /// Sends to the destination server, with re-sends until the deadline.
    Unbounded,
}

struct PendingCall {
    request: CallRequest,
    /// The number of INVITEs sent.
    invites: u32,
    /// Whether one of its INVITEs is outstanding.
    outstanding: bool,
    last_server: Option<ServerIx>,
    /// The earliest time of the next INVITE.
    not_before: Moment,
}

struct KnownServer {
    number: i64,
    ready: bool,
}

/// A textbook policy.
pub struct Baseline {
    kind: BaselineKind,
    now: Moment,
    resend_delay: Span,
    answer_timeout: Span,
    calls: BTreeMap<SessionIx, PendingCall>,
    servers: BTreeMap<ServerIx, KnownServer>,
    /// Calls to evaluate, ordered by time.
    due: BTreeSet<(Moment, SessionIx)>,
    rng: Pcg64Mcg,
}

impl Baseline {
    /// Creates a policy without servers. An INVITE times out after `answer_timeout` without an answer.
    pub fn new(kind: BaselineKind, resend_delay: Span, answer_timeout: Span, seed: u64) -> Baseline {
        Baseline {
            kind,
            now: Moment::START,
            resend_delay,
            answer_timeout,
            calls: BTreeMap::new(),
            servers: BTreeMap::new(),
            due: BTreeSet::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Returns the decision on a call; `None` if one of its INVITEs is outstanding or its pause is not over.
    fn evaluate(&mut self, session: SessionIx) -> Option<Decision> {
        let call = self.calls.get(&session).filter(|call| !call.outstanding)?;
        if call.not_before > self.now {
            self.due.insert((call.not_before, session));
            return None;
        }
        let may_send =
            call.invites < self.max_invites() && self.now + MIN_TIME_TO_DEADLINE < call.request.deadline;
        let (destination, last_server) = (call.request.destination, call.last_server);
        let server = self.choose_server(destination, last_server);
        let Some(server) = server.filter(|_| may_send) else {
            self.calls.remove(&session);
            return Some(Decision::Reject { session, retry_after: None });
        };
        let call = self.calls.get_mut(&session)?;
        call.invites += 1;
        call.outstanding = true;
        call.last_server = Some(server);
        Some(Decision::Invite { session, server, answer_timeout: Some(self.answer_timeout) })
    }

    fn max_invites(&self) -> u32 {
        match self.kind {
            BaselineKind::Random => 1 + MAX_RESENDS,
            BaselineKind::Unbounded => u32::MAX,
        }
    }

    fn choose_server(&mut self, destination: i64, last_server: Option<ServerIx>) -> Option<ServerIx> {
        let ready: Vec<ServerIx> =
            self.servers.iter().filter(|(_, server)| server.ready).map(|(index, _)| *index).collect();
        match self.kind {
            BaselineKind::Random => {
                let others: Vec<ServerIx> =
                    ready.iter().copied().filter(|server| Some(*server) != last_server).collect();
                others.choose(&mut self.rng).or(ready.first()).copied()
            }
            BaselineKind::Unbounded => {
                let is_destination = |server: &&ServerIx| self.servers[*server].number == destination;
                ready.iter().find(is_destination).or(ready.first()).copied()
            }
        }
    }
}

impl CallPolicy for Baseline {
    fn advance_to(&mut self, now: Moment) {
        self.now = self.now.max(now);
    }

    fn on_call_request(&mut self, session: SessionIx, request: CallRequest) {
        let call =
            PendingCall { request, invites: 0, outstanding: false, last_server: None, not_before: self.now };
        self.calls.insert(session, call);
        self.due.insert((self.now, session));
    }

    fn on_call_established(&mut self, session: SessionIx) {
        self.calls.remove(&session);
    }

    fn on_invite_ended(
        &mut self,
        session: SessionIx,
        _: ServerIx,
        outcome: InviteOutcome,
        is_call_over: bool,
    ) {
        if is_call_over {
            self.calls.remove(&session);
        }
        let Some(call) = self.calls.get_mut(&session) else { return };
        call.outstanding = false;
        let awaits_release =
            matches!(outcome, InviteOutcome::TimedOut | InviteOutcome::Reset | InviteOutcome::Cancelled);
        let jitter_ms = self.rng.random_range(0..PAUSE_JITTER_MS);
        let pause = if awaits_release {
            self.resend_delay + Span::from_millis(jitter_ms)
        } else {
            Span::from_millis(REJECTION_PAUSE_MS + jitter_ms)
        };
        call.not_before = self.now + pause;
        self.due.insert((call.not_before, session));
    }

    fn on_caller_gone(&mut self, session: SessionIx) {
        self.calls.remove(&session);
    }

    fn on_endpoints(&mut self, is_complete: bool, updates: &[EndpointUpdate]) {
        if is_complete {
            self.servers.clear();
        }
        for update in updates {
            let ready = matches!(update.state, EndpointState::Ready { .. });
            self.servers.insert(update.server, KnownServer { number: update.number, ready });
        }
    }

    fn on_service_servers(&mut self, _service: ServiceIx, _servers: &[i64]) {}

    fn on_line_capacity(&mut self, _server: ServerIx, _lines: LineCapacity) {}

    fn on_load_report(&mut self, _server: ServerIx, _report: LoadReport) {}

    fn next_decision(&mut self) -> Option<Decision> {
        while let Some(&(moment, session)) = self.due.first() {
            if moment > self.now {
                return None;
            }
            self.due.pop_first();
            if let Some(decision) = self.evaluate(session) {
                return Some(decision);
            }
        }
        None
    }

    fn poll_timeout(&mut self) -> Option<Moment> {
        self.due.first().map(|(moment, _)| *moment)
    }
}
