//! The state of a simulated fleet, and the event loop.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::config::DEFAULT_CLOCK_DRIFT_PPM;
use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};
use ochrelead_lease::engine::{Engine, EngineConfig, Transmit};
use ochrelead_lease::message::Message;
use ochrelead_lease::persistence::PersistedState;
use ochrelead_lease::{LeaseConfig, MemberId, TaskId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::network::{Conditions, Partition};
use super::{MILLISECOND, Report, SECOND, Scenario};
use crate::event_queue::EventQueue;
use crate::mutation::{Delivery, FaultyProxy, Mutation};
use crate::resource::{Act, Resource};

/// Number of candidates for each task.
const CANDIDATES: usize = 6;
/// Requested duration of a lease.
const LEASE_DURATION: Span = Span::from_secs(4);
/// Maximum drift of clocks in half of the runs. The lease engines are configured with the same limit.
const LARGE_CLOCK_DRIFT_PPM: u32 = 200_000;
/// Reading of every clock at the start of the run.
const CLOCK_START_US: u64 = 3_600 * SECOND;
/// Messages that the socket of a paused front buffers; further ones are lost.
const MAX_INBOX: usize = 256;

/// An event of the simulation.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A front's engine is due to run at `at_us`. The event is ignored if the front was rescheduled.
    Wake { front: u32, at_us: u64 },
    /// A message arrives at a front.
    Arrival { recipient: u32, delivery: Delivery },
    /// A holder is due to act on a task.
    Act { holder: MemberId, task: u64 },
    /// An act arrives at the resource of a task.
    ActArrives { act: Act, task: u64 },
    /// A front's process ends.
    Crash(u32),
    /// A front's process starts.
    Start(u32),
    /// A front's process stalls.
    Pause(u32),
    /// A paused front's process runs again.
    Resume(u32),
    /// A front leaves service, ends and restarts.
    Leave(u32),
    /// A partition begins, by its index in [`World::partitions`].
    Partition(usize),
    /// All links are restored.
    Heal,
    /// A front's clock is set back by 3 s.
    SetClockBack(u32),
}

/// A voter's state on disk, and when it was written.
#[derive(Clone, Debug)]
struct StoredState {
    written_at_us: u64,
    state: PersistedState,
}

#[derive(Debug)]
pub(super) struct Front {
    /// The lease engine; `None` while the process does not run.
    pub(super) engine: Option<Engine>,
    /// Number of starts of the process.
    pub(super) incarnation: u32,
    /// Deviation of the clock's rate from virtual time, in parts per million.
    drift_ppm: i64,
    /// Total time by which the clock was set back, in microseconds.
    set_back_us: u64,
    pub(super) is_paused: bool,
    /// Messages that arrived while the process was paused.
    inbox: VecDeque<Delivery>,
    /// Virtual time of the next scheduled run; `u64::MAX` if there is none.
    next_wake_us: u64,
    /// Round of the last vote request that the front sent.
    last_round: u64,
    /// The persisted state of a voter; `None` if none was written or the run has no disks.
    disk: Option<StoredState>,
    /// The leases that the front holds, by task. Leases are numbered in the order in which they began.
    pub(super) leases: BTreeMap<u64, u64>,
}

impl Front {
    fn new(drift_ppm: i64) -> Front {
        Front {
            engine: None,
            incarnation: 0,
            drift_ppm,
            set_back_us: 0,
            is_paused: false,
            inbox: VecDeque::new(),
            next_wake_us: u64::MAX,
            last_round: 0,
            disk: None,
            leases: BTreeMap::new(),
        }
    }
}

pub(super) struct World {
    pub(super) scenario: Scenario,
    lease_config: LeaseConfig,
    pub(super) proxy: FaultyProxy,
    pub(super) electorate: Electorate,
    pub(super) rng: Pcg64Mcg,
    pub(super) now_us: u64,
    queue: EventQueue<Event>,
    pub(super) fronts: Vec<Front>,
    pub(super) resources: BTreeMap<u64, Resource>,
    /// All partitions of the run.
    pub(super) partitions: Vec<Partition>,
    /// Index of the partition that is in force.
    partition: Option<usize>,
    pub(super) conditions: Conditions,
    /// Whether voters persist their promises.
    has_disks: bool,
    pub(super) report: Report,
    /// Virtual time since which each task has no holder; `None` while it has one.
    pub(super) without_holder_since: BTreeMap<u64, Option<u64>>,
    /// Time with a holder, summed over all tasks, in microseconds.
    held_us: u64,
}

/// The candidates for a task in the order of their rank. The order is by a hash of task and front, which spreads
/// the tasks over the fronts.
pub(super) fn ranked_candidates(task: u64, fronts: u32) -> Vec<u32> {
    let hash = |front: &u32| {
        let mut rng = Pcg64Mcg::seed_from_u64(task << 32 | u64::from(*front));
        rng.random::<u64>()
    };
    let mut order: Vec<u32> = (0..fronts).collect();
    order.sort_by_cached_key(hash);
    order.truncate(CANDIDATES);
    order
}

/// Draws a clock's drift: the lower limit, the upper limit, or a uniform value between them, with equal
/// probability.
fn draw_drift(rng: &mut Pcg64Mcg, max_ppm: u32) -> i64 {
    let max = i64::from(max_ppm);
    match rng.random_range(0..3) {
        0 => -max,
        1 => max,
        _ => rng.random_range(-max..=max),
    }
}

impl World {
    pub(super) fn new(scenario: Scenario) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(scenario.seed);
        let has_small_drift = rng.random_bool(0.5);
        let clock_drift_ppm = if has_small_drift { DEFAULT_CLOCK_DRIFT_PPM } else { LARGE_CLOCK_DRIFT_PPM };
        let proxy = FaultyProxy::new(scenario.mutation);
        let lease_config = LeaseConfig { clock_drift_ppm, ..LeaseConfig::with_duration(LEASE_DURATION) };
        let voters = DEFAULT_SIZE.min(scenario.fronts as usize);
        let conditions = Conditions::draw(&mut rng, &scenario);
        let has_disks = rng.random_bool(0.5) || scenario.mutation == Some(Mutation::SentBeforePersisted);
        let fronts =
            (0..scenario.fronts).map(|_| Front::new(draw_drift(&mut rng, clock_drift_ppm))).collect();
        let mut world = World {
            lease_config: proxy.lease_config(lease_config),
            proxy,
            electorate: Electorate::evenly_spaced(1, scenario.fronts, voters),
            rng,
            now_us: 0,
            queue: EventQueue::new(),
            fronts,
            resources: BTreeMap::new(),
            partitions: Vec::new(),
            partition: None,
            conditions,
            has_disks,
            report: Report::default(),
            without_holder_since: (0..scenario.tasks).map(|task| (task, Some(0))).collect(),
            held_us: 0,
            scenario,
        };
        // An empty persisted state: no voter has promised anything, so none has to abstain at the first start.
        for front in 0..world.scenario.fronts {
            world.start(front, Some(&PersistedState::default()));
        }
        if !world.scenario.without_faults {
            world.schedule_faults();
        }
        world
    }

    /// Schedules an event at a virtual time.
    pub(super) fn schedule(&mut self, at_us: u64, event: Event) {
        self.queue.push(at_us, event);
    }

    /// The present time by a front's clock.
    pub(super) fn clock(&self, front: u32) -> Moment {
        let front = &self.fronts[front as usize];
        let elapsed = self.now_us as i64 + self.now_us as i64 * front.drift_ppm / 1_000_000;
        Moment::from_micros((CLOCK_START_US + elapsed as u64).saturating_sub(front.set_back_us))
    }

    /// Starts a front's process with its persisted state, unless it runs already.
    fn start(&mut self, front: u32, persisted: Option<&PersistedState>) {
        let now = self.clock(front);
        let scenario = &self.scenario;
        let state = &mut self.fronts[front as usize];
        if state.engine.is_some() {
            return;
        }
        state.incarnation += 1;
        let config = EngineConfig {
            local: MemberId { front, incarnation: self.proxy.incarnation(state.incarnation) },
            electorate: self.proxy.electorate(front, scenario.fronts, &self.electorate),
            lease: self.lease_config,
            seed: scenario.seed ^ u64::from(front) << 20 ^ u64::from(state.incarnation),
        };
        let mut engine = Engine::new(config, persisted, now);
        for task in 0..scenario.tasks {
            let candidates = ranked_candidates(task, scenario.fronts);
            if let Some((rank, _)) = (0..).zip(candidates).find(|(_, candidate)| *candidate == front) {
                engine.set_candidacy(now, TaskId(task), Some(rank));
            }
        }
        (state.engine, state.is_paused) = (Some(engine), false);
        state.inbox.clear();
        self.process(front, None);
    }

    /// Starts a front with the state that it has on disk.
    fn restart(&mut self, front: u32) {
        let disk = self.fronts[front as usize].disk.as_ref().map(|stored| stored.state.clone());
        let persisted = self.proxy.persisted_state().or(disk);
        self.start(front, persisted.as_ref());
    }

    /// Ends a front's process. Its leases and buffered messages are lost.
    fn crash(&mut self, front: u32) {
        let state = &mut self.fronts[front as usize];
        state.engine = None;
        state.is_paused = false;
        state.inbox.clear();
        for task in std::mem::take(&mut state.leases).into_keys() {
            self.without_holder_since.insert(task, Some(self.now_us));
        }
    }

    /// Resumes a paused front, which handles its buffered messages first.
    fn resume(&mut self, front: u32) {
        self.fronts[front as usize].is_paused = false;
        for delivery in std::mem::take(&mut self.fronts[front as usize].inbox) {
            self.process(front, Some(delivery));
        }
        self.process(front, None);
    }

    /// Lets a front release its leases and leave service.
    fn leave(&mut self, front: u32) {
        let now = self.clock(front);
        if let Some(engine) = &mut self.fronts[front as usize].engine {
            engine.leave(now);
        }
        self.process(front, None);
        // The process ends 300 ms later, and starts again after another 300 ms.
        self.schedule(self.now_us + 300 * MILLISECOND, Event::Crash(front));
        self.schedule(self.now_us + 600 * MILLISECOND, Event::Start(front));
    }

    /// Passes a delivery, if any, to a front's engine, runs the engine, persists its state, and sends its messages.
    /// A paused front only buffers the delivery.
    pub(super) fn process(&mut self, front: u32, delivery: Option<Delivery>) {
        let now = self.clock(front);
        let state = &mut self.fronts[front as usize];
        let Some(engine) = &mut state.engine else { return };
        if state.is_paused {
            if let Some(delivery) = delivery.filter(|_| state.inbox.len() < MAX_INBOX) {
                state.inbox.push_back(delivery);
            }
            return;
        }
        if let Some(Delivery { sender, message }) = delivery {
            for delivery in self.proxy.deliver(sender, &message, state.last_round) {
                engine.handle_input(now, delivery.sender, &delivery.message);
            }
        }
        engine.process(now + self.proxy.processing_delay(&self.lease_config));
        let (local, timeout) = (engine.local(), engine.poll_timeout());
        let mut output = Vec::new();
        while let Some(transmit) = engine.poll_output() {
            if let Message::VoteRequest(request) = transmit.message {
                state.last_round = request.round;
            }
            output.push(transmit);
        }
        self.persist(front);
        for transmit in output {
            self.send(local, transmit);
        }
        if let Some(timeout) = timeout {
            self.schedule_wake(front, timeout.since(now));
        }
        self.check_holder(front);
    }

    /// Writes a voter's state to disk before its messages are sent. With [`Mutation::SentBeforePersisted`] a write
    /// is skipped until more than 5 s after the last one.
    fn persist(&mut self, front: u32) {
        let state = &mut self.fronts[front as usize];
        let voter = state.engine.as_ref().and_then(Engine::voter);
        let Some(voter) = voter.filter(|_| self.has_disks) else { return };
        let skips_writes = self.scenario.mutation == Some(Mutation::SentBeforePersisted);
        let written_at_us = state.disk.as_ref().map(|stored| stored.written_at_us);
        let now_us = self.now_us;
        if !skips_writes || written_at_us.is_none_or(|written_at_us| now_us - written_at_us > 5 * SECOND) {
            state.disk = Some(StoredState { written_at_us: now_us, state: voter.persisted_state() });
        }
    }

    /// Sends the copies of a message, each with its own loss and delay.
    fn send(&mut self, sender: MemberId, transmit: Transmit) {
        let Transmit { recipient, message } = transmit;
        self.report.messages += 1;
        for _ in 0..self.conditions.draw_copies(&mut self.rng) {
            if recipient >= self.scenario.fronts
                || self.rng.random_bool(self.conditions.loss)
                || self.is_cut(sender.front, recipient)
            {
                continue;
            }
            let at_us = self.now_us + self.conditions.draw_delay(&mut self.rng);
            let delivery = Delivery { sender, message: message.clone() };
            self.schedule(at_us, Event::Arrival { recipient, delivery });
        }
    }

    /// Whether the partition in force cuts the link from one front to another.
    fn is_cut(&self, from: u32, to: u32) -> bool {
        self.partition.is_some_and(|index| self.partitions[index].cuts(from, to))
    }

    /// Schedules the next run of a front after `wait` by its clock, unless an earlier run is already scheduled. One
    /// microsecond is added so that rounding does not make the run early.
    fn schedule_wake(&mut self, front: u32, wait: Span) {
        let state = &mut self.fronts[front as usize];
        let rate = 1.0 + state.drift_ppm as f64 / 1e6;
        let wait_us = (wait.micros() as f64 / rate) as u64 + 1;
        let at_us = self.now_us + wait_us;
        if state.next_wake_us <= self.now_us || at_us < state.next_wake_us {
            state.next_wake_us = at_us;
            self.schedule(at_us, Event::Wake { front, at_us });
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Wake { front, at_us } => {
                if self.fronts[front as usize].next_wake_us == at_us {
                    self.fronts[front as usize].next_wake_us = u64::MAX;
                    self.process(front, None);
                }
            }
            Event::Arrival { recipient, delivery } => self.process(recipient, Some(delivery)),
            Event::Act { holder, task } => self.act(holder, task),
            Event::ActArrives { act, task } => self.act_arrives(act, task),
            Event::Crash(front) => self.crash(front),
            Event::Start(front) => self.restart(front),
            Event::Pause(front) => self.fronts[front as usize].is_paused = true,
            Event::Resume(front) => self.resume(front),
            Event::Leave(front) => self.leave(front),
            Event::Partition(index) => self.partition = Some(index),
            Event::Heal => self.partition = None,
            Event::SetClockBack(front) => self.fronts[front as usize].set_back_us += 3 * SECOND,
        }
    }

    /// Handles all events until the end of the scenario or the first violation.
    pub(super) fn run(mut self) -> Report {
        let end_us = self.scenario.duration_secs * SECOND;
        while self.report.finding.is_none()
            && let Some((at_us, event)) = self.queue.pop_until(end_us)
        {
            let held = self.without_holder_since.values().filter(|since| since.is_none()).count() as u64;
            self.held_us += held * (at_us - self.now_us);
            self.now_us = at_us;
            self.report.events += 1;
            self.handle(event);
        }
        let task_time_us = self.now_us.max(1) * self.scenario.tasks;
        self.report.held_share = self.held_us as f64 / task_time_us as f64;
        self.report
    }
}
