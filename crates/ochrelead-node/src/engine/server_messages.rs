//! Handling of the messages from signalling servers: responses to INVITEs, releases and load reports.

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::types::InviteOutcome;
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use ochrelead_platform::caller_messages::{self, CallId, cause};
use ochrelead_sip::message::{Message, StartLine, header};
use tracing::debug;

use super::observations::invite_id;
use super::{CALL_END_LOG, Engine, requests};
use crate::call_table::{Call, Invite, Phase};
use crate::io::{Output, ServerConnectionId};
use crate::observation::{Observation, SupersededToken};
use crate::server_table::Bye;
use crate::{fencing, occupancy, outcomes};

/// The origin of a response to an INVITE, and the INVITE that it answers.
#[derive(Clone, Copy)]
struct InviteResponse {
    connection: ServerConnectionId,
    server: ServerIx,
    call: CallId,
    sequence: u32,
}

/// The message violates the protocol; its connection must be closed.
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
                    self.mark_server_alive(server);
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

    /// Records that a message arrived from a server or a connection to it was established.
    pub(super) fn mark_server_alive(&mut self, id: ServerIx) {
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
        self.handle_health_check_response(server, message);
        let call = message.header(header::CALL_ID).and_then(CallId::parse);
        match &message.start {
            StartLine::Request { method, .. } => {
                self.on_server_request(id, server, method, message);
                Ok(())
            }
            StartLine::Response { code } => {
                let (Some(call), Some((sequence, method))) = (call, message.sequence()) else {
                    return Ok(());
                };
                if (100..200).contains(code) {
                    return Ok(());
                }
                match method {
                    "INVITE" => {
                        let response = InviteResponse { connection: id, server, call, sequence };
                        return self.on_invite_answered(response, *code, message);
                    }
                    "BYE" => self.on_bye_answered(id, call, *code),
                    _ => {}
                }
                Ok(())
            }
        }
    }

    /// Handles the final response to an INVITE.
    fn on_invite_answered(
        &mut self,
        response: InviteResponse,
        code: u16,
        message: &Message,
    ) -> Result<(), InvalidMessage> {
        if (200..300).contains(&code) {
            return self.on_invite_accepted(response, message);
        }
        let ack = requests::ack(response.call, response.sequence);
        self.outputs.push_back(Output::SendToServer(response.connection, ack));
        self.on_invite_refused(response, outcomes::of_refusal(code, message));
        Ok(())
    }

    /// Distinguishes responses to health checks from other messages. The refusal of a health check carries the highest
    /// fencing token that the server has seen.
    fn handle_health_check_response(&mut self, server: ServerIx, message: &Message) {
        if message.sequence().is_none_or(|(_, method)| method != "OPTIONS") {
            self.servers.get_mut(server).last_unprompted = self.now;
        } else if let Some(highest) = message.header(fencing::TOKEN_HEADER).and_then(fencing::parse_token) {
            let server = self.servers.get(server).id.clone();
            self.queue_superseded_token(SupersededToken { server, highest });
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
        if call.is_some_and(|call| self.pending_releases.contains(call)) {
            // The server repeats a release that is not confirmed: should this process end before the release has reached the
            // caller, its successor learns of it.
            return;
        }
        if !self.servers.is_open(id) {
            debug!(target: CALL_END_LOG, ?call, method, "request on half-closed connection not answered");
        } else if let Some(response) = requests::ok(message, method) {
            self.outputs.push_back(Output::SendToServer(id, response));
        } else {
            debug!(connection = id.0, method, "request with too long a call id not answered");
        }
    }

    /// The session whose current INVITE a response answers; `None` if the response is stale or its call unknown.
    fn answered_session(&self, response: InviteResponse) -> Option<SessionIx> {
        let session = self.calls.find(response.call)?;
        let call = self.calls.get(session)?;
        let Phase::Inviting(invite) = call.phase else { return None };
        let is_current =
            invite.connection == Some(response.connection) && call.invite_count == response.sequence;
        is_current.then_some(session)
    }

    /// Establishes the call whose INVITE a server accepted. Releases the call at once if its INVITE has been cancelled;
    /// ignores a repeated response.
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
                self.send_bye(
                    server,
                    Some(id),
                    Bye { call, cause: cause::NORMAL, requested_at: self.now, requested_by: None },
                );
            }
            return Ok(());
        };
        if !is_complete(description) {
            return Err(InvalidMessage);
        }
        self.outputs.push_back(Output::SendToServer(id, requests::ack(call, sequence)));
        self.observe(Observation::InviteAnswered { invite: invite_id(session) });
        let Some(Call { caller, phase: Phase::Inviting(invite), .. }) = self.calls.get(session) else {
            return Ok(());
        };
        let (caller, sent_at) = (*caller, invite.sent_at);
        if let Some(connection) = self.servers.connection_mut(id) {
            connection.sessions.retain(|other| *other != session);
            connection.last_used = self.now;
        }
        // The answer may be read late, after the server has restarted.
        let phase = Phase::Established { server, connection: Some(id), since: sent_at };
        self.calls.set_phase(session, phase);
        debug!(?call, server = self.servers.get(server).id, "call established");
        self.policy.on_call_established(session);
        let line = caller_messages::encode_established(call, description);
        let is_deliverable = line.len() <= MAX_MESSAGE_LENGTH;
        if is_deliverable {
            self.outputs.push_back(Output::SendToCaller(caller, line));
        }
        self.on_caller_established(caller, session);
        if !is_deliverable {
            self.fail_undeliverable(session, server, id);
        }
        Ok(())
    }

    /// Fails a call whose answer does not fit into a message to the caller: a session description takes more bytes in JSON
    /// than in SIP. The call is released at its server, and not set up again, since it was established once.
    fn fail_undeliverable(&mut self, session: SessionIx, server: ServerIx, connection: ServerConnectionId) {
        let Some(call) = self.remove_established(session) else { return };
        debug!(call = ?call.id, server = self.servers.get(server).id, "answer too long for the caller");
        let bye = Bye { call: call.id, cause: cause::FAILED, requested_at: self.now, requested_by: None };
        self.send_bye(server, Some(connection), bye);
        self.policy.on_invite_ended(session, server, InviteOutcome::Released, true);
        let line = caller_messages::encode_down(call.id, cause::FAILED, None);
        self.outputs.push_back(Output::SendToCaller(call.caller, line));
    }

    /// Whether a server has established a call that no caller waits for: an INVITE of the call was cancelled, and the
    /// call has ended or is not at that server. False for a repeated response and for an unknown call id.
    fn is_orphaned(&self, server: ServerIx, call: CallId) -> bool {
        if !self.cancelled.contains(&call) {
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

    /// Handles the release of a call by a server.
    fn on_bye(&mut self, server: ServerIx, call: CallId, message: &Message) {
        let session = self.calls.find(call);
        let phase = session.and_then(|session| self.calls.phase(session));
        let is_established_there =
            matches!(phase, Some(Phase::Established { server: current, .. }) if current == server);
        if !is_established_there {
            let server = &self.servers.get(server).id;
            debug!(
                target: CALL_END_LOG,
                ?call,
                server,
                ?phase,
                "release from a server at which the call is not established"
            );
        }
        let Some(session) = session else { return self.ended_calls.insert(call) };
        match phase {
            Some(Phase::Established { connection, .. }) if is_established_there => {
                if connection.is_none() {
                    // The server knows the call that the caller has reported.
                    self.verify_reporter(session);
                }
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

/// Whether a session description is complete: it ends with CRLF and contains no NUL character.
fn is_complete(description: &str) -> bool {
    description.ends_with("\r\n") && !description.contains('\0')
}
