//! Stand-ins for what a front meets: signalling servers with one processor line each ([`server`]), all callers
//! behind one gateway ([`callers`]), and the network between ([`network`]). Like the front they are engines:
//! datagrams and clock in, datagrams out, [`Peer::wake`] says when to come again. Their figures are models.

pub mod callers;
pub mod network;
pub mod server;

use std::net::SocketAddr;

use ochrelead_core::time::Moment;

/// What a host of a stand-in calls.
pub trait Peer {
    /// A datagram has come.
    fn take(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]);
    /// Does what is due now.
    fn turn(&mut self, now: Moment);
    fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)>;
    fn wake(&self) -> Option<Moment>;
}
