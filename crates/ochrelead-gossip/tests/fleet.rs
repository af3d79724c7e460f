//! Fleets of gossip engines on one clock: membership, dissemination of rumors, and the send budget.

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

/// A datagram on its way to a front.
struct InFlightDatagram {
    arrives_at_ms: u64,
    sender: u32,
    recipient: u32,
    bytes: Vec<u8>,
}

struct Fleet {
    fronts: BTreeMap<u32, Engine>,
    size: u32,
    /// The time since the start of the test, in milliseconds.
    now_ms: u64,
    /// The share of datagrams that are lost.
    loss: f64,
    /// Fronts that neither run nor receive.
    paused: Vec<u32>,
    /// The fronts on one side of a network partition.
    partition: Vec<u32>,
    in_flight: Vec<InFlightDatagram>,
    rng: Pcg64Mcg,
}

impl Fleet {
    fn new(size: u32) -> Fleet {
        let mut fleet = Fleet {
            fronts: BTreeMap::new(),
            size,
            now_ms: 0,
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
        let engine = Engine::new(config, moment(self.now_ms));
        self.fronts.insert(front, engine);
    }

    /// Advances the clock in steps of 20 ms. A datagram takes 5 ms, so it arrives in the next step.
    fn advance(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += 20;
            let now = moment(self.now_ms);
            for datagram in std::mem::take(&mut self.in_flight) {
                if datagram.arrives_at_ms > self.now_ms || self.paused.contains(&datagram.recipient) {
                    self.in_flight.push(datagram);
                } else if let Some(engine) = self.fronts.get_mut(&datagram.recipient) {
                    engine.handle_input(now, datagram.sender, &datagram.bytes);
                }
            }
            for (front, engine) in &mut self.fronts {
                if self.paused.contains(front) {
                    continue;
                }
                engine.process(now);
                while let Some(transmit) = engine.poll_output() {
                    assert!(transmit.datagram.len() <= 256);
                    let Recipient::Front(recipient) = transmit.recipient else {
                        panic!("the engine sent a broadcast")
                    };
                    let is_partitioned =
                        self.partition.contains(front) != self.partition.contains(&recipient);
                    if !is_partitioned && !self.rng.random_bool(self.loss) {
                        self.in_flight.push(InFlightDatagram {
                            arrives_at_ms: self.now_ms + 5,
                            sender: *front,
                            recipient,
                            bytes: transmit.datagram,
                        });
                    }
                }
            }
        }
    }

    /// Counts the other fronts that know `other` in this state.
    fn count_seeing(&self, other: u32, state: MemberState) -> usize {
        let is_in_state =
            |engine: &Engine| engine.members().get(other).is_some_and(|view| view.state == state);
        self.fronts.iter().filter(|(front, engine)| **front != other && is_in_state(engine)).count()
    }

    /// Counts the other fronts that know `other` as alive or suspect.
    fn count_seeing_live(&self, other: u32) -> usize {
        self.count_seeing(other, MemberState::Alive) + self.count_seeing(other, MemberState::Suspect)
    }

    /// The number of datagrams that all fronts have sent, and their bytes.
    fn total_sent(&self) -> (u64, u64) {
        let stats = self.fronts.values().map(Engine::stats);
        stats.fold((0, 0), |total, stats| (total.0 + stats.datagrams_sent, total.1 + stats.bytes_sent))
    }
}

#[test_case(10, 0.0; "ten fronts")]
#[test_case(40, 0.2; "forty fronts with 20 percent loss")]
fn all_fronts_learn_of_the_death_and_the_restart_of_a_front(size: u32, loss: f64) {
    let mut fleet = Fleet::new(size);
    fleet.loss = loss;
    fleet.advance(60_000);
    assert_eq!(fleet.count_seeing_live(3) as u32, size - 1);
    fleet.fronts.remove(&3);
    fleet.advance(120_000);
    assert_eq!(fleet.count_seeing(3, MemberState::Dead) as u32, size - 1);
    assert_eq!(fleet.count_seeing(4, MemberState::Dead), 0);
    fleet.start(3, 2);
    fleet.advance(60_000);
    assert_eq!(fleet.count_seeing_live(3) as u32, size - 1, "front 3 is live in its next incarnation");
}

/// A listed front that has not started counts as not dead until it fails to answer; it joins once it starts, whatever
/// its incarnation.
#[test]
fn a_front_that_never_started_is_declared_dead_and_joins_once_it_starts() {
    let mut fleet = Fleet::new(8);
    fleet.fronts.remove(&7);
    assert!(fleet.fronts[&0].members().not_dead().contains(&7));
    fleet.advance(120_000);
    assert!(fleet.fronts.values().all(|engine| !engine.members().not_dead().contains(&7)));
    fleet.start(7, u32::MAX - 5);
    fleet.advance(60_000);
    assert!(fleet.fronts.values().all(|engine| engine.members().not_dead().contains(&7)));
}

#[test]
fn a_front_that_stalled_declares_no_other_front_dead() {
    let mut fleet = Fleet::new(12);
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
    assert_eq!(
        fleet.count_seeing(5, MemberState::Alive),
        11,
        "all other fronts know the stalled front as alive again"
    );
}

#[test]
fn the_sides_of_a_healed_partition_know_each_other_as_alive_again() {
    let mut fleet = Fleet::new(12);
    fleet.advance(40_000);
    fleet.partition = (0..6).collect();
    fleet.advance(120_000);
    assert_eq!(fleet.count_seeing(0, MemberState::Dead), 6);
    fleet.partition.clear();
    fleet.advance(120_000);
    assert_eq!(fleet.count_seeing(0, MemberState::Alive), 11);
}

/// A rumor reaches all fronts, and the number of datagrams does not grow with the number of rumors.
#[test_case(10; "10 fronts")]
#[test_case(100; "100 fronts")]
fn rumors_reach_all_fronts_within_the_send_budget(size: u32) {
    let mut fleet = Fleet::new(size);
    fleet.advance(30_000);
    let now = moment(fleet.now_ms);
    fleet.fronts.get_mut(&0).unwrap().publish_rumor(now, rumor(1), b"gone".to_vec());
    fleet.advance(30_000);
    let now = moment(fleet.now_ms);
    let received = fleet.fronts.values().filter(|engine| engine.rumor(now, rumor(1)).is_some()).count();
    assert_eq!(received as u32, size);
    let age = fleet.fronts[&(size - 1)].rumor(now, rumor(1)).unwrap().age;
    assert!(
        age >= Span::from_secs(29) && age <= Span::from_secs(31),
        "the rumor's age is {age:?}; expected 30 s within 1 s"
    );
    let (datagrams_before, bytes_before) = fleet.total_sent();
    for key in 0..400 {
        let now = moment(fleet.now_ms);
        let publisher = fleet.fronts.get_mut(&(key % size)).unwrap();
        publisher.publish_rumor(now, rumor(u64::from(key)), vec![7; 90]);
        fleet.advance(20);
    }
    let (datagrams, bytes) = fleet.total_sent();
    // Publishing 400 rumors at intervals of 20 ms takes 8 s.
    let rate = (datagrams - datagrams_before) as f64 / f64::from(size) / 8.0;
    let budget = f64::from(GossipConfig::DEFAULT.datagrams_per_period);
    assert!(rate <= budget, "{rate} datagrams per second and front; the budget is {budget}");
    assert!((bytes - bytes_before) / (datagrams - datagrams_before) <= 256);
}

#[test]
fn a_flood_of_pings_is_answered_within_the_budget() {
    let mut fleet = Fleet::new(3);
    fleet.advance(10_000);
    let parts = vec![Part { kind: Some(Kind::Ping(Ping { sequence: 5 })) }];
    let ping = Datagram { version: 1, front: 0, incarnation: 1, parts }.encode_to_vec();
    let before = fleet.fronts[&1].stats().datagrams_sent;
    for _ in 0..100 {
        let now = moment(fleet.now_ms);
        let flooded = fleet.fronts.get_mut(&1).unwrap();
        (0..100).for_each(|_| flooded.handle_input(now, 0, &ping));
        fleet.advance(20);
    }
    let sent = fleet.fronts[&1].stats().datagrams_sent - before;
    // The budget of two seconds, and the at most one period's budget that was unused at the start.
    assert!(sent <= 3 * u64::from(GossipConfig::DEFAULT.datagrams_per_period), "{sent} datagrams sent");
}

/// A faulty peer sends updates about a front out of range, about the recipient's own death, with an unknown state, and
/// about the death of a live front. The recipient ignores or corrects all of them.
#[test]
fn false_member_updates_are_ignored_or_refuted() {
    let mut fleet = Fleet::new(5);
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
    let false_updates =
        vec![member(4_000_000, 1, 0, 0), member(1, 1, 2, 0), member(2, 1, 9, 7), member(3, 1, 2, 0)];
    let datagram = Datagram { version: 1, front: 0, incarnation: 1, parts: false_updates }.encode_to_vec();
    let now = moment(fleet.now_ms);
    fleet.fronts.get_mut(&1).unwrap().handle_input(now, 0, &datagram);
    let members = fleet.fronts[&1].members();
    assert!(members.iter().all(|(front, _)| front < 5));
    assert!(members.live().contains(&1), "a front counts itself as live");
    fleet.advance(20_000);
    assert_eq!(fleet.count_seeing(3, MemberState::Alive), 4, "front 3 refuted the report of its death");
}
