//! The sessions that a front holds; it only keeps them.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::{Endpoint, TransactionId};
use slab::Slab;

/// A session as long as it is held; its index alone may be another's later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionKey {
    pub index: SessionIx,
    serial: u64,
}

/// The INVITE that is out.
#[derive(Clone, Copy, Debug)]
pub struct Invite {
    pub server: ServerIx,
    /// Where it was sent; the server may have moved since.
    pub address: SocketAddr,
    pub transaction: TransactionId,
    pub sent: Moment,
    pub times_out_at: Moment,
}

/// The far end of a call that stands.
#[derive(Clone, Debug)]
pub struct Circuit {
    pub server: ServerIx,
    /// Where the process is that has it.
    pub address: SocketAddr,
    pub endpoint: Endpoint,
    pub connection: String,
    /// When the server's word on it came.
    pub established_at: Moment,
}

#[derive(Clone, Debug)]
pub enum Phase {
    /// The module has it; no INVITE is out.
    Pending,
    Inviting(Invite),
    Established(Circuit),
    /// The caller has gone; the server's word on the release is still to come.
    Releasing,
}

/// One session.
#[derive(Debug)]
pub struct Call {
    pub gateway: SocketAddr,
    pub line: Endpoint,
    /// The caller's half of the call, as its gateway named it.
    pub connection: Option<String>,
    pub attempt: String,
    pub called_number: String,
    pub requested_at: Moment,
    pub deadline: Moment,
    pub invites: u32,
    /// How many repeats all its INVITEs together may still see.
    pub remaining_repeats: u32,
    pub phase: Phase,
    serial: u64,
}

impl Call {
    pub fn new(gateway: SocketAddr, line: Endpoint, tried: String, called: String, taken: Moment) -> Call {
        Call {
            gateway,
            line,
            connection: None,
            attempt: tried,
            called_number: called,
            requested_at: taken,
            deadline: taken,
            invites: 0,
            remaining_repeats: 0,
            phase: Phase::Pending,
            serial: 0,
        }
    }
}

#[derive(Default)]
pub struct CallTable {
    calls: Slab<Call>,
    tries: HashMap<String, SessionIx>,
    limits: BTreeSet<(Moment, SessionIx)>,
    inviting: BTreeSet<(ServerIx, SessionIx)>,
    standing: BTreeSet<(ServerIx, SessionIx)>,
    circuits: HashMap<Endpoint, SessionIx>,
    waiting: BTreeSet<SessionIx>,
    serial: u64,
}

impl CallTable {
    pub fn insert(&mut self, call: Call) -> SessionIx {
        self.serial += 1;
        let tried = call.attempt.clone();
        let index = SessionIx::new(self.calls.insert(Call { serial: self.serial, ..call }));
        self.tries.insert(tried, index);
        self.waiting.insert(index);
        index
    }

    pub fn get(&self, index: SessionIx) -> Option<&Call> {
        self.calls.get(index.index())
    }

    pub fn key(&self, index: SessionIx) -> SessionKey {
        SessionKey { index, serial: self.calls[index.index()].serial }
    }

    /// Whether the session is still held.
    pub fn is_current(&self, session: SessionKey) -> bool {
        self.get(session.index).is_some_and(|call| call.serial == session.serial)
    }

    pub fn find(&self, tried: &str) -> Option<SessionIx> {
        self.tries.get(tried).copied()
    }

    /// An INVITE that was out has seen so many repeats at the most.
    pub fn count_repeats(&mut self, index: SessionIx, repeats: u32) {
        let call = &mut self.calls[index.index()];
        call.remaining_repeats = call.remaining_repeats.saturating_sub(repeats);
    }

    pub fn count_invite(&mut self, index: SessionIx) -> u32 {
        let call = &mut self.calls[index.index()];
        call.invites += 1;
        call.invites
    }

    /// Puts a session into its next phase and keeps all tables in step.
    pub fn set_phase(&mut self, index: SessionIx, phase: Phase) -> Phase {
        self.leave_phase(index);
        match &phase {
            Phase::Pending => {
                self.waiting.insert(index);
            }
            Phase::Inviting(invite) => {
                self.limits.insert((invite.times_out_at, index));
                self.inviting.insert((invite.server, index));
            }
            Phase::Established(circuit) => {
                self.standing.insert((circuit.server, index));
                self.circuits.insert(circuit.endpoint.clone(), index);
            }
            Phase::Releasing => {}
        }
        std::mem::replace(&mut self.calls[index.index()].phase, phase)
    }

    fn leave_phase(&mut self, index: SessionIx) {
        match &self.calls[index.index()].phase {
            Phase::Pending => {
                self.waiting.remove(&index);
            }
            Phase::Inviting(invite) => {
                self.limits.remove(&(invite.times_out_at, index));
                self.inviting.remove(&(invite.server, index));
            }
            Phase::Established(circuit) => {
                self.standing.remove(&(circuit.server, index));
                // The circuit may be another session's by now.
                if self.circuits.get(&circuit.endpoint) == Some(&index) {
                    self.circuits.remove(&circuit.endpoint);
                }
            }
            Phase::Releasing => {}
        }
    }

    pub fn remove(&mut self, index: SessionIx) -> Option<Call> {
        self.get(index)?;
        self.leave_phase(index);
        let call = self.calls.remove(index.index());
        if self.tries.get(&call.attempt) == Some(&index) {
            self.tries.remove(&call.attempt);
        }
        Some(call)
    }

    /// A session whose INVITE has waited as long as it may.
    pub fn next_timed_out(&self, now: Moment) -> Option<SessionIx> {
        self.limits.first().filter(|(until, _)| *until <= now).map(|(_, index)| *index)
    }

    pub fn poll_timeout(&self) -> Option<Moment> {
        self.limits.first().map(|(until, _)| *until)
    }

    pub fn inviting_at(&self, server: ServerIx) -> Vec<SessionIx> {
        at(&self.inviting, server)
    }

    pub fn established_at(&self, server: ServerIx) -> Vec<SessionIx> {
        at(&self.standing, server)
    }

    /// Whether a call stands on this circuit.
    pub fn is_circuit_in_use(&self, circuit: &Endpoint) -> bool {
        self.circuits.contains_key(circuit)
    }

    /// Sessions without a final answer.
    pub fn unanswered(&self) -> Vec<SessionIx> {
        self.waiting.iter().copied().chain(self.inviting.iter().map(|(_, index)| *index)).collect()
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }
}

fn at(table: &BTreeSet<(ServerIx, SessionIx)>, server: ServerIx) -> Vec<SessionIx> {
    let span = (server, SessionIx::new(0))..=(server, SessionIx::new(u32::MAX as usize));
    table.range(span).map(|(_, index)| *index).collect()
}
