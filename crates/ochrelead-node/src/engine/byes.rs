//! The releases of calls that the node sends to signalling servers (BYE). A BYE that is lost with its connection is sent
//! again.

use std::collections::VecDeque;

use ochrelead_core::index::ServerIx;
use ochrelead_platform::caller_messages::CallId;

use super::{Engine, requests};
use crate::bounds::protocol;
use crate::caller_table::CallerTrust;
use crate::io::{Output, ServerConnectionId};
use crate::server_table::{Bye, UnconfirmedBye};

impl Engine {
    /// Releases a call at its server. The BYE is sent on the connection of the set-up if it is open, otherwise on any
    /// other, or as soon as one is open.
    pub(super) fn send_bye(&mut self, server: ServerIx, connection: Option<ServerConnectionId>, bye: Bye) {
        let set_up_connection = connection.filter(|id| self.servers.is_open(*id));
        match set_up_connection.or_else(|| self.servers.select_connection(server)) {
            Some(id) => self.send_bye_on(id, bye),
            None => {
                let capacity = self.bounds.pending_releases;
                let server = self.servers.get_mut(server);
                if !server.is_gone() && server.pending_byes.len() < capacity {
                    server.pending_byes.push(bye);
                }
            }
        }
    }

    fn send_bye_on(&mut self, id: ServerConnectionId, bye: Bye) {
        self.outputs.push_back(Output::SendToServer(id, requests::bye(bye.call, bye.cause)));
        let (now, capacity) = (self.now, self.bounds.unconfirmed_releases);
        if let Some(connection) = self.servers.connection_mut(id) {
            // If a server does not answer BYEs, the oldest ones are treated as answered.
            if connection.unconfirmed_byes.len() >= capacity {
                connection.unconfirmed_byes.pop_front();
            }
            connection.unconfirmed_byes.push_back(UnconfirmedBye { bye, sent_at: now });
        }
    }

    /// Handles the final response to a BYE. If the server knew the call, so did the caller that ended it.
    pub(super) fn on_bye_answered(&mut self, id: ServerConnectionId, call: CallId, code: u16) {
        let Some(connection) = self.servers.connection_mut(id) else { return };
        let answered =
            connection.unconfirmed_byes.iter().position(|unconfirmed| unconfirmed.bye.call == call);
        let Some(answered) = answered.and_then(|index| connection.unconfirmed_byes.remove(index)) else {
            return;
        };
        if (200..300).contains(&code)
            && let Some(caller) = answered.bye.requested_by
        {
            self.raise_trust(caller, CallerTrust::Plausible);
        }
    }

    /// Sends the BYEs again that were sent shortly before their connection ended: the server may not have read them. Not
    /// without end, since it may be the BYEs that the server does not read fast enough.
    pub(super) fn resend_byes(&mut self, server: ServerIx, unconfirmed: VecDeque<UnconfirmedBye>) {
        for UnconfirmedBye { bye, sent_at } in unconfirmed {
            let may_be_lost = self.now.since(sent_at) < protocol::SILENCE_THRESHOLD;
            if may_be_lost && self.now.since(bye.requested_at) < protocol::SILENT_FAILURE_DEADLINE {
                self.send_bye(server, None, bye);
            }
        }
    }
}
