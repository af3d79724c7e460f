//! The simulated system: fronts, servers, callers and the network between them on one event queue.

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

/// Time between the start of all participants and the start of the scenario.
pub const SCENARIO_DELAY: Span = Span::from_millis(700);
/// Simulated time at which all participants start. It is far from zero, so that a system clock can be set back.
pub const START_TIME: Moment = Moment::from_micros(1_700_000_000_000_000);
/// XORed into the scenario's seed to seed the generator of the fronts' random values.
const FRONT_SEED_SALT: u64 = 0x0c4_1ead;

/// Selects the recordings of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecordingOptions {
    /// Capture every datagram, for the auditor.
    pub datagrams: bool,
    /// Record a trace with one line per event.
    pub trace: bool,
    /// Record the fronts' event logs.
    pub event_logs: bool,
}

/// The state of a simulated scenario.
pub struct World {
    scenario: Scenario,
    step: Step,
    policy_kind: PolicyKind,
    mutation: Box<dyn Mutation>,
    fronts: Vec<FrontMachine>,
    /// By index; `None` while the server's process is killed.
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

/// Returns the address that other participants use for a participant.
fn address(participant: Participant) -> SocketAddr {
    participant.capture_address().into()
}

fn front(index: usize) -> Participant {
    Participant::Front(index as u16)
}

fn server(index: usize) -> Participant {
    Participant::Server(index as u16)
}

impl World {
    /// Creates the participants of a scenario and starts them.
    ///
    /// # Errors
    ///
    /// Returns an error if the scenario yields an invalid front configuration, or if an invariant is violated while the
    /// participants start.
    pub fn new(
        scenario: &Scenario,
        policy_kind: PolicyKind,
        mutation: Box<dyn Mutation>,
        options: RecordingOptions,
    ) -> Result<World, SimulationError> {
        let start = START_TIME + SCENARIO_DELAY;
        let mut fronts = Vec::new();
        for index in 0..scenario.fronts {
            let mut config = setup::front_config(scenario, index)?;
            mutation.change_config(&mut config);
            fronts.push(FrontMachine::new(config, options.event_logs));
        }
        let emulated_server = |index| Some(setup::emulated_server(scenario, index, START_TIME, false));
        let participants = (0..scenario.fronts).map(front).chain((0..scenario.servers.len()).map(server));
        let faults = link_faults(scenario, start, front, server, Participant::Gateway);
        let mut world = World {
            step: Step { number: 0, time: START_TIME },
            policy_kind,
            mutation,
            fronts,
            servers: (0..scenario.servers.len()).map(emulated_server).collect(),
            callers: Callers::new(scenario.clone(), setup::front_addresses(scenario), start, START_TIME),
            network: Network::new(scenario.network, faults, scenario.seed),
            alarms: Alarms::default(),
            script: script::script(scenario, start),
            addresses: participants
                .chain([Participant::Gateway])
                .map(|participant| (address(participant), participant))
                .collect(),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed ^ FRONT_SEED_SALT),
            recorder: Recorder::new(options),
            finished: false,
            scenario: scenario.clone(),
        };
        world.start_participants()?;
        Ok(world)
    }

    fn start_participants(&mut self) -> Result<(), InvariantError> {
        self.recorder.mark(self.step, &format!("start {}", (START_TIME + SCENARIO_DELAY).micros()));
        for fault in self.scenario.faults.iter().filter(|fault| fault.kind == FaultKind::ClockFast) {
            for &target in &fault.targets {
                self.fronts[target].clock.drift = fault.magnitude / 1e6;
            }
        }
        for index in 0..self.fronts.len() {
            self.start_front(index);
        }
        let servers = (0..self.servers.len()).map(server);
        servers.chain([Participant::Gateway]).try_for_each(|participant| self.process(participant))
    }

    /// Handles the next event; returns `None` if the simulation is finished.
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
            let participant = self.alarms.pop()?;
            self.recorder.event(self.step, "turn", participant, b"");
            self.process(participant)
        };
        Some(result.map_err(|error| self.violation(error)))
    }

    /// Returns the number of simulated steps.
    pub fn step_count(&self) -> u64 {
        self.step.number
    }

    /// Returns the simulated seconds since the participants started.
    pub fn elapsed_s(&self) -> f64 {
        self.step.time.since(START_TIME).ratio(Span::from_secs(1))
    }

    /// Returns the checksum over all events so far.
    pub fn checksum(&self) -> u32 {
        self.recorder.checksum()
    }

    /// Returns the captured datagrams, in capture order.
    pub fn datagrams(&self) -> &[CapturedDatagram] {
        &self.recorder.datagrams
    }

    /// Returns the step of the first datagram captured at or after `time`, relative to the start of the scenario; the
    /// last step if there is none.
    pub fn step_at(&self, time: Moment) -> u64 {
        let time = START_TIME + SCENARIO_DELAY + time.since(Moment::START);
        self.recorder.step_at(time).unwrap_or(self.step.number)
    }

    /// Returns the trace and the fronts' event logs; each is empty if it was not recorded.
    pub fn into_recordings(self) -> (String, Vec<Log>) {
        let logs = self.fronts.into_iter().flat_map(FrontMachine::into_logs).collect();
        (self.recorder.trace, logs)
    }

    /// Checks, at the end of a scenario, that a front or caller has a session for every call that is established at a
    /// server.
    ///
    /// # Errors
    ///
    /// Returns the first call without a session.
    pub fn check_unclaimed_calls(&self) -> Result<(), Violation> {
        for (index, server) in self.servers.iter().enumerate() {
            let mut calls = server.iter().flat_map(Server::calls);
            let unclaimed = calls.find(|(from, call)| !self.may_leave_calls(*from) && !self.is_claimed(call));
            if let Some((_, call)) = unclaimed {
                let cause = ViolationCause::UnclaimedCall { server: server_name(index) };
                return Err(self.violation(InvariantError { subject: call.to_owned(), cause }));
            }
        }
        Ok(())
    }

    /// Returns whether calls from the front at `listen` may be unclaimed: a killed front loses the calls it had set up
    /// before it answered the caller, because servers can't be queried for their calls; and a front may still be
    /// retransmitting a release.
    fn may_leave_calls(&self, listen: SocketAddr) -> bool {
        let is_releasing = |front: &FrontMachine| {
            front.process.as_ref().is_some_and(|process| process.engine.unconfirmed_releases() > 0)
        };
        let mut fronts = self.fronts.iter().filter(|front| front.config.listen == listen);
        fronts.any(|front| front.incarnations > 1 || is_releasing(front))
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
            time: Moment::START + self.step.time.since(START_TIME + SCENARIO_DELAY),
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

    /// Runs an iteration of a participant's event loop, puts the datagrams that it sends on the network, and sets its
    /// alarm.
    fn process(&mut self, participant: Participant) -> Result<(), InvariantError> {
        let now = self.step.time;
        let mut datagrams = Vec::new();
        let mut result = Ok(());
        let timeout = match participant {
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
            self.recorder.sent(self.step, participant, to, &bytes);
            self.network.send(now, participant, to, &bytes);
        }
        self.alarms.set(participant, timeout);
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
            ScriptedEvent::KillProcess(participant) => self.kill_process(participant),
            ScriptedEvent::StartProcess(participant) => return self.start_process(participant),
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

    fn kill_process(&mut self, participant: Participant) {
        self.mark("kill", participant);
        match participant {
            Participant::Front(index) => self.fronts[usize::from(index)].kill(&mut self.rng),
            Participant::Server(index) => self.servers[usize::from(index)] = None,
            _ => {}
        }
        self.alarms.set(participant, None);
    }

    fn start_process(&mut self, participant: Participant) -> Result<(), InvariantError> {
        self.mark("begin", participant);
        match participant {
            Participant::Front(index) => self.start_front(usize::from(index)),
            Participant::Server(index) => {
                let index = usize::from(index);
                let server = setup::emulated_server(&self.scenario, index, self.step.time, true);
                self.servers[index] = Some(server);
            }
            _ => {}
        }
        self.process(participant)
    }

    /// Records for the auditor that `action` was applied to a process.
    fn mark(&mut self, action: &str, participant: Participant) {
        self.recorder.mark(self.step, &format!("{action} {}", participant.capture_address()));
    }
}

/// Runs an iteration of an emulated participant's event loop and collects the datagrams that it sends. Returns the
/// time of its next timeout.
fn process_peer(
    peer: &mut impl Peer,
    now: Moment,
    datagrams: &mut Vec<(SocketAddr, Vec<u8>)>,
) -> Option<Moment> {
    peer.process(now);
    datagrams.extend(std::iter::from_fn(|| peer.poll_datagram()));
    peer.poll_timeout().map(|timeout| timeout.max(now))
}
