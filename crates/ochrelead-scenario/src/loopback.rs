//! The loopback addresses of the processes and the relay of a running scenario.

use std::net::{Ipv4Addr, SocketAddrV4};

use crate::participant::Participant;

/// The size in bytes of a buffer that holds any UDP datagram.
pub(crate) const MAX_DATAGRAM: usize = 65_536;

/// The port on which each process listens.
const PROCESS_PORT: u16 = 2427;
/// The lowest port of the relay.
const FIRST_RELAY_PORT: u16 = 20_000;

/// The loopback addresses of one run. The network depends on the process id and the run's number, so that concurrent
/// runs do not share addresses.
#[derive(Clone, Copy, Debug)]
pub struct LoopbackNetwork {
    /// The second and third octet of all addresses.
    octets: (u8, u8),
}

impl LoopbackNetwork {
    /// Returns the network of the run with this number in this process.
    pub fn new(run: u8) -> LoopbackNetwork {
        let pid = std::process::id();
        LoopbackNetwork { octets: ((pid % 199 + 20) as u8, (pid / 199 % 50) as u8 * 5 + run % 5) }
    }

    /// Returns the address on which a participant's process listens.
    pub fn listen_address(&self, participant: Participant) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(participant), PROCESS_PORT)
    }

    /// Returns the relay's address at which `peer` reaches `participant`.
    pub fn relay_address(&self, participant: Participant, peer: Participant) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(participant), FIRST_RELAY_PORT + u16::from(host_octet(peer)))
    }

    fn ip(&self, participant: Participant) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octets.0, self.octets.1, host_octet(participant))
    }
}

/// The last octet of a participant's address.
fn host_octet(participant: Participant) -> u8 {
    match participant {
        Participant::Front(front) => (front % 200 + 1) as u8,
        Participant::Server(server) => (server % 45 + 202) as u8,
        Participant::Gateway => 250,
        Participant::Rig => 251,
    }
}
