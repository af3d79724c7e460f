//! Emulated peers of a front: signalling servers with one processor each ([`server`]), all callers behind one gateway
//! ([`callers`]), and the network that connects them with the fronts ([`network`]).
//!
//! The peers do no I/O: the host passes in received datagrams and the current time, and polls datagrams to send.
//! [`Peer::poll_timeout`] returns when the host must call [`Peer::process`] next. Capacities, delays and rates are
//! model parameters of the scenario.

pub mod callers;
pub mod network;
pub mod server;

use std::net::SocketAddr;

use ochrelead_core::time::Moment;

/// The first transaction id of a peer is its start time in microseconds modulo this value.
const FIRST_TRANSACTION_RANGE: u64 = 900_000_000;

/// The interface of an emulated peer towards its host.
pub trait Peer {
    /// Handles a received datagram.
    fn handle_datagram(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]);
    /// Performs all actions that are due at `now`.
    fn process(&mut self, now: Moment);
    /// Takes the next datagram to send, with its destination.
    fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)>;
    /// Returns when [`Peer::process`] must be called next if no datagram arrives before.
    fn poll_timeout(&self) -> Option<Moment>;
}

/// Derives the initial transaction id of a peer from its start time, so that a restarted process does not reuse the ids
/// of its previous incarnation.
fn first_transaction(now: Moment) -> u32 {
    (now.micros() % FIRST_TRANSACTION_RANGE) as u32
}
