//! Where the wire's ids become small indices, and indices ids again.

use std::collections::HashMap;

use ochrelead_core::index::{CalledNumberIx, ServerIx, SessionIx};
use slab::Slab;

/// A session as the wire knows it.
pub struct Caller {
    pub id: String,
    /// INVITEs whose outcome is still to come.
    pub open: u64,
    pub answered: bool,
}

#[derive(Default)]
pub struct Door {
    sessions: HashMap<String, SessionIx>,
    callers: Slab<Caller>,
    servers: HashMap<u64, ServerIx>,
    server_ids: Vec<u64>,
    numbers: HashMap<String, CalledNumberIx>,
}

impl Door {
    /// A new session; none where the id is known already.
    pub fn admit(&mut self, id: &str) -> Option<SessionIx> {
        if self.sessions.contains_key(id) {
            return None;
        }
        let caller = Caller { id: id.to_owned(), open: 0, answered: false };
        let session = SessionIx::new(self.callers.insert(caller));
        self.sessions.insert(id.to_owned(), session);
        Some(session)
    }

    pub fn session(&self, id: &str) -> Option<SessionIx> {
        self.sessions.get(id).copied()
    }

    pub fn caller(&mut self, session: SessionIx) -> &mut Caller {
        &mut self.callers[session.index()]
    }

    /// Frees the index of a session that is answered and has no INVITE out.
    pub fn leave(&mut self, session: SessionIx) {
        let caller = &self.callers[session.index()];
        if caller.answered && caller.open == 0 {
            let caller = self.callers.remove(session.index());
            self.sessions.remove(&caller.id);
        }
    }

    pub fn server(&mut self, id: u64) -> ServerIx {
        *self.servers.entry(id).or_insert_with(|| {
            self.server_ids.push(id);
            ServerIx::new(self.server_ids.len() - 1)
        })
    }

    pub fn known_server(&self, id: u64) -> Option<ServerIx> {
        self.servers.get(&id).copied()
    }

    pub fn server_id(&self, server: ServerIx) -> u64 {
        self.server_ids[server.index()]
    }

    pub fn number(&mut self, key: &str) -> CalledNumberIx {
        if let Some(number) = self.numbers.get(key) {
            return *number;
        }
        let number = CalledNumberIx::new(self.numbers.len());
        self.numbers.insert(key.to_owned(), number);
        number
    }
}
