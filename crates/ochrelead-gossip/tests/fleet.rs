//! Fleets of engines on one clock: who is seen alive, how fast rumors spread, and what that costs.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::engine::{Engine, EngineConfig, Recipient};
use ochrelead_gossip::members::MemberState;
use ochrelead_gossip::schema::{Datagram, MemberUpdate, Part, Ping, part::Kind};
use ochrelead_gossip::{GossipConfig, MemberId, RumorId};
use prost::Message as _;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

fn moment(ms: u64) -> Moment {
    Moment::from_micros(1_000_000 + ms * 1_000)
}

fn rumor(key: u64) -> RumorId {
    RumorId { topic: 9, key }
}

struct InFlight {
    arrives_ms: u64,
    sender: u32,
    recipient: u32,
    datagram: Vec<u8>,
}

struct Fleet {
    fronts: BTreeMap<u32, Engine>,
    size: u32,
    ms: u64,
    loss: f64,
    paused: Vec<u32>,
    /// The fronts on one side of a network partition.
    partition: Vec<u32>,
    in_flight: Vec<InFlight>,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn with(size: u32) -> Fleet {
        let mut fleet = Fleet {
            fronts: BTreeMap::new(),
            size,
            ms: 0,
            loss: 0.0,
            paused: Vec::new(),
            partition: Vec::new(),
            in_flight: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(11),
        };
        (0..size).for_each(|front| fleet.start(front, 1));
        fleet
    }

    fn start(&mut self, front: u32, incarnation: u32) {
        let config = EngineConfig {
            local: MemberId { front, incarnation },
            fleet_size: self.size,
            zone: Some(front % 4),
            gossip: GossipConfig::DEFAULT,
            seed: u64::from(front) + 1,
        };
        let engine = Engine::new(config, moment(self.ms));
        self.fronts.insert(front, engine);
    }

    /// Lets time pass, 20 ms at a time; datagrams take 5.
    fn advance(&mut self, ms: u64) {
        let until = self.ms + ms;
        while self.ms < until {
            self.ms += 20;
            let now = moment(self.ms);
            for packet in std::mem::take(&mut self.in_flight) {
                if packet.arrives_ms > self.ms || self.paused.contains(&packet.recipient) {
                    self.in_flight.push(packet);
                } else if let Some(engine) = self.fronts.get_mut(&packet.recipient) {
                    engine.handle_input(now, packet.sender, &packet.datagram);
                }
            }
            for (front, engine) in &mut self.fronts {
                if self.paused.contains(front) {
                    continue;
                }
                engine.process(now);
                while let Some(transmit) = engine.poll_output() {
                    assert!(transmit.datagram.len() <= 256);
                    let Recipient::Front(recipient) = transmit.recipient else { panic!("a broadcast") };
                    let is_cut = self.partition.contains(front) != self.partition.contains(&recipient);
                    if !is_cut && !self.rng.random_bool(self.loss) {
                        self.in_flight.push(InFlight {
                            arrives_ms: self.ms + 5,
                            sender: *front,
                            recipient,
                            datagram: transmit.datagram,
                        });
                    }
                }
            }
        }
    }

    /// How many fronts see another in a state.
    fn count_seeing(&self, other: u32, state: MemberState) -> usize {
        let sees = |engine: &Engine| engine.members().get(other).is_some_and(|view| view.state == state);
        self.fronts.iter().filter(|(front, engine)| **front != other && sees(engine)).count()
    }

    /// How many fronts see another as not dead.
    fn count_seeing_live(&self, other: u32) -> usize {
        self.count_seeing(other, MemberState::Alive) + self.count_seeing(other, MemberState::Suspect)
    }

    fn sent(&self) -> (u64, u64) {
        let stats = self.fronts.values().map(Engine::stats);
        stats.fold((0, 0), |sum, stats| (sum.0 + stats.datagrams_sent, sum.1 + stats.bytes_sent))
    }
}

#[test_case(10, 0.0; "ten")]
#[test_case(40, 0.2; "forty, a fifth lost")]
fn a_fleet_sees_all_members_and_the_death_of_one(size: u32, loss: f64) {
    let mut fleet = Fleet::with(size);
    fleet.loss = loss;
    fleet.advance(60_000);
    assert_eq!(fleet.count_seeing_live(3) as u32, size - 1);
    fleet.fronts.remove(&3);
    fleet.advance(120_000);
    assert_eq!(fleet.count_seeing(3, MemberState::Dead) as u32, size - 1);
    assert_eq!(fleet.count_seeing(4, MemberState::Dead), 0);
    fleet.start(3, 2);
    fleet.advance(60_000);
    assert_eq!(fleet.count_seeing_live(3) as u32, size - 1, "in its next incarnation");
}

/// A listed front that never starts counts as alive only until it does not answer; once it starts it joins.
#[test]
fn a_front_that_never_started_is_found_dead() {
    let mut fleet = Fleet::with(8);
    fleet.fronts.remove(&7);
    assert!(fleet.fronts[&0].members().not_dead().contains(&7));
    fleet.advance(120_000);
    assert!(fleet.fronts.values().all(|engine| !engine.members().not_dead().contains(&7)));
    // Whatever its incarnation.
    fleet.start(7, u32::MAX - 5);
    fleet.advance(60_000);
    assert!(fleet.fronts.values().all(|engine| engine.members().not_dead().contains(&7)));
}

#[test]
fn a_front_that_stalled_declares_nobody_dead() {
    let mut fleet = Fleet::with(12);
    fleet.advance(40_000);
    fleet.paused = vec![5];
    fleet.advance(30_000);
    fleet.paused.clear();
    for _ in 0..30 {
        fleet.advance(100);
        let view = &fleet.fronts[&5];
        assert!(view.members().iter().all(|(_, view)| view.state != MemberState::Dead));
    }
    fleet.advance(60_000);
    assert_eq!(fleet.count_seeing(5, MemberState::Alive), 11, "and it is taken in again");
}

#[test]
fn a_healed_partition_is_one_fleet_again() {
    let mut fleet = Fleet::with(12);
    fleet.advance(40_000);
    fleet.partition = (0..6).collect();
    fleet.advance(120_000);
    assert_eq!(fleet.count_seeing(0, MemberState::Dead), 6);
    fleet.partition.clear();
    fleet.advance(120_000);
    assert_eq!(fleet.count_seeing(0, MemberState::Alive), 11);
}

/// Rumors reach all, and what a front sends does not grow with their number.
#[test_case(10; "10")]
#[test_case(100; "100")]
fn rumors_spread_within_the_budget(size: u32) {
    let mut fleet = Fleet::with(size);
    fleet.advance(30_000);
    let now = moment(fleet.ms);
    fleet.fronts.get_mut(&0).unwrap().publish_rumor(now, rumor(1), b"gone".to_vec());
    fleet.advance(30_000);
    let now = moment(fleet.ms);
    let heard = fleet.fronts.values().filter(|engine| engine.rumor(now, rumor(1)).is_some()).count();
    assert_eq!(heard as u32, size);
    let age = fleet.fronts[&(size - 1)].rumor(now, rumor(1)).unwrap().age;
    assert!(age >= Span::from_secs(29) && age <= Span::from_secs(31), "its age is known: {age:?}");
    let before = fleet.sent();
    for key in 0..400 {
        let now = moment(fleet.ms);
        let publisher = fleet.fronts.get_mut(&(key % size)).unwrap();
        publisher.publish_rumor(now, rumor(u64::from(key)), vec![7; 90]);
        fleet.advance(20);
    }
    let (sent, bytes) = fleet.sent();
    let each = (sent - before.0) as f64 / f64::from(size) / 8.0;
    assert!(each <= f64::from(GossipConfig::DEFAULT.datagrams_per_period), "{each} datagrams a second");
    assert!((bytes - before.1) / (sent - before.0) <= 256);
}

#[test]
fn a_flood_of_pings_is_answered_within_the_budget() {
    let mut fleet = Fleet::with(3);
    fleet.advance(10_000);
    let parts = vec![Part { kind: Some(Kind::Ping(Ping { sequence: 5 })) }];
    let ping = Datagram { version: 1, front: 0, incarnation: 1, parts }.encode_to_vec();
    let before = fleet.fronts[&1].stats().datagrams_sent;
    for _ in 0..100 {
        let now = moment(fleet.ms);
        let flooded = fleet.fronts.get_mut(&1).unwrap();
        (0..100).for_each(|_| flooded.handle_input(now, 0, &ping));
        fleet.advance(20);
    }
    let sent = fleet.fronts[&1].stats().datagrams_sent - before;
    // Two seconds, and what it had saved.
    assert!(sent <= 3 * u64::from(GossipConfig::DEFAULT.datagrams_per_period), "{sent}");
}

/// A faulty peer: numbers out of range, an update of this front's own death, states that do not exist.
#[test]
fn a_lying_peer_does_bounded_harm() {
    let mut fleet = Fleet::with(5);
    fleet.advance(10_000);
    let member = |front, incarnation, state, refutations| Part {
        kind: Some(Kind::Member(MemberUpdate {
            front,
            incarnation,
            state,
            refutations,
            version: 1,
            zone: 0,
        })),
    };
    let lies = vec![member(4_000_000, 1, 0, 0), member(1, 1, 2, 0), member(2, 1, 9, 7), member(3, 1, 2, 0)];
    let datagram = Datagram { version: 1, front: 0, incarnation: 1, parts: lies }.encode_to_vec();
    let now = moment(fleet.ms);
    fleet.fronts.get_mut(&1).unwrap().handle_input(now, 0, &datagram);
    let members = fleet.fronts[&1].members();
    assert!(members.iter().all(|(front, _)| front < 5));
    assert!(members.live().contains(&1), "it knows better of itself");
    fleet.advance(20_000);
    assert_eq!(fleet.count_seeing(3, MemberState::Alive), 4, "denied by the one it was said of");
}
