//! Who takes part in a day, and under which address.

use std::net::{Ipv4Addr, SocketAddrV4};

/// One who sends and takes datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Party {
    Front(u16),
    Server(u16),
    /// All callers.
    Gateway,
    /// The rig itself, for its marks in the capture.
    Rig,
}

/// The ports of MGCP (RFC 3435 section 3.5): call agents, gateways.
const CALL_AGENT: u16 = 2727;
const GATEWAY: u16 = 2427;

impl Party {
    /// The address that the capture names the party by; nothing is ever sent there. It has room for 65,000 of a
    /// kind: the second and the last part count them.
    pub fn shown(self) -> SocketAddrV4 {
        let (net, nth, port) = match self {
            Party::Rig => (0, 1, 9),
            Party::Front(nth) => (1, nth.saturating_add(1), CALL_AGENT),
            Party::Server(nth) => (2, nth.saturating_add(1), GATEWAY),
            Party::Gateway => (3, 1, GATEWAY),
        };
        let [high, low] = nth.to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(10, high, net, low), port)
    }

    /// The party that the capture names so.
    pub fn of_shown(address: SocketAddrV4) -> Option<Party> {
        let [ten, high, net, low] = address.ip().octets();
        let nth = u16::from_be_bytes([high, low]).checked_sub(1)?;
        match (ten, net) {
            (10, 0) if nth == 0 => Some(Party::Rig),
            (10, 1) => Some(Party::Front(nth)),
            (10, 2) => Some(Party::Server(nth)),
            (10, 3) if nth == 0 => Some(Party::Gateway),
            _ => None,
        }
    }

    fn host(self) -> u8 {
        match self {
            Party::Front(nth) => (nth % 200 + 1) as u8,
            Party::Server(nth) => (nth % 45 + 202) as u8,
            Party::Gateway => 250,
            Party::Rig => 251,
        }
    }
}

/// The loopback addresses of one world; worlds of one and of other processes keep apart.
#[derive(Clone, Copy, Debug)]
pub struct Street {
    net: (u8, u8),
}

/// The port of every process, and the first port of the relay.
const OWN_PORT: u16 = 2427;
const RELAY_PORTS: u16 = 20_000;

impl Street {
    /// The `nth` world of this process.
    pub fn new(nth: u8) -> Street {
        let pid = std::process::id();
        Street { net: ((pid % 199 + 20) as u8, (pid / 199 % 50) as u8 * 5 + nth % 5) }
    }

    /// Where a party's own process listens.
    pub fn own(&self, party: Party) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net.0, self.net.1, party.host()), OWN_PORT)
    }

    /// Where `seen` appears to be for `by`: a socket of the relay.
    pub fn seen(&self, seen: Party, by: Party) -> SocketAddrV4 {
        let address = Ipv4Addr::new(127, self.net.0, self.net.1, seen.host());
        SocketAddrV4::new(address, RELAY_PORTS + u16::from(by.host()))
    }
}
