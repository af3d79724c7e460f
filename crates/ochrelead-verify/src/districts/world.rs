//! Fronts, servers and callers on one queue: what there is, and what comes next. A session's way is in `session`, what is said
//! between parties in `talk`, what befalls them in `trouble`.

mod session;
mod talk;
mod trouble;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use ochrelead_core::controller::Controller;
use ochrelead_core::index::{CalledNumberIx, ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_core::types::{CallRequest, Decision, EndpointState, EndpointUpdate, InviteOutcome};
use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};
use ochrelead_node::coordination::{CoordinationConfig, FleetCoordination, ZoneSettings};
use ochrelead_node::observation::{Observation, ServerReport};
use ochrelead_zone::{ServerKey, ServerLocation, ZoneConfig, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use super::load::{self, Answer, MS, Server};
use super::watch::Watch;
use super::{Day, Kind, Shown, Slip};

/// One way within a district, and between two; and of a datagram, at the most.
const NEAR: u64 = 5 * MS;
const FAR: u64 = 15 * MS;
const DATAGRAM: u64 = 15 * MS;
/// A server's restart is listed so long after it, at the most.
const LISTED: u64 = 2_500 * MS;
/// Callers that dial again after a refusal, and how long they wait on the mean.
const REDIALS: f64 = 0.35;
const BACK_OFF: f64 = 0.8;
const LOOK: u64 = 100 * MS;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Turn(u32, u64),
    Datagram(u32, SocketAddr, Vec<u8>),
    Tries(usize),
    Arrives { server: u32, front: u32, session: usize, ask: u64 },
    Answered { server: u32, life: u32, front: u32, session: usize, ask: u64, stands: Option<bool> },
    TimedOut { front: u32, session: usize, ask: u64 },
    Released { server: u32, life: u32, front: u32, session: usize, ask: u64 },
    Lines,
    Look,
    Begins(usize),
    Ends(usize),
    Listed(u32, u32),
    Back(u32),
}

/// A caller's wish, over all its tries.
pub(super) struct Wish {
    pub front: u32,
    pub service: usize,
    pub destination: u32,
    pub number: u32,
    pub came: u64,
    pub tries: u32,
    /// What came of it, in its value.
    pub worth: f64,
}

pub(super) struct Held {
    pub wish: usize,
    /// The INVITE that is out, or that set the call up.
    pub ask: u64,
    pub server: Option<u32>,
    pub stands: bool,
    pub limit: u64,
}

pub(super) struct Front {
    pub district: u32,
    pub judge: Controller,
    pub together: Option<FleetCoordination>,
    pub up_since: u64,
    pub halted: bool,
    pub held: BTreeMap<usize, Held>,
    free: Vec<usize>,
    count: usize,
    turn_at: u64,
    unread: Vec<(SocketAddr, Vec<u8>)>,
    /// The shares that the module was told.
    pub eased: Vec<(ZoneId, f64)>,
    /// Whether it had a word of shares in this life.
    told: bool,
    /// Its last INVITE to each district.
    pub last_invite: Vec<u64>,
}

pub(super) struct World {
    pub day: Day,
    pub now: u64,
    queue: BinaryHeap<Reverse<(u64, u64, What)>>,
    nth: u64,
    pub fronts: Vec<Front>,
    pub servers: Vec<Server>,
    wishes: Vec<Wish>,
    chance: Pcg64Mcg,
    pub on: Vec<bool>,
    asks: u64,
    watch: Watch,
    pub shown: Shown,
    /// Words that were heard, to be heard again.
    old: Vec<(u32, SocketAddr, Vec<u8>)>,
}

pub(super) fn address(front: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + front)), 7946)
}

fn front_at(address: SocketAddr) -> u32 {
    match address.ip() {
        IpAddr::V4(ip) => u32::from(ip) & 0x00ff_ffff,
        IpAddr::V6(_) => 0,
    }
}

const ALL: u32 = 0x00ff_ffff;

pub(super) fn moment(now: u64) -> Moment {
    Moment::from_micros(3_600_000 * MS + now)
}

fn key(server: u32) -> ServerKey {
    ServerKey::from_name(&format!("s-{server:08x}"))
}

impl World {
    pub fn new(day: Day) -> World {
        let mut chance = Pcg64Mcg::seed_from_u64(day.seed);
        let servers = (0..day.servers).map(|nth| Server::new(nth % day.districts)).collect();
        let (queue, on) = (BinaryHeap::new(), vec![false; day.troubles.len()]);
        let draw: u64 = chance.random();
        let mut world = World {
            watch: Watch::new(&day),
            now: 0,
            queue,
            nth: 0,
            fronts: Vec::new(),
            servers,
            wishes: Vec::new(),
            chance,
            on,
            asks: 0,
            shown: Shown::default(),
            old: Vec::new(),
            day,
        };
        for front in 0..world.day.fronts {
            let made = world.make(front, draw ^ u64::from(front));
            world.fronts.push(made);
            world.at(0, What::Turn(front, 0));
        }
        world.draw_wishes();
        for (nth, trouble) in world.day.troubles.clone().into_iter().enumerate() {
            world.at(trouble.at_ms * MS, What::Begins(nth));
            world.at((trouble.at_ms + trouble.length_ms) * MS, What::Ends(nth));
        }
        world.at(500 * MS, What::Lines);
        world.at(LOOK, What::Look);
        world
    }

    fn make(&mut self, front: u32, seed: u64) -> Front {
        let (now, day) = (moment(self.now), &self.day);
        let provision = load::provision(day.fronts, seed);
        let district = front % day.districts;
        let names: Vec<String> = (0..day.districts).map(|nth| format!("d{nth}")).collect();
        let together = day.together.then(|| {
            let addresses = (0..day.fronts).map(address).collect();
            let electorate = Electorate::evenly_spaced(1, day.fronts, DEFAULT_SIZE.min(day.fronts as usize));
            let config = CoordinationConfig {
                local_address: address(front),
                addresses,
                front: Some(front),
                electorate,
                seed,
            };
            let mut together = FleetCoordination::new(config, now).expect("more than one front");
            together.set_zones_only();
            let settings = ZoneSettings {
                local_zone: ZoneId(district),
                names,
                config: ZoneConfig::from_controller(&provision),
                broadcast_address: Some(address(ALL)),
                seed,
            };
            together.enable_zones(settings, now);
            together
        });
        let mut judge = Controller::new(&provision, now);
        let listing = |(nth, server): (usize, &Server)| EndpointUpdate {
            server: ServerIx::new(nth),
            number: nth as i64,
            state: EndpointState::Ready { started: server.started.map(moment) },
            weight: 1.0,
        };
        let listings: Vec<EndpointUpdate> = self.servers.iter().enumerate().map(listing).collect();
        judge.advance_to(now);
        judge.on_endpoints(true, &listings);
        for (nth, server) in self.servers.iter().enumerate() {
            judge.on_line_capacity(ServerIx::new(nth), server.lines());
        }
        Front {
            district,
            judge,
            together,
            up_since: self.now,
            halted: false,
            held: BTreeMap::new(),
            free: Vec::new(),
            count: 0,
            turn_at: self.now,
            unread: Vec::new(),
            eased: Vec::new(),
            told: false,
            last_invite: vec![0; day.districts as usize],
        }
    }

    /// Callers' wishes over the day: spread unevenly over fronts and destinations.
    fn draw_wishes(&mut self) {
        let (fronts, servers) = (self.day.fronts as usize, self.day.servers as usize);
        let uneven = LogNormal::new(0.0, 0.7).expect("a width");
        let weights = |many: usize, chance: &mut Pcg64Mcg| -> Vec<f64> {
            let mut sum = 0.0;
            (0..many)
                .map(|_| {
                    sum += uneven.sample(chance);
                    sum
                })
                .collect()
        };
        let by_front = weights(fronts, &mut self.chance);
        // Destinations are a little uneven.
        let by_server: Vec<f64> = (1..=servers).map(|nth| nth as f64).collect();
        let pick = |sums: &[f64], chance: &mut Pcg64Mcg| {
            let at = chance.random_range(0.0..*sums.last().expect("some"));
            sums.partition_point(|sum| *sum <= at).min(sums.len() - 1)
        };
        let rate = self.day.load * load::CARRIES * servers as f64;
        let (mut now, end) = (0.0, self.day.secs as f64);
        let surges: Vec<(f64, f64, f64)> = self
            .day
            .troubles
            .iter()
            .filter_map(|trouble| {
                let Kind::Surge { times } = trouble.kind else { return None };
                let from = trouble.at_ms as f64 / 1e3;
                Some((from, from + trouble.length_ms as f64 / 1e3, times))
            })
            .collect();
        while now < end {
            let times = surges.iter().find(|(from, to, _)| (*from..*to).contains(&now));
            let rate = rate * times.map_or(1.0, |(.., times)| *times);
            now += Exp::new(rate).expect("a rate").sample(&mut self.chance);
            let front = pick(&by_front, &mut self.chance) as u32;
            // Sessions go to a server of their own district rather than to another.
            let mut destination = pick(&by_server, &mut self.chance) as u32;
            if self.chance.random_bool(0.3) {
                let own = front % self.day.districts;
                destination = destination / self.day.districts * self.day.districts + own;
                destination = destination.min(self.day.servers - 1);
            }
            let service = usize::from(self.chance.random_bool(0.23));
            let came = (now * 1e6) as u64;
            let number = self.wishes.len() as u32 % 1_000_000;
            self.wishes.push(Wish { front, service, destination, number, came, tries: 0, worth: 0.0 });
            self.at(came, What::Tries(self.wishes.len() - 1));
        }
    }

    fn at(&mut self, when: u64, what: What) {
        self.nth += 1;
        self.queue.push(Reverse((when, self.nth, what)));
    }

    fn kinds(&self) -> impl Iterator<Item = Kind> {
        self.day.troubles.iter().zip(&self.on).filter(|(_, on)| **on).map(|(trouble, _)| trouble.kind)
    }

    // ---- Fronts ----

    // ---- Sessions ----

    // ---- Troubles ----

    fn listed(&mut self, front: u32, server: u32) {
        let listing = EndpointUpdate {
            server: ServerIx::new(server as usize),
            number: i64::from(server),
            state: EndpointState::Ready { started: self.servers[server as usize].started.map(moment) },
            weight: 1.0,
        };
        let state = &mut self.fronts[front as usize];
        state.judge.advance_to(moment(self.now));
        state.judge.on_endpoints(false, &[listing]);
    }

    /// Each server tells all fronts that it reaches of its lines.
    fn tell_lines(&mut self) {
        self.at(self.now + 1_000 * MS, What::Lines);
        for server in 0..self.day.servers {
            let here = &self.servers[server as usize];
            let speaks = here.up && here.started.is_none_or(|started| started <= self.now);
            let lines = here.lines();
            for front in 0..self.day.fronts {
                let alive = speaks && self.reaches(front, server) && !self.fronts[front as usize].halted;
                if alive || self.day.slip == Some(Slip::DeadToldAlive) {
                    self.met(front, Observation::ServerAlive { server: key(server) });
                }
                if alive {
                    let state = &mut self.fronts[front as usize];
                    state.judge.advance_to(moment(self.now));
                    state.judge.on_line_capacity(ServerIx::new(server as usize), lines);
                }
            }
        }
    }

    fn look(&mut self) {
        self.at(self.now + LOOK, What::Look);
        let mut watch = std::mem::replace(&mut self.watch, Watch::new(&self.day));
        watch.look(self);
        self.watch = watch;
        if self.day.slip == Some(Slip::OldWordsHeeded) && self.now % (3_000 * MS) == 0 {
            for (to, from, bytes) in std::mem::take(&mut self.old) {
                let bytes = super::watch::renewed(bytes, front_at(from));
                self.fronts[to as usize].unread.push((from, bytes));
            }
        }
    }

    pub fn play(mut self) -> Shown {
        let until = self.day.secs * 1_000 * MS;
        while let Some(Reverse((when, _, what))) = self.queue.pop() {
            if when > until {
                break;
            }
            self.now = when;
            match what {
                What::Turn(front, at) if self.fronts[front as usize].turn_at == at => {
                    self.fronts[front as usize].turn_at = 0;
                    self.turn(front);
                }
                What::Turn(..) => {}
                What::Datagram(to, from, bytes) => self.datagram(to, from, bytes),
                What::Tries(wish) => self.tries(wish),
                What::Arrives { server, front, session, ask } => self.arrives(server, front, session, ask),
                What::Answered { server, life, front, session, ask, stands } => {
                    self.answered(server, life, front, session, ask, stands);
                }
                What::TimedOut { front, session, ask } => self.timed_out(front, session, ask),
                What::Released { server, life, front, session, ask } => {
                    self.released(server, life, front, session, ask);
                }
                What::Lines => self.tell_lines(),
                What::Look => self.look(),
                What::Begins(nth) => self.begins(nth),
                What::Ends(nth) => self.ends(nth),
                What::Listed(front, server) => self.listed(front, server),
                What::Back(front) => {
                    self.fronts[front as usize].halted = false;
                    self.turn(front);
                }
            }
        }
        self.sum_up()
    }

    fn sum_up(mut self) -> Shown {
        // What came too late in the day to be served within it does not count.
        let counted = |wish: &&Wish| wish.came + load::TARGET < self.day.secs * 1_000 * MS;
        let value = |wish: &Wish| load::VALUES[wish.service];
        let wishes = || self.wishes.iter().filter(counted);
        let offered: f64 = wishes().map(value).sum();
        self.shown.served = wishes().map(|wish| wish.worth).sum::<f64>() / offered;
        self.shown.offered = wishes().count() as u64;
        let halves = self.day.secs * 2;
        let half = |nth: u64| {
            let own = || wishes().filter(move |wish| wish.came / (500 * MS) == nth);
            let offered: f64 = own().map(value).sum();
            let served: f64 = own().map(|wish| wish.worth).sum();
            (nth as f64 / 2.0, if offered > 0.0 { served / offered } else { 1.0 })
        };
        self.shown.course = (0..halves).map(half).collect();
        self.watch.sum_up(&mut self.shown);
        self.shown
    }
}
