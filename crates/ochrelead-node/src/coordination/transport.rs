//! Maps the recipients of gossip datagrams to the addresses of fronts.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_gossip::engine::{Recipient, Transmit};

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutboundDatagram {
    /// The address to send it to.
    pub destination: SocketAddr,
    /// The payload.
    pub bytes: Vec<u8>,
}

pub(super) struct Transport {
    local_front: usize,
    addresses: Vec<SocketAddr>,
    fronts: HashMap<SocketAddr, u32>,
    /// The address at which one datagram reaches all fronts, if there is one.
    broadcast_address: Option<SocketAddr>,
    /// The remaining copies of a datagram that is sent to each peer separately.
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

    /// The number of the front that sends from an address; `None` if the address is not listed.
    pub(super) fn front(&self, address: SocketAddr) -> Option<u32> {
        self.fronts.get(&address).copied()
    }

    /// Returns the datagram for a recipient. If it is for all fronts and there is no broadcast address, returns the
    /// copy for the first peer and queues the others. Returns `None` if the recipient has no address.
    pub(super) fn route(&mut self, transmit: Transmit) -> Option<OutboundDatagram> {
        let bytes = transmit.datagram;
        if let Recipient::Front(front) = transmit.recipient {
            let destination = *self.addresses.get(front as usize)?;
            return Some(OutboundDatagram { destination, bytes });
        }
        if let Some(destination) = self.broadcast_address {
            return Some(OutboundDatagram { destination, bytes });
        }
        let peers = self.addresses.iter().enumerate().filter(|(front, _)| *front != self.local_front);
        let copy = |(_, address): (usize, &SocketAddr)| OutboundDatagram {
            destination: *address,
            bytes: bytes.clone(),
        };
        self.copies.extend(peers.map(copy));
        self.copies.pop_front()
    }

    /// Returns the next queued copy of a datagram for all fronts.
    pub(super) fn poll_copy(&mut self) -> Option<OutboundDatagram> {
        self.copies.pop_front()
    }
}
