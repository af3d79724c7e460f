//! The front from a datagram in to datagrams out.
//!
//! A session's way: a gateway's NTFY is read (`callers`) and offered to the module; the module's INVITE becomes
//! a CRCX on a server's trunk group (`servers`); the server's 200 makes the caller's MDCX, its refusal goes back
//! to the module; the module's refusal or failure becomes the caller's busy or reorder tone. What the host hands
//! in only updates what is known; [`Engine::turn`] then pulls decisions until there is none.

mod call_table;
mod caller_side;
mod server_side;

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_config::front_config::FrontConfig;
use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{
    Decision, DecisionReason, InviteOutcome, LineCapacity, RejectionCause, ServerSnapshot,
};
use ochrelead_discovery::roster::{Roster, Said};
use ochrelead_mgcp::exchange::{Claim, Exchange, News};
use ochrelead_mgcp::message::{Command, Endpoint, Response, TransactionId, Verb, code, name};

use crate::drain::DrainState;
use crate::events::{EngineEvent, SessionStep};
use crate::releases::{PendingReleases, Release};
use call_table::{Call, CallTable, Circuit, Phase, SessionKey};
use ochrelead_host::call_policy::CallPolicy;
use ochrelead_host::called_numbers::CalledNumberTable;
use ochrelead_host::recent_ids::RecentIds;

/// Numbers that are remembered at once: a flood of fresh ones pushes the oldest out.
const MOST_NUMBERS: usize = 65_536;
/// Hang-ups that no held session belongs to are remembered, for so many tries.
const MOST_HUNG_UP: usize = 16_384;
/// A turn that comes so much later than it was asked for, as a share of the shortest post-dial target, is told. A front
/// that has nothing to do looks at the clock as often: else it could not tell that it stood still.
const PULSES: u64 = 6;
/// What a busy machine's clock may be late by, as a share of the answer margin; beyond it what is read may have lain
/// there since the last turn. Less than the margin, or an answer that is in time by this clock is late for its caller.
const LATE_SHARE: f64 = 0.8;
/// Notes that wait for the host; what comes beyond is dropped, the sessions go on.
const MOST_NOTES: usize = 65_536;

/// What a command of ours is about, until its response comes.
enum Pending {
    Invite(SessionKey),
    /// The release of a call that stood.
    Release(SessionKey, ServerIx),
    /// The caller was told that its call stands.
    Connect(SessionKey),
    /// A call taken down at a server.
    TakeDown,
    /// A tone, or a caller's half taken down: nothing hangs on the response.
    Courtesy,
}

/// A front without I/O.
pub struct Engine {
    commission: FrontConfig,
    judge: Box<dyn CallPolicy + Send>,
    now: Moment,
    exchange: Exchange,
    book: CallTable,
    roster: Roster,
    numbers: CalledNumberTable,
    pending: HashMap<TransactionId, Pending>,
    /// Tries that are over, though this front does not hold them: nothing is set up for what still comes of them.
    hung_up: RecentIds,
    releases: PendingReleases,
    service: DrainState,
    /// How often it looks at the clock at the least.
    pulse: Span,
    notes: VecDeque<EngineEvent>,
    alarm: Option<Moment>,
    /// The last turn, and the most that what is read now may have waited to be read.
    turned: Moment,
    waited: Span,
    /// When anything was last heard of each server.
    heard: Vec<Option<Moment>>,
    /// The lines of each server that were last noted.
    noted: Vec<Option<LineCapacity>>,
}

impl Engine {
    /// A front in service. `first`: where its transaction ids begin, other at each start.
    pub fn new(
        commission: FrontConfig,
        judge: Box<dyn CallPolicy + Send>,
        first: u32,
        now: Moment,
    ) -> Engine {
        let roster = commission.servers.clone();
        let targets = commission.controller.services.iter().map(|service| service.post_dial_target);
        let pulse = targets.min().unwrap_or(Span::from_secs(1)) / PULSES;
        let mut engine = Engine {
            exchange: Exchange::new(commission.pace, first),
            releases: PendingReleases::new(&commission.pace),
            commission,
            judge,
            now,
            book: CallTable::default(),
            roster: Roster::default(),
            numbers: CalledNumberTable::new(MOST_NUMBERS),
            pending: HashMap::new(),
            hung_up: RecentIds::new(MOST_HUNG_UP),
            service: DrainState::InService,
            pulse,
            notes: VecDeque::new(),
            alarm: None,
            turned: now,
            waited: Span::ZERO,
            heard: Vec::new(),
            noted: Vec::new(),
        };
        engine.update_endpoints(now, &roster);
        engine
    }

    fn advance_to(&mut self, now: Moment) {
        let late = self.alarm.map_or(Span::ZERO, |alarm| now.since(alarm));
        let usual = self
            .commission
            .answer_margin
            .scaled(LATE_SHARE)
            .max(self.commission.controller.min_turn_interval * 4);
        if late > usual {
            // What came since the last turn lay unread, nobody knows how long.
            self.waited = now.since(self.turned);
        }
        if late > self.pulse {
            self.alarm = None;
            self.note(EngineEvent::Stalled(late));
        }
        self.now = self.now.max(now);
        self.judge.advance_to(self.now);
    }

    fn hear_of(&mut self, server: ServerIx) {
        if self.heard.len() <= server.index() {
            self.heard.resize(server.index() + 1, None);
        }
        self.heard[server.index()] = Some(self.now);
    }

    /// What is held of each listed server, and how long nothing was heard of it (none where nothing ever was).
    pub fn server_snapshots(&self) -> Vec<(String, ServerSnapshot, Option<Span>)> {
        let of = |name: String| {
            let server = self.roster.named(&name)?;
            let heard = self.heard.get(server.index()).copied().flatten();
            Some((name, self.judge.server_snapshot(server)?, heard.map(|at| self.now.since(at))))
        };
        self.roster.posts().into_iter().filter_map(|(post, _)| of(post.name)).collect()
    }

    // ---- What comes in ----

    /// A datagram has come.
    pub fn handle_datagram(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.advance_to(now);
        self.exchange.take(self.now, from, bytes);
        self.hear();
    }

    /// The server list is given anew, whole.
    pub fn update_endpoints(&mut self, now: Moment, posts: &[ServerEndpoint]) {
        self.advance_to(now);
        self.commission.numbering_plan.set_servers(posts);
        for (at, name) in self.commission.service_names.iter().enumerate() {
            let takes = |post: &&ServerEndpoint| post.services.is_empty() || post.services.contains(name);
            let mut servers: Vec<i64> = posts.iter().filter(takes).map(|post| post.number).collect();
            // What the settings say of a service holds where the list says nothing of it.
            let own = &self.commission.controller.services[at].servers;
            servers.retain(|number| own.is_empty() || own.contains(number));
            let all = servers.len() == posts.len();
            self.judge.on_service_servers(ServiceIx::new(at), if all { &[] } else { &servers });
        }
        let listings = self.roster.relist(posts, self.now);
        self.judge.on_endpoints(true, &listings);
        self.note(EngineEvent::EndpointsChanged(self.roster.posts()));
    }

    /// What the servers had said of themselves in a former life of this front.
    pub fn restore_self_reports(&mut self, now: Moment, kept: &[(ServerEndpoint, Said)]) {
        self.advance_to(now);
        let listings = self.roster.remember(kept);
        self.judge.on_endpoints(true, &listings);
        self.note(EngineEvent::EndpointsChanged(self.roster.posts()));
    }

    /// One line a server: its state and the reason for it.
    pub fn status(&self) -> Vec<String> {
        self.roster.status()
    }

    /// A datagram could not leave. A set-up to that address has failed to connect; all else is repeated.
    pub fn on_send_failed(&mut self, now: Moment, to: SocketAddr) {
        self.advance_to(now);
        let Some(server) = self.roster.at(to) else { return };
        for session in self.book.inviting_at(server) {
            // The server may have moved: what is out to its other address is under way.
            if self.held_by(session).is_some_and(|(_, address)| address == to) {
                self.invite_over(session, InviteOutcome::ConnectFailed);
            }
        }
    }

    /// To leave service: no new sessions, each held one gets its answer, within the bound of the settings.
    pub fn drain(&mut self, now: Moment) {
        self.advance_to(now);
        self.service.start(self.now, self.commission.drain_time);
    }

    /// Whether a front that leaves owes nothing any more.
    pub fn is_drained(&self) -> bool {
        self.service == DrainState::Closed
    }

    // ---- What goes out ----

    /// All that is due now: repeats, time-outs, and the module's decisions.
    pub fn process(&mut self, now: Moment) {
        self.advance_to(now);
        self.exchange.tick(self.now);
        self.hear();
        while let Some(session) = self.book.next_timed_out(self.now) {
            self.invite_over(session, InviteOutcome::TimedOut);
        }
        if self.service.is_overdue(self.now) {
            for index in self.book.unanswered() {
                self.give_up_at_last(index);
            }
        }
        while let Some(release) = self.releases.next_due(self.now) {
            self.ask_release(release);
        }
        while let Some(decision) = self.judge.next_decision() {
            self.carry_out(decision);
        }
        // Where a decision met a table that is full, its session came back to the module.
        self.service.update(self.now, self.owed(), self.commission.drain_time);
        let alarms = [
            self.judge.poll_timeout(),
            self.exchange.wake(),
            self.book.poll_timeout(),
            self.releases.poll_timeout(),
        ];
        let alarms =
            alarms.into_iter().chain([self.service.poll_timeout(self.now, self.commission.drain_time)]);
        self.alarm = alarms.flatten().chain([self.now + self.pulse]).min();
        (self.turned, self.waited) = (self.now, Span::ZERO);
    }

    fn owed(&self) -> usize {
        self.book.unanswered().len() + self.exchange.load().0 + self.releases.scheduled()
    }

    /// When the host is to call [`Engine::turn`] although nothing came.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.alarm
    }

    pub fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.exchange.next_datagram()
    }

    pub fn poll_event(&mut self) -> Option<EngineEvent> {
        self.notes.pop_front()
    }

    /// Releases that servers have not confirmed.
    pub fn unconfirmed_releases(&self) -> usize {
        self.releases.unconfirmed()
    }

    /// Whether the session of that try is held.
    pub fn has_session(&self, tried: &str) -> bool {
        self.book.find(tried).is_some()
    }

    /// Sessions held (with a final answer or not) and commands that wait for a response.
    pub fn load(&self) -> (usize, usize) {
        (self.book.len(), self.exchange.load().0)
    }

    // ---- Between ----

    fn note(&mut self, note: EngineEvent) {
        if self.notes.len() < MOST_NOTES {
            self.notes.push_back(note);
        }
    }

    fn step(&mut self, session: SessionIx, what: SessionStep) {
        if let Some(call) = self.book.get(session) {
            let tried = call.attempt.clone();
            self.note(EngineEvent::Session { attempt: tried, step: what });
        }
    }

    fn pass_over(&mut self, from: SocketAddr, why: impl Into<String>) {
        self.note(EngineEvent::MessageIgnored { from: from.to_string(), reason: why.into() });
    }

    fn hear(&mut self) {
        while let Some(news) = self.exchange.next_news() {
            match news {
                News::Asked { from, command } => self.asked(from, command),
                News::Answered { from, response, claim } => self.answered(from, &response, claim),
                News::Unanswered { transaction, .. } => self.unanswered(transaction),
                News::Repeated { .. } => {}
                News::Unread { from, broken } => self.pass_over(from, broken.to_string()),
                News::Refused { from, fault } => self.pass_over(from, fault.to_string()),
                News::Crowded { from, .. } => self.pass_over(from, "too many commands in work"),
            }
        }
    }

    fn asked(&mut self, from: SocketAddr, command: Command) {
        if let Some(server) = self.roster.at(from) {
            self.hear_of(server);
            self.learn(server, &command.parameters);
        }
        match command.verb {
            Verb::Notify if self.roster.at(from).is_none() => self.notified(from, &command),
            Verb::Notify => {
                self.exchange.answer(from, Response::new(code::DONE, command.transaction));
                if let Some(server) = self.roster.at(from) {
                    self.note_lines(server, &command.parameters);
                }
            }
            Verb::DeleteConnection => self.cut_by_server(from, &command),
            Verb::RestartInProgress => self.restart_told(from, &command),
            Verb::AuditEndpoint => self.exchange.answer(from, Response::new(code::DONE, command.transaction)),
            _ => {
                // Only gateways and servers carry these out (RFC 3435 section 2.3).
                self.exchange.answer(from, Response::new(code::UNSUPPORTED, command.transaction));
                self.pass_over(from, format!("{} is not for a call agent", command.verb.code()));
            }
        }
    }

    fn answered(&mut self, from: SocketAddr, response: &Response, claim: Claim) {
        if let Some(server) = self.roster.at(from) {
            self.hear_of(server);
            self.learn(server, &response.parameters);
        }
        if claim != Claim::Awaited {
            // Given up, or asked by the process that ran here before: what was set up is taken down again. The id may
            // be that of a command that waits for another peer's answer: nothing is taken from that one.
            if claim == Claim::Late {
                self.releases.on_invite_answered(response.transaction);
            }
            return self.set_up_unclaimed(from, response);
        }
        match self.pending.remove(&response.transaction) {
            Some(Pending::Invite(session)) => self.set_up_answered(session, response),
            Some(Pending::Release(session, server)) => {
                self.releases.on_confirmed(self.now, response.transaction);
                self.released(session, server, InviteOutcome::Released);
            }
            Some(Pending::Connect(session)) => {
                // The caller's gateway no longer knows the call: it has hung up, and its NTFY got lost.
                if response.code >= 400 {
                    self.caller_gone(session);
                }
            }
            Some(Pending::TakeDown) => self.releases.on_confirmed(self.now, response.transaction),
            Some(Pending::Courtesy) | None => {}
        }
    }

    fn unanswered(&mut self, transaction: TransactionId) {
        match self.pending.remove(&transaction) {
            Some(Pending::Invite(session)) if self.book.is_current(session) => {
                self.invite_over(session.index, InviteOutcome::TimedOut);
            }
            Some(Pending::Release(session, server)) => {
                self.releases.on_unanswered(self.now, transaction);
                self.released(session, server, InviteOutcome::TimedOut);
            }
            Some(Pending::TakeDown) => self.releases.on_unanswered(self.now, transaction),
            Some(Pending::Connect(session)) => self.caller_gone(session),
            _ => {}
        }
    }

    fn carry_out(&mut self, decision: Decision) {
        let denial = match self.judge.last_reason() {
            Some(DecisionReason::Rejected(denial)) => Some(denial),
            _ => None,
        };
        match decision {
            Decision::Invite { session, server, answer_timeout: patience } => {
                self.invite(session, server, patience)
            }
            Decision::Reject { session, retry_after: come_back } => self.refuse(session, come_back, denial),
            Decision::Fail { session } => self.fail(session, denial),
        }
    }

    /// Sends a command; where the table of commands is full, none.
    fn ask(&mut self, to: SocketAddr, command: Command, pending: Pending) -> Option<TransactionId> {
        self.ask_at_most(to, command, pending, u32::MAX)
    }

    fn ask_at_most(
        &mut self,
        to: SocketAddr,
        command: Command,
        pending: Pending,
        most_repeats: u32,
    ) -> Option<TransactionId> {
        match self.exchange.ask_at_most(self.now, to, command, most_repeats) {
            Ok(transaction) => {
                self.pending.insert(transaction, pending);
                Some(transaction)
            }
            Err(full) => {
                self.pass_over(to, full.to_string());
                None
            }
        }
    }

    /// The bound of a drain has passed: the session is failed and its set-up called off.
    fn give_up_at_last(&mut self, session: SessionIx) {
        self.judge.on_caller_gone(session);
        if let Some(Phase::Inviting(invite)) = self.book.get(session).map(|call| &call.phase) {
            let server = invite.server;
            self.call_off(session);
            self.judge.on_invite_ended(session, server, InviteOutcome::Cancelled, true);
        }
        self.fail(session, None);
    }
}
