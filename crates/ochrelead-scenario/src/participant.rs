//! The senders and receivers of datagrams in a scenario, and the addresses that represent them in a capture.

use std::net::{Ipv4Addr, SocketAddrV4};

/// A sender or receiver of datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Participant {
    /// A front, by its number.
    Front(u16),
    /// An emulated server, by its number.
    Server(u16),
    /// The gateway that emulates all callers.
    Gateway,
    /// The test harness, which records its own events in the capture.
    Rig,
}

/// The MGCP port of call agents (RFC 3435 section 3.5).
const CALL_AGENT_PORT: u16 = 2727;
/// The MGCP port of gateways (RFC 3435 section 3.5).
const GATEWAY_PORT: u16 = 2427;
/// The port of the test harness's records: discard (RFC 863).
const HARNESS_PORT: u16 = 9;

impl Participant {
    /// Returns the address that represents the participant in a capture; no datagram is sent to it.
    ///
    /// The second and the last octet hold the participant's number plus 1, which gives 65,535 participants of each
    /// kind.
    pub fn capture_address(self) -> SocketAddrV4 {
        let (kind, number, port) = match self {
            Participant::Rig => (0, 1, HARNESS_PORT),
            Participant::Front(front) => (1, front.saturating_add(1), CALL_AGENT_PORT),
            Participant::Server(server) => (2, server.saturating_add(1), GATEWAY_PORT),
            Participant::Gateway => (3, 1, GATEWAY_PORT),
        };
        let [high, low] = number.to_be_bytes();
        SocketAddrV4::new(Ipv4Addr::new(10, high, kind, low), port)
    }

    /// Returns the participant that an address represents in a capture, if any.
    pub fn from_capture_address(address: SocketAddrV4) -> Option<Participant> {
        let [network, high, kind, low] = address.ip().octets();
        let number = u16::from_be_bytes([high, low]).checked_sub(1)?;
        match (network, kind) {
            (10, 0) if number == 0 => Some(Participant::Rig),
            (10, 1) => Some(Participant::Front(number)),
            (10, 2) => Some(Participant::Server(number)),
            (10, 3) if number == 0 => Some(Participant::Gateway),
            _ => None,
        }
    }
}

/// Returns the name of the front with this number.
pub fn front_name(front: usize) -> String {
    format!("f{front}.example")
}

/// Returns the domain name of the endpoints of the server with this number.
pub fn server_name(server: usize) -> String {
    format!("s{server}.line.example")
}
