//! The I/O of the coordination with other fronts: its datagram socket and the thread that persists its state.

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

/// The maximum number of datagrams received before the run loop's next iteration.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;
/// The size of the receive buffer. No front sends a longer datagram.
const MAX_DATAGRAM_BYTES: usize = 512;

/// The configuration of a node's coordination with other fronts.
pub struct Peers {
    /// The coordination, without I/O.
    pub coordination: FleetCoordination,
    /// The address on which datagrams of other fronts are received.
    pub listen: SocketAddr,
    /// The writer thread that persists a voter's state, if one is configured.
    pub persistence: Option<PersistenceWriter>,
}

/// The coordination with its bound socket and the channel to the writer thread.
pub(super) struct PeerHost {
    pub(super) coordination: FleetCoordination,
    socket: Rc<Async<UdpSocket>>,
    writer: Option<Sender<WriteJob>>,
}

impl PeerHost {
    /// Binds the socket. The receiver reports the sequence numbers of the states that are on disk.
    pub(super) fn bind(peers: Peers) -> Result<(PeerHost, Option<Receiver<u64>>), ServeError> {
        let Peers { coordination, listen, persistence } = peers;
        let socket = Async::<UdpSocket>::bind(listen).map_err(|source| ServeError::Bind {
            purpose: "peer datagram",
            address: listen,
            source,
        })?;
        let (writer, persisted) = persistence.map(|writer| (writer.jobs, writer.persisted)).unzip();
        Ok((PeerHost { coordination, socket: Rc::new(socket), writer }, persisted))
    }

    pub(super) fn socket(&self) -> Rc<Async<UdpSocket>> {
        self.socket.clone()
    }

    /// Passes observations and actions between the engine and the coordination, then persists and sends what is due.
    /// Returns when the coordination must be processed next.
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
        // The thread runs until its sender is dropped, so sending can't fail.
        if let Some(state) = self.coordination.poll_voter_state() {
            let _ = writer.send(WriteJob::VoterState(state));
        }
        if let Some(report) = self.coordination.poll_status(now) {
            let _ = writer.send(WriteJob::Status(report));
        }
    }

    fn send_datagrams(&mut self) {
        while let Some(datagram) = self.coordination.poll_output() {
            // A datagram that the socket does not accept is lost; the protocol tolerates lost datagrams.
            let _ = self.socket.get_ref().send_to(&datagram.bytes, datagram.destination);
        }
    }

    pub(super) fn receive_datagrams(&mut self, now: Moment) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let Ok((length, from)) = self.socket.get_ref().recv_from(&mut bytes) else { break };
            self.coordination.handle_input(now, from, &bytes[..length]);
        }
    }
}
