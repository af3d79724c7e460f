//! The messages that signalling servers send, and what they mean for calls.

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::types::InviteOutcome;
use ochrelead_platform::caller_messages::{self, CallId, cause};
use ochrelead_sip::message::{Message, StartLine, header};
use tracing::debug;

use super::observations::invite_id;
use super::{CALL_END_LOG, Engine, requests};
use crate::call_table::{Invite, Phase};
use crate::io::{Output, ServerConnectionId};
use crate::observation::{Observation, SupersededToken};
use crate::{fencing, occupancy, outcomes};

/// Who a response to an INVITE came from and which INVITE it answers.
#[derive(Clone, Copy)]
struct InviteResponse {
    connection: ServerConnectionId,
    server: ServerIx,
    call: CallId,
    sequence: u32,
}

/// A message that no signalling server sends: its connection can't be read on.
struct InvalidMessage;

impl Engine {
    pub(super) fn on_server_data(&mut self, id: ServerConnectionId, bytes: &[u8]) {
        let now = self.now;
        let Some(connection) = self.servers.connection_mut(id) else { return };
        connection.framer.push(bytes);
        let server = connection.server;
        loop {
            let Some(connection) = self.servers.connection_mut(id) else { return };
            match connection.framer.next_message() {
                Some(Ok(message)) => {
                    self.note_heard(server);
                    if self.on_server_message(id, server, &message).is_err() {
                        return self.abort_connection(id);
                    }
                }
                Some(Err(_)) => return self.abort_connection(id),
                None => {
                    let is_partial = connection.framer.has_partial_message();
                    connection.partial_since =
                        if is_partial { connection.partial_since.or(Some(now)) } else { None };
                    return;
                }
            }
        }
    }

    /// Notes that a server has just been heard.
    pub(super) fn note_heard(&mut self, id: ServerIx) {
        let server = self.servers.get_mut(id);
        server.last_heard = self.now;
        server.failed_connects = 0;
        self.observe_alive(id);
    }

    fn on_server_message(
        &mut self,
        id: ServerConnectionId,
        server: ServerIx,
        message: &Message,
    ) -> Result<(), InvalidMessage> {
        if let Some(capacity) = occupancy::line_capacity(message) {
            self.policy.on_line_capacity(server, capacity);
        }
        self.policy.on_load_report(server, occupancy::load_report(message));
        self.note_health_check_response(server, message);
        let call = message.header(header::CALL_ID).and_then(CallId::parse);
        match &message.start {
            StartLine::Request { method, .. } => {
                self.on_server_request(id, server, method, message);
                Ok(())
            }
            StartLine::Response { code } => {
                let Some((sequence, "INVITE")) = message.sequence() else { return Ok(()) };
                let Some(call) = call else { return Ok(()) };
                let response = InviteResponse { connection: id, server, call, sequence };
                match code {
                    100..200 => Ok(()),
                    200..300 => self.on_invite_accepted(response, message),
                    _ => {
                        self.outputs.push_back(Output::SendToServer(id, requests::ack(call, sequence)));
                        self.on_invite_refused(response, outcomes::of_refusal(*code, message));
                        Ok(())
                    }
                }
            }
        }
    }

    /// Tells the response to a health check from what a server sends unprompted; a refused check names the highest token
    /// that the server has seen.
    fn note_health_check_response(&mut self, server: ServerIx, message: &Message) {
        if message.sequence().is_none_or(|(_, method)| method != "OPTIONS") {
            self.servers.get_mut(server).last_unprompted = self.now;
        } else if let Some(highest) = message.header(fencing::TOKEN_HEADER).and_then(fencing::parse_token) {
            let server = self.servers.get(server).id.clone();
            self.note_superseded(SupersededToken { server, highest });
        }
    }

    fn on_server_request(
        &mut self,
        id: ServerConnectionId,
        server: ServerIx,
        method: &str,
        message: &Message,
    ) {
        let call = message.header(header::CALL_ID).and_then(CallId::parse);
        match (method, call) {
            ("NOTIFY" | "ACK", _) => return,
            ("BYE", Some(call)) => self.on_bye(server, call, message),
            _ => {}
        }
        if self.servers.is_open(id) {
            self.outputs.push_back(Output::SendToServer(id, requests::ok(message, method)));
        } else {
            debug!(target: CALL_END_LOG, ?call, method, "request on a half-closed connection");
        }
    }

    /// The session whose current INVITE a response answers.
    fn answered_session(&self, response: InviteResponse) -> Option<SessionIx> {
        let session = self.calls.find(response.call)?;
        let call = self.calls.get(session)?;
        let Phase::Inviting(invite) = call.phase else { return None };
        let is_current =
            invite.connection == Some(response.connection) && call.invite_count == response.sequence;
        is_current.then_some(session)
    }

    /// A server accepted an INVITE. A call that nobody waits for is released; a repeated response is ignored.
    fn on_invite_accepted(
        &mut self,
        response: InviteResponse,
        message: &Message,
    ) -> Result<(), InvalidMessage> {
        let InviteResponse { connection: id, server, call, sequence } = response;
        let description = std::str::from_utf8(&message.body).map_err(|_| InvalidMessage)?;
        let Some(session) = self.answered_session(response) else {
            if self.is_orphaned(server, call) {
                self.outputs.push_back(Output::SendToServer(id, requests::ack(call, sequence)));
                self.send_bye(server, Some(id), call, cause::NORMAL);
            }
            return Ok(());
        };
        if !is_complete(description) {
            return Err(InvalidMessage);
        }
        self.outputs.push_back(Output::SendToServer(id, requests::ack(call, sequence)));
        self.observe(Observation::InviteAnswered { invite: invite_id(session) });
        let Some(caller) = self.calls.get(session).map(|call| call.caller) else { return Ok(()) };
        if let Some(connection) = self.servers.connection_mut(id) {
            connection.sessions.retain(|other| *other != session);
            connection.last_used = self.now;
        }
        let phase = Phase::Established { server, connection: Some(id), since: self.now };
        self.calls.set_phase(session, phase);
        debug!(?call, server = self.servers.get(server).id, "call established");
        self.policy.on_call_established(session);
        self.outputs
            .push_back(Output::SendToCaller(caller, caller_messages::encode_established(call, description)));
        self.verify_caller(caller, session);
        Ok(())
    }

    /// Whether a call that a server has established belongs to nobody: its INVITE there was cancelled, and the call is
    /// elsewhere or nowhere now. A repeated response does not count, nor a call id that was never sent.
    fn is_orphaned(&self, server: ServerIx, call: CallId) -> bool {
        if !self.cancelled.contains(call.as_str()) {
            return false;
        }
        match self.calls.find(call).and_then(|session| self.calls.phase(session)) {
            Some(
                Phase::Inviting(Invite { server: current, .. }) | Phase::Established { server: current, .. },
            ) => current != server,
            Some(Phase::Waiting) | None => true,
        }
    }

    fn on_invite_refused(&mut self, response: InviteResponse, outcome: InviteOutcome) {
        let Some(session) = self.answered_session(response) else { return };
        self.observe(Observation::InviteAnswered { invite: invite_id(session) });
        if let Some(connection) = self.servers.connection_mut(response.connection) {
            connection.last_used = self.now;
        }
        self.end_invite(session, outcome);
    }

    /// A server releases a call.
    fn on_bye(&mut self, server: ServerIx, call: CallId, message: &Message) {
        let session = self.calls.find(call);
        let phase = session.and_then(|session| self.calls.phase(session));
        let is_established_there =
            matches!(phase, Some(Phase::Established { server: current, .. }) if current == server);
        if !is_established_there {
            let server = &self.servers.get(server).id;
            debug!(target: CALL_END_LOG, ?call, server, ?phase, "release of a call not established there");
        }
        let Some(session) = session else { return self.released.insert(call.as_str()) };
        match phase {
            Some(Phase::Established { .. }) if is_established_there => {
                let outcome = outcomes::of_release(message.cause());
                self.policy.on_invite_ended(session, server, outcome, true);
                self.release(session, message.cause().unwrap_or(cause::FAILED));
            }
            Some(Phase::Inviting(invite)) if invite.server == server => {
                self.observe(Observation::InviteAnswered { invite: invite_id(session) });
                self.end_invite(session, InviteOutcome::Reset);
            }
            _ => {}
        }
    }
}

/// Whether a description is one as servers send them: lines of text, each ended.
fn is_complete(description: &str) -> bool {
    description.ends_with("\r\n") && !description.contains('\0')
}
