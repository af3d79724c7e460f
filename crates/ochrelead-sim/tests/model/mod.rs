//! A model of two fronts, two servers and a few callers that advances by one event at a time. The fronts run the real
//! engine with the real module; servers and callers act only when an event says so. All times are in milliseconds.

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
use oracle::{Oracle, RuleViolation};

use crate::faulty_policy::{FaultyPolicy, PolicyFault};

/// Time within which an attempt must receive its final answer.
pub(crate) const ATTEMPT_LIMIT: u64 = 6_000;
/// Minimum time between the release of an INVITE and the next INVITE of the session.
pub(crate) const RELEASE_DELAY: u64 = 200;
/// Maximum number of INVITEs per session.
pub(crate) const MAX_INVITES: u32 = 3;
/// Time after a server's drain announcement within which a front may still send it INVITEs.
pub(crate) const DRAIN_GRACE: u64 = 250;
/// Time that a server takes to warm up after its start.
pub(crate) const WARM_UP: u64 = 15_000;
/// A server that is warming up fails if it gets more than this multiple of its current rate within
/// [`OVERLOAD_WINDOW`].
pub(crate) const OVERLOAD_FACTOR: f64 = 2.5;
/// The period over which set-ups to a server that is warming up are counted.
pub(crate) const OVERLOAD_WINDOW: u64 = 1_000;
/// The share of its warm rate that a server can handle right after its start.
pub(crate) const START_SHARE: f64 = 0.25;
/// Set-ups per second that a warm server can handle. It equals the number of lines divided by the usual hold time.
pub(crate) const SET_UP_RATE: f64 = 4.0;
/// Time simulated after the last event, in which every time limit expires and every release is retried as often as
/// allowed.
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

/// An event of the model. Sessions, servers and fronts are identified by index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Event {
    /// The next session makes its first attempt.
    Dial,
    /// A session that is over makes another attempt.
    Redial(usize),
    /// The gateway retransmits an attempt's NTFY because the response was lost.
    RetransmitDial(usize),
    /// A server accepts the last pending INVITE of a session.
    Answer(usize),
    /// As `Answer`, but the response is lost.
    AnswerLost(usize),
    /// A server rejects the last pending INVITE of a session with 409.
    Busy(usize),
    /// A server responds to the last pending INVITE of a session with 405.
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
    /// The given number of milliseconds passes.
    Wait(u64),
}

struct Front {
    config: FrontConfig,
    engine: Option<Engine>,
    stalled: bool,
    /// The socket's receive queue while the front is stalled.
    socket: Vec<QueuedDatagram>,
    /// The list of servers that the host saved last.
    persisted: Vec<ListedServer>,
    incarnations: u32,
    draining: bool,
    /// The last announcement of each server while no process ran; it is repeated at the next start.
    missed_announcements: BTreeMap<usize, &'static str>,
}

impl Front {
    fn is_serving(&self) -> bool {
        self.engine.is_some() && !self.stalled
    }
}

struct QueuedDatagram {
    received_at: u64,
    sender: SocketAddr,
    bytes: Vec<u8>,
}

#[derive(Clone)]
struct Invite {
    front: usize,
    transaction: u32,
    call: String,
    /// The response, kept for retransmissions; `None` while the INVITE is pending.
    response: Option<Vec<u8>>,
    /// Whether the server has confirmed the release of the call. It may respond to the INVITE nevertheless.
    released: bool,
}

/// A circuit in use, with the front and call that use it.
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

/// The position of an INVITE that its server has not responded to.
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
    drops_releases: bool,
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

/// Returns the front that a caller is connected to.
fn front_of(session: usize) -> usize {
    session % FRONTS
}

impl Model {
    pub(crate) fn new(max_sessions: usize, fault: Option<PolicyFault>, drops_releases: bool) -> Model {
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
            drops_releases,
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

    /// Returns the events that are possible in the current state.
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
            // If the server answers after it has confirmed the release and the response is lost, only a query to the
            // server could reveal the call; see `order_that_needs_a_session_store_or_server_query`.
            Event::AnswerLost(session) => self.invite(session).is_some_and(|invite| !invite.released),
            Event::RetransmitDial(session) => self.callers.get(session).is_some_and(|caller| !caller.over),
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

    /// Returns the last INVITE of a call that its server has not responded to.
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

    /// Applies an event, then checks the rules and the fronts' sessions.
    pub(crate) fn apply(&mut self, event: Event) -> Result<(), RuleViolation> {
        match event {
            Event::Dial => {
                let (attempt, notification) = (String::new(), Vec::new());
                self.callers.push(Caller { attempt, notification, over: false, hung_up: false });
                self.dial(self.callers.len() - 1, false)?;
            }
            Event::Redial(session) => self.dial(session, true)?,
            Event::RetransmitDial(session) => self.retransmit_dial(session)?,
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

    /// Resumes all stalled fronts after the last event, lets all time limits expire, and checks the final state.
    pub(crate) fn finish(&mut self) -> Result<(), RuleViolation> {
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
                return Err(RuleViolation { rule: 1, detail: format!("{id}: no final answer at the end") });
            }
        }
        self.check_circuits()
    }

    /// Checks that every circuit in use belongs to an established session. Circuits of a front that was killed are
    /// exempt, because a restarted front can't query servers for its calls.
    fn check_circuits(&self) -> Result<(), RuleViolation> {
        for (index, server) in self.servers.iter().enumerate() {
            for Circuit { front, call } in server.circuits.values() {
                let attempt = self.oracle.attempts.get(call);
                let is_claimed =
                    attempt.is_some_and(|attempt| attempt.established && attempt.hung_up_at.is_none());
                let front = &self.fronts[*front];
                if front.incarnations == 1 && front.engine.is_some() && !is_claimed {
                    let detail = format!("{call} is established at server {index}, but not in its session");
                    return Err(RuleViolation { rule: 0, detail });
                }
            }
        }
        Ok(())
    }

    /// Returns the number of circuits in use at all servers.
    pub(crate) fn circuit_count(&self) -> usize {
        self.servers.iter().map(|server| server.circuits.len()).sum()
    }

    /// Returns the number of INVITEs of a session that no server has responded to.
    pub(crate) fn pending_invite_count(&self, session: usize) -> usize {
        let call = &self.callers[session].attempt;
        let invites = self.servers.iter().flat_map(|server| &server.invites);
        invites.filter(|invite| invite.call == *call && invite.response.is_none()).count()
    }

    /// Checks the rules, and each front's sessions against the datagrams delivered to and sent by it.
    fn check(&mut self) -> Result<(), RuleViolation> {
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
                return Err(RuleViolation {
                    rule: 0,
                    detail: format!(
                        "{id}: the front has a session: {has_session}, expected {}",
                        !has_session
                    ),
                });
            }
        }
        Ok(())
    }
}
