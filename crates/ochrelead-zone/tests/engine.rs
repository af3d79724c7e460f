//! Fronts of several districts on one clock, each with its engine: who observes, what all heed, when it lapses.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::MemberId;
use ochrelead_zone::codec::encode;
use ochrelead_zone::engine::{Engine, Recipient};
use ochrelead_zone::message::{Message, ZoneShare};
use ochrelead_zone::ramp::ShareReason;
use ochrelead_zone::{ServerKey, ServerLocation, ZoneConfig, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const TERMS: ZoneConfig = ZoneConfig { loss_timeout: Span::from_millis(375), growth_factor: 2.0 };
const DISTRICTS: u32 = 3;
const SERVERS: u32 = 4;
/// INVITEs of a front in a turn of 20 ms, by chance.
const RATE: f64 = 0.3;

fn at(ms: u64) -> Moment {
    Moment::from_micros(1_000_000_000 + ms * 1_000)
}

fn key(district: u32, nth: u32) -> ServerKey {
    ServerKey::from_name(&format!("s-{district}-{nth}"))
}

struct Fleet {
    fronts: BTreeMap<u32, Engine>,
    size: u32,
    ms: u64,
    chance: Pcg64Mcg,
    flying: Vec<(u64, MemberId, u32, Vec<u8>)>,
    asks: u64,
    answers: Vec<(u64, u32, u64)>,
    /// Which servers a front reaches, by its number and the server's district and number.
    reaches: fn(u64, u32, u32, u32) -> bool,
    hears: fn(u64, u32, u32) -> bool,
    loss: f64,
    halted: Vec<u32>,
    lives: BTreeMap<u32, u32>,
}

impl Fleet {
    fn new(size: u32) -> Fleet {
        let mut fleet = Fleet {
            fronts: BTreeMap::new(),
            size,
            ms: 0,
            chance: Pcg64Mcg::seed_from_u64(5),
            flying: Vec::new(),
            asks: 0,
            answers: Vec::new(),
            reaches: |_, _, _, _| true,
            hears: |_, _, _| true,
            loss: 0.0,
            halted: Vec::new(),
            lives: BTreeMap::new(),
        };
        (0..size).for_each(|front| fleet.start(front));
        fleet
    }

    fn start(&mut self, front: u32) {
        let life = *self.lives.entry(front).and_modify(|life| *life += 1).or_insert(1);
        let own = ZoneId(front % DISTRICTS);
        let mut engine = Engine::new(
            MemberId { front, incarnation: life },
            own,
            TERMS,
            u64::from(front * 7 + life),
            at(self.ms),
        );
        let place = |district, nth| ServerLocation { server: key(district, nth), zone: ZoneId(district) };
        let places: Vec<ServerLocation> =
            (0..DISTRICTS).flat_map(|district| (0..SERVERS).map(move |nth| place(district, nth))).collect();
        engine.on_server_locations(&places);
        self.fronts.insert(front, engine);
    }

    /// Lets time pass, 20 ms at a time; words take 10, answers 30.
    fn pass(&mut self, ms: u64) {
        let until = self.ms + ms;
        while self.ms < until {
            self.ms += 20;
            let (ms, now) = (self.ms, at(self.ms));
            for (when, from, to, bytes) in std::mem::take(&mut self.flying) {
                if when > ms || self.halted.contains(&to) {
                    self.flying.push((when, from, to, bytes));
                } else if let Some(engine) = self.fronts.get_mut(&to) {
                    engine.handle_input(now, from, &bytes);
                }
            }
            for (when, front, ask) in std::mem::take(&mut self.answers) {
                if when > ms || self.halted.contains(&front) {
                    self.answers.push((when, front, ask));
                } else if let Some(engine) = self.fronts.get_mut(&front) {
                    engine.on_answer(now, ask);
                }
            }
            for (front, engine) in &mut self.fronts {
                if self.halted.contains(front) {
                    continue;
                }
                if self.chance.random_bool(RATE) {
                    let (district, nth) =
                        (self.chance.random_range(0..DISTRICTS), self.chance.random_range(0..SERVERS));
                    let reaches = (self.reaches)(ms, *front, district, nth);
                    if self.chance.random_bool(engine.zone_share(now, ZoneId(district))) {
                        self.asks += 1;
                        engine.on_invite_sent(now, key(district, nth), self.asks);
                        if reaches {
                            self.answers.push((ms + 30, *front, self.asks));
                        }
                    }
                }
                // Servers say something of their own once a second.
                for district in 0..DISTRICTS {
                    for nth in 0..SERVERS {
                        if ms % 1_000 < 20 && (self.reaches)(ms, *front, district, nth) {
                            engine.on_server_alive(now, key(district, nth));
                        }
                    }
                }
                engine.process(now);
                let life = self.lives[front];
                while let Some((to, bytes)) = engine.poll_output() {
                    assert!(bytes.len() <= 232);
                    let all: Vec<u32> = match to {
                        Recipient::Front(to) => vec![to],
                        Recipient::All => (0..self.size).filter(|other| other != front).collect(),
                    };
                    for to in all {
                        if (self.hears)(ms, *front, to) && !self.chance.random_bool(self.loss) {
                            self.flying.push((
                                ms + 10,
                                MemberId { front: *front, incarnation: life },
                                to,
                                bytes.clone(),
                            ));
                        }
                    }
                }
            }
        }
    }

    fn observers(&self, district: u32) -> Vec<u32> {
        let observes = |(front, engine): (&u32, &Engine)| {
            (engine.is_observer() && engine.local_zone() == ZoneId(district)).then_some(*front)
        };
        self.fronts.iter().filter_map(observes).collect()
    }

    /// The shares in force at fronts of a district, for another.
    fn shares(&self, of: u32, to: u32) -> Vec<f64> {
        let own = self.fronts.values().filter(|engine| engine.local_zone() == ZoneId(of));
        own.map(|engine| engine.zone_share(at(self.ms), ZoneId(to))).collect()
    }

    fn all_at(&self, to: u32, share: f64) -> bool {
        (0..DISTRICTS).all(|of| self.shares(of, to).iter().all(|own| *own == share))
    }
}

#[test]
fn each_district_has_one_observer_soon_and_another_when_it_is_killed() {
    let mut fleet = Fleet::new(24);
    fleet.pass(1_500);
    for district in 0..DISTRICTS {
        let observers = fleet.observers(district);
        assert_eq!(observers.len(), 1, "{observers:?}");
        fleet.fronts.remove(&observers[0]);
    }
    fleet.pass(5_000);
    for district in 0..DISTRICTS {
        assert_eq!(fleet.observers(district).len(), 1);
    }
}

#[test]
fn an_observer_that_leaves_is_followed_at_once() {
    let mut fleet = Fleet::new(24);
    fleet.pass(1_500);
    let first = fleet.observers(0)[0];
    let now = at(fleet.ms);
    fleet.fronts.get_mut(&first).unwrap().leave(now);
    fleet.pass(900);
    let next = fleet.observers(0);
    assert!(next.len() == 1 && next[0] != first, "{next:?} after {first}");
}

#[test]
fn of_two_that_did_not_hear_each_other_the_lower_stays() {
    let mut fleet = Fleet::new(24);
    fleet.hears = |_, from, to| (from < 12) == (to < 12);
    fleet.pass(3_000);
    assert_eq!(fleet.observers(0).len(), 2);
    let lower = fleet.observers(0)[0];
    fleet.hears = |_, _, _| true;
    fleet.pass(2_000);
    assert_eq!(fleet.observers(0), vec![lower]);
}

#[test]
fn a_district_that_ends_is_left_by_all_and_returned_to_by_steps() {
    let mut fleet = Fleet::new(24);
    fleet.reaches = |ms, _, district, _| district != 1 || !(4_000..9_000).contains(&ms);
    fleet.pass(4_000);
    assert!(fleet.all_at(1, 1.0));
    fleet.pass(2_600);
    assert!(fleet.all_at(1, 0.0), "{:?}", fleet.shares(0, 1));
    assert!(fleet.all_at(0, 1.0) && fleet.all_at(2, 1.0));
    fleet.pass(2_300);
    assert!(fleet.all_at(1, 0.0));
    let mut seen = Vec::new();
    for _ in 0..100 {
        fleet.pass(100);
        seen.extend(fleet.shares(0, 1));
        // A word takes a moment to all: after that they are the same.
        let agree = |fleet: &Fleet| fleet.shares(2, 1).windows(2).all(|pair| pair[0] == pair[1]);
        if !agree(&fleet) {
            fleet.pass(40);
        }
        assert!(agree(&fleet), "apart: {:?}", fleet.shares(2, 1));
    }
    assert!(seen.contains(&0.125) && fleet.all_at(1, 1.0), "{:?}", fleet.shares(0, 1));
}

#[test]
fn a_cut_between_two_districts_concerns_these_alone() {
    let mut fleet = Fleet::new(24);
    fleet.reaches = |ms, front, district, _| ms < 3_000 || front % DISTRICTS != 0 || district != 1;
    fleet.pass(6_500);
    assert!(fleet.shares(0, 1).iter().all(|share| *share == 0.0));
    assert!(fleet.shares(2, 1).iter().all(|share| *share == 1.0));
    assert!(fleet.shares(1, 1).iter().all(|share| *share == 1.0));
}

#[test_case(|ms, front, _, _| ms < 3_000 || front != 5; "one front is cut off from all servers")]
#[test_case(|ms, _, _, nth| ms < 3_000 || nth > 1; "two servers of each district are silent")]
#[test_case(|ms, _, district, nth| ms < 3_000 || district != 1 || nth > 0; "one server of a district is silent")]
#[test_case(|ms, _, _, _| ms < 3_000; "nobody reaches anything")]
fn what_is_no_matter_of_a_district(reaches: fn(u64, u32, u32, u32) -> bool) {
    let mut fleet = Fleet::new(24);
    fleet.reaches = reaches;
    for _ in 0..200 {
        fleet.pass(50);
        for district in 0..DISTRICTS {
            assert!(fleet.all_at(district, 1.0), "{district} at {}", fleet.ms);
        }
    }
}

#[test]
fn one_front_that_stands_still_calls_nobody_gone() {
    let mut fleet = Fleet::new(24);
    fleet.pass(2_000);
    let observer = fleet.observers(0)[0];
    fleet.halted = vec![observer, 3, 7];
    fleet.pass(2_000);
    fleet.halted.clear();
    for _ in 0..100 {
        fleet.pass(50);
        for district in 0..DISTRICTS {
            assert!(fleet.all_at(district, 1.0), "{district} at {}", fleet.ms);
        }
    }
}

#[test]
fn what_was_said_lapses_where_the_observer_falls_silent() {
    let mut fleet = Fleet::new(3);
    // One front a district: nobody follows it.
    fleet.size = 3;
    let word = |nth| Message::Verdicts {
        zone: ZoneId(0),
        sequence: nth,
        ttl: Span::from_secs(3_600),
        shares: vec![ZoneShare { zone: ZoneId(1), share: 0.0, reason: ShareReason::Drained }],
    };
    let now = at(fleet.ms);
    let front = fleet.fronts.get_mut(&0).unwrap();
    front.handle_input(now, MemberId { front: 2, incarnation: 1 }, &encode(&word(1))[0]);
    assert_eq!(front.zone_share(now, ZoneId(1)), 0.0);
    let later = now + TERMS.verdict_ttl() * 3;
    assert_eq!(front.zone_share(later, ZoneId(1)), 1.0, "an hour is not believed");
    // The same word once more, late: it was heard.
    front.handle_input(later, MemberId { front: 2, incarnation: 1 }, &encode(&word(1))[0]);
    assert_eq!(front.zone_share(later, ZoneId(1)), 1.0);
    front.handle_input(later, MemberId { front: 2, incarnation: 1 }, &encode(&word(2))[0]);
    assert_eq!(front.zone_share(later, ZoneId(1)), 0.0);
}

/// Whoever lies costs a bounded time: a district that a front hears is not left for longer, and never all of them.
#[test]
fn a_lying_observer() {
    let mut fleet = Fleet::new(24);
    fleet.pass(1_500);
    let mut left = 0;
    for nth in 1..1_000 {
        let eased = |districts: &[u32]| {
            let eased = |district: &u32| ZoneShare {
                zone: ZoneId(*district),
                share: 0.0,
                reason: ShareReason::Drained,
            };
            let eased = districts.iter().map(eased).collect();
            encode(&Message::Verdicts {
                zone: ZoneId(0),
                sequence: nth,
                ttl: Span::from_secs(2),
                shares: eased,
            })
        };
        let now = at(fleet.ms);
        // It says to be a front of the lowest number.
        let lie = if nth < 900 { eased(&[1]) } else { eased(&[0, 1, 2]) };
        for front in fleet.fronts.values_mut().filter(|front| front.local_zone() == ZoneId(0)) {
            front.handle_input(now, MemberId { front: 0, incarnation: 9 }, &lie[0]);
        }
        fleet.pass(60);
        let shares = fleet.shares(0, 1);
        left += u64::from(shares.contains(&0.0)) * 60;
        if nth >= 900 {
            assert!(shares.iter().all(|share| *share == 1.0), "all districts are never left");
        }
    }
    assert!(left > 0 && left <= 33 * 750, "{left} ms");
}

#[test]
fn most_words_lost() {
    let mut fleet = Fleet::new(24);
    fleet.loss = 0.3;
    fleet.reaches = |ms, _, district, _| district != 1 || !(4_000..12_000).contains(&ms);
    let mut left = vec![false; 24];
    while fleet.ms < 12_000 {
        fleet.pass(100);
        let shares = (0..DISTRICTS).flat_map(|of| fleet.shares(of, 1));
        left.iter_mut().zip(shares).for_each(|(left, share)| *left |= share == 0.0);
    }
    assert!(left.iter().all(|left| *left), "{left:?}");
    fleet.pass(15_000);
    assert!(fleet.all_at(1, 1.0));
}

#[test]
fn without_a_word_of_others_each_goes_on_as_alone() {
    let mut fleet = Fleet::new(24);
    fleet.hears = |_, _, _| false;
    fleet.reaches = |ms, _, district, _| district != 1 || ms < 2_000;
    fleet.pass(2_000);
    // Each observes for itself alone; with a few INVITEs of its own it may come to see it, and nobody else's.
    fleet.pass(8_000);
    assert!(fleet.all_at(0, 1.0) && fleet.all_at(2, 1.0));
}
