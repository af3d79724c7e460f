//! Whole fleets of what a node does with its peers, as it ships, on a virtual clock: datagrams with their bytes, a few
//! servers that fell silent, and how long each is without a front that may test it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use ochrelead_core::time::Moment;
use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};
use ochrelead_node::sounding::{Quiet, counts_as_heard};
use ochrelead_node::together::{Duty, Together};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: u64 = 1_000;
/// A datagram's way, and a server's answer.
const WAY: u64 = 5 * MS;
/// A front by itself tests a server that was silent for so long.
const SILENT: u64 = 2_000 * MS;

/// What befalls whoever holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blow {
    None,
    Killed,
    /// It stands still for three spans.
    Halted,
    HandsBack,
    /// All voters and the holder start anew at once.
    VotersAnew,
    /// Three of five voters are away for a minute, the holder with them; counted from their return.
    MajorityBack,
}

#[derive(Clone, Debug)]
pub struct Course {
    pub fronts: u32,
    pub servers: u32,
    pub secs: u64,
    pub seed: u64,
    /// Servers answer tests; else they are silent for good.
    pub answers: bool,
    /// Fronts speak to each other.
    pub together: bool,
    pub blow: Blow,
}

/// What a course showed; counted over its second half where nothing else is said.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    pub datagrams: u64,
    pub bytes: u64,
    /// Tests under a lease, and tests that fronts did each for itself.
    pub sounded: u64,
    pub own_tests: u64,
    pub secs: f64,
    /// Processor time of all fronts.
    pub cpu: Duration,
    /// How long the first server was without a front that may test it after the blow, in ms.
    pub gap: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Turn(u32, u64),
    Arrives(u32, SocketAddr, Vec<u8>),
    Answered(u32, u32),
}

struct Front {
    together: Option<Together>,
    halted: bool,
    turn_at: u64,
    /// When each server was heard here, and vouched for.
    heard: Vec<(u64, Option<Moment>)>,
    unread: Vec<(SocketAddr, Vec<u8>)>,
}

struct World {
    course: Course,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    nth: u64,
    fronts: Vec<Front>,
    chance: Pcg64Mcg,
    costs: Costs,
    counts: bool,
}

fn address(front: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + front)), 7946)
}

fn name(server: u32) -> String {
    format!("s-{server:08x}")
}

fn moment(now: u64) -> Moment {
    Moment::from_micros(3_600_000 * MS + now)
}

impl World {
    fn start(&mut self, front: u32) {
        let addresses = (0..self.course.fronts).map(address).collect();
        let seed = self.course.seed << 32 ^ u64::from(front) << 8 ^ self.now;
        let electorate = Electorate::evenly_spaced(1, self.course.fronts, DEFAULT_SIZE);
        let together =
            Together::new(address(front), addresses, Some(front), electorate, seed, moment(self.now));
        let state = &mut self.fronts[front as usize];
        state.together = together.filter(|_| self.course.together);
        (state.halted, state.turn_at) = (false, self.now);
        state.unread.clear();
        self.at(self.now, What::Turn(front, self.now));
    }

    fn at(&mut self, when: u64, what: What) {
        self.nth += 1;
        self.queue.push(Reverse((when, self.nth, what)));
    }

    fn turn(&mut self, front: u32) {
        let (now, begun) = (moment(self.now), Instant::now());
        let state = &mut self.fronts[front as usize];
        if state.halted {
            return;
        }
        let Some(together) = &mut state.together else { return };
        for (from, bytes) in std::mem::take(&mut state.unread) {
            together.take(now, from, &bytes);
        }
        together.turn(now);
        let heard = &state.heard;
        together.look(now, || {
            let quiet = |(server, (heard, _)): (usize, &(u64, Option<Moment>))| Quiet {
                id: name(server as u32),
                spoke: moment(0),
                heard: moment(*heard),
            };
            (heard.iter().enumerate().map(quiet).collect(), Vec::new())
        });
        let (mut duties, mut sent) = (Vec::new(), Vec::new());
        while let Some(duty) = together.duty() {
            duties.push(duty);
        }
        while let Some((to, bytes)) = together.next() {
            sent.push((to, bytes));
        }
        let wake = together.wake();
        self.costs.cpu += begun.elapsed();
        let servers = self.course.servers;
        let number = |name: &str| (0..servers).find(|server| self::name(*server) == name);
        for duty in duties {
            match duty {
                Duty::Sound { server, .. } => {
                    self.costs.sounded += u64::from(self.counts);
                    if let Some(server) = number(&server).filter(|_| self.course.answers) {
                        self.at(self.now + 2 * WAY, What::Answered(front, server));
                    }
                }
                Duty::Vouched { server, at } => {
                    if let Some(server) = number(&server) {
                        self.fronts[front as usize].heard[server as usize].1 = Some(at);
                    }
                }
            }
        }
        for (to, bytes) in sent {
            if self.counts {
                self.costs.datagrams += 1;
                self.costs.bytes += bytes.len() as u64;
            }
            let IpAddr::V4(ip) = to.ip() else { continue };
            let to = u32::from(ip) & 0x00ff_ffff;
            let takes = WAY / 2 + self.chance.random_range(0..WAY);
            self.at(self.now + takes, What::Arrives(to, address(front), bytes));
        }
        if let Some(wake) = wake {
            let when = (self.now + wake.since(now).micros()).max(self.now + 1);
            let state = &mut self.fronts[front as usize];
            if state.turn_at <= self.now || when < state.turn_at {
                state.turn_at = when;
                self.at(when, What::Turn(front, when));
            }
        }
    }

    /// What a front does by itself of a silent server: one test, as a new connection.
    fn own_tests(&mut self) {
        for front in 0..self.fronts.len() {
            for server in 0..self.course.servers as usize {
                let (heard, vouched) = self.fronts[front].heard[server];
                let counted = counts_as_heard(moment(heard), vouched);
                if moment(self.now).since(counted).micros() >= SILENT {
                    self.costs.own_tests += u64::from(self.counts);
                    // One that takes the connection is heard by that.
                    self.fronts[front].heard[server].0 = self.now;
                }
            }
        }
    }

    fn holder(&self) -> Option<u32> {
        let holds = |front: &Front| {
            let together = front.together.as_ref().filter(|_| !front.halted);
            together.is_some_and(|together| together.holds(moment(self.now), &name(0)).is_some())
        };
        self.fronts.iter().position(holds).map(|front| front as u32)
    }

    fn run(&mut self, until: u64, mut stop: impl FnMut(&World) -> bool) {
        let mut next_own = self.now;
        while let Some(Reverse((when, _, what))) = self.queue.pop() {
            if when > until {
                self.queue.push(Reverse((when, 0, what)));
                break;
            }
            self.now = when;
            if self.now >= next_own {
                next_own = self.now + 100 * MS;
                self.own_tests();
            }
            match what {
                What::Turn(front, at) if self.fronts[front as usize].turn_at == at => {
                    self.fronts[front as usize].turn_at = 0;
                    self.turn(front);
                }
                What::Turn(..) => {}
                What::Arrives(to, from, bytes) => {
                    let state = &mut self.fronts[to as usize];
                    if state.unread.len() < 256 {
                        state.unread.push((from, bytes));
                    }
                    self.turn(to);
                }
                What::Answered(front, server) => {
                    self.fronts[front as usize].heard[server as usize].0 = self.now;
                }
            }
            if stop(self) {
                break;
            }
        }
        self.now = self.now.max(until.min(self.now + 1));
    }

    fn blow(&mut self) -> Option<u64> {
        if self.course.blow == Blow::None {
            return None;
        }
        self.run(self.now + 60_000 * MS, |world| world.holder().is_some());
        let holder = self.holder()?;
        let voters = Electorate::evenly_spaced(1, self.course.fronts, DEFAULT_SIZE).voters();
        let away: Vec<u32> =
            voters.into_iter().filter(|voter| *voter != holder).take(3).chain([holder]).collect();
        let mut begun = self.now;
        match self.course.blow {
            Blow::None => return None,
            Blow::Killed => self.fronts[holder as usize].together = None,
            Blow::Halted => self.fronts[holder as usize].halted = true,
            Blow::HandsBack => {
                let now = moment(self.now);
                if let Some(together) = &mut self.fronts[holder as usize].together {
                    together.leave(now);
                }
                self.turn(holder);
            }
            Blow::VotersAnew => {
                let all = Electorate::evenly_spaced(1, self.course.fronts, DEFAULT_SIZE).voters();
                all.into_iter().chain([holder]).for_each(|front| self.start(front));
            }
            Blow::MajorityBack => {
                away.iter().for_each(|front| self.fronts[*front as usize].together = None);
                self.run(self.now + 60_000 * MS, |_| false);
                away.iter().for_each(|front| self.start(*front));
                begun = self.now;
            }
        }
        self.run(self.now + 60_000 * MS, |world| {
            world.holder().is_some_and(|other| {
                other != holder || matches!(world.course.blow, Blow::MajorityBack | Blow::VotersAnew)
            })
        });
        self.holder().map(|_| (self.now - begun) / MS)
    }
}

/// Plays a course.
pub fn play(course: Course) -> Costs {
    let heard = vec![(0, None); course.servers as usize];
    let front =
        || Front { together: None, halted: false, turn_at: 0, heard: heard.clone(), unread: Vec::new() };
    let fronts = (0..course.fronts).map(|_| front()).collect();
    let chance = Pcg64Mcg::seed_from_u64(course.seed);
    let (queue, costs) = (BinaryHeap::new(), Costs::default());
    let mut world = World { course, now: 0, queue, nth: 0, fronts, chance, costs, counts: false };
    (0..world.course.fronts).for_each(|front| world.start(front));
    if !world.course.together {
        // Time passes by itself.
        for nth in 0..world.course.secs * 10 {
            world.at(nth * 100 * MS, What::Turn(0, u64::MAX));
        }
    }
    let half = world.course.secs * 500 * MS;
    world.run(half, |_| false);
    (world.counts, world.costs.cpu) = (true, Duration::ZERO);
    world.run(2 * half, |_| false);
    world.counts = false;
    world.costs.secs = half as f64 / 1e6;
    let blow = world.blow();
    world.costs.gap = blow;
    world.costs
}
