//! The emulated network: delay, loss, duplication, reordering and failed links.

mod faults;

use std::collections::BTreeMap;

use ochrelead_config::scenario::EmulatedNetwork;
use ochrelead_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;

pub use faults::{LinkFault, link_faults};

/// A reordered datagram is held back for so many mean delays.
const REORDERED_DELAYS: u64 = 3;
/// The bounds of a delay, as shares of the mean.
const DELAY_SHARE_RANGE: (f64, f64) = (0.2, 5.0);

/// A datagram on its way between parties of type `P`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram<P> {
    /// Its sender.
    pub from: P,
    /// Its destination.
    pub to: P,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// The network between parties of type `P`.
pub struct Network<P> {
    config: EmulatedNetwork,
    faults: Vec<LinkFault<P>>,
    /// Datagrams by arrival; those that arrive together in the order in which they were sent.
    in_flight: BTreeMap<(Moment, u64), Datagram<P>>,
    last_sequence: u64,
    rng: Pcg64Mcg,
    /// What a delay differs from the mean by, as a share of it.
    jitter: Normal<f64>,
}

impl<P: Copy + PartialEq> Network<P> {
    /// A network on which nothing is on its way.
    ///
    /// # Panics
    ///
    /// The jitter is not a finite number; a scenario that was checked has one.
    pub fn new(config: EmulatedNetwork, faults: Vec<LinkFault<P>>, seed: u64) -> Network<P> {
        Network {
            config,
            faults,
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            jitter: Normal::new(0.0, config.jitter).expect("the jitter of a scenario is a finite number"),
        }
    }

    /// Sends a datagram. It may be lost, or arrive twice.
    pub fn send(&mut self, now: Moment, from: P, to: P, bytes: &[u8]) {
        if self.rng.random::<f64>() < self.loss(now, from, to) {
            return;
        }
        let copies = if self.rng.random::<f64>() < self.config.duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let arrives_at = self.draw_arrival(now);
            self.last_sequence += 1;
            let datagram = Datagram { from, to, bytes: bytes.to_vec() };
            self.in_flight.insert((arrives_at, self.last_sequence), datagram);
        }
    }

    /// The share of datagrams that are lost on a link now.
    fn loss(&self, now: Moment, from: P, to: P) -> f64 {
        let active = self.faults.iter().filter(|fault| fault.is_active(now, from, to));
        active.map(|fault| fault.loss).fold(self.config.loss, f64::max)
    }

    fn draw_arrival(&mut self, now: Moment) -> Moment {
        let (min, max) = DELAY_SHARE_RANGE;
        let share = (1.0 + self.jitter.sample(&mut self.rng)).clamp(min, max);
        let mut delay = self.config.delay.scaled(share);
        if self.rng.random::<f64>() < self.config.reordered {
            delay += self.config.delay * REORDERED_DELAYS;
        }
        now + delay
    }

    /// The next datagram that has arrived.
    pub fn poll_arrival(&mut self, now: Moment) -> Option<Datagram<P>> {
        let entry = self.in_flight.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }

    /// When the next datagram arrives.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.in_flight.first_key_value().map(|((arrives_at, _), _)| *arrives_at)
    }
}
