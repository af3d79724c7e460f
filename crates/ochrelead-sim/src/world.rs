//! Fronts, servers, callers and the network between them on one queue of events.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;

use ochrelead_config::faults::FaultKind;
use ochrelead_config::front_config::{self, FrontConfig};
use ochrelead_config::scenario::Scenario;
use ochrelead_config::{document, schema};
use ochrelead_core::controller::Controller;
use ochrelead_core::time::{Moment, Span};
use ochrelead_discovery::persistence::PersistedEndpoints;
use ochrelead_emulator::Peer;
use ochrelead_emulator::callers::Callers;
use ochrelead_emulator::network::{Network, faults};
use ochrelead_emulator::server::Server;
use ochrelead_host::call_policy::CallPolicy;
use ochrelead_mgcp::transaction::TransactionConfig;
use ochrelead_scenario::baseline::{Baseline, BaselineKind};
use ochrelead_scenario::capture::CapturedDatagram;
use ochrelead_scenario::participant::{Participant, server_name};
use ochrelead_scenario::policy::PolicyKind;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::books::Violation;
use crate::front::Machine;

/// Everything is up before the day begins.
pub const LEAD: Span = Span::from_millis(700);
/// After its length a day runs on until the last sessions have their answers.
/// Then commands that nobody answers are given up, and what is left must be nobody's.
const TAIL: Span = Span::from_secs(4);
/// The moment of the day's start: far from zero, so that a clock may be behind.
pub const START: Moment = Moment::from_micros(1_700_000_000_000_000);

/// Something that is changed on purpose, to see that it is found. The product is none of these.
pub trait Meddler: Send {
    /// Whoever decides at a front.
    fn judge(&self, judge: Box<dyn CallPolicy + Send>) -> Box<dyn CallPolicy + Send> {
        judge
    }

    /// What a front is set to.
    fn commission(&self, _commission: &mut FrontConfig) {}

    /// What leaves a front, and what reaches it.
    fn sends(&mut self, _front: usize, bytes: Vec<u8>) -> Vec<Vec<u8>> {
        vec![bytes]
    }

    fn hears(&mut self, _front: usize, bytes: Vec<u8>) -> Option<Vec<u8>> {
        Some(bytes)
    }

    /// What a front that starts finds on its disk.
    fn recalls(&self, kept: Option<PersistedEndpoints>) -> Option<PersistedEndpoints> {
        kept
    }
}

/// Changes nothing.
pub struct Honest;

impl Meddler for Honest {}

/// What the day does to machines.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Kill(Participant),
    Start(Participant),
    Halt(usize),
    Resume(usize),
    Set(usize, f64),
    Full(usize, bool),
    Tears(usize, bool),
    End,
    Close,
}

/// What is kept of a day.
#[derive(Clone, Copy, Debug, Default)]
pub struct Keep {
    /// Every datagram, for the auditor.
    pub sights: bool,
    /// Every event as a line.
    pub trace: bool,
    /// The fronts' records.
    pub records: bool,
}

/// One world.
pub struct World {
    pub day: Scenario,
    pub now: Moment,
    pub step: u64,
    deciding: PolicyKind,
    meddler: Box<dyn Meddler>,
    keep: Keep,
    pub fronts: Vec<Machine>,
    pub servers: Vec<Option<Server>>,
    pub callers: Callers,
    network: Network<Participant>,
    /// When each party wants to be called.
    alarms: BTreeSet<(Moment, Participant)>,
    alarm_of: BTreeMap<Participant, Moment>,
    script: VecDeque<(Moment, Act)>,
    addresses: BTreeMap<SocketAddr, Participant>,
    chance: Pcg64Mcg,
    pub sights: Vec<CapturedDatagram>,
    /// The step of each.
    sight_steps: Vec<u64>,
    pub trace: String,
    /// The sum of all events, whether they are kept or not.
    sum: crc32fast::Hasher,
    ended: bool,
}

/// Where a party is.
fn address(party: Participant) -> SocketAddr {
    party.capture_address().into()
}

impl World {
    /// A world before its day.
    ///
    /// # Errors
    ///
    /// Where the day gives no sound settings for a front.
    pub fn new(
        day: &Scenario,
        deciding: PolicyKind,
        meddler: Box<dyn Meddler>,
        keep: Keep,
    ) -> Result<World, String> {
        let start = START + LEAD;
        let mut fronts = Vec::new();
        for nth in 0..day.fronts {
            let mut commission = settle(day, nth)?;
            meddler.commission(&mut commission);
            fronts.push(Machine::new(commission, keep.records));
        }
        let seen: Vec<SocketAddr> = (0..day.fronts).map(|nth| address(front(nth))).collect();
        let servers = (0..day.servers.len())
            .map(|nth| Some(Server::new(day, nth, server_name(nth), seen.clone(), start, START, false)))
            .collect();
        let parties = (0..day.fronts).map(front).chain((0..day.servers.len()).map(server));
        let addresses = parties.chain([Participant::Gateway]).map(|party| (address(party), party)).collect();
        let faults = faults(day, start, front, server, Participant::Gateway);
        let mut world = World {
            now: START,
            step: 0,
            deciding,
            meddler,
            keep,
            fronts,
            servers,
            callers: Callers::new(day.clone(), seen, start, START),
            network: Network::new(day.network, faults, day.seed),
            alarms: BTreeSet::new(),
            alarm_of: BTreeMap::new(),
            script: script(day, start),
            addresses,
            chance: Pcg64Mcg::seed_from_u64(day.seed ^ 0x0c4_1ead),
            sights: Vec::new(),
            sight_steps: Vec::new(),
            trace: String::new(),
            sum: crc32fast::Hasher::new(),
            ended: false,
            day: day.clone(),
        };
        world.mark(format!("start {}", start.micros()));
        for trouble in &day.faults {
            if trouble.kind == FaultKind::ClockFast {
                trouble
                    .targets
                    .iter()
                    .for_each(|nth| world.fronts[*nth].system.fast = trouble.magnitude / 1e6);
            }
        }
        for nth in 0..day.fronts {
            world.start_front(nth);
        }
        for party in (0..day.servers.len()).map(server).chain([Participant::Gateway]) {
            world.turn(party).map_err(|(of, how)| format!("{of}: {how}"))?;
        }
        Ok(world)
    }

    /// Does the next thing; none where the day is over.
    pub fn step(&mut self) -> Option<Result<(), Violation>> {
        if self.ended {
            return None;
        }
        let next_act = self.script.front().map(|(at, _)| *at);
        let next_alarm = self.alarms.first().map(|(at, _)| *at);
        let next = [next_act, self.network.wake(), next_alarm].into_iter().flatten().min()?;
        self.now = self.now.max(next);
        self.step += 1;
        let done = if next_act == Some(next) {
            let (_, act) = self.script.pop_front()?;
            self.act(act)
        } else if let Some((from, to, bytes)) = self.network.next(self.now) {
            self.deliver(from, to, bytes)
        } else {
            let (_, party) = self.alarms.pop_first()?;
            self.alarm_of.remove(&party);
            self.note("turn", party, b"");
            self.turn(party)
        };
        Some(done.map_err(|(of, how)| self.violation("books", of, how)))
    }

    /// A violation at this moment.
    pub fn violation(&self, kind: &str, of: impl Into<String>, how: impl Into<String>) -> Violation {
        let at = Moment::START + self.now.since(START + LEAD);
        Violation { step: self.step, at, kind: kind.to_owned(), of: of.into(), how: how.into() }
    }

    /// The first step that was seen at or after a moment of the day.
    pub fn step_at(&self, at: Moment) -> u64 {
        let then = START + LEAD + at.since(Moment::START);
        let nth = self.sights.partition_point(|sight| sight.time < then);
        self.sight_steps.get(nth).copied().unwrap_or(self.step)
    }

    /// The sum of all events so far.
    pub fn sum(&self) -> u32 {
        self.sum.clone().finalize()
    }

    /// Seconds of the day that have passed.
    pub fn passed(&self) -> f64 {
        self.now.since(START).ratio(Span::from_secs(1))
    }

    fn note(&mut self, what: &str, of: Participant, bytes: &[u8]) {
        self.sum.update(&self.now.micros().to_le_bytes());
        self.sum.update(what.as_bytes());
        self.sum.update(format!("{of:?}").as_bytes());
        self.sum.update(bytes);
        if self.keep.trace {
            let us = self.now.since(START).micros();
            let first = String::from_utf8_lossy(bytes);
            let first = first.lines().next().unwrap_or("");
            let sum = crc32fast::hash(bytes);
            let _ = writeln!(self.trace, "{} {us} {what} {of:?} {sum:08x} {first}", self.step);
        }
    }

    fn mark(&mut self, text: String) {
        self.see(Participant::Rig, Participant::Rig, false, text.as_bytes());
    }

    fn see(&mut self, from: Participant, to: Participant, reached: bool, bytes: &[u8]) {
        if self.keep.sights {
            self.sight_steps.push(self.step);
            self.sights.push(CapturedDatagram {
                time: self.now,
                from,
                to,
                delivered: reached,
                bytes: bytes.to_vec(),
            });
        }
    }

    fn deliver(
        &mut self,
        from: Participant,
        to: Participant,
        bytes: Vec<u8>,
    ) -> Result<(), (String, String)> {
        if let Participant::Front(nth) = to
            && !self.fronts[usize::from(nth)].has_room()
        {
            self.note("lost", to, &bytes);
            return Ok(());
        }
        self.note("reaches", to, &bytes);
        self.see(from, to, true, &bytes);
        let (sender, now) = (address(from), self.now);
        match to {
            Participant::Front(nth) => {
                let nth = usize::from(nth);
                let Some(bytes) = self.meddler.hears(nth, bytes) else { return Ok(()) };
                self.fronts[nth].arrives(sender, bytes);
            }
            Participant::Server(nth) => {
                let Some(server) = &mut self.servers[usize::from(nth)] else { return Ok(()) };
                server.take(now, sender, &bytes);
            }
            _ => self.callers.take(now, sender, &bytes),
        }
        self.turn(to)
    }

    /// Lets a party do what is due, sends what it has to say, and notes when it wants to be called.
    fn turn(&mut self, party: Participant) -> Result<(), (String, String)> {
        let now = self.now;
        let mut out = Vec::new();
        let mut done = Ok(());
        let wake = match party {
            Participant::Front(nth) => {
                let nth = usize::from(nth);
                done = self.fronts[nth].turn(now);
                let halted = self.fronts[nth].halted;
                if let Some(process) = self.fronts[nth].process.as_mut().filter(|_| !halted) {
                    while let Some((to, bytes)) = process.engine.poll_datagram() {
                        out.extend(self.meddler.sends(nth, bytes).into_iter().map(|bytes| (to, bytes)));
                    }
                }
                self.fronts[nth].wake(now)
            }
            Participant::Server(nth) => match &mut self.servers[usize::from(nth)] {
                Some(server) => played(server, now, &mut out),
                None => None,
            },
            _ => played(&mut self.callers, now, &mut out),
        };
        for (to, bytes) in out {
            let Some(&to) = self.addresses.get(&to) else { continue };
            self.note("leaves", party, &bytes);
            self.see(party, to, false, &bytes);
            self.network.carry(now, party, to, &bytes);
        }
        self.set_alarm(party, wake);
        done
    }

    fn set_alarm(&mut self, party: Participant, wake: Option<Moment>) {
        if let Some(before) = self.alarm_of.remove(&party) {
            self.alarms.remove(&(before, party));
        }
        if let Some(wake) = wake {
            self.alarm_of.insert(party, wake);
            self.alarms.insert((wake, party));
        }
    }

    fn start_front(&mut self, nth: usize) {
        let (deciding, meddler) = (self.deciding, &self.meddler);
        let judge = |commission: &FrontConfig, shows| meddler.judge(judge(deciding, commission, shows));
        let recall = |kept| meddler.recalls(kept);
        self.fronts[nth].start(self.now, judge, recall, &mut self.chance);
        let wake = self.fronts[nth].wake(self.now);
        self.set_alarm(front(nth), wake);
    }

    fn act(&mut self, act: Act) -> Result<(), (String, String)> {
        self.note(&format!("{act:?}"), Participant::Rig, b"");
        match act {
            Act::Kill(party) => {
                self.mark(format!("kill {}", party.capture_address()));
                match party {
                    Participant::Front(nth) => self.fronts[usize::from(nth)].kill(&mut self.chance),
                    Participant::Server(nth) => self.servers[usize::from(nth)] = None,
                    _ => {}
                }
                self.set_alarm(party, None);
            }
            Act::Start(party) => {
                self.mark(format!("begin {}", party.capture_address()));
                match party {
                    Participant::Front(nth) => self.start_front(usize::from(nth)),
                    Participant::Server(nth) => {
                        let seen = (0..self.day.fronts).map(|nth| address(front(nth))).collect();
                        let (nth, start) = (usize::from(nth), START + LEAD);
                        let name = server_name(nth);
                        let server = Server::new(&self.day, nth, name, seen, start, self.now, true);
                        self.servers[nth] = Some(server);
                    }
                    _ => {}
                }
                return self.turn(party);
            }
            Act::Halt(nth) => {
                self.mark(format!("halt {}", front(nth).capture_address()));
                self.fronts[nth].halted = self.fronts[nth].process.is_some();
                self.set_alarm(front(nth), None);
            }
            Act::Resume(nth) => {
                self.mark(format!("resume {}", front(nth).capture_address()));
                self.fronts[nth].halted = false;
                return self.turn(front(nth));
            }
            Act::Set(nth, by_s) => self.fronts[nth].system.ahead_us += (by_s * 1e6) as i64,
            Act::Full(nth, full) => self.fronts[nth].disk.full = full,
            Act::Tears(nth, tears) => self.fronts[nth].tears = tears,
            Act::End => {
                self.mark("end".to_owned());
                self.keep.sights = false;
            }
            Act::Close => self.ended = true,
        }
        Ok(())
    }

    /// What must be at the end of a day: calls that stand at a server are known to a front or a caller.
    pub fn settle(&self) -> Result<(), Violation> {
        for (nth, server) in self.servers.iter().enumerate() {
            let unclaimed = server.iter().flat_map(Server::calls).find(|(from, call)| {
                // What a killed front had set up and not told is nobody's until its servers can be asked; what a
                // front still asks to have released is in hand.
                let owes = |own: &Machine| {
                    own.process.as_ref().is_some_and(|own| own.engine.unconfirmed_releases() > 0)
                };
                let excused = |own: &Machine| own.lives > 1 || owes(own);
                let excused = self.fronts.iter().any(|own| address_of(own) == *from && excused(own));
                let held = |machine: &Machine| {
                    machine.process.as_ref().is_some_and(|own| own.engine.has_session(call))
                };
                !excused && !self.callers.stands(call) && !self.fronts.iter().any(held)
            });
            if let Some((_, call)) = unclaimed {
                let how =
                    format!("it still stands at {}, and neither front nor caller knows it", server_name(nth));
                return Err(self.violation("circuits", call, how));
            }
        }
        Ok(())
    }
}

fn played(peer: &mut impl Peer, now: Moment, out: &mut Vec<(SocketAddr, Vec<u8>)>) -> Option<Moment> {
    peer.turn(now);
    out.extend(std::iter::from_fn(|| peer.next_datagram()));
    peer.wake().map(|wake| wake.max(now))
}

fn address_of(machine: &Machine) -> SocketAddr {
    machine.commission.listen
}

fn front(nth: usize) -> Participant {
    Participant::Front(nth as u16)
}

fn server(nth: usize) -> Participant {
    Participant::Server(nth as u16)
}

fn judge(deciding: PolicyKind, commission: &FrontConfig, now: Moment) -> Box<dyn CallPolicy + Send> {
    let provision = &commission.controller;
    let target = provision.services.iter().map(|own| own.post_dial_target).max().unwrap_or_default();
    let baseline = |policy| Box::new(Baseline::new(policy, provision.resend_delay, target, provision.seed));
    match deciding {
        PolicyKind::Controller => Box::new(Controller::new(provision, now)),
        PolicyKind::Random => baseline(BaselineKind::Random),
        PolicyKind::Unbounded => baseline(BaselineKind::Unbounded),
    }
}

/// A front's settings, as its file would have them.
fn settle(day: &Scenario, nth: usize) -> Result<FrontConfig, String> {
    let listed = (0..day.servers.len()).map(|at| schema::Server {
        name: Some(server_name(at)),
        address: Some(address(server(at)).to_string()),
        number: Some(at as u32),
        dialled: Some(format!("{at:02}")),
        ..schema::Server::default()
    });
    let settings = schema::Front {
        name: Some(format!("f{nth}.example")),
        listen: Some(address(front(nth)).to_string()),
        server: listed.collect(),
        ..day.front_settings.clone()
    };
    let told = |complaints: Vec<ochrelead_config::diagnostic::Diagnostic>| {
        complaints.iter().map(ToString::to_string).collect::<String>()
    };
    front_config::parse("front", &document::to_text(&settings, "Front")).map_err(told)
}

/// After this nobody owes anybody anything: a release is asked for three times.
fn last_words(transactions: &TransactionConfig) -> Span {
    transactions.response_timeout * 3 + transactions.max_rto * 2 + Span::from_secs(1)
}

fn script(day: &Scenario, start: Moment) -> VecDeque<(Moment, Act)> {
    let ends = start + day.duration + TAIL;
    let mut script = vec![(ends, Act::End), (ends + last_words(&day.front.transactions), Act::Close)];
    for trouble in &day.faults {
        let (begins, ends) = (start + trouble.start, start + trouble.start + trouble.duration);
        for &which in &trouble.targets {
            let acts: [Option<Act>; 2] = match trouble.kind {
                FaultKind::FrontKilled => [Some(Act::Kill(front(which))), Some(Act::Start(front(which)))],
                FaultKind::FrontStall => [Some(Act::Halt(which)), Some(Act::Resume(which))],
                FaultKind::Crash => [Some(Act::Kill(server(which))), Some(Act::Start(server(which)))],
                FaultKind::ClockAhead => [Some(Act::Set(which, trouble.magnitude)), None],
                FaultKind::ClockBack => [Some(Act::Set(which, -trouble.magnitude)), None],
                FaultKind::DiskFull => [Some(Act::Full(which, true)), Some(Act::Full(which, false))],
                FaultKind::DiskTorn => [Some(Act::Tears(which, true)), Some(Act::Tears(which, false))],
                _ => [None, None],
            };
            script.extend([begins, ends].into_iter().zip(acts).filter_map(|(at, act)| Some((at, act?))));
        }
    }
    script.sort_by_key(|(at, _)| *at);
    script.into()
}
