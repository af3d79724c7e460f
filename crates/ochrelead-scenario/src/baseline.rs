//! Textbook policies in the module's place, for comparison only.
//!
//! They are meant to keep the rules that cost them nothing: one INVITE at a time, the release awaited, no new call to a
//! server that leaves. Neither of them considers load.

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

/// The re-sends of a call by [`BaselineKind::Random`].
const MAX_RESENDS: u32 = 3;
/// No INVITE leaves so shortly before the deadline.
const MIN_TIME_LEFT: Span = Span::from_millis(20);
/// The least pause, in milliseconds, after an INVITE that was rejected: without one, two rejections by one server
/// would be a loop that takes no time.
const REJECTION_PAUSE_MS: u64 = 10;
/// Pauses are longer by a random number of milliseconds below this.
const PAUSE_JITTER_MS: u64 = 5;

/// Which textbook policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselineKind {
    /// A server at random, and up to three immediate re-sends to others at random.
    Random,
    /// The destination, again and again while there is time.
    Unbounded,
}

struct PendingCall {
    request: CallRequest,
    invites: u32,
    /// Whether an INVITE of it is outstanding.
    outstanding: bool,
    last_server: Option<ServerIx>,
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
    /// When which call is to be evaluated.
    due: BTreeSet<(Moment, SessionIx)>,
    rng: Pcg64Mcg,
}

impl Baseline {
    /// A policy that knows no server yet. An INVITE without an answer is given up after `answer_timeout`.
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

    /// Decides on a call, unless one of its INVITEs is outstanding or it has to wait.
    fn evaluate(&mut self, session: SessionIx) -> Option<Decision> {
        let call = self.calls.get(&session).filter(|call| !call.outstanding)?;
        if call.not_before > self.now {
            self.due.insert((call.not_before, session));
            return None;
        }
        let may_send = call.invites < self.max_invites() && self.now + MIN_TIME_LEFT < call.request.deadline;
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

    fn on_invite_ended(&mut self, session: SessionIx, _: ServerIx, outcome: InviteOutcome, is_over: bool) {
        if is_over {
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
