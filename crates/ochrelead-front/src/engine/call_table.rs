//! The sessions that a front holds, with an index for each kind of lookup.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::{Endpoint, TransactionId};
use slab::Slab;

/// Identifies a session uniquely. The index alone is reused by later sessions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SessionKey {
    pub(super) index: SessionIx,
    serial: u64,
}

/// An INVITE without a final response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Invite {
    pub(super) server: ServerIx,
    /// The address to which it was sent; the server's address may have changed since.
    pub(super) address: SocketAddr,
    pub(super) transaction: TransactionId,
    pub(super) sent: Moment,
    pub(super) times_out_at: Moment,
}

/// The far end of an established call.
#[derive(Clone, Debug)]
pub(super) struct Circuit {
    pub(super) server: ServerIx,
    /// The address of the server's process that holds the call.
    pub(super) address: SocketAddr,
    pub(super) endpoint: Endpoint,
    pub(super) connection: String,
    /// When the server's response was received.
    pub(super) established_at: Moment,
}

/// The phase of a session.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The session waits for a decision of the policy; no INVITE is open.
    Pending,
    /// An INVITE has been sent and has no final response.
    Inviting(Invite),
    /// The call is established.
    Established(Circuit),
    /// The caller has hung up, and the server has not yet responded to the release.
    Releasing,
}

/// One session.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) gateway: SocketAddr,
    pub(super) line: Endpoint,
    /// The connection id of the caller's side, as given by the gateway.
    pub(super) connection: Option<String>,
    /// The id of the caller's attempt.
    pub(super) attempt: String,
    pub(super) called_number: String,
    pub(super) requested_at: Moment,
    pub(super) deadline: Moment,
    invites: u32,
    /// The retransmissions that are left to all INVITEs of the session together.
    pub(super) remaining_repeats: u32,
    pub(super) phase: Phase,
    serial: u64,
}

impl Call {
    pub(super) fn new(
        gateway: SocketAddr,
        line: Endpoint,
        attempt: String,
        called_number: String,
        requested_at: Moment,
    ) -> Call {
        Call {
            gateway,
            line,
            connection: None,
            attempt,
            called_number,
            requested_at,
            deadline: requested_at,
            invites: 0,
            remaining_repeats: 0,
            phase: Phase::Pending,
            serial: 0,
        }
    }
}

/// All sessions.
#[derive(Default)]
pub(super) struct CallTable {
    calls: Slab<Call>,
    by_attempt: HashMap<String, SessionIx>,
    by_circuit: HashMap<Endpoint, SessionIx>,
    invite_timeouts: BTreeSet<(Moment, SessionIx)>,
    pending: BTreeSet<SessionIx>,
    inviting: BTreeSet<(ServerIx, SessionIx)>,
    established: BTreeSet<(ServerIx, SessionIx)>,
    last_serial: u64,
}

impl CallTable {
    pub(super) fn insert(&mut self, call: Call) -> SessionIx {
        self.last_serial += 1;
        let attempt = call.attempt.clone();
        let index = SessionIx::new(self.calls.insert(Call { serial: self.last_serial, ..call }));
        self.by_attempt.insert(attempt, index);
        self.pending.insert(index);
        index
    }

    pub(super) fn get(&self, index: SessionIx) -> Option<&Call> {
        self.calls.get(index.index())
    }

    pub(super) fn key(&self, index: SessionIx) -> SessionKey {
        SessionKey { index, serial: self.calls[index.index()].serial }
    }

    /// Whether the key's session is still held.
    pub(super) fn is_current(&self, key: SessionKey) -> bool {
        self.get(key.index).is_some_and(|call| call.serial == key.serial)
    }

    /// The session of a caller's attempt.
    pub(super) fn find(&self, attempt: &str) -> Option<SessionIx> {
        self.by_attempt.get(attempt).copied()
    }

    /// Subtracts the retransmissions of an ended INVITE from those that the session has left.
    pub(super) fn consume_repeats(&mut self, index: SessionIx, repeats: u32) {
        let call = &mut self.calls[index.index()];
        call.remaining_repeats = call.remaining_repeats.saturating_sub(repeats);
    }

    /// Counts an INVITE; returns the number of the session's INVITEs so far.
    pub(super) fn count_invite(&mut self, index: SessionIx) -> u32 {
        let call = &mut self.calls[index.index()];
        call.invites += 1;
        call.invites
    }

    /// Sets the phase of a session and updates all indices.
    pub(super) fn set_phase(&mut self, index: SessionIx, phase: Phase) {
        self.unindex_phase(index);
        match &phase {
            Phase::Pending => {
                self.pending.insert(index);
            }
            Phase::Inviting(invite) => {
                self.invite_timeouts.insert((invite.times_out_at, index));
                self.inviting.insert((invite.server, index));
            }
            Phase::Established(circuit) => {
                self.established.insert((circuit.server, index));
                self.by_circuit.insert(circuit.endpoint.clone(), index);
            }
            Phase::Releasing => {}
        }
        self.calls[index.index()].phase = phase;
    }

    fn unindex_phase(&mut self, index: SessionIx) {
        match &self.calls[index.index()].phase {
            Phase::Pending => {
                self.pending.remove(&index);
            }
            Phase::Inviting(invite) => {
                self.invite_timeouts.remove(&(invite.times_out_at, index));
                self.inviting.remove(&(invite.server, index));
            }
            Phase::Established(circuit) => {
                self.established.remove(&(circuit.server, index));
                // A later session may use the circuit by now.
                if self.by_circuit.get(&circuit.endpoint) == Some(&index) {
                    self.by_circuit.remove(&circuit.endpoint);
                }
            }
            Phase::Releasing => {}
        }
    }

    pub(super) fn remove(&mut self, index: SessionIx) -> Option<Call> {
        self.get(index)?;
        self.unindex_phase(index);
        let call = self.calls.remove(index.index());
        if self.by_attempt.get(&call.attempt) == Some(&index) {
            self.by_attempt.remove(&call.attempt);
        }
        Some(call)
    }

    /// The session whose INVITE timed out first, if any has.
    pub(super) fn next_timed_out(&self, now: Moment) -> Option<SessionIx> {
        self.invite_timeouts.first().filter(|(times_out_at, _)| *times_out_at <= now).map(|(_, index)| *index)
    }

    /// When the next INVITE times out.
    pub(super) fn poll_timeout(&self) -> Option<Moment> {
        self.invite_timeouts.first().map(|(times_out_at, _)| *times_out_at)
    }

    pub(super) fn inviting_at(&self, server: ServerIx) -> Vec<SessionIx> {
        sessions_at(&self.inviting, server)
    }

    pub(super) fn established_at(&self, server: ServerIx) -> Vec<SessionIx> {
        sessions_at(&self.established, server)
    }

    /// Whether a call is established on this circuit.
    pub(super) fn is_circuit_in_use(&self, circuit: &Endpoint) -> bool {
        self.by_circuit.contains_key(circuit)
    }

    /// Sessions without a final answer.
    pub(super) fn unanswered(&self) -> Vec<SessionIx> {
        let inviting = self.inviting.iter().map(|(_, index)| *index);
        self.pending.iter().copied().chain(inviting).collect()
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }
}

fn sessions_at(table: &BTreeSet<(ServerIx, SessionIx)>, server: ServerIx) -> Vec<SessionIx> {
    let range = (server, SessionIx::new(0))..=(server, SessionIx::new(u32::MAX as usize));
    table.range(range).map(|(_, index)| *index).collect()
}
