//! The emulated datagram network: delay, loss, duplication, reordering and link faults.

mod faults;

use std::collections::BTreeMap;

use ochrelead_config::scenario::EmulatedNetwork;
use ochrelead_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Normal};
use rand_pcg::Pcg64Mcg;

pub use faults::{LinkFault, link_faults};

/// A reordered datagram is delayed by this multiple of the mean delay in addition to its own delay.
const REORDERING_DELAY_MULTIPLE: u64 = 3;
/// The range of a drawn delay, in multiples of the mean delay.
const DELAY_FACTOR_RANGE: (f64, f64) = (0.2, 5.0);

/// A datagram between two participants, which are identified by values of type `P`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram<P> {
    /// Its sender.
    pub from: P,
    /// Its destination.
    pub to: P,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// The network between participants that are identified by values of type `P`.
pub struct Network<P> {
    config: EmulatedNetwork,
    faults: Vec<LinkFault<P>>,
    /// Datagrams by arrival time; the sequence number orders those with equal arrival times as they were sent.
    in_flight: BTreeMap<(Moment, u64), Datagram<P>>,
    last_sequence: u64,
    rng: Pcg64Mcg,
    /// The distribution of the difference between a delay and the mean, as a share of the mean.
    jitter: Normal<f64>,
}

impl<P: Copy + PartialEq> Network<P> {
    /// Creates a network without datagrams in flight.
    ///
    /// # Panics
    ///
    /// Panics if the jitter is not a finite number, which the validation of scenarios excludes.
    pub fn new(config: EmulatedNetwork, faults: Vec<LinkFault<P>>, seed: u64) -> Network<P> {
        Network {
            config,
            faults,
            in_flight: BTreeMap::new(),
            last_sequence: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            jitter: Normal::new(0.0, config.jitter).expect("the jitter of a validated scenario is finite"),
        }
    }

    /// Sends a datagram, which may be lost or duplicated.
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

    /// Returns the current loss rate of a link: the maximum of the general loss and that of each active link fault.
    fn loss(&self, now: Moment, from: P, to: P) -> f64 {
        let active = self.faults.iter().filter(|fault| fault.is_active(now, from, to));
        active.map(|fault| fault.loss).fold(self.config.loss, f64::max)
    }

    fn draw_arrival(&mut self, now: Moment) -> Moment {
        let (min, max) = DELAY_FACTOR_RANGE;
        let factor = (1.0 + self.jitter.sample(&mut self.rng)).clamp(min, max);
        let mut delay = self.config.delay.scaled(factor);
        if self.rng.random::<f64>() < self.config.reordered {
            delay += self.config.delay * REORDERING_DELAY_MULTIPLE;
        }
        now + delay
    }

    /// Takes the next datagram that has arrived by `now`.
    pub fn poll_arrival(&mut self, now: Moment) -> Option<Datagram<P>> {
        let entry = self.in_flight.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }

    /// Returns when the next datagram arrives.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.in_flight.first_key_value().map(|((arrives_at, _), _)| *arrives_at)
    }
}
