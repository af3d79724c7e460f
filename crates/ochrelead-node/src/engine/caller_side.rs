//! The callers' side of the node: their connections and the lines received on them.

use ochrelead_core::index::SessionIx;
use ochrelead_core::types::InviteOutcome;
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use ochrelead_platform::caller_messages::{self, CallId, CallerMessage, InvalidMessage, cause};
use tracing::{debug, trace};

use super::{CALL_END_LOG, Engine};
use crate::call_table::Phase;
use crate::caller_table::{Caller, CallerTrust};
use crate::io::{CallerId, Output};
use crate::server_table::Bye;

impl Engine {
    // ---- Connections ----

    pub(super) fn on_caller_connected(&mut self, caller: CallerId) {
        self.callers.insert(caller, self.now);
        self.evict_surplus_callers();
    }

    /// Schedules connections without a pending set-up for closing while there are more than the bound allows.
    fn evict_surplus_callers(&mut self) {
        let surplus = self.callers.len().saturating_sub(self.bounds.callers + self.callers_to_close.len());
        for caller in self.callers.eviction_candidates(surplus, &self.callers_to_close) {
            self.schedule_close(caller);
        }
    }

    /// Closes a connection once its received input has been read, unless that contains a set-up: a set-up sent before
    /// the close must be answered.
    fn schedule_close(&mut self, caller: CallerId) {
        if !self.callers_to_close.contains(&caller) {
            self.callers_to_close.push(caller);
            self.outputs.push_back(Output::DrainInput(caller));
        }
    }

    /// Sends the INVITEs that were held back until the caller's input was read, and closes its connection if that was
    /// scheduled and the connection is still unused.
    pub(super) fn on_input_drained(&mut self, id: CallerId) {
        let checked: Vec<SessionIx> = self
            .unchecked_invites
            .iter()
            .filter(|invite| invite.caller == id)
            .map(|invite| invite.session)
            .collect();
        self.unchecked_invites.retain(|invite| invite.caller != id);
        for session in checked {
            self.send_invite(session);
        }
        if self.callers_to_close.contains(&id) {
            self.callers_to_close.retain(|caller| *caller != id);
            let now = self.now;
            let is_unused = |caller: &Caller| {
                caller.pending_sessions.is_empty()
                    && (!caller.awaits_rest_of_line(now) || caller.is_verification_overdue(now))
            };
            if self.callers.get(id).is_some_and(is_unused) {
                self.close_caller(id, "not in use");
            }
        }
    }

    /// Rejects the pending set-ups of a caller that shut its side down for writing, since it may still read the
    /// rejections, and closes the connection.
    pub(super) fn on_caller_half_closed(&mut self, id: CallerId) {
        let pending = self.callers.get(id).map(|caller| caller.pending_sessions.clone());
        for session in pending.unwrap_or_default() {
            if let Some(call) = self.calls.get(session) {
                let cause = if call.invite_count > 0 { cause::FAILED } else { cause::REFUSED };
                self.outputs
                    .push_back(Output::SendToCaller(id, caller_messages::encode_down(call.id, cause, None)));
            }
        }
        self.close_caller(id, "shut down by the caller");
    }

    pub(super) fn on_caller_disconnected(&mut self, id: CallerId) {
        let Some(caller) = self.callers.remove(id) else { return };
        let established = caller.established_calls;
        if established > 0 || !caller.unconfirmed_releases.is_empty() {
            debug!(
                target: CALL_END_LOG,
                caller = id.0,
                established,
                unconfirmed = ?caller.unconfirmed_releases,
                "caller connection closed"
            );
        }
        self.callers_to_close.retain(|caller| *caller != id);
        for session in caller.pending_sessions {
            self.cancel_call(session);
        }
        // The caller may not have read these releases before the connection closed: they are sent again.
        for release in caller.unconfirmed_releases {
            self.queue_release(release);
        }
    }

    /// Closes a connection and cancels the set-ups pending on it.
    fn close_caller(&mut self, caller: CallerId, reason: &'static str) {
        debug!(caller = caller.0, reason, "caller connection closed by the node");
        self.on_caller_disconnected(caller);
        self.outputs.push_back(Output::CloseCaller(caller));
    }

    pub(super) fn maintain_callers(&mut self) {
        self.pending_releases.start_round();
        self.send_pending_releases();
        for caller in self.callers.expired(self.now) {
            self.schedule_close(caller);
        }
        self.evict_surplus_callers();
    }

    // ---- Lines ----

    pub(super) fn on_caller_data(&mut self, id: CallerId, bytes: &[u8]) {
        let Some(caller) = self.callers.get_mut(id) else { return };
        caller.last_used = self.now;
        let (lines, framing) = caller.line_splitter.push(bytes);
        for line in lines {
            match caller_messages::parse(&line) {
                Ok(message) => self.on_caller_message(id, message),
                Err(InvalidMessage { call, error }) => {
                    trace!(caller = id.0, %error, "invalid line from caller");
                    self.reject_line(id, call);
                }
            }
            if self.callers.get(id).is_none() {
                return;
            }
        }
        if framing.is_err() {
            self.reject_line(id, None);
        }
    }

    fn on_caller_message(&mut self, id: CallerId, message: CallerMessage) {
        match message {
            CallerMessage::SetUp(set_up) => {
                let call = set_up.call;
                if let Err(error) = self.on_set_up(id, set_up) {
                    trace!(caller = id.0, %error, "invalid set-up from caller");
                    self.reject_line(id, Some(call));
                }
            }
            CallerMessage::Established { call, server } => self.on_established_elsewhere(id, call, &server),
            CallerMessage::Release { call } => self.on_release_request(id, call),
            CallerMessage::Heartbeat { id: heartbeat } => {
                let reply = caller_messages::encode_heartbeat_reply(&heartbeat, self.shutdown.is_none());
                if reply.len() > MAX_MESSAGE_LENGTH {
                    return self.reject_line(id, None);
                }
                self.outputs.push_back(Output::SendToCaller(id, reply));
            }
            CallerMessage::Acknowledged { call } => {
                if let Some(caller) = self.callers.get_mut(id) {
                    caller.unconfirmed_releases.retain(|release| release.call != call);
                    self.pending_releases.confirm(call, caller.last_offered);
                }
            }
            CallerMessage::Ignored => {}
        }
    }

    /// Answers an invalid line with an error. Closes the connection if it has sent nothing valid yet, or if the line
    /// names no call or a call of this connection.
    fn reject_line(&mut self, id: CallerId, call: Option<CallId>) {
        // The caller would take an error with the id of its pending call for the answer to that call.
        let session = call.and_then(|call| self.calls.find(call));
        let is_own_call =
            session.and_then(|session| self.calls.get(session)).is_some_and(|call| call.caller == id);
        let line = match call {
            Some(call) => caller_messages::encode_down(call, cause::INVALID, None),
            None => caller_messages::encode_invalid(),
        };
        let Some(caller) = self.callers.get(id) else { return };
        let has_sent_valid_line = caller.is_verified() || !caller.pending_sessions.is_empty();
        if !is_own_call {
            self.outputs.push_back(Output::SendToCaller(id, line));
        }
        if !has_sent_valid_line || is_own_call || call.is_none() {
            self.close_caller(id, "invalid line");
        }
    }

    /// Cancels a pending set-up if the request arrives on the connection of the set-up, or releases an established call
    /// on request from any connection.
    fn on_release_request(&mut self, id: CallerId, call_id: CallId) {
        self.outputs.push_back(Output::SendToCaller(id, caller_messages::encode_acknowledgement(call_id)));
        let Some(session) = self.calls.find(call_id) else { return };
        let Some(call) = self.calls.get(session) else { return };
        match call.phase {
            Phase::Established { server, connection, .. } => {
                let (is_reported, is_own) = (connection.is_none(), call.caller == id);
                let requested_by = (is_reported && !is_own).then_some(id);
                self.send_bye(
                    server,
                    connection,
                    Bye { call: call_id, cause: cause::NORMAL, requested_at: self.now, requested_by },
                );
                self.policy.on_invite_ended(session, server, InviteOutcome::Released, true);
                self.remove_established(session);
                if !is_reported {
                    self.raise_trust(id, CallerTrust::Verified);
                }
            }
            Phase::Waiting | Phase::Inviting(_) if call.caller == id => {
                if let Some(caller) = self.callers.get_mut(id) {
                    caller.pending_sessions.retain(|pending| *pending != session);
                }
                self.cancel_call(session);
            }
            Phase::Waiting | Phase::Inviting(_) => {}
        }
    }

    /// Cancels and removes an unanswered call whose caller no longer waits for the answer.
    fn cancel_call(&mut self, session: SessionIx) {
        self.withdraw_from_controller(session);
        self.calls.remove(session);
    }

    /// Reports to the controller that an unanswered call has ended, and cancels its INVITE.
    pub(super) fn withdraw_from_controller(&mut self, session: SessionIx) {
        let Some(phase) = self.calls.phase(session) else { return };
        self.policy.on_caller_gone(session);
        if let Phase::Inviting(invite) = phase {
            self.cancel_invite(session);
            self.policy.on_invite_ended(session, invite.server, InviteOutcome::Cancelled, true);
        }
    }

    /// Records that a call was established for a caller.
    pub(super) fn on_caller_established(&mut self, id: CallerId, session: SessionIx) {
        let Some(caller) = self.callers.get_mut(id) else { return };
        caller.pending_sessions.retain(|pending| *pending != session);
        caller.established_calls += 1;
        caller.last_used = self.now;
        self.raise_trust(id, CallerTrust::Verified);
    }

    /// Raises the trust in a caller to at least this level. Releases may have been waiting for that.
    pub(super) fn raise_trust(&mut self, id: CallerId, trust: CallerTrust) {
        if let Some(caller) = self.callers.get_mut(id)
            && caller.trust < trust
        {
            caller.trust = trust;
            self.send_pending_releases();
        }
    }
}
