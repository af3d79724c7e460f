//! Who reaches whom, and datagrams between fronts.

use std::net::SocketAddr;

use ochrelead_node::observation::Observation;
use rand::RngExt;

use super::events::Event;
use super::front::{ALL_FRONTS, ReceivedDatagram, address_of, front_at, moment};
use super::mutation;
use super::scenario::{Fault, Mutation};
use super::server::MS;
use super::world::{RecordedDatagram, World};

/// Longest delay of a datagram between fronts.
const MAX_DATAGRAM_DELAY: u64 = 15 * MS;
/// Datagrams that a front's socket buffers while it does not read.
const SOCKET_BUFFER: usize = 4_096;
/// Datagrams that are recorded for a mutation.
const MAX_RECORDED: usize = 4_096;

impl World {
    pub(super) fn reaches_server(&self, front: u32, server: u32) -> bool {
        let front_zone = front % self.scenario.zones;
        let server_zone = self.servers[server as usize].zone;
        !self.active_faults().any(|fault| match fault {
            Fault::Partition { from, to } => is_between(from, to, front_zone, server_zone),
            Fault::FrontCutOff { front: cut_off } => cut_off == front,
            _ => false,
        })
    }

    /// Whether a datagram between two fronts arrives.
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

    /// Hands an observation to a front's coordination.
    pub(super) fn observe(&mut self, front: u32, observation: Observation) {
        let now = moment(self.now);
        if let Some(coordination) = &mut self.fronts[front as usize].coordination {
            coordination.on_observation(now, observation);
        }
    }

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
                let delay = self.rng.random_range(MS..MAX_DATAGRAM_DELAY);
                let event = Event::DatagramArrives { from: address_of(from), to, bytes: bytes.to_vec() };
                self.events.push(self.now + delay, event);
            }
        }
    }

    pub(super) fn on_datagram(&mut self, from: SocketAddr, to: u32, bytes: Vec<u8>) {
        let bytes = mutation::mutate_datagram(&self.scenario, &self.servers, front_at(from), to, bytes);
        let is_recorded = self.scenario.mutation == Some(Mutation::OldVerdictsFollowed) && to % 2 == 0;
        if is_recorded && self.recorded_datagrams.len() < MAX_RECORDED {
            let received = ReceivedDatagram { from, bytes: bytes.clone() };
            self.recorded_datagrams.push(RecordedDatagram { to, received });
        }
        let state = &mut self.fronts[to as usize];
        if state.unread.len() < SOCKET_BUFFER {
            state.unread.push(ReceivedDatagram { from, bytes });
        }
        self.run_front(to);
    }
}

/// Whether a partition of two zones is between these zones.
fn is_between(from: u32, to: u32, one: u32, other: u32) -> bool {
    (from, to) == (one, other) || (to, from) == (one, other)
}
