//! The coordination with other fronts, under the host.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::mpsc::Sender;

use async_channel::Receiver;
use async_io::Async;
use ochrelead_core::time::Moment;

use super::ServeError;
use crate::coordination::{FleetAction, FleetCoordination};
use crate::engine::Engine;
use crate::persistence::{PersistenceWriter, WriteJob};

/// Datagrams that are received before the next round.
const DATAGRAMS_PER_ROUND: usize = 64;
/// Room for a datagram; none of another front is longer.
const MAX_DATAGRAM_BYTES: usize = 512;

/// What a node coordinates with other fronts by.
pub struct Peers {
    /// The coordination, without I/O.
    pub coordination: FleetCoordination,
    /// Where the datagrams of other fronts arrive.
    pub listen: SocketAddr,
    /// Where a voter persists its state, if anywhere.
    pub persistence: Option<PersistenceWriter>,
}

/// The same with its socket, and the way to the disk.
pub(super) struct PeerHost {
    pub(super) coordination: FleetCoordination,
    socket: Rc<Async<UdpSocket>>,
    writer: Option<Sender<WriteJob>>,
}

impl PeerHost {
    /// Binds the socket; the receiver reports what has reached the disk.
    pub(super) fn bind(peers: Peers) -> Result<(PeerHost, Option<Receiver<u64>>), ServeError> {
        let Peers { coordination, listen, persistence } = peers;
        let socket = Async::<UdpSocket>::bind(listen).map_err(|source| ServeError::Bind {
            purpose: "peers",
            address: listen,
            source,
        })?;
        let (writer, persisted) = persistence.map(|writer| (writer.jobs, writer.persisted)).unzip();
        Ok((PeerHost { coordination, socket: Rc::new(socket), writer }, persisted))
    }

    pub(super) fn socket(&self) -> Rc<Async<UdpSocket>> {
        self.socket.clone()
    }

    /// Passes observations and actions between the engine and the coordination; when the next round is due.
    pub(super) fn process(&mut self, engine: &mut Engine, now: Moment) -> Option<Moment> {
        let coordination = &mut self.coordination;
        while let Some(token) = engine.poll_superseded_token() {
            coordination.on_fenced(now, &token.server, token.highest);
        }
        while let Some(observation) = engine.poll_observation() {
            coordination.on_observation(now, observation);
        }
        coordination.process(now);
        coordination.update_servers(now, || engine.server_report());
        if let Some(shares) = coordination.poll_traffic_shares(now) {
            engine.set_traffic_shares(shares);
        }
        while let Some(action) = coordination.poll_action() {
            match action {
                FleetAction::CheckHealth { server, token } => engine.send_health_check(&server, token),
                FleetAction::NoteHeardByPeer { server, heard_at } => {
                    engine.on_heard_by_peer(&server, heard_at);
                }
            }
        }
        self.persist(now);
        self.send_datagrams();
        self.coordination.poll_timeout()
    }

    fn persist(&mut self, now: Moment) {
        let Some(writer) = &self.writer else { return };
        // The thread lives as long as its sender.
        if let Some(state) = self.coordination.poll_voter_state() {
            let _ = writer.send(WriteJob::VoterState(state));
        }
        if let Some(report) = self.coordination.poll_status(now) {
            let _ = writer.send(WriteJob::Status(report));
        }
    }

    fn send_datagrams(&mut self) {
        while let Some(datagram) = self.coordination.poll_output() {
            // What the socket does not take is lost, as any datagram may be.
            let _ = self.socket.get_ref().send_to(&datagram.bytes, datagram.destination);
        }
    }

    pub(super) fn receive_datagrams(&mut self, now: Moment) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..DATAGRAMS_PER_ROUND {
            let Ok((length, from)) = self.socket.get_ref().recv_from(&mut bytes) else { break };
            self.coordination.handle_input(now, from, &bytes[..length]);
        }
    }
}
