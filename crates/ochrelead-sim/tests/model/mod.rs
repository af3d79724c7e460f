//! Two fronts, two servers and a few callers, moved by one event at a time. The fronts are the real engines with the
//! real module; servers and callers do only what an event has them do. Times are in milliseconds.

pub(crate) mod oracle;
mod traffic;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ochrelead_config::front_config::{self, FrontConfig};
use ochrelead_core::controller::Controller;
use ochrelead_core::time::Moment;
use ochrelead_discovery::server_table::ListedServer;
use ochrelead_front::engine::Engine;
use ochrelead_host::call_policy::CallPolicy;
use oracle::{Breach, Oracle};

use crate::faulty_policy::{FaultyPolicy, PolicyFault};

pub(crate) const ATTEMPT_LIMIT: u64 = 6_000;
pub(crate) const RELEASE_DELAY: u64 = 200;
pub(crate) const MAX_INVITES: u32 = 3;
pub(crate) const DRAIN_GRACE: u64 = 250;
pub(crate) const WARM_UP: u64 = 15_000;
/// A server that has just started falls over at so many times its rate within the window.
pub(crate) const OVERLOAD_FACTOR: f64 = 2.5;
pub(crate) const OVERLOAD_WINDOW: u64 = 1_000;
/// The share of its rate that a server has when it starts.
pub(crate) const START_SHARE: f64 = 0.25;
/// Set-ups a second that a warm server can do; its lines over the usual hold say the same.
pub(crate) const SET_UP_RATE: f64 = 4.0;
/// After the last event all go on for so long: every limit passes, every release is asked for as often as it may be.
const SETTLING_TIME: u64 = 24_000;
const FRONTS: usize = 2;
const SERVERS: usize = 2;
/// The id of the first attempt.
const FIRST_ATTEMPT: u32 = 0xa0;

const SETTINGS: &str = r#"name: "f" listen: "127.0.0.1:1" fronts: 2 release_wait_ms: 200 longest_away_ms: 2000
drain_ms: 3000 repeats { first_gap_ms: 500 longest_gap_ms: 1500 give_up_ms: 3000 kept_ms: 30000 }
cold { share: 0.25 warm_after_ms: 15000 fall_multiple: 2.5 fall_after_ms: 1000 }
service { name: "check" dialled: "1" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 6000 usual_hold_ms: 8000 }
server { name: "s0" address: "127.0.0.1:10" number: 0 dialled: "00" }
server { name: "s1" address: "127.0.0.1:11" number: 1 dialled: "01" }
"#;

/// What can happen next. Sessions, servers and fronts are named by their indices.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Event {
    /// The next session's first attempt.
    Dial,
    /// The next attempt of a session that is over.
    Redial(usize),
    /// The answer to an attempt's NTFY got lost: its gateway sends it again.
    Repeat(usize),
    /// A server deals with the last INVITE of a session that it has not dealt with.
    Answer(usize),
    AnswerLost(usize),
    Busy(usize),
    Reset(usize),
    HangUp(usize),
    ServerDrains(usize),
    ServerLeaves(usize),
    ServerRestarts(usize),
    StallFront(usize),
    ResumeFront(usize),
    KillFront(usize),
    StartFront(usize),
    DrainFront(usize),
    /// So many milliseconds pass.
    Wait(u64),
}

struct Front {
    config: FrontConfig,
    engine: Option<Engine>,
    stalled: bool,
    /// What waits in the socket while the front is stalled.
    socket: Vec<QueuedDatagram>,
    /// The last list that the host has on its disk.
    persisted: Vec<ListedServer>,
    incarnations: u32,
    draining: bool,
    /// What servers announced while nobody was there to read it: they announce it again.
    missed_announcements: BTreeMap<usize, &'static str>,
}

impl Front {
    fn is_serving(&self) -> bool {
        self.engine.is_some() && !self.stalled
    }
}

struct QueuedDatagram {
    since: u64,
    sender: SocketAddr,
    bytes: Vec<u8>,
}

#[derive(Clone)]
struct Invite {
    front: usize,
    transaction: u32,
    call: String,
    /// What was answered, for its repeats; none while it waits.
    response: Option<Vec<u8>>,
    /// The server has confirmed that the call is released; it may deal with the INVITE all the same.
    released: bool,
}

/// A circuit in use, by which front's call.
struct Circuit {
    front: usize,
    call: String,
}

#[derive(Default)]
struct Server {
    gone: bool,
    invites: Vec<Invite>,
    circuits: BTreeMap<u32, Circuit>,
}

/// Where an INVITE is that no server has dealt with.
#[derive(Clone, Copy)]
struct PendingInvite {
    server: usize,
    index: usize,
}

struct Caller {
    attempt: String,
    notification: Vec<u8>,
    over: bool,
    hung_up: bool,
}

pub(crate) struct Model {
    now: u64,
    fault: Option<PolicyFault>,
    drop_releases: bool,
    fronts: Vec<Front>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    max_sessions: usize,
    next_attempt: u32,
    commands: u32,
    circuits: u32,
    oracle: Oracle,
}

fn moment(ms: u64) -> Moment {
    Moment::from_micros(60_000_000 + ms * 1_000)
}

/// The front that a caller is connected to.
fn front_of(session: usize) -> usize {
    session % FRONTS
}

impl Model {
    pub(crate) fn new(max_sessions: usize, fault: Option<PolicyFault>, drop_releases: bool) -> Model {
        let config = front_config::parse("model", SETTINGS).unwrap();
        let front = |index: usize| {
            let mut config = config.clone();
            config.controller.seed = index as u64;
            Front {
                config,
                engine: None,
                stalled: false,
                socket: Vec::new(),
                persisted: Vec::new(),
                incarnations: 0,
                draining: false,
                missed_announcements: BTreeMap::new(),
            }
        };
        let mut model = Model {
            now: 0,
            fault,
            drop_releases,
            fronts: (0..FRONTS).map(front).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            callers: Vec::new(),
            max_sessions,
            next_attempt: FIRST_ATTEMPT,
            commands: 0,
            circuits: 0,
            oracle: Oracle::default(),
        };
        (0..FRONTS).for_each(|index| model.start_front(index));
        model
    }

    fn start_front(&mut self, index: usize) {
        let now = moment(self.now);
        let front = &mut self.fronts[index];
        front.incarnations += 1;
        let policy: Box<dyn CallPolicy + Send> = Box::new(Controller::new(&front.config.controller, now));
        let policy = match self.fault {
            Some(fault) => Box::new(FaultyPolicy::new(fault, policy)),
            None => policy,
        };
        let mut engine = Engine::new(front.config.clone(), policy, 1_000 * front.incarnations, now);
        engine.restore_self_reports(now, &front.persisted);
        front.engine = Some(engine);
        (front.stalled, front.draining) = (false, false);
    }

    /// The events that mean something now.
    pub(crate) fn enabled(&self, events: &[Event]) -> Vec<Event> {
        events.iter().copied().filter(|event| self.is_enabled(*event)).collect()
    }

    fn is_enabled(&self, event: Event) -> bool {
        match event {
            Event::Dial => self.callers.len() < self.max_sessions,
            Event::Redial(session) => {
                let attempts_left = self.next_attempt < FIRST_ATTEMPT + 2 * self.max_sessions as u32;
                self.callers.get(session).is_some_and(|caller| caller.over && attempts_left)
            }
            Event::Answer(session) | Event::Busy(session) | Event::Reset(session) => {
                self.invite(session).is_some()
            }
            // That a call stands whose end was confirmed before, and the word of it is lost, only a question could
            // show: `a_call_set_up_after_its_end_with_its_answer_lost`.
            Event::AnswerLost(session) => self.invite(session).is_some_and(|invite| !invite.released),
            Event::Repeat(session) => self.callers.get(session).is_some_and(|caller| !caller.over),
            Event::HangUp(session) => self.callers.get(session).is_some_and(|caller| !caller.hung_up),
            Event::ServerDrains(server) | Event::ServerLeaves(server) => !self.servers[server].gone,
            Event::ServerRestarts(_) | Event::Wait(_) => true,
            Event::StallFront(front) | Event::KillFront(front) => self.fronts[front].is_serving(),
            Event::ResumeFront(front) => self.fronts[front].stalled,
            Event::StartFront(front) => self.fronts[front].engine.is_none(),
            Event::DrainFront(front) => self.fronts[front].is_serving() && !self.fronts[front].draining,
        }
    }

    fn invite(&self, session: usize) -> Option<&Invite> {
        let pending = self.pending_invite(&self.callers.get(session)?.attempt)?;
        self.servers[pending.server].invites.get(pending.index)
    }

    /// The last INVITE of a call that no server has dealt with.
    fn pending_invite(&self, call: &str) -> Option<PendingInvite> {
        let at_server = |server: usize| {
            let is_pending = |invite: &Invite| invite.call == call && invite.response.is_none();
            let Server { gone, invites, .. } = &self.servers[server];
            let index = invites.iter().rposition(is_pending).filter(|_| !gone)?;
            Some(PendingInvite { server, index })
        };
        let transaction =
            |pending: &PendingInvite| self.servers[pending.server].invites[pending.index].transaction;
        (0..self.servers.len()).filter_map(at_server).max_by_key(transaction)
    }

    /// Lets an event happen and checks the rules after it.
    pub(crate) fn apply(&mut self, event: Event) -> Result<(), Breach> {
        match event {
            Event::Dial => {
                let (attempt, notification) = (String::new(), Vec::new());
                self.callers.push(Caller { attempt, notification, over: false, hung_up: false });
                self.dial(self.callers.len() - 1, false)?;
            }
            Event::Redial(session) => self.dial(session, true)?,
            Event::Repeat(session) => self.repeat(session)?,
            Event::Answer(session) => self.respond(session, 200, true)?,
            Event::AnswerLost(session) => self.respond(session, 200, false)?,
            Event::Busy(session) => self.respond(session, 409, true)?,
            Event::Reset(session) => self.respond(session, 405, true)?,
            Event::HangUp(session) => self.hang_up(session)?,
            Event::ServerDrains(server) => self.announce(server, "graceful")?,
            Event::ServerLeaves(server) => {
                self.servers[server] = Server { gone: true, ..Server::default() };
                self.announce(server, "forced")?;
            }
            Event::ServerRestarts(server) => {
                self.servers[server] = Server::default();
                self.oracle.on_server_start(server);
                self.announce(server, "restart")?;
            }
            Event::StallFront(front) => self.fronts[front].stalled = true,
            Event::ResumeFront(front) => self.resume_front(front)?,
            Event::KillFront(front) => self.kill_front(front),
            Event::StartFront(front) => {
                self.start_front(front);
                for (server, method) in std::mem::take(&mut self.fronts[front].missed_announcements) {
                    self.announce_to(front, server, method)?;
                }
            }
            Event::DrainFront(front) => {
                self.fronts[front].draining = true;
                let now = moment(self.now);
                self.fronts[front].engine.iter_mut().for_each(|engine| engine.drain(now));
            }
            Event::Wait(ms) => self.wait(ms)?,
        }
        self.process_all()?;
        self.check()
    }

    fn kill_front(&mut self, index: usize) {
        let front = &mut self.fronts[index];
        (front.engine, front.stalled) = (None, false);
        front.socket.clear();
        self.oracle.on_front_killed(index);
    }

    /// After the last event: all that is stalled goes on, and all that is owed is paid.
    pub(crate) fn finish(&mut self) -> Result<(), Breach> {
        for index in 0..self.fronts.len() {
            if self.fronts[index].stalled {
                self.resume_front(index)?;
            }
        }
        self.wait(SETTLING_TIME)?;
        self.check()?;
        let accepted = self.oracle.attempts.iter().filter(|(_, attempt)| attempt.accepted_at.is_some());
        for (id, attempt) in accepted {
            if attempt.is_waiting() {
                return Err(Breach { rule: 1, detail: format!("{id}: it never had its final answer") });
            }
        }
        self.check_circuits()
    }

    /// No circuit may be in use that its front does not know, unless the front was killed: what a killed front had set
    /// up is nobody's until its servers can be asked.
    fn check_circuits(&self) -> Result<(), Breach> {
        for (index, server) in self.servers.iter().enumerate() {
            for Circuit { front, call } in server.circuits.values() {
                let attempt = self.oracle.attempts.get(call);
                let is_known =
                    attempt.is_some_and(|attempt| attempt.established && attempt.hung_up_at.is_none());
                let front = &self.fronts[*front];
                if front.incarnations == 1 && front.engine.is_some() && !is_known {
                    let detail = format!("{call} still stands at server {index}, and nobody knows it");
                    return Err(Breach { rule: 0, detail });
                }
            }
        }
        Ok(())
    }

    /// Circuits in use at all servers.
    pub(crate) fn circuit_count(&self) -> usize {
        self.servers.iter().map(|server| server.circuits.len()).sum()
    }

    /// INVITEs of a session that no server has dealt with.
    pub(crate) fn pending_invite_count(&self, session: usize) -> usize {
        let call = &self.callers[session].attempt;
        let invites = self.servers.iter().flat_map(|server| &server.invites);
        invites.filter(|invite| invite.call == *call && invite.response.is_none()).count()
    }

    /// The rules, and each front's sessions against what was delivered to it.
    fn check(&mut self) -> Result<(), Breach> {
        let serving: Vec<bool> = self.fronts.iter().map(Front::is_serving).collect();
        self.oracle.check(&serving)?;
        let accepted = self.oracle.attempts.iter().filter(|(_, attempt)| attempt.accepted_at.is_some());
        for (id, attempt) in accepted {
            let Some(engine) = self.fronts[attempt.front].engine.as_ref().filter(|_| serving[attempt.front])
            else {
                continue;
            };
            let is_waiting = attempt.is_waiting();
            let is_over = !is_waiting && !attempt.established;
            let is_established = attempt.established && attempt.hung_up_at.is_none() && !attempt.cut;
            let has_session = engine.has_session(id);
            if (has_session && is_over) || (!has_session && (is_waiting || is_established)) {
                return Err(Breach { rule: 0, detail: format!("{id}: held is {has_session}") });
            }
        }
        Ok(())
    }
}
