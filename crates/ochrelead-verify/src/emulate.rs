//! Fleets of engines on a virtual clock, with faults drawn from a seed: words lost, late, doubled, cut one way or both,
//! halves of the fleet, fronts that stand still, are killed and start anew one after the other, clocks that run apart.
//!
//! What must hold is looked at after every event: never two fronts that may act on one task, each by its own clock; and
//! at the resource, never an act under a lease that began before that of the last one taken.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::config::DEFAULT_CLOCK_DRIFT_PPM;
use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};
use ochrelead_lease::engine::{Engine, EngineConfig, Transmit};
use ochrelead_lease::lease::Permit;
use ochrelead_lease::message::Message;
use ochrelead_lease::persistence::PersistedState;
use ochrelead_lease::{LeaseConfig, MemberId, TaskId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::mistake::{Meddler, Mistake};
use crate::resource::{Act, Resource};

const MS: u64 = 1_000;
/// A holder acts so often.
const ACTS: u64 = 100 * MS;
/// Fronts that stand ready for each task.
const READY: u32 = 6;

/// A day of a fleet.
#[derive(Clone, Debug)]
pub struct Day {
    pub seed: u64,
    pub fronts: u32,
    pub tasks: u64,
    /// How long it lasts, in seconds.
    pub secs: u64,
    /// Without faults: what it costs, and how soon a lease is held again.
    pub calm: bool,
    pub mistake: Option<Mistake>,
}

/// What a day showed.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    pub found: Option<String>,
    pub events: u64,
    pub words: u64,
    pub acts: u64,
    pub refused: u64,
    pub leases: u64,
    /// How long each task was without a holder, each time, in ms.
    pub gaps: Vec<u64>,
    /// The share of time in which tasks were held.
    pub held: f64,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Turn(u32, u64),
    Arrives(u32, MemberId, Message),
    Acts(u32, u32, u64),
    Lands(Act, u64),
    Kill(u32),
    Start(u32),
    Halt(u32),
    GoOn(u32),
    Leave(u32),
    Cut(usize),
    Heal,
    SetBack(u32),
}

/// Which ways are cut.
#[derive(Clone, Debug)]
enum Cut {
    /// From those of one side to the others, and back too where it is both ways.
    Sides { side: Vec<bool>, both: bool },
    /// A front's own ways: in, out.
    Front { front: u32, hears: bool, is_heard: bool },
}

struct Front {
    engine: Option<Engine>,
    life: u32,
    /// Parts per million by which its clock runs fast.
    rate: i64,
    back: u64,
    halted: bool,
    /// What came while it stood still.
    unread: VecDeque<(MemberId, Message)>,
    turn_at: u64,
    asked: u64,
    /// What it kept as a voter, where fronts have disks, and when.
    disk: Option<(u64, PersistedState)>,
    /// Per task: the lease that it holds, in the order in which they began.
    holds: BTreeMap<u64, u64>,
}

struct World {
    day: Day,
    terms: LeaseConfig,
    meddler: Meddler,
    electorate: Electorate,
    chance: Pcg64Mcg,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    nth: u64,
    fronts: Vec<Front>,
    resources: BTreeMap<u64, Resource>,
    cuts: Vec<Cut>,
    cut: Option<usize>,
    loss: f64,
    delay: u64,
    doubles: f64,
    very_late: f64,
    /// Voters keep their promises.
    disks: bool,
    shown: Shown,
    /// Since when each task is without a holder.
    without: BTreeMap<u64, Option<u64>>,
    held_us: u64,
}

/// MemberId stands ready for a task, in order: by a hash of both, so that tasks spread over the fronts.
fn ready(task: u64, fronts: u32) -> Vec<u32> {
    let mixed = |front: &u32| {
        let mut rng = Pcg64Mcg::seed_from_u64(task << 32 | u64::from(*front));
        rng.random::<u64>()
    };
    let mut order: Vec<u32> = (0..fronts).collect();
    order.sort_by_cached_key(mixed);
    order.truncate(READY as usize);
    order
}

impl World {
    fn new(day: Day) -> World {
        let mut chance = Pcg64Mcg::seed_from_u64(day.seed);
        // Half of the days have clocks that are far off, with terms that allow for it.
        let rate_ppm = if chance.random_bool(0.5) { DEFAULT_CLOCK_DRIFT_PPM } else { 200_000 };
        let meddler = Meddler(day.mistake);
        let terms =
            LeaseConfig { clock_drift_ppm: rate_ppm, ..LeaseConfig::with_duration(Span::from_secs(4)) };
        let electorate = Electorate::evenly_spaced(1, day.fronts, DEFAULT_SIZE.min(day.fronts as usize));
        let loud = !day.calm;
        let (loss, delay) = if loud {
            (chance.random_range(0.0..0.4), chance.random_range(1..300) * MS)
        } else {
            (0.0, 5 * MS)
        };
        let doubles = if loud { chance.random_range(0.0..0.2) } else { 0.0 };
        let very_late = if loud && chance.random_bool(0.5) { 0.02 } else { 0.0 };
        let disks = chance.random_bool(0.5) || day.mistake == Some(Mistake::SaidBeforeKept);
        let rates: Vec<i64> = (0..day.fronts)
            .map(|_| {
                let most = i64::from(rate_ppm);
                match chance.random_range(0..3) {
                    0 => -most,
                    1 => most,
                    _ => chance.random_range(-most..=most),
                }
            })
            .collect();
        let mut world = World {
            terms: meddler.terms(terms),
            meddler,
            electorate,
            chance,
            now: 0,
            queue: BinaryHeap::new(),
            nth: 0,
            fronts: Vec::new(),
            resources: BTreeMap::new(),
            cuts: Vec::new(),
            cut: None,
            loss,
            delay,
            doubles,
            very_late,
            disks,
            shown: Shown::default(),
            without: (0..day.tasks).map(|task| (task, Some(0))).collect(),
            held_us: 0,
            day,
        };
        for rate in rates {
            let front = Front {
                engine: None,
                life: 0,
                rate,
                back: 0,
                halted: false,
                unread: VecDeque::new(),
                turn_at: u64::MAX,
                asked: 0,
                disk: None,
                holds: BTreeMap::new(),
            };
            world.fronts.push(front);
        }
        // At first nobody has promised anything.
        for front in 0..world.day.fronts {
            world.start(front, Some(PersistedState::default()));
        }
        if loud {
            world.draw_faults();
        }
        world
    }

    fn at(&mut self, when: u64, what: What) {
        self.nth += 1;
        self.queue.push(Reverse((when, self.nth, what)));
    }

    /// MemberId is worth a fault: voters and those who stand ready, mostly.
    fn some_front(&mut self) -> u32 {
        let mut likely: Vec<u32> = self.electorate.voters().into_iter().collect();
        (0..self.day.tasks).for_each(|task| likely.extend(ready(task, self.day.fronts)));
        likely[self.chance.random_range(0..likely.len())]
    }

    fn draw_faults(&mut self) {
        let most = self.day.secs * 1_000 * MS;
        for _ in 0..self.chance.random_range(4..24) {
            let when = self.chance.random_range(0..most);
            let lasts = self.chance.random_range(10..12_000) * MS;
            let front = self.some_front();
            match self.chance.random_range(0..11) {
                10 => {
                    // One that is started again and again, and dies soon after.
                    for nth in 0..8 {
                        let when = when + nth * lasts / 8;
                        self.at(when, What::Kill(front));
                        self.at(when + 20 * MS, What::Start(front));
                    }
                }
                0 | 1 => {
                    self.at(when, What::Kill(front));
                    self.at(when + lasts / 4, What::Start(front));
                }
                2 | 3 => {
                    self.at(when, What::Halt(front));
                    self.at(when + lasts, What::GoOn(front));
                }
                4 => {
                    // Voters start anew one after the other, faster than any of them abstains.
                    let voters = self.electorate.voters();
                    for (nth, voter) in voters.into_iter().enumerate() {
                        let when = when + nth as u64 * lasts / 10;
                        self.at(when, What::Kill(voter));
                        self.at(when + 50 * MS, What::Start(voter));
                    }
                }
                5 => {
                    // Seven in ten at once.
                    for front in 0..self.day.fronts {
                        if self.chance.random_bool(0.7) {
                            self.at(when, What::Kill(front));
                            let back = self.chance.random_range(100..3_000) * MS;
                            self.at(when + back, What::Start(front));
                        }
                    }
                }
                6 | 7 => {
                    let both = self.chance.random_bool(0.5);
                    let side = (0..self.day.fronts).map(|_| self.chance.random_bool(0.5)).collect();
                    self.cuts.push(Cut::Sides { side, both });
                    let cut = self.cuts.len() - 1;
                    self.at(when, What::Cut(cut));
                    self.at(when + lasts, What::Heal);
                }
                8 => {
                    let (hears, is_heard) = (self.chance.random_bool(0.5), self.chance.random_bool(0.3));
                    self.cuts.push(Cut::Front { front, hears, is_heard });
                    let cut = self.cuts.len() - 1;
                    self.at(when, What::Cut(cut));
                    self.at(when + lasts, What::Heal);
                }
                _ => self.at(when, What::Leave(front)),
            }
        }
        if self.day.mistake == Some(Mistake::ClockSetBack) {
            for _ in 0..20 {
                let (when, front) = (self.chance.random_range(0..most), self.some_front());
                self.at(when, What::SetBack(front));
            }
        }
    }

    fn clock(&self, front: u32) -> Moment {
        let front = &self.fronts[front as usize];
        let ran = self.now as i64 + self.now as i64 * front.rate / 1_000_000;
        Moment::from_micros((3_600_000 * MS + ran as u64).saturating_sub(front.back))
    }

    fn start(&mut self, front: u32, kept: Option<PersistedState>) {
        let now = self.clock(front);
        let (meddler, day) = (self.meddler, &self.day);
        let electorate = meddler.electorate(front, day.fronts, &self.electorate);
        let at = front as usize;
        if self.fronts[at].engine.is_some() {
            return;
        }
        self.fronts[at].life += 1;
        let local = MemberId { front, incarnation: meddler.life(self.fronts[at].life) };
        let seed = day.seed ^ u64::from(front) << 20 ^ u64::from(self.fronts[at].life);
        let config = EngineConfig { local, electorate, lease: self.terms, seed };
        let mut engine = Engine::new(config, kept.as_ref(), now);
        let tasks = day.tasks;
        for task in 0..tasks {
            let rank = ready(task, day.fronts).iter().position(|ready| *ready == front);
            if let Some(rank) = rank {
                engine.set_candidacy(now, TaskId(task), Some(rank as u32));
            }
        }
        let state = &mut self.fronts[at];
        (state.engine, state.halted) = (Some(engine), false);
        state.unread.clear();
        self.serve(front, None);
    }

    fn kill(&mut self, front: u32) {
        let state = &mut self.fronts[front as usize];
        state.engine = None;
        state.halted = false;
        state.unread.clear();
        for task in std::mem::take(&mut state.holds).into_keys() {
            self.without.insert(task, Some(self.now));
        }
    }

    fn is_cut(&self, from: u32, to: u32) -> bool {
        match self.cut.map(|cut| &self.cuts[cut]) {
            None => false,
            Some(Cut::Sides { side, both }) => {
                let (from, to) = (side[from as usize], side[to as usize]);
                from != to && (*both || from)
            }
            Some(Cut::Front { front, hears, is_heard }) => {
                (to == *front && !hears) || (from == *front && !is_heard)
            }
        }
    }

    /// A front's turn, after a word where one came; what it says is sent.
    fn serve(&mut self, front: u32, word: Option<(MemberId, Message)>) {
        let (now, at) = (self.clock(front), front as usize);
        let late = self.meddler.late(&self.terms);
        let state = &mut self.fronts[at];
        let Some(engine) = &mut state.engine else { return };
        if state.halted {
            // What a socket holds of words; more is lost.
            if let Some(word) = word.filter(|_| state.unread.len() < 256) {
                state.unread.push_back(word);
            }
            return;
        }
        if let Some((from, word)) = word {
            for (from, word) in self.meddler.arrives(from, &word, state.asked) {
                engine.handle_input(now, from, &word);
            }
        }
        engine.process(now + late);
        let me = engine.local();
        let mut said = Vec::new();
        while let Some(Transmit { recipient: to, message: word }) = engine.poll_output() {
            if let Message::VoteRequest(request) = word {
                state.asked = request.round;
            }
            said.push((to, word));
        }
        let wake = engine.poll_timeout();
        if self.disks
            && let Some(voter) = engine.voter()
        {
            // Before a word leaves; in the mistake, seconds later.
            let slow = self.day.mistake == Some(Mistake::SaidBeforeKept);
            let since = state.disk.as_ref().map(|(at, _)| *at);
            if !slow || since.is_none_or(|at| self.now - at > 5_000 * MS) {
                state.disk = Some((self.now, voter.persisted_state()));
            }
        }
        for (to, word) in said {
            self.send(me, to, word);
        }
        if let Some(wake) = wake {
            // By its own clock; a little later where that is off.
            let rate = 1.0 + self.fronts[at].rate as f64 / 1e6;
            let wait = (wake.since(now).micros() as f64 / rate) as u64 + 1;
            let when = self.now + wait.max(1);
            if self.fronts[at].turn_at <= self.now || when < self.fronts[at].turn_at {
                self.fronts[at].turn_at = when;
                self.at(when, What::Turn(front, when));
            }
        }
        self.look(front);
    }

    fn send(&mut self, from: MemberId, to: u32, word: Message) {
        self.shown.words += 1;
        let copies = 1 + u32::from(self.chance.random_bool(self.doubles));
        for _ in 0..copies {
            if to >= self.day.fronts || self.chance.random_bool(self.loss) || self.is_cut(from.front, to) {
                continue;
            }
            let mut takes = self.chance.random_range(0..=self.delay);
            if self.chance.random_bool(self.very_late) {
                takes += self.chance.random_range(0..60_000) * MS;
            }
            let when = self.now + takes;
            self.at(when, What::Arrives(to, from, word.clone()));
        }
    }

    fn permit(&self, front: u32, task: u64) -> Option<Permit> {
        let engine = self.fronts[front as usize].engine.as_ref()?;
        engine.permit(self.clock(front), TaskId(task))
    }

    /// What a front holds after an event, and whether another may act too.
    fn look(&mut self, front: u32) {
        for task in 0..self.day.tasks {
            let holds = self.permit(front, task).is_some();
            let held = self.fronts[front as usize].holds.contains_key(&task);
            if holds && !held {
                self.shown.leases += 1;
                let lease = self.shown.leases;
                self.fronts[front as usize].holds.insert(task, lease);
                if let Some(Some(since)) = self.without.insert(task, None) {
                    self.shown.gaps.push((self.now - since) / MS);
                }
                let life = self.fronts[front as usize].life;
                self.at(self.now, What::Acts(front, life, task));
            }
            if !holds && held {
                self.fronts[front as usize].holds.remove(&task);
                self.without.insert(task, Some(self.now));
            }
            if holds {
                let others = ready(task, self.day.fronts).into_iter().filter(|other| *other != front);
                let other = others.into_iter().find(|other| self.permit(*other, task).is_some());
                if let Some(other) = other {
                    let what =
                        format!("task {task}: {front} and {other} may act at once, at {} ms", self.now / MS);
                    self.shown.found.get_or_insert(what);
                }
            }
        }
    }

    /// A holder acts, or would: between its permit and its act it may stand still, and the act may be late.
    fn acts(&mut self, front: u32, life: u32, task: u64) {
        let state = &self.fronts[front as usize];
        if state.life != life || state.engine.is_none() {
            return;
        }
        let Some(lease) = state.holds.get(&task).copied() else { return };
        if !state.halted
            && let Some(permit) = self.permit(front, task)
        {
            let by = MemberId { front, incarnation: life };
            let act = Act { by, number: self.meddler.number(permit.token), since: lease };
            let mut takes = self.chance.random_range(0..=self.delay);
            if !self.day.calm && self.chance.random_bool(0.05) {
                takes += self.chance.random_range(0..8_000) * MS;
            }
            let when = self.now + takes;
            self.at(when, What::Lands(act, task));
            if self.day.mistake == Some(Mistake::ActsAfterHandBack) && self.chance.random_bool(0.05) {
                let now = self.clock(front);
                if let Some(engine) = &mut self.fronts[front as usize].engine {
                    engine.leave(now);
                }
                // It acts until its permit is over, whatever it has handed back.
                let until = permit.expires_at.since(now).micros();
                self.at(self.now + until, What::Lands(act, task));
            }
        }
        self.look(front);
        self.at(self.now + ACTS, What::Acts(front, life, task));
    }

    fn lands(&mut self, act: Act, task: u64) {
        self.shown.acts += 1;
        let checked = self.meddler.number_checked() && self.day.mistake != Some(Mistake::ActsAfterHandBack);
        match self.resources.entry(task).or_default().act(act, checked) {
            Err(what) => _ = self.shown.found.get_or_insert(format!("{what}, at {} ms", self.now / MS)),
            Ok(None) => {}
            Ok(Some(highest)) => {
                self.shown.refused += 1;
                let (front, now) = (act.by.front, self.clock(act.by.front));
                let state = &mut self.fronts[front as usize];
                if state.life == act.by.incarnation
                    && !state.halted
                    && let Some(engine) = &mut state.engine
                {
                    engine.on_fenced(now, TaskId(task), highest);
                    self.serve(front, None);
                }
            }
        }
    }

    fn play(mut self) -> Shown {
        let end = self.day.secs * 1_000 * MS;
        let mut last = 0;
        while let Some(Reverse((when, _, what))) = self.queue.pop() {
            if when > end || self.shown.found.is_some() {
                break;
            }
            let held = self.without.values().filter(|since| since.is_none()).count() as u64;
            self.held_us += held * (when - last);
            (self.now, last) = (when, when);
            self.shown.events += 1;
            match what {
                What::Turn(front, at) => {
                    if self.fronts[front as usize].turn_at == at {
                        self.fronts[front as usize].turn_at = u64::MAX;
                        self.serve(front, None);
                    }
                }
                What::Arrives(to, from, word) => self.serve(to, Some((from, word))),
                What::Acts(front, life, task) => self.acts(front, life, task),
                What::Lands(act, task) => self.lands(act, task),
                What::Kill(front) => self.kill(front),
                What::Start(front) => {
                    let disk = self.fronts[front as usize].disk.as_ref().map(|(_, kept)| kept.clone());
                    let kept = self.meddler.kept().or(disk);
                    self.start(front, kept);
                }
                What::Halt(front) => self.fronts[front as usize].halted = true,
                What::GoOn(front) => {
                    self.fronts[front as usize].halted = false;
                    for word in std::mem::take(&mut self.fronts[front as usize].unread) {
                        self.serve(front, Some(word));
                    }
                    self.serve(front, None);
                }
                What::Leave(front) => {
                    let now = self.clock(front);
                    if let Some(engine) = &mut self.fronts[front as usize].engine {
                        engine.leave(now);
                    }
                    self.serve(front, None);
                    // Its process ends a little later and starts anew.
                    self.at(self.now + 300 * MS, What::Kill(front));
                    self.at(self.now + 600 * MS, What::Start(front));
                }
                What::Cut(cut) => self.cut = Some(cut),
                What::Heal => self.cut = None,
                What::SetBack(front) => self.fronts[front as usize].back += 3_000 * MS,
            }
        }
        self.shown.held = self.held_us as f64 / (last.max(1) * self.day.tasks) as f64;
        self.shown
    }
}

/// Plays a day.
pub fn play(day: Day) -> Shown {
    World::new(day).play()
}
