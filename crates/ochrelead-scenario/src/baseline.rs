//! Textbook policies in the module's place, for comparison only. They keep the rules that cost them nothing:
//! one INVITE at a time, the release awaited, nothing to a server that leaves; none of them minds load.

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

/// Which textbook.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A server at random, and up to three immediate re-sends to others at random.
    Random,
    /// The destination, again and again while there is time.
    Unbounded,
}

struct Held {
    offer: CallRequest,
    invites: u32,
    out: bool,
    last: Option<ServerIx>,
    not_before: Moment,
}

/// A baseline as a judge.
pub struct Baseline {
    policy: Policy,
    now: Moment,
    release_wait: Span,
    /// An INVITE is waited for this long.
    patience: Span,
    held: BTreeMap<SessionIx, Held>,
    servers: BTreeMap<ServerIx, (i64, bool)>,
    due: BTreeSet<(Moment, SessionIx)>,
    chance: Pcg64Mcg,
}

const RESENDS: u32 = 3;

impl Baseline {
    /// `target`: the post-dial target, after which an INVITE is given up for another.
    pub fn new(policy: Policy, release_wait: Span, target: Span, seed: u64) -> Baseline {
        Baseline {
            policy,
            now: Moment::START,
            release_wait,
            patience: target,
            held: BTreeMap::new(),
            servers: BTreeMap::new(),
            due: BTreeSet::new(),
            chance: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    fn judge(&mut self, session: SessionIx) -> Option<Decision> {
        let held = self.held.get(&session).filter(|held| !held.out)?;
        if held.not_before > self.now {
            self.due.insert((held.not_before, session));
            return None;
        }
        let most = if self.policy == Policy::Random { 1 + RESENDS } else { u32::MAX };
        let open: Vec<ServerIx> =
            self.servers.iter().filter(|(_, (_, open))| *open).map(|(server, _)| *server).collect();
        let server = match self.policy {
            Policy::Random => {
                let others: Vec<ServerIx> =
                    open.iter().copied().filter(|server| Some(*server) != held.last).collect();
                others.choose(&mut self.chance).or(open.first()).copied()
            }
            Policy::Unbounded => {
                let destined = |server: &&ServerIx| self.servers[*server].0 == held.offer.destination;
                open.iter().find(destined).or(open.first()).copied()
            }
        };
        let in_time = self.now + Span::from_millis(20) < held.offer.deadline;
        let Some(server) = server.filter(|_| held.invites < most && in_time) else {
            self.held.remove(&session);
            return Some(Decision::Reject { session, retry_after: None });
        };
        let held = self.held.get_mut(&session)?;
        held.invites += 1;
        (held.out, held.last) = (true, Some(server));
        Some(Decision::Invite { session, server, answer_timeout: Some(self.patience) })
    }
}

impl CallPolicy for Baseline {
    fn advance_to(&mut self, now: Moment) {
        self.now = self.now.max(now);
    }

    fn on_call_request(&mut self, session: SessionIx, offer: CallRequest) {
        let held = Held { offer, invites: 0, out: false, last: None, not_before: self.now };
        self.held.insert(session, held);
        self.due.insert((self.now, session));
    }

    fn on_call_established(&mut self, session: SessionIx) {
        self.held.remove(&session);
    }

    fn on_invite_ended(&mut self, session: SessionIx, _server: ServerIx, ending: InviteOutcome, over: bool) {
        if over {
            self.held.remove(&session);
        }
        if let Some(held) = self.held.get_mut(&session) {
            held.out = false;
            let waits =
                matches!(ending, InviteOutcome::TimedOut | InviteOutcome::Reset | InviteOutcome::Cancelled);
            // A breath between two refusals by one server: none would be a loop without time.
            let pause = Span::from_millis(if waits { 0 } else { 10 } + self.chance.random_range(0..5));
            held.not_before = self.now + if waits { self.release_wait + pause } else { pause };
            self.due.insert((held.not_before, session));
        }
    }

    fn on_caller_gone(&mut self, session: SessionIx) {
        self.held.remove(&session);
    }

    fn on_endpoints(&mut self, whole: bool, listings: &[EndpointUpdate]) {
        if whole {
            self.servers.clear();
        }
        for listing in listings {
            let open = matches!(listing.state, EndpointState::Ready { .. });
            self.servers.insert(listing.server, (listing.number, open));
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
            if let Some(decision) = self.judge(session) {
                return Some(decision);
            }
        }
        None
    }

    fn poll_timeout(&mut self) -> Option<Moment> {
        self.due.first().map(|(moment, _)| *moment)
    }
}
