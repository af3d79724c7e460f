//! The calls that a node holds; it only keeps them.

use std::collections::{BTreeSet, HashMap};

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_platform::caller_messages::CallId;
use slab::Slab;

use crate::callers::CallerId;
use crate::roster::LinkId;

/// The INVITE that is out, or waits for a connection to leave on.
#[derive(Clone, Copy, Debug)]
pub struct Invite {
    pub server: ServerIx,
    /// None where it waits for one.
    pub link: Option<LinkId>,
    /// When the module asked for it.
    pub asked: Moment,
    pub until: Moment,
}

#[derive(Clone, Copy, Debug)]
pub enum Phase {
    /// The module has it; no INVITE is out.
    Waiting,
    Inviting(Invite),
    Standing {
        server: ServerIx,
        link: Option<LinkId>,
        since: Moment,
    },
}

/// One call.
#[derive(Debug)]
pub struct Call {
    pub id: CallId,
    pub caller: CallerId,
    pub class: usize,
    /// What is needed for another INVITE; nothing once the call stands.
    pub number: String,
    pub description: String,
    pub deadline: Moment,
    /// How many INVITEs it had.
    pub invites: u32,
    pub phase: Phase,
}

#[derive(Default)]
pub struct Book {
    calls: Slab<Call>,
    ids: HashMap<CallId, SessionIx>,
    /// When INVITEs are given up.
    limits: BTreeSet<(Moment, SessionIx)>,
    standing: BTreeSet<(ServerIx, SessionIx)>,
    /// Bytes of descriptions that are held.
    described: usize,
    unanswered: usize,
}

impl Book {
    pub fn enter(&mut self, call: Call) -> SessionIx {
        let (id, phase) = (call.id, call.phase);
        self.described += call.description.len();
        let index = SessionIx::new(self.calls.insert(call));
        self.ids.insert(id, index);
        self.unanswered += 1;
        self.put(index, Phase::Waiting, phase);
        index
    }

    pub fn get(&self, index: SessionIx) -> Option<&Call> {
        self.calls.get(index.index())
    }

    pub fn find(&self, id: CallId) -> Option<SessionIx> {
        self.ids.get(&id).copied()
    }

    pub fn len(&self) -> usize {
        self.calls.len()
    }

    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Calls whose callers wait for an answer.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    pub fn described(&self) -> usize {
        self.described
    }

    /// Moves a call on; what its new phase does not need is let go.
    pub fn advance(&mut self, index: SessionIx, phase: Phase) {
        let Some(call) = self.calls.get_mut(index.index()) else { return };
        let former = std::mem::replace(&mut call.phase, phase);
        match phase {
            Phase::Inviting(_) => call.invites += u32::from(!matches!(former, Phase::Inviting(_))),
            Phase::Standing { .. } => {
                self.described -= call.description.len();
                (call.number, call.description) = (String::new(), String::new());
            }
            Phase::Waiting => {}
        }
        self.put(index, former, phase);
    }

    fn put(&mut self, index: SessionIx, former: Phase, phase: Phase) {
        match former {
            Phase::Inviting(invite) => _ = self.limits.remove(&(invite.until, index)),
            Phase::Standing { server, .. } => _ = self.standing.remove(&(server, index)),
            Phase::Waiting => {}
        }
        match phase {
            Phase::Inviting(invite) => _ = self.limits.insert((invite.until, index)),
            Phase::Standing { server, .. } => {
                self.standing.insert((server, index));
                if !matches!(former, Phase::Standing { .. }) {
                    self.unanswered -= 1;
                }
            }
            Phase::Waiting => {}
        }
    }

    pub fn leave(&mut self, index: SessionIx) -> Option<Call> {
        let call = self.calls.try_remove(index.index())?;
        self.ids.remove(&call.id);
        self.described -= call.description.len();
        match call.phase {
            Phase::Inviting(invite) => _ = self.limits.remove(&(invite.until, index)),
            Phase::Standing { server, .. } => _ = self.standing.remove(&(server, index)),
            Phase::Waiting => {}
        }
        if !matches!(call.phase, Phase::Standing { .. }) {
            self.unanswered -= 1;
        }
        Some(call)
    }

    /// The next INVITE whose time is up.
    pub fn timed_out(&self, now: Moment) -> Option<SessionIx> {
        self.limits.first().filter(|(until, _)| *until <= now).map(|(_, index)| *index)
    }

    pub fn wake(&self) -> Option<Moment> {
        self.limits.first().map(|(until, _)| *until)
    }

    /// The calls that stand at a server.
    pub fn standing_at(&self, server: ServerIx) -> Vec<SessionIx> {
        let range = (server, SessionIx::new(0))..=(server, SessionIx::new(u32::MAX as usize));
        self.standing.range(range).map(|(_, index)| *index).collect()
    }

    pub fn any_standing_at(&self, server: ServerIx) -> bool {
        let range = (server, SessionIx::new(0))..=(server, SessionIx::new(u32::MAX as usize));
        self.standing.range(range).next().is_some()
    }
}
