//! Who reaches whom, and what fronts say to each other.

use super::*;

impl World {
    pub(in super::super) fn reaches(&self, front: u32, server: u32) -> bool {
        let (of, to) = (front % self.day.districts, self.servers[server as usize].district);
        !self.kinds().any(|kind| match kind {
            Kind::Cut { from, to: other } => (from, other) == (of, to) || (other, from) == (of, to),
            Kind::OwnLink { front: own } => own == front,
            _ => false,
        })
    }

    pub(in super::super) fn hears(&mut self, from: u32, to: u32) -> bool {
        let (of, other) = (from % self.day.districts, to % self.day.districts);
        let mut loss: f64 = 0.0;
        for kind in self.kinds().collect::<Vec<_>>() {
            match kind {
                Kind::Cut { from, to } if (from, to) == (of, other) || (to, from) == (of, other) => {
                    return false;
                }
                Kind::OwnLink { front } if front == from || front == to => return false,
                Kind::Peers { loss: own } => loss = loss.max(own),
                _ => {}
            }
        }
        !self.chance.random_bool(loss)
    }

    pub(super) fn way(&self, front: u32, server: u32) -> u64 {
        if front % self.day.districts == self.servers[server as usize].district { NEAR } else { FAR }
    }

    pub(super) fn met(&mut self, front: u32, observation: Observation) {
        let now = moment(self.now);
        if let Some(together) = &mut self.fronts[front as usize].together {
            together.on_observation(now, observation);
        }
    }

    pub(super) fn send(&mut self, from: u32, to: SocketAddr, bytes: &[u8]) {
        let to = front_at(to);
        let reached: Vec<u32> =
            if to == ALL { (0..self.day.fronts).filter(|other| *other != from).collect() } else { vec![to] };
        for to in reached {
            self.shown.datagrams += 1;
            self.shown.bytes += bytes.len() as u64;
            if self.hears(from, to) {
                let takes = self.chance.random_range(MS..DATAGRAM);
                self.at(self.now + takes, What::Datagram(to, address(from), bytes.to_vec()));
            }
        }
    }

    pub(super) fn datagram(&mut self, to: u32, from: SocketAddr, bytes: Vec<u8>) {
        let bytes = crate::districts::watch::meddle(&self.day, &self.servers, key, to, front_at(from), bytes);
        if self.day.slip == Some(Slip::OldWordsHeeded) && to % 2 == 0 && self.old.len() < 4_096 {
            self.old.push((to, from, bytes.clone()));
        }
        let state = &mut self.fronts[to as usize];
        // A socket holds so many while nobody reads it.
        if state.unread.len() < 4_096 {
            state.unread.push((from, bytes));
        }
        self.turn(to);
    }
}
