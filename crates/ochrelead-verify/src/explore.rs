//! Every order of a few events over the engines as they ship: words delivered, doubled or never, time, turns, fronts
//! that start anew, leave or stand still between a permit and its act. Complete to a depth; states that were seen are
//! not gone through again.

use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::{Hash, Hasher};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;

use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::electorate::Electorate;
use ochrelead_lease::engine::{Engine, EngineConfig, Transmit};
use ochrelead_lease::lease::Permit;
use ochrelead_lease::message::Message;
use ochrelead_lease::persistence::PersistedState;
use ochrelead_lease::{LeaseConfig, MemberId, TaskId};

use crate::mistake::{Meddler, Mistake};
use crate::resource::{Act, Resource};

const TASK: TaskId = TaskId(1);
/// One step of real time; a span has four.
const TICK: u64 = 1_000;
/// Clocks are off by up to a fifth here, so that a few steps of time show it.
const RATE_PPM: u32 = 200_000;

/// What happens, and how much of it.
#[derive(Clone, Debug)]
pub struct Scene {
    pub voters: u32,
    /// The first so many fronts want the task; the last are no voters where there are more than voters.
    pub candidates: u32,
    pub fronts: u32,
    pub ticks: u8,
    pub restarts: u8,
    pub doubles: u8,
    pub leaves: u8,
    /// Steps from the start.
    pub depth: u8,
    pub mistake: Option<Mistake>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Tick,
    Turn(u32),
    /// The word of that place in order.
    Deliver(usize),
    Double(usize),
    Restart(u32),
    Leave(u32),
    Permit(u32),
    Act(u32),
    SetBack(u32),
}

/// What was found: what is wrong, and the steps to it.
#[derive(Clone, Debug)]
pub struct Found {
    pub what: String,
    pub steps: Vec<Step>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub states: u64,
    pub found: Option<Found>,
}

/// A permit that was asked for and not acted on yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Hand {
    permit: Permit,
    by: MemberId,
    since: u64,
}

#[derive(Clone)]
struct World {
    engines: Vec<Engine>,
    lives: Vec<u32>,
    net: BTreeMap<(MemberId, u32, Message), u8>,
    real: u64,
    /// How far each clock was set back.
    back: Vec<u64>,
    hands: Vec<Option<Hand>>,
    /// The leases so far, and which of them each front holds.
    leases: u64,
    since: Vec<Option<u64>>,
    asked: Vec<u64>,
    resource: Resource,
    left: [u8; 4],
}

impl Scene {
    fn terms(&self) -> LeaseConfig {
        let config = LeaseConfig {
            duration: Span::from_micros(4 * TICK),
            vote_timeout: Span::from_micros(2 * TICK),
            clock_drift_ppm: RATE_PPM,
            jitter: Span::ZERO,
        };
        Meddler(self.mistake).terms(config)
    }

    fn engine(&self, front: u32, life: u32, kept: Option<&PersistedState>, now: Moment) -> Engine {
        let meddler = Meddler(self.mistake);
        let voters: Vec<u32> = (0..self.voters).collect();
        let electorate = meddler.electorate(front, self.fronts, &Electorate::new(1, &voters));
        let local = MemberId { front, incarnation: meddler.life(life) };
        let config = EngineConfig { local, electorate, lease: self.terms(), seed: 1 };
        let mut engine = Engine::new(config, kept, now);
        if front < self.candidates {
            engine.set_candidacy(now, TASK, Some(0));
        }
        engine
    }

    fn start(&self) -> World {
        let fronts = self.fronts as usize;
        let kept = PersistedState::default();
        let mut world = World {
            engines: Vec::new(),
            lives: vec![1; fronts],
            net: BTreeMap::new(),
            real: 1_000 * TICK,
            back: vec![0; fronts],
            hands: vec![None; fronts],
            leases: 0,
            since: vec![None; fronts],
            asked: vec![0; fronts],
            resource: Resource::default(),
            left: [self.ticks, self.restarts, self.doubles, self.leaves],
        };
        for front in 0..self.fronts {
            let now = world.clock(front);
            world.engines.push(self.engine(front, 1, Some(&kept), now));
        }
        world
    }
}

impl World {
    /// A front's own clock: the first is as slow as allowed, the second as fast, the others in turns.
    fn clock(&self, front: u32) -> Moment {
        let ran = self.real - 1_000 * TICK;
        let off = ran * u64::from(RATE_PPM) / 1_000_000;
        let ran = if front % 2 == 0 { ran - off } else { ran + off };
        Moment::from_micros(1_000 * TICK + ran - self.back[front as usize])
    }

    fn steps(&self, scene: &Scene) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.left[0] > 0 {
            steps.push(Step::Tick);
        }
        for front in 0..scene.fronts {
            let at = front as usize;
            if self.engines[at].poll_timeout().is_some_and(|wake| wake <= self.clock(front)) {
                steps.push(Step::Turn(front));
            }
            if self.left[1] > 0 {
                steps.push(Step::Restart(front));
            }
            if front < scene.candidates {
                let holds = self.engines[at].permit(self.clock(front), TASK).is_some();
                if holds && self.left[3] > 0 {
                    steps.push(Step::Leave(front));
                }
                if holds && self.hands[at].is_none() {
                    steps.push(Step::Permit(front));
                }
                if holds && scene.mistake == Some(Mistake::ClockSetBack) && self.back[at] == 0 {
                    steps.push(Step::SetBack(front));
                }
                if self.hands[at].is_some() {
                    steps.push(Step::Act(front));
                }
            }
        }
        for (nth, (_, to, _)) in self.net.keys().enumerate() {
            if (*to as usize) < self.engines.len() {
                steps.push(Step::Deliver(nth));
                if self.left[2] > 0 {
                    steps.push(Step::Double(nth));
                }
            }
        }
        steps
    }

    fn flush(&mut self, front: u32) {
        let me = self.engines[front as usize].local();
        while let Some(transmit) = self.engines[front as usize].poll_output() {
            let Transmit { recipient: to, message: word } = transmit;
            if let Message::VoteRequest(request) = word {
                self.asked[front as usize] = request.round;
            }
            *self.net.entry((me, to, word)).or_insert(0) += 1;
        }
    }

    /// Takes a step; what is wrong after it.
    fn step(&mut self, scene: &Scene, step: Step) -> Result<(), String> {
        let meddler = Meddler(scene.mistake);
        match step {
            Step::Tick => {
                self.left[0] -= 1;
                self.real += TICK;
            }
            Step::Turn(front) => {
                let now = self.clock(front) + meddler.late(&scene.terms());
                self.engines[front as usize].process(now);
                self.flush(front);
            }
            Step::Deliver(nth) | Step::Double(nth) => {
                let ((from, to, word), count) =
                    self.net.iter().nth(nth).map(|(key, n)| (key.clone(), *n)).unwrap();
                if matches!(step, Step::Double(_)) {
                    self.left[2] -= 1;
                } else if count > 1 {
                    self.net.insert((from, to, word.clone()), count - 1);
                } else {
                    self.net.remove(&(from, to, word.clone()));
                }
                let now = self.clock(to);
                for (from, word) in meddler.arrives(from, &word, self.asked[to as usize]) {
                    self.engines[to as usize].handle_input(now, from, &word);
                }
                self.flush(to);
            }
            Step::Restart(front) => {
                self.left[1] -= 1;
                let at = front as usize;
                self.lives[at] += 1;
                let now = self.clock(front);
                let kept = meddler.kept();
                self.engines[at] = scene.engine(front, self.lives[at], kept.as_ref(), now);
                (self.hands[at], self.since[at]) = (None, None);
            }
            Step::Leave(front) => {
                self.left[3] -= 1;
                let now = self.clock(front);
                self.engines[front as usize].leave(now);
                self.flush(front);
            }
            Step::SetBack(front) => self.back[front as usize] = 2 * TICK,
            Step::Permit(front) => {
                let at = front as usize;
                let permit = self.engines[at].permit(self.clock(front), TASK);
                let (by, since) = (self.engines[at].local(), self.since[at].unwrap_or(0));
                self.hands[at] = permit.map(|permit| Hand { permit, by, since });
            }
            Step::Act(front) => {
                let Some(hand) = self.hands[front as usize].take() else { return Ok(()) };
                let number = meddler.number(hand.permit.token);
                let act = Act { by: hand.by, number, since: hand.since };
                if let Some(highest) = self.resource.act(act, meddler.number_checked())? {
                    let now = self.clock(front);
                    self.engines[front as usize].on_fenced(now, TASK, highest);
                    self.flush(front);
                }
            }
        }
        self.holders(scene)
    }

    /// At no moment two fronts may act, each by its own clock.
    fn holders(&mut self, scene: &Scene) -> Result<(), String> {
        let mut holders = Vec::new();
        for front in 0..scene.candidates {
            let at = front as usize;
            let now = self.clock(front);
            let permit = self.engines[at].permit(now, TASK);
            let goes_on = scene.mistake == Some(Mistake::ActsAfterHandBack)
                && self.hands[at].is_some_and(|hand| now < hand.permit.expires_at);
            match (permit.is_some(), self.since[at]) {
                (true, None) => {
                    self.leases += 1;
                    self.since[at] = Some(self.leases);
                }
                (false, Some(_)) => self.since[at] = None,
                _ => {}
            }
            if permit.is_some() || goes_on {
                holders.push(front);
            }
        }
        if holders.len() > 1 { Err(format!("{holders:?} may act at once")) } else { Ok(()) }
    }

    fn key(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for engine in &self.engines {
            engine.fingerprint(&mut hasher);
        }
        (&self.lives, &self.net, self.real, &self.back, &self.since, &self.asked).hash(&mut hasher);
        (self.resource, self.left, self.leases).hash(&mut hasher);
        for hand in self.hands.iter().flatten() {
            (hand.by, hand.permit.token, hand.permit.expires_at, hand.since).hash(&mut hasher);
        }
        hasher.finish()
    }
}

/// States that were seen, and with how many steps left.
struct Seen(Vec<Mutex<HashMap<u64, u8>>>);

impl Seen {
    /// Whether the state is to be gone through: new, or with more steps left than before.
    fn visit(&self, key: u64, left: u8, states: &AtomicU64) -> bool {
        let mut shard = self.0[(key % self.0.len() as u64) as usize].lock().expect("no panic under the lock");
        match shard.get(&key) {
            Some(known) if *known >= left => false,
            known => {
                if known.is_none() {
                    states.fetch_add(1, Ordering::Relaxed);
                }
                shard.insert(key, left);
                true
            }
        }
    }
}

struct Search<'a> {
    scene: &'a Scene,
    seen: Seen,
    states: AtomicU64,
    most: u64,
    over: AtomicBool,
    found: Mutex<Option<Found>>,
}

impl Search<'_> {
    fn go(&self, world: &World, path: &mut Vec<Step>) {
        let left = self.scene.depth - path.len() as u8;
        if left == 0 || self.over.load(Ordering::Relaxed) {
            return;
        }
        for step in world.steps(self.scene) {
            let mut next = world.clone();
            path.push(step);
            match next.step(self.scene, step) {
                Err(what) => {
                    let mut found = self.found.lock().expect("no panic under the lock");
                    if found.as_ref().is_none_or(|found| found.steps.len() > path.len()) {
                        *found = Some(Found { what, steps: path.clone() });
                    }
                    self.over.store(true, Ordering::Relaxed);
                }
                Ok(()) => {
                    if self.states.load(Ordering::Relaxed) >= self.most {
                        self.over.store(true, Ordering::Relaxed);
                    } else if self.seen.visit(next.key(), left - 1, &self.states) {
                        self.go(&next, path);
                    }
                }
            }
            path.pop();
        }
    }
}

/// Goes through all orders to the scene's depth, or until something is wrong, or through `most` states.
pub fn explore(scene: &Scene, most: u64, threads: usize) -> Outcome {
    let search = Search {
        scene,
        seen: Seen((0..256).map(|_| Mutex::new(HashMap::new())).collect()),
        states: AtomicU64::new(0),
        most,
        over: AtomicBool::new(false),
        found: Mutex::new(None),
    };
    // A few hundred beginnings, which the threads share.
    let mut beginnings = vec![(scene.start(), Vec::new())];
    while beginnings.len() < 300 && beginnings[0].1.len() + 2 < scene.depth as usize {
        let mut longer = Vec::new();
        for (world, path) in &beginnings {
            for step in world.steps(scene) {
                let (mut next, mut path) = (world.clone(), path.clone());
                path.push(step);
                if let Err(what) = next.step(scene, step) {
                    return Outcome { states: longer.len() as u64, found: Some(Found { what, steps: path }) };
                }
                if search.seen.visit(next.key(), scene.depth - path.len() as u8, &search.states) {
                    longer.push((next, path));
                }
            }
        }
        if longer.is_empty() {
            break;
        }
        beginnings = longer;
    }
    let queue = Mutex::new(beginnings);
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let Some((world, mut path)) = queue.lock().expect("no panic under the lock").pop() else {
                        return;
                    };
                    search.go(&world, &mut path);
                }
            });
        }
    });
    let found = search.found.into_inner().expect("no panic under the lock");
    Outcome { states: search.states.into_inner(), found }
}

/// Plays steps from the start; what is wrong at their end.
pub fn replay(scene: &Scene, steps: &[Step]) -> Result<(), String> {
    let mut world = scene.start();
    steps.iter().try_for_each(|step| world.step(scene, *step))
}
