//! The node from what sockets bring to what goes out on them.
//!
//! A call's way: a caller's line is read (`entry`) and offered to the module; the module's INVITE leaves on a
//! connection to its server (`exit`); the server's answer makes the caller's, its refusal goes back to the module;
//! the module's refusal or failure becomes the caller's at once. What the host hands in only updates what is known;
//! [`Engine::turn`] then pulls decisions until there is none.

mod entry;
mod exit;
mod links;
mod observed;

use std::collections::VecDeque;
use std::net::SocketAddr;

use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx, TenantIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{Decision, InviteOutcome};
use ochrelead_host::call_policy::CallPolicy;
use ochrelead_host::called_numbers::CalledNumberTable;
use ochrelead_host::recent_ids::RecentIds;
use ochrelead_lease::Number;
use ochrelead_platform::caller_messages::{self, CallId, cause};
use ochrelead_platform::configuration::Configuration;
use ochrelead_platform::events::EndpointChange;
use ochrelead_zone::{ServerKey, ZoneId};
use tracing::{Level, debug};

use crate::book::{Book, Call, Phase};
use crate::bounds::{Bounds, platform};
use crate::callers::{CallerId, Callers};
use crate::roster::{LinkId, Roster};
use crate::watch::{Step, Watch, WatchId};

/// The log's target for how calls that stood came to their ends, where that was not on their usual way.
const ENDS: &str = "ochrelead_node::ends";

/// What came in.
#[derive(Debug)]
pub enum Input<'a> {
    CallerOpened(CallerId),
    CallerSaid(CallerId, &'a [u8]),
    /// It says nothing more; what it is told may still be read.
    CallerEnded(CallerId),
    CallerClosed(CallerId),
    /// All that had come from it has been told.
    HeardOut(CallerId),
    LinkUp(LinkId),
    LinkSaid(LinkId, &'a [u8]),
    /// A connection has ended, or could not be made; `refused` where nobody listened there.
    LinkClosed {
        link: LinkId,
        refused: bool,
    },
    WatchUp(WatchId),
    WatchSaid(WatchId, &'a [u8]),
    WatchClosed(WatchId),
    /// The coordinator has moved.
    Redirect(SocketAddr),
    /// To leave service.
    Leave,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    ToCaller(CallerId, Vec<u8>),
    /// All that has come from it by now is to be told, then that this was all.
    HearOut(CallerId),
    /// After what was written to it has left.
    CloseCaller(CallerId),
    Dial(LinkId, SocketAddr),
    ToLink(LinkId, Vec<u8>),
    CloseLink(LinkId),
    /// After what was written to it has left, nothing more is; it is read until its server ends it.
    HalfCloseLink(LinkId),
    Watch(Step),
}

/// What came of an INVITE, or a sign of life, for what fronts do together. An INVITE is named by its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    Asked(ServerKey, u64),
    Answered(u64),
    Failed(u64),
    CalledOff(u64),
    Alive(ServerKey),
}

/// A node without I/O.
pub struct Engine {
    judge: Box<dyn CallPolicy>,
    now: Moment,
    bounds: Bounds,
    /// The names of services and members, and the longest that a service's callers may wait.
    services: Vec<(String, Span)>,
    members: Vec<String>,
    /// The numbers of the servers that may take each service.
    places: Vec<Vec<i64>>,
    connect: Span,
    /// A connection to a server is kept idle for so long: its server closes it a connect time-out later, or a quarter
    /// of its time where that is short.
    longest_idle: Option<Span>,
    book: Book,
    callers: Callers,
    roster: Roster,
    numbers: CalledNumberTable,
    watch: Watch,
    /// INVITEs that were called off: what still stands by them is released.
    called_off: RecentIds,
    /// Calls that their servers released while nothing was held of them: a life before this one's may have had them.
    released: RecentIds,
    /// INVITEs that leave once nothing says that their callers have left.
    checked: Vec<(CallerId, SessionIx)>,
    /// Callers' connections that are closed unless something has come on them.
    retiring: Vec<CallerId>,
    /// Releases that no connection of a caller was there for.
    owed: VecDeque<(CallId, u32)>,
    /// How many of them were said since the last round.
    said: usize,
    /// Refusals of tests, by servers that have seen a higher number.
    outrun: VecDeque<(String, Number)>,
    /// The names of the districts, and what share of sessions their servers take where that is not all.
    districts: Vec<String>,
    eased: Vec<(ZoneId, f64)>,
    /// What was met is told, where anybody asks for it.
    observes: bool,
    observations: VecDeque<Observation>,
    leaving: Option<Moment>,
    /// The tables are looked through no later than this.
    pulse_at: Moment,
    /// When the log is next told of the servers.
    tell_at: Moment,
    out: VecDeque<Output>,
    alarm: Option<Moment>,
}

impl Engine {
    pub fn new(configuration: Configuration, judge: Box<dyn CallPolicy>, now: Moment) -> Engine {
        let facts = &configuration.settings;
        let bounds = Bounds::new(configuration.limits, facts.max_sessions());
        let connect = facts.connect_timeout().unwrap_or(platform::CONNECT);
        let mut engine = Engine {
            judge,
            now,
            bounds,
            services: facts.services().map(|(name, longest)| (name.to_owned(), longest)).collect(),
            members: facts.tenants().map(str::to_owned).collect(),
            places: configuration
                .controller_config
                .services
                .iter()
                .map(|service| service.servers.clone())
                .collect(),
            connect,
            longest_idle: facts.connection_idle_timeout().map(|idle| idle - connect.min(idle / 4)),
            book: Book::default(),
            callers: Callers::default(),
            roster: Roster::new(bounds.servers),
            numbers: CalledNumberTable::new(bounds.numbers),
            watch: Watch::new(
                configuration.coordinator,
                configuration.event_cursor,
                connect,
                configuration.controller_config.seed,
                now,
            ),
            called_off: RecentIds::new(bounds.numbers),
            released: RecentIds::new(bounds.numbers),
            checked: Vec::new(),
            retiring: Vec::new(),
            owed: VecDeque::new(),
            said: 0,
            outrun: VecDeque::new(),
            districts: facts.zones().to_vec(),
            eased: Vec::new(),
            observes: false,
            observations: VecDeque::new(),
            leaving: None,
            pulse_at: now,
            tell_at: now,
            out: VecDeque::new(),
            alarm: None,
        };
        engine.clock(now);
        for change in &configuration.initial_changes {
            engine.listed(change);
        }
        engine
    }

    fn clock(&mut self, now: Moment) {
        self.now = self.now.max(now);
        self.judge.advance_to(self.now);
    }

    /// What came in is taken note of; nothing is decided yet.
    pub fn take(&mut self, now: Moment, input: Input<'_>) {
        self.clock(now);
        match input {
            Input::CallerOpened(caller) => self.caller_opened(caller),
            Input::CallerSaid(caller, bytes) => self.caller_said(caller, bytes),
            Input::CallerEnded(caller) => self.caller_ended(caller),
            Input::CallerClosed(caller) => self.caller_closed(caller),
            Input::HeardOut(caller) => self.heard_out(caller),
            Input::LinkUp(link) => self.link_up(link),
            Input::LinkSaid(link, bytes) => self.link_said(link, bytes),
            Input::LinkClosed { link, refused } => self.link_closed(link, refused),
            Input::WatchUp(watch) => {
                let step = self.watch.connected(watch, self.now);
                self.out.extend(step.map(Output::Watch));
            }
            Input::WatchSaid(watch, bytes) => {
                let (changes, step) = self.watch.heard(watch, bytes, self.now);
                self.out.extend(step.map(Output::Watch));
                for change in &changes {
                    self.listed(change);
                }
            }
            Input::WatchClosed(watch) => self.watch.closed(watch, self.now),
            Input::Redirect(to) => {
                let step = self.watch.redirect(to, self.now);
                self.out.extend(step.map(Output::Watch));
            }
            Input::Leave => {
                self.leaving = self.leaving.or(Some(self.now));
                self.say_owed();
            }
        }
    }

    /// All that is due now, and the module's decisions.
    pub fn turn(&mut self, now: Moment) {
        self.clock(now);
        while let Some(session) = self.book.timed_out(self.now) {
            self.invite_over(session, InviteOutcome::TimedOut);
        }
        while let Some(step) = self.watch.turn(self.now) {
            self.out.push_back(Output::Watch(step));
        }
        if self.pulse_at <= self.now {
            self.pulse_at = self.now + self.connect / 8;
            self.tend_servers();
            self.tend_callers();
            self.tell();
        }
        while let Some(decision) = self.judge.next_decision() {
            self.carry_out(decision);
        }
        let alarms = [self.judge.poll_timeout(), self.book.wake(), self.watch.wake(), Some(self.pulse_at)];
        self.alarm = alarms.into_iter().flatten().min();
    }

    /// What is held of each server, a line each second, for the log.
    fn tell(&mut self) {
        if !tracing::enabled!(Level::DEBUG) || self.now < self.tell_at {
            return;
        }
        self.tell_at = self.now + Span::from_secs(1);
        for server in self.roster.all().filter(|server| !self.roster.get(*server).is_gone()) {
            let (id, outlook) = (&self.roster.get(server).id, self.judge.server_snapshot(server));
            debug!(id, ?outlook, stands = self.book.standing_at(server).len(), "held of a server");
        }
        debug!(load = ?self.load(), "held");
    }

    /// What the host is to do next.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    /// When [`Engine::turn`] is due although nothing came.
    pub fn wake(&self) -> Option<Moment> {
        self.alarm
    }

    /// Whether a node that leaves owes nothing any more and nothing can still come. For an end that nobody was there
    /// to hear of it stays as long as it is let.
    pub fn is_closed(&self) -> bool {
        let still = platform::STILL_COMING;
        self.leaving.is_some_and(|since| {
            let left = self.now.since(since);
            let owes = self.book.unanswered() > 0 || !self.owed.is_empty() && left < platform::BAD_CALLER;
            left >= still && !owes
        })
    }

    /// Whether lines that are owed nothing still keep one that leaves: what follows them may be.
    pub fn may_still_come(&self) -> bool {
        self.leaving.is_none_or(|since| self.now.since(since) < platform::STILL_COMING * 2)
    }

    /// The most connections of callers that may be open, those that are being closed among them.
    pub fn most_callers(&self) -> usize {
        self.bounds.callers + self.bounds.closing
    }

    /// The most bytes that may wait for one connection's reader.
    pub fn most_waiting(&self) -> usize {
        self.bounds.waiting
    }

    /// Calls that are held, callers' connections, connections to servers, and callers without an answer.
    pub fn load(&self) -> [usize; 4] {
        [self.book.len(), self.callers.len(), self.roster.links(), self.book.unanswered()]
    }

    fn listed(&mut self, change: &EndpointChange) {
        let book = &self.book;
        let (listings, turns) = self.roster.change(change, self.now, |server| !book.any_standing_at(server));
        self.judge.on_endpoints(change.is_full, &listings);
        for listing in &listings {
            self.ease_server(listing.server);
        }
        for turn in turns {
            self.follow(&turn);
        }
        self.pulse_at = self.now;
    }

    fn carry_out(&mut self, decision: Decision) {
        if let (Decision::Reject { session, .. } | Decision::Fail { session }, Some(why)) =
            (decision, self.judge.last_reason())
        {
            debug!(call = ?self.book.get(session).map(|call| call.id), ?why, "given up");
        }
        match decision {
            Decision::Invite { session, server, answer_timeout: patience } => {
                self.invite(session, server, patience)
            }
            Decision::Reject { session, retry_after: come_back } => {
                self.give_up(session, cause::REFUSED, come_back)
            }
            Decision::Fail { session } => self.give_up(session, cause::FAILED, None),
        }
    }

    /// The module has given a session up: its caller learns it at once.
    fn give_up(&mut self, session: SessionIx, cause: u32, come_back: Option<Span>) {
        let Some(call) = self.book.leave(session) else { return };
        if let Some(caller) = self.callers.get_mut(call.caller) {
            caller.open.retain(|open| *open != session);
            caller.used = self.now;
            self.out.push_back(Output::ToCaller(
                call.caller,
                caller_messages::encode_down(call.id, cause, come_back),
            ));
        }
    }
}
