//! The table of a node's calls, indexed by session, call id, INVITE deadline and server. It holds state only; the
//! engine sends the messages.

use std::collections::{BTreeSet, HashMap};

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_platform::caller_messages::CallId;
use slab::Slab;

use crate::io::{CallerId, ServerConnectionId};

/// An INVITE that was sent or waits for a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Invite {
    pub(crate) server: ServerIx,
    /// The connection it was sent on; `None` while it waits for one.
    pub(crate) connection: Option<ServerConnectionId>,
    /// When the controller decided to send it.
    pub(crate) requested_at: Moment,
    /// When it was sent; while it waits for a connection, when the controller decided to send it.
    pub(crate) sent_at: Moment,
    /// When it times out.
    pub(crate) expires_at: Moment,
}

/// The progress of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Phase {
    /// The controller has not decided yet; no INVITE is in flight.
    Waiting,
    /// An INVITE is in flight, or waits for a connection.
    Inviting(Invite),
    /// The server accepted the call.
    Established {
        server: ServerIx,
        /// The connection of the set-up; `None` if another front or a former incarnation set the call up.
        connection: Option<ServerConnectionId>,
        /// The earliest time at which the server may have established the call.
        since: Moment,
    },
}

/// One call.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) id: CallId,
    pub(crate) caller: CallerId,
    /// The index of its service class.
    pub(crate) class: usize,
    /// The called number for further INVITEs; empty once the call is established.
    pub(crate) called_number: String,
    /// The session description for further INVITEs; empty once the call is established.
    pub(crate) description: String,
    pub(crate) deadline: Moment,
    /// The number of INVITEs so far, which is the sequence number of the last one.
    pub(crate) invite_count: u32,
    pub(crate) phase: Phase,
}

/// The places that the calls of one caller's connection take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CallerUsage {
    /// Calls, including established ones.
    pub(crate) calls: usize,
    /// The total length of the session descriptions in bytes.
    pub(crate) description_bytes: usize,
}

/// All calls.
#[derive(Default)]
pub(crate) struct CallTable {
    calls: Slab<Call>,
    sessions: HashMap<CallId, SessionIx>,
    invite_deadlines: BTreeSet<(Moment, SessionIx)>,
    established: BTreeSet<(ServerIx, SessionIx)>,
    /// The places of each caller's connection; they outlast the connection.
    by_caller: HashMap<CallerId, CallerUsage>,
    description_bytes: usize,
    unanswered: usize,
}

impl CallTable {
    pub(crate) fn insert(&mut self, call: Call) -> SessionIx {
        let (id, phase) = (call.id, call.phase);
        self.description_bytes += call.description.len();
        self.add_usage(call.caller, call.description.len());
        let session = SessionIx::new(self.calls.insert(call));
        self.sessions.insert(id, session);
        self.unanswered += 1;
        self.index_phase(session, Phase::Waiting, phase);
        session
    }

    pub(crate) fn get(&self, session: SessionIx) -> Option<&Call> {
        self.calls.get(session.index())
    }

    pub(crate) fn phase(&self, session: SessionIx) -> Option<Phase> {
        self.get(session).map(|call| call.phase)
    }

    pub(crate) fn find(&self, id: CallId) -> Option<SessionIx> {
        self.sessions.get(&id).copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// The number of calls whose callers have not been answered yet.
    pub(crate) fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// The calls whose callers have not been answered yet.
    pub(crate) fn unanswered_sessions(&self) -> impl Iterator<Item = SessionIx> + '_ {
        let is_unanswered = |call: &Call| !matches!(call.phase, Phase::Established { .. });
        self.calls.iter().filter(move |(_, call)| is_unanswered(call)).map(|(index, _)| SessionIx::new(index))
    }

    /// The total length of the session descriptions in bytes.
    pub(crate) fn description_bytes(&self) -> usize {
        self.description_bytes
    }

    /// The places that the calls of a caller's connection take.
    pub(crate) fn usage(&self, caller: CallerId) -> CallerUsage {
        self.by_caller.get(&caller).copied().unwrap_or_default()
    }

    fn add_usage(&mut self, caller: CallerId, description_bytes: usize) {
        let usage = self.by_caller.entry(caller).or_default();
        usage.calls += 1;
        usage.description_bytes += description_bytes;
    }

    fn remove_usage(&mut self, caller: CallerId, description_bytes: usize) {
        let Some(usage) = self.by_caller.get_mut(&caller) else { return };
        usage.calls -= 1;
        usage.description_bytes -= description_bytes;
        if usage.calls == 0 {
            self.by_caller.remove(&caller);
        }
    }

    /// Assigns a call to another connection.
    pub(crate) fn set_caller(&mut self, session: SessionIx, caller: CallerId) {
        let Some(call) = self.calls.get_mut(session.index()) else { return };
        let description_bytes = call.description.len();
        let former = std::mem::replace(&mut call.caller, caller);
        self.remove_usage(former, description_bytes);
        self.add_usage(caller, description_bytes);
    }

    /// Sets the phase of a call and updates the indexes. Frees the call's texts once it is established.
    pub(crate) fn set_phase(&mut self, session: SessionIx, phase: Phase) {
        let Some(call) = self.calls.get_mut(session.index()) else { return };
        let former = std::mem::replace(&mut call.phase, phase);
        match phase {
            Phase::Inviting(_) => call.invite_count += u32::from(!matches!(former, Phase::Inviting(_))),
            Phase::Established { .. } => {
                self.description_bytes -= call.description.len();
                if let Some(usage) = self.by_caller.get_mut(&call.caller) {
                    usage.description_bytes -= call.description.len();
                }
                call.called_number = String::new();
                call.description = String::new();
            }
            Phase::Waiting => {}
        }
        self.index_phase(session, former, phase);
    }

    fn index_phase(&mut self, session: SessionIx, former: Phase, phase: Phase) {
        self.unindex_phase(session, former);
        match phase {
            Phase::Inviting(invite) => _ = self.invite_deadlines.insert((invite.expires_at, session)),
            Phase::Established { server, .. } => {
                self.established.insert((server, session));
                if !matches!(former, Phase::Established { .. }) {
                    self.unanswered -= 1;
                }
            }
            Phase::Waiting => {}
        }
    }

    fn unindex_phase(&mut self, session: SessionIx, phase: Phase) {
        match phase {
            Phase::Inviting(invite) => _ = self.invite_deadlines.remove(&(invite.expires_at, session)),
            Phase::Established { server, .. } => _ = self.established.remove(&(server, session)),
            Phase::Waiting => {}
        }
    }

    pub(crate) fn remove(&mut self, session: SessionIx) -> Option<Call> {
        let call = self.calls.try_remove(session.index())?;
        self.sessions.remove(&call.id);
        self.description_bytes -= call.description.len();
        self.remove_usage(call.caller, call.description.len());
        self.unindex_phase(session, call.phase);
        if !matches!(call.phase, Phase::Established { .. }) {
            self.unanswered -= 1;
        }
        Some(call)
    }

    /// The call whose INVITE has the earliest deadline, if that has passed.
    pub(crate) fn next_expired(&self, now: Moment) -> Option<SessionIx> {
        let (expires_at, session) = self.invite_deadlines.first()?;
        (*expires_at <= now).then_some(*session)
    }

    /// The earliest deadline of an INVITE.
    pub(crate) fn poll_timeout(&self) -> Option<Moment> {
        self.invite_deadlines.first().map(|(expires_at, _)| *expires_at)
    }

    /// The established calls of a server.
    pub(crate) fn established_at(&self, server: ServerIx) -> impl Iterator<Item = SessionIx> + '_ {
        let range = (server, SessionIx::new(0))..=(server, SessionIx::new(u32::MAX as usize));
        self.established.range(range).map(|(_, session)| *session)
    }

    pub(crate) fn has_established_at(&self, server: ServerIx) -> bool {
        self.established_at(server).next().is_some()
    }
}
