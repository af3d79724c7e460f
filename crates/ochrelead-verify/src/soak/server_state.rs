//! What an emulated signalling server has: its connections, INVITEs and calls, and how it behaves.

use std::collections::HashMap;
use std::net::TcpStream;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::history::CallNumber;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It answers within some milliseconds.
    Healthy,
    /// It reads and never answers.
    Hanging,
    /// It neither answers nor takes connections; those that are open stay open. What is sent on them is still recorded.
    /// Connections that wait to be taken when it returns are lost.
    Vanished,
    /// Every connection is closed as soon as an INVITE has arrived.
    Closing,
    /// Every connection is reset as soon as an INVITE has arrived.
    Resetting,
    /// Some answers are spoilt, come twice, in pieces, late or not at all.
    Spoiling,
    /// It answers after up to a second.
    Slow,
    /// It takes connections late.
    AcceptingLate,
    /// It has forgotten the connections that were idle when this began, and takes new ones: what is sent on the former is
    /// neither read nor answered.
    Forgetful,
}

/// A call that a server has set up.
#[derive(Clone)]
pub(super) struct Established {
    pub(super) call: CallNumber,
    pub(super) call_id: String,
    pub(super) node: usize,
    /// The connection of its set-up.
    pub(super) connection: u64,
}

/// A time in which a connection was open and not read.
#[derive(Clone, Copy)]
pub(super) struct ReadDelay {
    pub(super) from: Duration,
    pub(super) until: Duration,
}

pub(super) struct Connection {
    pub(super) node: usize,
    pub(super) read_delay: ReadDelay,
    pub(super) stream: TcpStream,
}

pub(super) struct State {
    pub(super) behaviour: Behaviour,
    pub(super) is_stopped: bool,
    /// Open connections, by number.
    pub(super) connections: HashMap<u64, Connection>,
    pub(super) last_connection: u64,
    /// Connections that stay open and are not read any more.
    pub(super) forgotten: HashMap<u64, Connection>,
    /// INVITEs without an end, by call and sequence number, with their connections.
    pub(super) open_invites: HashMap<(CallNumber, u32), u64>,
    pub(super) established: HashMap<CallNumber, Established>,
    /// Releases that their nodes have not confirmed; they are sent again on the next connection.
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

    /// Idle connections stay open and are not read any more.
    pub(super) fn forget_idle(&mut self) {
        let in_use: Vec<u64> = self.open_invites.values().copied().collect();
        let (kept, idle) = std::mem::take(&mut self.connections)
            .into_iter()
            .partition::<HashMap<_, _>, _>(|(number, _)| in_use.contains(number));
        self.connections = kept;
        self.forgotten.extend(idle);
    }
}
