//! The addresses of the fronts, and the datagrams on their way to them.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_gossip::engine::{Recipient, Transmit};

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundDatagram {
    /// Where it goes.
    pub destination: SocketAddr,
    /// What it carries.
    pub bytes: Vec<u8>,
}

pub(super) struct Transport {
    local_front: usize,
    addresses: Vec<SocketAddr>,
    fronts: HashMap<SocketAddr, u32>,
    /// Where one datagram reaches all fronts.
    broadcast_address: Option<SocketAddr>,
    /// Copies of a datagram for all that goes to each by itself.
    copies: VecDeque<OutboundDatagram>,
}

impl Transport {
    pub(super) fn new(local_front: u32, addresses: Vec<SocketAddr>) -> Transport {
        let fronts = addresses.iter().zip(0..).map(|(address, front)| (*address, front)).collect();
        Transport {
            local_front: local_front as usize,
            addresses,
            fronts,
            broadcast_address: None,
            copies: VecDeque::new(),
        }
    }

    pub(super) fn set_broadcast_address(&mut self, address: Option<SocketAddr>) {
        self.broadcast_address = address;
    }

    /// The front whose datagrams come from an address.
    pub(super) fn front(&self, address: SocketAddr) -> Option<u32> {
        self.fronts.get(&address).copied()
    }

    /// The datagram for a recipient; for all fronts, without a broadcast address, the first of its copies.
    pub(super) fn route(&mut self, transmit: Transmit) -> Option<OutboundDatagram> {
        let bytes = transmit.datagram;
        if let Recipient::Front(front) = transmit.recipient {
            let destination = *self.addresses.get(front as usize)?;
            return Some(OutboundDatagram { destination, bytes });
        }
        if let Some(destination) = self.broadcast_address {
            return Some(OutboundDatagram { destination, bytes });
        }
        let others = self.addresses.iter().enumerate().filter(|(front, _)| *front != self.local_front);
        let copy = |(_, address): (usize, &SocketAddr)| OutboundDatagram {
            destination: *address,
            bytes: bytes.clone(),
        };
        self.copies.extend(others.map(copy));
        self.copies.pop_front()
    }

    /// The next copy of a datagram for all.
    pub(super) fn poll_copy(&mut self) -> Option<OutboundDatagram> {
        self.copies.pop_front()
    }
}
