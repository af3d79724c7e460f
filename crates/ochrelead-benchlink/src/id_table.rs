//! Maps the ids on the wire to dense indices, and indices back to ids.

use std::collections::HashMap;

use ochrelead_core::index::{CalledNumberIx, ServerIx, SessionIx};
use slab::Slab;

/// A session on the wire.
pub(crate) struct Session {
    pub(crate) id: String,
    /// Number of its INVITEs that have not ended.
    pub(crate) open_invites: u64,
    /// Whether the caller has the final answer, or has gone.
    pub(crate) is_answered: bool,
}

/// The ids of sessions, servers and called numbers of one instance.
#[derive(Default)]
pub(crate) struct IdTable {
    session_indices: HashMap<String, SessionIx>,
    sessions: Slab<Session>,
    server_indices: HashMap<u64, ServerIx>,
    server_ids: Vec<u64>,
    called_numbers: HashMap<String, CalledNumberIx>,
}

impl IdTable {
    /// Adds a session and returns its index; `None` if the id is already in use.
    pub(crate) fn add_session(&mut self, id: &str) -> Option<SessionIx> {
        if self.session_indices.contains_key(id) {
            return None;
        }
        let session = Session { id: id.to_owned(), open_invites: 0, is_answered: false };
        let index = SessionIx::new(self.sessions.insert(session));
        self.session_indices.insert(id.to_owned(), index);
        Some(index)
    }

    /// Returns the index of a session; `None` if the session is over or the id is unknown.
    pub(crate) fn session_index(&self, id: &str) -> Option<SessionIx> {
        self.session_indices.get(id).copied()
    }

    /// Returns a session that is not over.
    pub(crate) fn session_mut(&mut self, index: SessionIx) -> &mut Session {
        &mut self.sessions[index.index()]
    }

    /// Removes the session and frees its index if it is answered and has no open INVITE.
    pub(crate) fn remove_if_over(&mut self, index: SessionIx) {
        let session = &self.sessions[index.index()];
        if session.is_answered && session.open_invites == 0 {
            let session = self.sessions.remove(index.index());
            self.session_indices.remove(&session.id);
        }
    }

    /// Returns the index of a server; adds the server if it is new.
    pub(crate) fn add_server(&mut self, id: u64) -> ServerIx {
        *self.server_indices.entry(id).or_insert_with(|| {
            self.server_ids.push(id);
            ServerIx::new(self.server_ids.len() - 1)
        })
    }

    /// Returns the index of a server; `None` if it has not been added.
    pub(crate) fn server_index(&self, id: u64) -> Option<ServerIx> {
        self.server_indices.get(&id).copied()
    }

    /// Returns the id of a server.
    pub(crate) fn server_id(&self, server: ServerIx) -> u64 {
        self.server_ids[server.index()]
    }

    /// Returns the index of a called number; adds the number if it is new.
    pub(crate) fn add_called_number(&mut self, key: &str) -> CalledNumberIx {
        if let Some(number) = self.called_numbers.get(key) {
            return *number;
        }
        let number = CalledNumberIx::new(self.called_numbers.len());
        self.called_numbers.insert(key.to_owned(), number);
        number
    }
}
