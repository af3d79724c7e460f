//! Emulated peers of a front: signalling servers with one processor each ([`server`]), all callers behind one gateway
//! ([`callers`]), and the network between ([`network`]).
//!
//! Like the front they are engines without I/O: datagrams and clock in, datagrams out. [`Peer::poll_timeout`] says when
//! to call again. Their figures are models, set by the scenario.

pub mod callers;
pub mod network;
pub mod server;

use std::net::SocketAddr;

use ochrelead_core::time::Moment;

/// The first transaction ids of a peer are drawn from its start time, below this bound.
const FIRST_TRANSACTION_RANGE: u64 = 900_000_000;

/// An emulated peer, as its host calls it.
pub trait Peer {
    /// Handles a datagram that was received.
    fn handle_datagram(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]);
    /// Does what is due.
    fn process(&mut self, now: Moment);
    /// The next datagram to send, and its destination.
    fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)>;
    /// When [`Peer::process`] is due although nothing was received.
    fn poll_timeout(&self) -> Option<Moment>;
}

/// Where the transaction ids of a peer begin that starts now: processes that start one after the other do not share ids.
fn first_transaction(now: Moment) -> u32 {
    (now.micros() % FIRST_TRANSACTION_RANGE) as u32
}
