//! Fronts, servers, callers and the network between them on one queue of events.

mod alarms;
mod recorder;
mod script;
mod setup;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_config::faults::FaultKind;
use ochrelead_config::front_config::FrontConfig;
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_emulator::Peer;
use ochrelead_emulator::callers::Callers;
use ochrelead_emulator::network::{Datagram, Network, link_faults};
use ochrelead_emulator::server::Server;
use ochrelead_event_log::reader::Log;
use ochrelead_scenario::capture::CapturedDatagram;
use ochrelead_scenario::participant::Participant;
use ochrelead_scenario::participant::server_name;
use ochrelead_scenario::policy::PolicyKind;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::error::SimulationError;
use crate::front::FrontMachine;
use crate::mutation::Mutation;
use crate::violation::{InvariantError, Violation, ViolationCause};
use alarms::Alarms;
use recorder::{Recorder, Step};
use script::ScriptedEvent;

/// How long everything is up before the scenario starts.
pub const LEAD: Span = Span::from_millis(700);
/// When everything comes up: far from zero, so that a clock may be behind.
pub const START: Moment = Moment::from_micros(1_700_000_000_000_000);
/// Mixed into the scenario's seed for what the fronts draw.
const FRONT_SEED_SALT: u64 = 0x0c4_1ead;

/// What is kept of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordingOptions {
    /// Every datagram, for the auditor.
    pub datagrams: bool,
    /// Every event as a line.
    pub trace: bool,
    /// The fronts' event logs.
    pub event_logs: bool,
}

/// A scenario while it is simulated.
pub struct World {
    scenario: Scenario,
    step: Step,
    policy_kind: PolicyKind,
    mutation: Box<dyn Mutation>,
    fronts: Vec<FrontMachine>,
    /// None while a server's process is killed.
    servers: Vec<Option<Server>>,
    callers: Callers,
    network: Network<Participant>,
    alarms: Alarms,
    script: VecDeque<(Moment, ScriptedEvent)>,
    addresses: BTreeMap<SocketAddr, Participant>,
    rng: Pcg64Mcg,
    recorder: Recorder,
    finished: bool,
}

/// The address at which the others see a party.
fn address(party: Participant) -> SocketAddr {
    party.capture_address().into()
}

fn front(index: usize) -> Participant {
    Participant::Front(index as u16)
}

fn server(index: usize) -> Participant {
    Participant::Server(index as u16)
}

impl World {
    /// A world before its scenario starts.
    ///
    /// # Errors
    ///
    /// Where the scenario gives no valid configuration for a front, or an invariant is violated already.
    pub fn new(
        scenario: &Scenario,
        policy_kind: PolicyKind,
        mutation: Box<dyn Mutation>,
        options: RecordingOptions,
    ) -> Result<World, SimulationError> {
        let start = START + LEAD;
        let mut fronts = Vec::new();
        for index in 0..scenario.fronts {
            let mut config = setup::front_config(scenario, index)?;
            mutation.change_config(&mut config);
            fronts.push(FrontMachine::new(config, options.event_logs));
        }
        let emulated_server = |index| Some(setup::emulated_server(scenario, index, START, false));
        let parties = (0..scenario.fronts).map(front).chain((0..scenario.servers.len()).map(server));
        let faults = link_faults(scenario, start, front, server, Participant::Gateway);
        let mut world = World {
            step: Step { number: 0, time: START },
            policy_kind,
            mutation,
            fronts,
            servers: (0..scenario.servers.len()).map(emulated_server).collect(),
            callers: Callers::new(scenario.clone(), setup::front_addresses(scenario), start, START),
            network: Network::new(scenario.network, faults, scenario.seed),
            alarms: Alarms::default(),
            script: script::script(scenario, start),
            addresses: parties.chain([Participant::Gateway]).map(|party| (address(party), party)).collect(),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed ^ FRONT_SEED_SALT),
            recorder: Recorder::new(options),
            finished: false,
            scenario: scenario.clone(),
        };
        world.start_parties()?;
        Ok(world)
    }

    fn start_parties(&mut self) -> Result<(), InvariantError> {
        self.recorder.mark(self.step, &format!("start {}", (START + LEAD).micros()));
        for fault in self.scenario.faults.iter().filter(|fault| fault.kind == FaultKind::ClockFast) {
            for &target in &fault.targets {
                self.fronts[target].clock.drift = fault.magnitude / 1e6;
            }
        }
        for index in 0..self.fronts.len() {
            self.start_front(index);
        }
        let servers = (0..self.servers.len()).map(server);
        servers.chain([Participant::Gateway]).try_for_each(|party| self.process(party))
    }

    /// Does the next thing; none where the simulation is over.
    pub fn step(&mut self) -> Option<Result<(), Violation>> {
        if self.finished {
            return None;
        }
        let scripted = self.script.front().map(|(time, _)| *time);
        let times = [scripted, self.network.poll_timeout(), self.alarms.next_time()];
        let next = times.into_iter().flatten().min()?;
        self.step.time = self.step.time.max(next);
        self.step.number += 1;
        let result = if scripted == Some(next) {
            let (_, event) = self.script.pop_front()?;
            self.run_scripted(event)
        } else if let Some(Datagram { from, to, bytes }) = self.network.poll_arrival(self.step.time) {
            self.deliver(from, to, bytes)
        } else {
            let party = self.alarms.pop()?;
            self.recorder.event(self.step, "turn", party, b"");
            self.process(party)
        };
        Some(result.map_err(|error| self.violation(error)))
    }

    /// How many steps were done.
    pub fn step_count(&self) -> u64 {
        self.step.number
    }

    /// Seconds since everything came up.
    pub fn elapsed_s(&self) -> f64 {
        self.step.time.since(START).ratio(Span::from_secs(1))
    }

    /// The checksum of all events so far.
    pub fn checksum(&self) -> u32 {
        self.recorder.checksum()
    }

    /// The captured datagrams.
    pub fn datagrams(&self) -> &[CapturedDatagram] {
        &self.recorder.datagrams
    }

    /// The step of the first captured datagram at or after a time of the scenario; the last step where there is none.
    pub fn step_at(&self, time: Moment) -> u64 {
        let time = START + LEAD + time.since(Moment::START);
        self.recorder.step_at(time).unwrap_or(self.step.number)
    }

    /// Ends the simulation; its trace and the fronts' event logs, where they were recorded.
    pub fn into_recordings(self) -> (String, Vec<Log>) {
        let logs = self.fronts.into_iter().flat_map(FrontMachine::into_logs).collect();
        (self.recorder.trace, logs)
    }

    /// At the end of a scenario every call that is established at a server is known to a front or a caller.
    ///
    /// # Errors
    ///
    /// The first call that nobody knows.
    pub fn check_unclaimed_calls(&self) -> Result<(), Violation> {
        for (index, server) in self.servers.iter().enumerate() {
            let mut calls = server.iter().flat_map(Server::calls);
            let unclaimed = calls.find(|(from, call)| !self.is_excused(*from) && !self.is_claimed(call));
            if let Some((_, call)) = unclaimed {
                let cause = ViolationCause::UnclaimedCall { server: server_name(index) };
                return Err(self.violation(InvariantError { subject: call.to_owned(), cause }));
            }
        }
        Ok(())
    }

    /// Whether a front may leave calls behind. What a killed front had set up without telling the caller is nobody's
    /// until its servers can be asked; what a front still asks to have released is in hand.
    fn is_excused(&self, listen: SocketAddr) -> bool {
        let releases = |front: &FrontMachine| {
            front.process.as_ref().is_some_and(|process| process.engine.unconfirmed_releases() > 0)
        };
        let mut fronts = self.fronts.iter().filter(|front| front.config.listen == listen);
        fronts.any(|front| front.incarnations > 1 || releases(front))
    }

    fn is_claimed(&self, call: &str) -> bool {
        let has_session = |front: &FrontMachine| {
            front.process.as_ref().is_some_and(|process| process.engine.has_session(call))
        };
        self.callers.is_connected(call) || self.fronts.iter().any(has_session)
    }

    fn violation(&self, error: InvariantError) -> Violation {
        Violation {
            step: self.step.number,
            time: Moment::START + self.step.time.since(START + LEAD),
            subject: error.subject,
            cause: error.cause,
        }
    }

    fn deliver(&mut self, from: Participant, to: Participant, bytes: Vec<u8>) -> Result<(), InvariantError> {
        if let Participant::Front(index) = to
            && !self.fronts[usize::from(index)].can_receive()
        {
            self.recorder.event(self.step, "lost", to, &bytes);
            return Ok(());
        }
        self.recorder.received(self.step, from, to, &bytes);
        let (sender, now) = (address(from), self.step.time);
        match to {
            Participant::Front(index) => {
                let index = usize::from(index);
                let Some(bytes) = self.mutation.on_receive(index, bytes) else { return Ok(()) };
                self.fronts[index].receive(sender, bytes);
            }
            Participant::Server(index) => {
                let Some(server) = &mut self.servers[usize::from(index)] else { return Ok(()) };
                server.handle_datagram(now, sender, &bytes);
            }
            _ => self.callers.handle_datagram(now, sender, &bytes),
        }
        self.process(to)
    }

    /// Lets a party do what is due, carries what it sends, and sets its alarm.
    fn process(&mut self, party: Participant) -> Result<(), InvariantError> {
        let now = self.step.time;
        let mut datagrams = Vec::new();
        let mut result = Ok(());
        let timeout = match party {
            Participant::Front(index) => {
                let index = usize::from(index);
                result = self.fronts[index].process(now);
                self.poll_front(index, &mut datagrams);
                self.fronts[index].poll_timeout(now)
            }
            Participant::Server(index) => match &mut self.servers[usize::from(index)] {
                Some(server) => process_peer(server, now, &mut datagrams),
                None => None,
            },
            _ => process_peer(&mut self.callers, now, &mut datagrams),
        };
        for (receiver, bytes) in datagrams {
            let Some(&to) = self.addresses.get(&receiver) else { continue };
            self.recorder.sent(self.step, party, to, &bytes);
            self.network.send(now, party, to, &bytes);
        }
        self.alarms.set(party, timeout);
        result
    }

    fn poll_front(&mut self, index: usize, datagrams: &mut Vec<(SocketAddr, Vec<u8>)>) {
        let front = &mut self.fronts[index];
        let Some(process) = front.process.as_mut().filter(|_| !front.stalled) else { return };
        while let Some((to, bytes)) = process.engine.poll_datagram() {
            datagrams.extend(self.mutation.on_send(index, bytes).into_iter().map(|bytes| (to, bytes)));
        }
    }

    fn start_front(&mut self, index: usize) {
        let (policy_kind, mutation) = (self.policy_kind, &self.mutation);
        let policy = |config: &FrontConfig, local_now| {
            mutation.wrap_policy(setup::call_policy(policy_kind, config, local_now))
        };
        let restore = |persisted| mutation.on_restore(persisted);
        let now = self.step.time;
        self.fronts[index].start(now, policy, restore, &mut self.rng);
        let timeout = self.fronts[index].poll_timeout(now);
        self.alarms.set(front(index), timeout);
    }

    fn run_scripted(&mut self, event: ScriptedEvent) -> Result<(), InvariantError> {
        self.recorder.event(self.step, &event.to_string(), Participant::Rig, b"");
        match event {
            ScriptedEvent::KillProcess(party) => self.kill_process(party),
            ScriptedEvent::StartProcess(party) => return self.start_process(party),
            ScriptedEvent::StallFront(index) => {
                self.mark("halt", front(index));
                self.fronts[index].stalled = self.fronts[index].process.is_some();
                self.alarms.set(front(index), None);
            }
            ScriptedEvent::ResumeFront(index) => {
                self.mark("resume", front(index));
                self.fronts[index].stalled = false;
                return self.process(front(index));
            }
            ScriptedEvent::SetClock { front, seconds } => {
                self.fronts[front].clock.offset_us += (seconds * 1e6) as i64;
            }
            ScriptedEvent::SetDiskFull { front, full } => self.fronts[front].disk.full = full,
            ScriptedEvent::SetTornWrites { front, torn } => self.fronts[front].tears_writes = torn,
            ScriptedEvent::StopCapture => {
                self.recorder.mark(self.step, "end");
                self.recorder.stop_capture();
            }
            ScriptedEvent::Finish => self.finished = true,
        }
        Ok(())
    }

    fn kill_process(&mut self, party: Participant) {
        self.mark("kill", party);
        match party {
            Participant::Front(index) => self.fronts[usize::from(index)].kill(&mut self.rng),
            Participant::Server(index) => self.servers[usize::from(index)] = None,
            _ => {}
        }
        self.alarms.set(party, None);
    }

    fn start_process(&mut self, party: Participant) -> Result<(), InvariantError> {
        self.mark("begin", party);
        match party {
            Participant::Front(index) => self.start_front(usize::from(index)),
            Participant::Server(index) => {
                let index = usize::from(index);
                let server = setup::emulated_server(&self.scenario, index, self.step.time, true);
                self.servers[index] = Some(server);
            }
            _ => {}
        }
        self.process(party)
    }

    /// Tells the auditor what is done to a process.
    fn mark(&mut self, action: &str, party: Participant) {
        self.recorder.mark(self.step, &format!("{action} {}", party.capture_address()));
    }
}

/// Lets an emulated party do what is due; when it wants to be called again.
fn process_peer(
    peer: &mut impl Peer,
    now: Moment,
    datagrams: &mut Vec<(SocketAddr, Vec<u8>)>,
) -> Option<Moment> {
    peer.process(now);
    datagrams.extend(std::iter::from_fn(|| peer.poll_datagram()));
    peer.poll_timeout().map(|timeout| timeout.max(now))
}
