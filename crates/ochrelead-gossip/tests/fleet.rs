//! Fleets of engines on one clock: who is seen, how fast news go round, and what it costs.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::Who;
use ochrelead_gossip::engine::{Engine, Pace};
use ochrelead_gossip::members::State;
use ochrelead_gossip::schema::{Datagram, Member, Part, Ping, part::What};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

fn at(ms: u64) -> Moment {
    Moment::from_micros(1_000_000 + ms * 1_000)
}

struct Fleet {
    fronts: BTreeMap<u32, Engine>,
    size: u32,
    ms: u64,
    loss: f64,
    /// Fronts that stand still, and those of one side of a cut.
    halted: Vec<u32>,
    side: Vec<u32>,
    flying: Vec<(u64, u32, u32, Vec<u8>)>,
    chance: Pcg64Mcg,
}

impl Fleet {
    fn with(size: u32) -> Fleet {
        let chance = Pcg64Mcg::seed_from_u64(11);
        let (fronts, flying) = (BTreeMap::new(), Vec::new());
        let mut fleet =
            Fleet { fronts, size, ms: 0, loss: 0.0, halted: Vec::new(), side: Vec::new(), flying, chance };
        (0..size).for_each(|front| fleet.start(front, 1));
        fleet
    }

    fn start(&mut self, front: u32, life: u32) {
        let who = Who { front, life };
        let seed = u64::from(front) + 1;
        let engine = Engine::new(who, self.size, Some(front % 4), Pace::USUAL, seed, at(self.ms));
        self.fronts.insert(front, engine);
    }

    /// Lets time pass, 20 ms at a time; datagrams take 5.
    fn pass(&mut self, ms: u64) {
        let until = self.ms + ms;
        while self.ms < until {
            self.ms += 20;
            let now = at(self.ms);
            for (when, from, to, bytes) in std::mem::take(&mut self.flying) {
                if when > self.ms || self.halted.contains(&to) {
                    self.flying.push((when, from, to, bytes));
                } else if let Some(engine) = self.fronts.get_mut(&to) {
                    engine.take(now, from, &bytes);
                }
            }
            for (front, engine) in &mut self.fronts {
                if self.halted.contains(front) {
                    continue;
                }
                engine.turn(now);
                while let Some((to, bytes)) = engine.next() {
                    assert!(bytes.len() <= 256);
                    let is_cut = self.side.contains(front) != self.side.contains(&to);
                    if !is_cut && !self.chance.random_bool(self.loss) {
                        self.flying.push((self.ms + 5, *front, to, bytes));
                    }
                }
            }
        }
    }

    /// How many fronts see another in that state.
    fn see(&self, other: u32, state: State) -> usize {
        let sees = |engine: &Engine| engine.members().get(other).is_some_and(|view| view.state == state);
        self.fronts.iter().filter(|(front, engine)| **front != other && sees(engine)).count()
    }

    /// How many fronts see another as not gone.
    fn see_there(&self, other: u32) -> usize {
        self.see(other, State::There) + self.see(other, State::Suspected)
    }

    fn sent(&self) -> (u64, u64) {
        let counts = self.fronts.values().map(|engine| engine.counts());
        counts.fold((0, 0), |sum, counts| (sum.0 + counts.sent, sum.1 + counts.bytes))
    }
}

#[test_case(10, 0.0; "ten")]
#[test_case(40, 0.2; "forty, a fifth lost")]
fn a_fleet_sees_itself_and_a_death(size: u32, loss: f64) {
    let mut fleet = Fleet::with(size);
    fleet.loss = loss;
    fleet.pass(60_000);
    assert_eq!(fleet.see_there(3) as u32, size - 1);
    fleet.fronts.remove(&3);
    fleet.pass(120_000);
    assert_eq!(fleet.see(3, State::Gone) as u32, size - 1);
    assert_eq!(fleet.see(4, State::Gone), 0);
    fleet.start(3, 2);
    fleet.pass(60_000);
    assert_eq!(fleet.see_there(3) as u32, size - 1, "in its next life");
}

/// A listed front that never starts counts as there only until it does not answer; once it starts it is taken in.
#[test]
fn a_front_that_never_started_is_found_gone() {
    let mut fleet = Fleet::with(8);
    fleet.fronts.remove(&7);
    assert!(fleet.fronts[&0].members().not_gone().contains(&7));
    fleet.pass(120_000);
    assert!(fleet.fronts.values().all(|engine| !engine.members().not_gone().contains(&7)));
    // Whatever its life is counted as.
    fleet.start(7, u32::MAX - 5);
    fleet.pass(60_000);
    assert!(fleet.fronts.values().all(|engine| engine.members().not_gone().contains(&7)));
}

#[test]
fn a_front_that_stood_still_calls_nobody_dead() {
    let mut fleet = Fleet::with(12);
    fleet.pass(40_000);
    fleet.halted = vec![5];
    fleet.pass(30_000);
    fleet.halted.clear();
    for _ in 0..30 {
        fleet.pass(100);
        let view = &fleet.fronts[&5];
        assert!(view.members().all().all(|(_, view)| view.state != State::Gone));
    }
    fleet.pass(60_000);
    assert_eq!(fleet.see(5, State::There), 11, "and it is taken in again");
}

#[test]
fn two_halves_find_together_again() {
    let mut fleet = Fleet::with(12);
    fleet.pass(40_000);
    fleet.side = (0..6).collect();
    fleet.pass(120_000);
    assert_eq!(fleet.see(0, State::Gone), 6);
    fleet.side.clear();
    fleet.pass(120_000);
    assert_eq!(fleet.see(0, State::There), 11);
}

/// News reach all, and what a front sends does not grow with the news.
#[test_case(10; "10")]
#[test_case(100; "100")]
fn news_go_round_within_the_budget(size: u32) {
    let mut fleet = Fleet::with(size);
    fleet.pass(30_000);
    let now = at(fleet.ms);
    fleet.fronts.get_mut(&0).unwrap().tell(now, 9, 1, b"gone".to_vec());
    fleet.pass(30_000);
    let now = at(fleet.ms);
    let heard = fleet.fronts.values().filter(|engine| engine.known(now, 9, 1).is_some()).count();
    assert_eq!(heard as u32, size);
    let (_, age) = fleet.fronts[&(size - 1)].known(now, 9, 1).unwrap();
    assert!(age >= Span::from_secs(29) && age <= Span::from_secs(31), "its age is known: {age:?}");
    let before = fleet.sent();
    for nth in 0..400 {
        let now = at(fleet.ms);
        let teller = fleet.fronts.get_mut(&(nth % size)).unwrap();
        teller.tell(now, 9, u64::from(nth), vec![7; 90]);
        fleet.pass(20);
    }
    let (sent, bytes) = fleet.sent();
    let each = (sent - before.0) as f64 / f64::from(size) / 8.0;
    assert!(each <= f64::from(Pace::USUAL.budget), "{each} datagrams a second");
    assert!((bytes - before.1) / (sent - before.0) <= 256);
}

#[test]
fn a_flood_of_asks_is_answered_within_the_budget() {
    let mut fleet = Fleet::with(3);
    fleet.pass(10_000);
    let parts = vec![Part { what: Some(What::Ping(Ping { nth: 5 })) }];
    let ask = Datagram { version: 1, front: 0, life: 1, parts }.encode_to_vec();
    let before = fleet.fronts[&1].counts().sent;
    for _ in 0..100 {
        let now = at(fleet.ms);
        let flooded = fleet.fronts.get_mut(&1).unwrap();
        (0..100).for_each(|_| flooded.take(now, 0, &ask));
        fleet.pass(20);
    }
    let sent = fleet.fronts[&1].counts().sent - before;
    // Two seconds, and what it had saved.
    assert!(sent <= 3 * u64::from(Pace::USUAL.budget), "{sent}");
}

/// What no peer of ours says: numbers out of range, a rumour of this front's own death, states that do not exist.
#[test]
fn a_lying_peer_does_bounded_harm() {
    let mut fleet = Fleet::with(5);
    fleet.pass(10_000);
    let member = |front, life, state, denial| Part {
        what: Some(What::Member(Member { front, life, state, denial, version: 1, district: 0 })),
    };
    let lies = vec![member(4_000_000, 1, 0, 0), member(1, 1, 2, 0), member(2, 1, 9, 7), member(3, 1, 2, 0)];
    let datagram = Datagram { version: 1, front: 0, life: 1, parts: lies }.encode_to_vec();
    let now = at(fleet.ms);
    fleet.fronts.get_mut(&1).unwrap().take(now, 0, &datagram);
    let members = fleet.fronts[&1].members();
    assert!(members.all().all(|(front, _)| front < 5));
    assert!(members.there().contains(&1), "it knows better of itself");
    fleet.pass(20_000);
    assert_eq!(fleet.see(3, State::There), 4, "denied by the one it was said of");
}
