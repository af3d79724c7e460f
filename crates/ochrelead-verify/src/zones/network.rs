//! Reachability between fronts and servers, and the delivery of datagrams between fronts.

use std::net::SocketAddr;

use ochrelead_node::observation::Observation;
use rand::RngExt;

use super::events::Event;
use super::front::{ALL_FRONTS, ReceivedDatagram, address_of, front_at, moment};
use super::mutation;
use super::scenario::{Fault, Mutation};
use super::server::MS;
use super::world::{RecordedDatagram, World};

/// Upper limit of the random delay of a datagram between fronts.
const MAX_DATAGRAM_DELAY_US: u64 = 15 * MS;
/// Datagrams that a front's socket buffers while it does not read; further ones are dropped.
const MAX_BUFFERED_DATAGRAMS: usize = 4_096;
/// Datagrams that are recorded for [`Mutation::OldVerdictsFollowed`] between two replays.
const MAX_RECORDED_DATAGRAMS: usize = 4_096;

impl World {
    /// Whether no active fault separates a front from a server.
    pub(super) fn reaches_server(&self, front: u32, server: u32) -> bool {
        let front_zone = front % self.scenario.zones;
        let server_zone = self.servers[server as usize].zone;
        !self.active_faults().any(|fault| match fault {
            Fault::Partition { from, to } => is_between(from, to, front_zone, server_zone),
            Fault::FrontCutOff { front: cut_off } => cut_off == front,
            _ => false,
        })
    }

    /// Whether a datagram between two fronts arrives. Draws the random loss unless a fault separates the fronts.
    fn delivers(&mut self, from_front: u32, to_front: u32) -> bool {
        let (from_zone, to_zone) = (from_front % self.scenario.zones, to_front % self.scenario.zones);
        let mut loss: f64 = 0.0;
        for fault in self.active_faults() {
            match fault {
                Fault::Partition { from, to } if is_between(from, to, from_zone, to_zone) => return false,
                Fault::FrontCutOff { front } if front == from_front || front == to_front => return false,
                Fault::MessageLoss { probability } => loss = loss.max(probability),
                _ => {}
            }
        }
        !self.rng.random_bool(loss)
    }

    /// Passes an observation to a front's coordination engine, if the run has coordination.
    pub(super) fn observe(&mut self, front: u32, observation: Observation) {
        let now = moment(self.now);
        if let Some(coordination) = &mut self.fronts[front as usize].coordination {
            coordination.on_observation(now, observation);
        }
    }

    /// Sends a datagram to one front, or to all others if the destination is the broadcast address.
    pub(super) fn send_datagram(&mut self, from: u32, destination: SocketAddr, bytes: &[u8]) {
        let destination = front_at(destination);
        let recipients: Vec<u32> = if destination == ALL_FRONTS {
            (0..self.scenario.fronts).filter(|other| *other != from).collect()
        } else {
            vec![destination]
        };
        for to in recipients {
            self.outcome.datagrams += 1;
            self.outcome.datagram_bytes += bytes.len() as u64;
            if self.delivers(from, to) {
                let delay = self.rng.random_range(MS..MAX_DATAGRAM_DELAY_US);
                let event = Event::DatagramArrives { from: address_of(from), to, bytes: bytes.to_vec() };
                self.events.push(self.now + delay, event);
            }
        }
    }

    /// A datagram arrives in a front's receive buffer, and the front runs.
    pub(super) fn on_datagram(&mut self, from: SocketAddr, to: u32, bytes: Vec<u8>) {
        let bytes = mutation::mutate_datagram(&self.scenario, &self.servers, front_at(from), to, bytes);
        let is_recorded = self.scenario.mutation == Some(Mutation::OldVerdictsFollowed) && to % 2 == 0;
        if is_recorded && self.recorded_datagrams.len() < MAX_RECORDED_DATAGRAMS {
            let received = ReceivedDatagram { from, bytes: bytes.clone() };
            self.recorded_datagrams.push(RecordedDatagram { to, received });
        }
        let state = &mut self.fronts[to as usize];
        if state.unread.len() < MAX_BUFFERED_DATAGRAMS {
            state.unread.push(ReceivedDatagram { from, bytes });
        }
        self.run_front(to);
    }
}

/// Whether a partition between the zones `from` and `to` separates the other two zones.
fn is_between(from: u32, to: u32, one: u32, other: u32) -> bool {
    (from, to) == (one, other) || (to, from) == (one, other)
}
