//! The coordination with other fronts, under the host.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::mpsc::Sender;

use async_channel::Receiver;
use async_io::Async;
use ochrelead_core::time::Moment;

use super::ServeError;
use crate::engine::{Engine, TrafficShare};
use crate::promises::{Job, Promises};
use crate::together::{Duty, Together};

/// Datagrams that are received before the next round.
const DATAGRAMS_PER_ROUND: usize = 64;
/// Room for a datagram; none of another front is longer.
const MAX_DATAGRAM_BYTES: usize = 512;

/// What a node coordinates with other fronts by.
pub struct Peers {
    /// The coordination, without I/O.
    pub together: Together,
    /// Where the datagrams of other fronts arrive.
    pub listen: SocketAddr,
    /// Where a voter persists its state, if anywhere.
    pub promises: Option<Promises>,
}

/// The same with its socket, and the way to the disk.
pub(super) struct PeerHost {
    pub(super) together: Together,
    socket: Rc<Async<UdpSocket>>,
    writer: Option<Sender<Job>>,
}

impl PeerHost {
    /// Binds the socket; the receiver reports what has reached the disk.
    pub(super) fn bind(peers: Peers) -> Result<(PeerHost, Option<Receiver<u64>>), ServeError> {
        let Peers { together, listen, promises } = peers;
        let socket = Async::<UdpSocket>::bind(listen).map_err(|source| ServeError::Bind {
            purpose: "peers",
            address: listen,
            source,
        })?;
        let (writer, persisted) = promises.map(|promises| (promises.out, promises.written)).unzip();
        Ok((PeerHost { together, socket: Rc::new(socket), writer }, persisted))
    }

    pub(super) fn socket(&self) -> Rc<Async<UdpSocket>> {
        self.socket.clone()
    }

    /// Passes observations and actions between the engine and the coordination; when the next round is due.
    pub(super) fn process(&mut self, engine: &mut Engine, now: Moment) -> Option<Moment> {
        let together = &mut self.together;
        while let Some(token) = engine.poll_superseded_token() {
            together.outrun(now, &token.server, token.highest);
        }
        while let Some(observation) = engine.poll_observation() {
            together.met(now, observation);
        }
        together.turn(now);
        together.look(now, || (engine.server_activity(), engine.server_locations()));
        if let Some(shares) = together.shares(now) {
            let share = |(zone, share)| TrafficShare { zone, share };
            engine.set_traffic_shares(shares.into_iter().map(share).collect());
        }
        while let Some(duty) = together.duty() {
            match duty {
                Duty::Sound { server, number } => engine.send_health_check(&server, number),
                Duty::Vouched { server, at } => engine.on_heard_by_peer(&server, at),
            }
        }
        self.persist(now);
        self.send_datagrams();
        self.together.wake()
    }

    fn persist(&mut self, now: Moment) {
        let Some(writer) = &self.writer else { return };
        // The thread lives as long as its sender.
        if let Some((sequence, bytes)) = self.together.to_save() {
            let _ = writer.send(Job::Promises(sequence, bytes));
        }
        if let Some((status, counters)) = self.together.status(now) {
            let _ = writer.send(Job::Status { status, counters });
        }
    }

    fn send_datagrams(&mut self) {
        while let Some((address, bytes)) = self.together.next() {
            // What the socket does not take is lost, as any datagram may be.
            let _ = self.socket.get_ref().send_to(&bytes, address);
        }
    }

    pub(super) fn receive_datagrams(&mut self, now: Moment) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..DATAGRAMS_PER_ROUND {
            let Ok((length, from)) = self.socket.get_ref().recv_from(&mut bytes) else { break };
            self.together.take(now, from, &bytes[..length]);
        }
    }
}
