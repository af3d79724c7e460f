//! Test harness: a fleet of engines with a simulated network, and servers that answer after a fixed delay.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::MemberId;
use ochrelead_zone::engine::{Engine, Recipient};
use ochrelead_zone::{ServerKey, ServerLocation, ZoneConfig, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub(crate) const CONFIG: ZoneConfig = ZoneConfig { loss_timeout: Span::from_millis(375), growth_factor: 2.0 };
pub(crate) const ZONES: u32 = 3;
const SERVERS_PER_ZONE: u32 = 4;
const TICK_MS: u64 = 20;
/// Probability that a front sends an INVITE in a tick.
const INVITE_PROBABILITY: f64 = 0.3;
const MESSAGE_DELAY_MS: u64 = 10;
const ANSWER_DELAY_MS: u64 = 30;

pub(crate) fn moment(ms: u64) -> Moment {
    Moment::from_micros(1_000_000_000 + ms * 1_000)
}

/// A server, identified by its zone and its index in that zone.
#[derive(Clone, Copy)]
pub(crate) struct Server {
    pub(crate) zone: u32,
    pub(crate) index: u32,
}

impl Server {
    fn key(self) -> ServerKey {
        ServerKey::from_name(&format!("s-{}-{}", self.zone, self.index))
    }

    fn all() -> impl Iterator<Item = Server> {
        (0..ZONES).flat_map(|zone| (0..SERVERS_PER_ZONE).map(move |index| Server { zone, index }))
    }
}

struct InFlightMessage {
    arrives_ms: u64,
    from: MemberId,
    to: u32,
    bytes: Vec<u8>,
}

struct PendingAnswer {
    arrives_ms: u64,
    front: u32,
    invite: u64,
}

pub(crate) struct Fleet {
    pub(crate) engines: BTreeMap<u32, Engine>,
    pub(crate) elapsed_ms: u64,
    /// Whether a front reaches a server, by elapsed milliseconds, front and server.
    pub(crate) reaches_server: fn(u64, u32, Server) -> bool,
    /// Whether messages of a front reach another front, by elapsed milliseconds, sender and recipient.
    pub(crate) reaches_front: fn(u64, u32, u32) -> bool,
    /// Probability that a message between fronts is lost.
    pub(crate) message_loss: f64,
    /// Fronts that do not run; messages and answers for them are held back.
    pub(crate) halted: Vec<u32>,
    front_count: u32,
    rng: Pcg64Mcg,
    messages: Vec<InFlightMessage>,
    answers: Vec<PendingAnswer>,
    invites: u64,
}

/// All engines run in their first incarnation.
const INCARNATION: u32 = 1;

impl Fleet {
    pub(crate) fn new(front_count: u32) -> Fleet {
        let mut fleet = Fleet {
            engines: BTreeMap::new(),
            elapsed_ms: 0,
            reaches_server: |_, _, _| true,
            reaches_front: |_, _, _| true,
            message_loss: 0.0,
            halted: Vec::new(),
            front_count,
            rng: Pcg64Mcg::seed_from_u64(5),
            messages: Vec::new(),
            answers: Vec::new(),
            invites: 0,
        };
        (0..front_count).for_each(|front| fleet.start(front));
        fleet
    }

    pub(crate) fn now(&self) -> Moment {
        moment(self.elapsed_ms)
    }

    fn start(&mut self, front: u32) {
        let local = MemberId { front, incarnation: INCARNATION };
        let seed = u64::from(front * 7 + INCARNATION);
        let mut engine = Engine::new(local, ZoneId(front % ZONES), CONFIG, seed, self.now());
        let locations: Vec<ServerLocation> = Server::all()
            .map(|server| ServerLocation { server: server.key(), zone: ZoneId(server.zone) })
            .collect();
        engine.on_server_locations(&locations);
        self.engines.insert(front, engine);
    }

    /// Advances the clock by `ms`, one tick at a time.
    pub(crate) fn advance(&mut self, ms: u64) {
        let end_ms = self.elapsed_ms + ms;
        while self.elapsed_ms < end_ms {
            self.elapsed_ms += TICK_MS;
            self.deliver_messages();
            self.deliver_answers();
            let mut engines = std::mem::take(&mut self.engines);
            for (front, engine) in &mut engines {
                if !self.halted.contains(front) {
                    self.run_front(*front, engine);
                }
            }
            self.engines = engines;
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now();
        for message in std::mem::take(&mut self.messages) {
            if message.arrives_ms > self.elapsed_ms || self.halted.contains(&message.to) {
                self.messages.push(message);
            } else if let Some(engine) = self.engines.get_mut(&message.to) {
                engine.handle_input(now, message.from, &message.bytes);
            }
        }
    }

    fn deliver_answers(&mut self) {
        let now = self.now();
        for answer in std::mem::take(&mut self.answers) {
            if answer.arrives_ms > self.elapsed_ms || self.halted.contains(&answer.front) {
                self.answers.push(answer);
            } else if let Some(engine) = self.engines.get_mut(&answer.front) {
                engine.on_answer(now, answer.invite);
            }
        }
    }

    fn run_front(&mut self, front: u32, engine: &mut Engine) {
        let now = self.now();
        if self.rng.random_bool(INVITE_PROBABILITY) {
            self.send_invite(front, engine);
        }
        // Each server shows activity once a second.
        if self.elapsed_ms % 1_000 < TICK_MS {
            for server in Server::all() {
                if (self.reaches_server)(self.elapsed_ms, front, server) {
                    engine.on_server_alive(now, server.key());
                }
            }
        }
        engine.process(now);
        while let Some((recipient, bytes)) = engine.poll_output() {
            self.send_message(front, recipient, &bytes);
        }
    }

    fn send_invite(&mut self, front: u32, engine: &mut Engine) {
        let now = self.now();
        let zone = self.rng.random_range(0..ZONES);
        let server = Server { zone, index: self.rng.random_range(0..SERVERS_PER_ZONE) };
        if !self.rng.random_bool(engine.zone_share(now, ZoneId(zone))) {
            return;
        }
        self.invites += 1;
        engine.on_invite_sent(now, server.key(), self.invites);
        if (self.reaches_server)(self.elapsed_ms, front, server) {
            let arrives_ms = self.elapsed_ms + ANSWER_DELAY_MS;
            self.answers.push(PendingAnswer { arrives_ms, front, invite: self.invites });
        }
    }

    fn send_message(&mut self, front: u32, recipient: Recipient, bytes: &[u8]) {
        assert!(bytes.len() <= 232);
        let recipients: Vec<u32> = match recipient {
            Recipient::Front(to) => vec![to],
            Recipient::All => (0..self.front_count).filter(|other| *other != front).collect(),
        };
        for to in recipients {
            if (self.reaches_front)(self.elapsed_ms, front, to) && !self.rng.random_bool(self.message_loss) {
                self.messages.push(InFlightMessage {
                    arrives_ms: self.elapsed_ms + MESSAGE_DELAY_MS,
                    from: MemberId { front, incarnation: INCARNATION },
                    to,
                    bytes: bytes.to_vec(),
                });
            }
        }
    }

    /// The observers among the fronts of `zone`.
    pub(crate) fn observers(&self, zone: u32) -> Vec<u32> {
        let observers = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.is_observer() && engine.local_zone() == ZoneId(zone));
        observers.map(|(front, _)| *front).collect()
    }

    /// The share of `zone` at each front of `front_zone`.
    pub(crate) fn shares(&self, front_zone: u32, zone: u32) -> Vec<f64> {
        let engines = self.engines.values().filter(|engine| engine.local_zone() == ZoneId(front_zone));
        engines.map(|engine| engine.zone_share(self.now(), ZoneId(zone))).collect()
    }

    /// Whether `zone` has this share at all fronts.
    pub(crate) fn all_have_share(&self, zone: u32, share: f64) -> bool {
        (0..ZONES).all(|front_zone| self.shares(front_zone, zone).iter().all(|actual| *actual == share))
    }

    /// Asserts that all zones are in full use at all fronts.
    pub(crate) fn assert_full_use(&self) {
        for zone in 0..ZONES {
            assert!(self.all_have_share(zone, 1.0), "zone {zone} at {} ms", self.elapsed_ms);
        }
    }
}
