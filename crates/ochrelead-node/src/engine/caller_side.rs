//! The side of the callers: their connections and the lines on them.

use ochrelead_core::index::SessionIx;
use ochrelead_core::types::InviteOutcome;
use ochrelead_platform::caller_messages::{self, CallId, CallerMessage, InvalidMessage, cause};
use tracing::{debug, trace};

use super::{CALL_END_LOG, Engine};
use crate::call_table::Phase;
use crate::caller_table::Caller;
use crate::io::{CallerId, Output};

impl Engine {
    // ---- Connections ----

    pub(super) fn on_caller_connected(&mut self, caller: CallerId) {
        self.callers.insert(caller, self.now);
        self.evict_surplus_callers();
    }

    /// Beyond the bound, connections that are not in use are closed, unless something has arrived on them.
    fn evict_surplus_callers(&mut self) {
        let surplus = self.callers.len().saturating_sub(self.bounds.callers + self.retiring.len());
        for caller in self.callers.eviction_candidates(surplus, &self.retiring) {
            self.retire(caller);
        }
    }

    /// Closes a connection once everything that has arrived on it is read and no set-up was among that: one that was
    /// written before the close is owed its answer.
    fn retire(&mut self, caller: CallerId) {
        if !self.retiring.contains(&caller) {
            self.retiring.push(caller);
            self.outputs.push_back(Output::DrainInput(caller));
        }
    }

    /// Everything that had arrived from a caller was read: its INVITEs may leave, its connection may be closed.
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
        if self.retiring.contains(&id) {
            self.retiring.retain(|caller| *caller != id);
            let now = self.now;
            let is_unused = |caller: &Caller| {
                caller.pending_sessions.is_empty() && (!caller.is_mid_line(now) || caller.is_overdue(now))
            };
            if self.callers.get(id).is_some_and(is_unused) {
                self.close_caller(id, "not in use");
            }
        }
    }

    /// A caller sends nothing more: its set-ups are rejected. One that only shut its side down still reads that.
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
        self.retiring.retain(|retiring| *retiring != id);
        for session in caller.pending_sessions {
            self.cancel_call(session);
        }
        // What was sent as it closed may not have been read.
        for release in caller.unconfirmed_releases {
            self.queue_release(release);
        }
    }

    /// The node closes a connection; set-ups pending on it are cancelled.
    fn close_caller(&mut self, caller: CallerId, reason: &'static str) {
        debug!(caller = caller.0, reason, "caller connection closed by the node");
        self.on_caller_disconnected(caller);
        self.outputs.push_back(Output::CloseCaller(caller));
    }

    pub(super) fn maintain_callers(&mut self) {
        self.pending_releases.start_round();
        self.send_pending_releases();
        for caller in self.callers.expired(self.now) {
            self.retire(caller);
        }
        self.evict_surplus_callers();
    }

    // ---- LineSplitter ----

    pub(super) fn on_caller_data(&mut self, id: CallerId, bytes: &[u8]) {
        let Some(caller) = self.callers.get_mut(id) else { return };
        caller.last_used = self.now;
        let (lines, framing) = caller.line_splitter.push(bytes);
        for line in lines {
            match caller_messages::parse(&line) {
                Ok(message) => self.on_caller_message(id, message),
                Err(InvalidMessage { call, error }) => {
                    trace!(caller = id.0, %error, "invalid line");
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
                    trace!(caller = id.0, %error, "invalid set-up");
                    self.reject_line(id, Some(call));
                }
            }
            CallerMessage::Established { call, server } => self.on_established_elsewhere(id, call, &server),
            CallerMessage::Release { call } => self.on_release_request(id, call),
            CallerMessage::Heartbeat { id: heartbeat } => {
                let is_in_service = self.shutdown.is_none();
                self.outputs.push_back(Output::SendToCaller(
                    id,
                    caller_messages::encode_heartbeat_reply(&heartbeat, is_in_service),
                ));
            }
            CallerMessage::Acknowledged { call } => {
                if let Some(caller) = self.callers.get_mut(id) {
                    caller.unconfirmed_releases.retain(|release| release.call != call);
                }
                self.pending_releases.confirm(call);
            }
            CallerMessage::Ignored => {}
        }
    }

    /// Answers an invalid line with an error. A connection that sent nothing valid yet is closed as well.
    fn reject_line(&mut self, id: CallerId, call: Option<CallId>) {
        // The id may be that of a call pending on this connection: an error would be taken for its answer.
        let session = call.and_then(|call| self.calls.find(call));
        let is_own =
            session.and_then(|session| self.calls.get(session)).is_some_and(|call| call.caller == id);
        let line = match call {
            Some(call) => caller_messages::encode_down(call, cause::INVALID, None),
            None => caller_messages::encode_invalid(),
        };
        let Some(caller) = self.callers.get(id) else { return };
        let was_valid = caller.is_verified || !caller.pending_sessions.is_empty();
        if !is_own {
            self.outputs.push_back(Output::SendToCaller(id, line));
        }
        if !was_valid || is_own || call.is_none() {
            self.close_caller(id, "invalid line");
        }
    }

    /// Cancels a set-up, on its own connection, or releases an established call, on any.
    fn on_release_request(&mut self, id: CallerId, call_id: CallId) {
        self.outputs.push_back(Output::SendToCaller(id, caller_messages::encode_acknowledgement(call_id)));
        let Some(session) = self.calls.find(call_id) else { return };
        let Some(call) = self.calls.get(session) else { return };
        match call.phase {
            Phase::Established { server, connection, .. } => {
                self.send_bye(server, connection, call_id, cause::NORMAL);
                self.policy.on_invite_ended(session, server, InviteOutcome::Released, true);
                self.remove_established(session);
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

    /// Removes a call whose caller no longer waits for the answer.
    fn cancel_call(&mut self, session: SessionIx) {
        self.release_from_controller(session);
        self.calls.remove(session);
    }

    /// Takes an unanswered call away from the controller, and cancels its INVITE.
    pub(super) fn release_from_controller(&mut self, session: SessionIx) {
        let Some(phase) = self.calls.phase(session) else { return };
        self.policy.on_caller_gone(session);
        if let Phase::Inviting(invite) = phase {
            self.cancel_invite(session);
            self.policy.on_invite_ended(session, invite.server, InviteOutcome::Cancelled, true);
        }
    }

    /// A call was established for a caller: its connection is a regular one.
    pub(super) fn verify_caller(&mut self, id: CallerId, session: SessionIx) {
        let Some(caller) = self.callers.get_mut(id) else { return };
        caller.pending_sessions.retain(|pending| *pending != session);
        caller.established_calls += 1;
        caller.last_used = self.now;
        caller.is_verified = true;
        self.send_pending_releases();
    }
}
