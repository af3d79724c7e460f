//! The state of an emulated signalling server: its behaviour, connections, INVITEs and calls.

use std::collections::HashMap;
use std::net::TcpStream;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::history::CallNumber;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers within a few milliseconds.
    Healthy,
    /// Reads but never answers INVITEs.
    Hanging,
    /// Neither answers INVITEs nor accepts connections. Open connections stay open, and what arrives on them is still
    /// recorded. Connections that wait to be accepted when this ends are closed.
    Vanished,
    /// Closes a connection as soon as an INVITE has arrived on it.
    Closing,
    /// Resets a connection as soon as an INVITE has arrived on it.
    Resetting,
    /// Some answers are malformed, truncated, repeated, sent in pieces, or missing.
    Spoiling,
    /// Answers after up to a second.
    Slow,
    /// Serves connections late.
    AcceptingLate,
    /// Ignores requests on connections that were idle when this began, and serves new connections.
    Forgetful,
}

/// An established call.
#[derive(Clone)]
pub(super) struct Established {
    pub(super) call: CallNumber,
    pub(super) call_id: String,
    pub(super) node: usize,
    /// The connection of its set-up.
    pub(super) connection: u64,
}

/// A period in which a connection was possibly open but not read.
#[derive(Clone, Copy)]
pub(super) struct ReadDelay {
    pub(super) from: Duration,
    pub(super) until: Duration,
}

/// A connection from a node.
pub(super) struct Connection {
    pub(super) node: usize,
    pub(super) read_delay: ReadDelay,
    pub(super) stream: TcpStream,
}

/// The state that a server's threads share.
pub(super) struct State {
    pub(super) behaviour: Behaviour,
    pub(super) is_stopped: bool,
    /// Open connections, by number.
    pub(super) connections: HashMap<u64, Connection>,
    pub(super) last_connection: u64,
    /// Connections that stay open but whose requests are ignored.
    pub(super) forgotten: HashMap<u64, Connection>,
    /// INVITEs in progress, by call and sequence number, with the number of their connection.
    pub(super) open_invites: HashMap<(CallNumber, u32), u64>,
    pub(super) established: HashMap<CallNumber, Established>,
    /// Released calls whose nodes have not confirmed the BYE; it is repeated on the node's next connection.
    pub(super) unconfirmed_releases: Vec<Established>,
    pub(super) rng: Pcg64Mcg,
}

impl State {
    pub(super) fn new(seed: u64) -> State {
        State {
            behaviour: Behaviour::Healthy,
            is_stopped: false,
            connections: HashMap::new(),
            last_connection: 0,
            forgotten: HashMap::new(),
            open_invites: HashMap::new(),
            established: HashMap::new(),
            unconfirmed_releases: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Moves idle connections to [`State::forgotten`].
    pub(super) fn forget_idle(&mut self) {
        let in_use: Vec<u64> = self.open_invites.values().copied().collect();
        let (kept, idle) = std::mem::take(&mut self.connections)
            .into_iter()
            .partition::<HashMap<_, _>, _>(|(number, _)| in_use.contains(number));
        self.connections = kept;
        self.forgotten.extend(idle);
    }
}
