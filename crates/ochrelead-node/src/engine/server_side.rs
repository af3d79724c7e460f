//! The INVITEs, cancellations and health checks that the node sends to signalling servers.

use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::Span;
use ochrelead_core::types::InviteOutcome;
use ochrelead_lease::FencingToken;
use tracing::debug;

use super::observations::invite_id;
use super::{Engine, UncheckedInvite, requests};
use crate::call_table::{Invite, Phase};
use crate::fencing;
use crate::io::Output;
use crate::observation::Observation;

/// The call id of requests that belong to no call.
const NO_CALL: &str = "0000000000000000";

impl Engine {
    /// Starts the INVITE that the controller decided on.
    pub(super) fn start_invite(
        &mut self,
        session: SessionIx,
        server: ServerIx,
        answer_timeout: Option<Span>,
    ) {
        let Some(call) = self.calls.get(session) else { return };
        let expires_at =
            answer_timeout.map_or(call.deadline, |timeout| call.deadline.min(self.now + timeout));
        let invite =
            Invite { server, connection: None, requested_at: self.now, sent_at: self.now, expires_at };
        self.calls.set_phase(session, Phase::Inviting(invite));
        self.observe_invite(server, session);
        self.check_and_send_invite(session);
    }

    /// Sends an INVITE once all input received from the caller has been read, so that none is sent for a caller whose
    /// cancellation or disconnection is waiting to be read.
    pub(super) fn check_and_send_invite(&mut self, session: SessionIx) {
        let Some(call) = self.calls.get(session) else { return };
        let Phase::Inviting(invite) = call.phase else { return };
        let caller = call.caller;
        if self.servers.select_connection(invite.server).is_none() {
            return self.await_connection(invite.server, session);
        }
        if !self.unchecked_invites.iter().any(|invite| invite.caller == caller) {
            self.outputs.push_back(Output::DrainInput(caller));
        }
        self.unchecked_invites.push(UncheckedInvite { caller, session });
    }

    fn await_connection(&mut self, server: ServerIx, session: SessionIx) {
        self.servers.get_mut(server).waiting_invites.push(session);
        self.maintenance_at = self.now;
    }

    /// Sends an INVITE on a connection to its server. If none is open, the INVITE waits for one.
    pub(super) fn send_invite(&mut self, session: SessionIx) {
        let Some(call) = self.calls.get(session) else { return };
        let Phase::Inviting(invite @ Invite { connection: None, .. }) = call.phase else { return };
        let server = invite.server;
        if !self.servers.get(server).is_ready() {
            return self.end_invite(session, InviteOutcome::Unsent);
        }
        let Some(id) = self.servers.select_connection(server) else {
            return self.await_connection(server, session);
        };
        let request = requests::Invite {
            call: call.id,
            called_number: &call.called_number,
            sequence: call.invite_count,
            service: self.catalog.service_name(call.class),
            timer_ms: (invite.expires_at.since(self.now).micros() / 1_000).max(1),
            description: &call.description,
        };
        let bytes = request.encode();
        let sequence = request.sequence;
        self.invited_calls.insert(call.id);
        let server_id = &self.servers.get(server).id;
        debug!(call = %call.id.as_str(), server = server_id, connection = id.0, sequence, "INVITE sent");
        self.outputs.push_back(Output::SendToServer(id, bytes));
        self.calls.set_phase(
            session,
            Phase::Inviting(Invite { connection: Some(id), sent_at: self.now, ..invite }),
        );
        if let Some(connection) = self.servers.connection_mut(id) {
            connection.sessions.push(session);
            connection.last_used = self.now;
        }
        if self.servers.idle_connections(server).len() < self.spare_connections() {
            self.maintenance_at = self.now;
        }
    }

    /// Ends an INVITE that established no call. The controller decides whether the session is retried.
    pub(super) fn end_invite(&mut self, session: SessionIx, outcome: InviteOutcome) {
        let Some(Phase::Inviting(invite)) = self.calls.phase(session) else { return };
        // If the server answered the INVITE, `InviteAnswered` has been reported before.
        let invite_id = invite_id(session);
        self.observe(match outcome {
            InviteOutcome::Reset | InviteOutcome::ConnectFailed => {
                Observation::InviteFailed { invite: invite_id }
            }
            _ => Observation::InviteCancelled { invite: invite_id },
        });
        if outcome == InviteOutcome::TimedOut {
            self.cancel_invite(session);
        } else {
            self.detach_invite(session, invite);
        }
        let call = self.calls.get(session).map(|call| call.id);
        let server = &self.servers.get(invite.server).id;
        let duration = self.now.since(invite.requested_at);
        debug!(?call, server, ?outcome, ?duration, "INVITE ended without an established call");
        self.calls.set_phase(session, Phase::Waiting);
        self.policy.on_invite_ended(session, invite.server, outcome, false);
    }

    /// Cancels an INVITE, and notifies its server if it had been sent.
    pub(super) fn cancel_invite(&mut self, session: SessionIx) {
        self.observe(Observation::InviteCancelled { invite: invite_id(session) });
        let Some(call) = self.calls.get(session) else { return };
        let Phase::Inviting(invite) = call.phase else { return };
        if let Some(connection) = invite.connection {
            let bytes = requests::request("CANCEL", &call.called_number, call.id, call.invite_count);
            self.cancelled.insert(call.id);
            self.outputs.push_back(Output::SendToServer(connection, bytes));
        }
        self.detach_invite(session, invite);
    }

    /// Removes an INVITE from its connection, or from the queues of INVITEs that have not been sent.
    fn detach_invite(&mut self, session: SessionIx, invite: Invite) {
        match invite.connection {
            Some(connection) => {
                if let Some(connection) = self.servers.connection_mut(connection) {
                    connection.sessions.retain(|other| *other != session);
                }
            }
            None => {
                let server = self.servers.get_mut(invite.server);
                server.waiting_invites.retain(|other| *other != session);
                self.unchecked_invites.retain(|unchecked| unchecked.session != session);
            }
        }
    }

    /// Sends a health check under a fencing token on behalf of all fronts. If no connection is open, it is not
    /// sent; the next maintenance opens a connection.
    pub fn send_health_check(&mut self, server: &str, token: FencingToken) {
        let Some(server) = self.servers.find(server) else { return };
        if !self.servers.get(server).is_ready() {
            return;
        }
        let Some(id) = self.servers.select_connection(server) else {
            self.maintenance_at = self.now;
            return;
        };
        let token = fencing::format_token(token);
        let headers = [(fencing::TOKEN_HEADER, token.as_str())];
        let bytes = requests::message("OPTIONS sip:load@net SIP/2.0", NO_CALL, "1 OPTIONS", &headers, &[]);
        self.outputs.push_back(Output::SendToServer(id, bytes));
    }
}
