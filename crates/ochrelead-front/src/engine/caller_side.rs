//! The callers' side: receives NTFY; sends MDCX, RQNT and DLCX (RFC 3435 sections 2.3.3 to 2.3.8).

use std::net::SocketAddr;

use ochrelead_config::numbering_plan::ResolvedNumber;
use ochrelead_core::index::{ServerIx, SessionIx, TenantIx};
use ochrelead_core::time::Span;
use ochrelead_core::types::{CallRequest, InviteOutcome, RejectionCause};
use ochrelead_mgcp::message::{Command, Endpoint, Verb, code, parameter};

use super::Engine;
use super::call_table::{Call, Circuit, Phase, SessionKey};
use super::transactions::PendingCommand;
use crate::events::{AbandonedInvite, SessionStep};

/// The maximal length of an attempt's id, in digits; it is that of a call id (RFC 3435 section 3.2.2.2).
const MAX_ATTEMPT_ID_LENGTH: usize = 32;
/// The tones that a caller hears: signals of package L (RFC 3660).
const BUSY_TONE: &str = "L/bz";
const REORDER_TONE: &str = "L/ro";
/// Requests that the gateway notifies the front when the caller hangs up.
const REQUEST_HANG_UP: &str = "L/hu(N)";

/// The events that were observed on a caller's line (RFC 3435 section 3.2.2.12; packages L and D of RFC 3660).
#[derive(Default)]
struct ObservedEvents {
    off_hook: bool,
    hang_up: bool,
    digits: String,
}

impl ObservedEvents {
    fn parse(events: &str) -> ObservedEvents {
        let mut observed = ObservedEvents::default();
        for event in events.split(',').map(str::trim) {
            match event.split_once('/').unwrap_or(("", event)) {
                (_, "hd") => observed.off_hook = true,
                (_, "hu") => observed.hang_up = true,
                ("D", digit) => observed.digits.push_str(digit),
                _ => {}
            }
        }
        observed
    }
}

fn is_attempt_id(text: &str) -> bool {
    (1..=MAX_ATTEMPT_ID_LENGTH).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

impl Engine {
    pub(super) fn handle_notify(&mut self, from: SocketAddr, command: &Command) {
        let observed =
            ObservedEvents::parse(command.parameters.get(parameter::OBSERVED_EVENTS).unwrap_or(""));
        let attempt = command.parameters.get(parameter::ATTEMPT).unwrap_or("");
        if !is_attempt_id(attempt) {
            self.respond(from, code::PROTOCOL_ERROR, command);
            let reason = format!(
                "NTFY: {} of {} bytes is no id of 1 to {MAX_ATTEMPT_ID_LENGTH} hexadecimal digits",
                parameter::ATTEMPT,
                attempt.len()
            );
            return self.ignore_message(from, reason);
        }
        self.respond(from, code::DONE, command);
        if observed.hang_up {
            self.handle_hang_up(from, command, attempt);
        } else if observed.off_hook && self.calls.find(attempt).is_none() {
            self.handle_attempt(from, command, attempt, &observed.digits);
        }
    }

    /// Opens a session for a caller's attempt, unless the caller has already hung up.
    fn handle_attempt(&mut self, from: SocketAddr, command: &Command, attempt: &str, digits: &str) {
        // The hang-up was received before its attempt, so no caller waits for an answer. The id is kept, because
        // retransmissions of the attempt may follow.
        if self.ended_attempts.contains(attempt) {
            return self
                .ignore_message(from, format!("attempt {attempt}: its hang-up was received before it"));
        }
        let dialled = self.config.numbering_plan.resolve(digits);
        let call = self.new_call(from, command, attempt, digits);
        let deadline = call.deadline;
        let session = self.calls.insert(call);
        let trunk = command.endpoint.local().split('/').next().unwrap_or("");
        let tenant = self.config.trunks.iter().position(|name| name == trunk);
        let is_redial = command.parameters.get(parameter::REDIAL).is_some_and(|value| value != "0");
        let accepted = SessionStep::Accepted {
            service: dialled.map_or(0, |dialled| dialled.service.index()),
            tenant,
            destination: dialled.map_or(-1, |dialled| dialled.destination),
            called_number: digits.to_owned(),
            is_redial,
        };
        self.emit_step(session, accepted);
        let Some(ResolvedNumber { service, destination }) = dialled else {
            // The numbering plan does not contain the number.
            return self.fail(session, None);
        };
        if !self.drain_state.accepts_sessions() || self.calls.len() > self.config.max_sessions {
            let retry_after = self.config.controller.max_retry_after;
            return self.reject(session, (retry_after > Span::ZERO).then_some(retry_after), None);
        }
        let request = CallRequest {
            service,
            tenant: tenant.map(TenantIx::new),
            called_number: Some(self.called_numbers.index(digits)),
            destination,
            deadline,
            is_redial,
        };
        self.policy.on_call_request(session, request);
    }

    fn new_call(&self, from: SocketAddr, command: &Command, attempt: &str, digits: &str) -> Call {
        let mut call =
            Call::new(from, command.endpoint.clone(), attempt.to_owned(), digits.to_owned(), self.now);
        let caller_limit = command
            .parameters
            .parse::<u32>(parameter::TIMER_LIMIT)
            .map(|ms| Span::from_millis(u64::from(ms)));
        let service_limit = self
            .config
            .numbering_plan
            .resolve(digits)
            .map_or(Span::ZERO, |dialled| self.config.timer_limits[dialled.service.index()]);
        // After a stall the time for which the attempt may have been unread is subtracted from its caller's limit.
        let limit = caller_limit.map_or(service_limit, |limit| limit.min(service_limit)) - self.input_delay;
        call.deadline = self.now + (limit - self.config.answer_margin);
        // The retransmissions of one INVITE that stays open until the deadline; all INVITEs of the session share them.
        call.remaining_repeats = self.config.transactions.max_retransmissions(call.deadline.since(self.now));
        call.connection = command.parameters.get(parameter::CONNECTION_ID).map(str::to_owned);
        call
    }

    /// Handles a caller's hang-up. If no session of the attempt is held, for example after a restart of this front, the
    /// hang-up may name the far end of the call, which is then released at its server.
    fn handle_hang_up(&mut self, from: SocketAddr, command: &Command, attempt: &str) {
        if let Some(session) = self.calls.find(attempt) {
            return self.end_session_of_caller(session);
        }
        // The attempt itself may still be received: the hang-up has overtaken it, or the gateway repeats it because the
        // response of this front's former process was lost.
        self.ended_attempts.insert(attempt.to_owned());
        let far_end = command.parameters.get(parameter::FAR_END).and_then(|far_end| {
            let (connection, endpoint) = far_end.split_once(' ')?;
            Some((connection, endpoint.parse::<Endpoint>().ok()?))
        });
        let Some((connection, endpoint)) = far_end else { return };
        match self.server_table.find_by_name(endpoint.domain()) {
            Some(server) => {
                let to = self.server_table.endpoint(server).address;
                self.release_connection(to, endpoint, Some(attempt), Some(connection));
            }
            None => self.ignore_message(
                from,
                format!(
                    "hang-up of attempt {attempt}: server {} of its far end is not listed",
                    endpoint.domain()
                ),
            ),
        }
    }

    pub(super) fn on_caller_gone(&mut self, session: SessionKey) {
        if self.calls.is_current(session) {
            self.end_session_of_caller(session.index);
        }
    }

    fn end_session_of_caller(&mut self, session: SessionIx) {
        let Some(call) = self.calls.get(session) else { return };
        match call.phase.clone() {
            Phase::Pending => {
                self.policy.on_caller_gone(session);
                self.emit_step(session, SessionStep::CallerGone { invite: None });
                self.calls.remove(session);
            }
            Phase::Inviting(invite) => {
                let abandoned = AbandonedInvite {
                    server: self.server_name(invite.server),
                    waited: self.now.since(invite.sent),
                };
                self.emit_step(session, SessionStep::CallerGone { invite: Some(abandoned) });
                self.policy.on_caller_gone(session);
                self.cancel_invite(session);
                self.policy.on_invite_ended(session, invite.server, InviteOutcome::Cancelled, true);
                self.calls.remove(session);
            }
            Phase::Established(circuit) => self.release_established(session, circuit),
            Phase::Releasing => {}
        }
    }

    /// Sends the final answer of an established session: connects the caller.
    pub(super) fn connect_caller(
        &mut self,
        session: SessionIx,
        circuit: &Circuit,
        description: Option<Vec<u8>>,
    ) {
        let Some(call) = self.calls.get(session) else { return };
        let mut command = Command::new(Verb::ModifyConnection, 0, call.line.clone())
            .with(parameter::CALL_ID, &call.attempt)
            .with(parameter::ATTEMPT, &call.attempt)
            .with(parameter::CONNECTION_MODE, "sendrecv")
            .with(parameter::REQUESTED_EVENTS, REQUEST_HANG_UP)
            .with(parameter::FAR_END, format!("{} {}", circuit.connection, circuit.endpoint));
        if let Some(connection) = &call.connection {
            command.parameters.add(parameter::CONNECTION_ID, connection);
        }
        command.description = description;
        let (gateway, key) = (call.gateway, self.calls.key(session));
        self.send_command(gateway, command, PendingCommand::ConnectCaller(key));
    }

    /// Sends the final answer of a rejected session: a busy tone, and the time to wait before a redial, if given.
    pub(super) fn reject(
        &mut self,
        session: SessionIx,
        retry_after: Option<Span>,
        cause: Option<RejectionCause>,
    ) {
        let retry_after_ms = retry_after.map(|span| span.micros() / 1_000);
        self.emit_step(session, SessionStep::Rejected { cause, refused: true, retry_after_ms });
        self.send_tone(session, BUSY_TONE, retry_after_ms);
    }

    /// Sends the final answer of a failed session: a reorder tone.
    pub(super) fn fail(&mut self, session: SessionIx, cause: Option<RejectionCause>) {
        self.emit_step(session, SessionStep::Rejected { cause, refused: false, retry_after_ms: None });
        self.send_tone(session, REORDER_TONE, None);
    }

    fn send_tone(&mut self, session: SessionIx, signal: &str, retry_after_ms: Option<u64>) {
        let Some(call) = self.calls.remove(session) else { return };
        let mut command = Command::new(Verb::NotificationRequest, 0, call.line)
            .with(parameter::REQUEST_IDENTIFIER, &call.attempt)
            .with(parameter::ATTEMPT, &call.attempt)
            .with(parameter::REQUESTED_EVENTS, REQUEST_HANG_UP)
            .with(parameter::SIGNAL_REQUESTS, signal);
        if let Some(ms) = retry_after_ms {
            command.parameters.add(parameter::CALLER_RETRY_AFTER, ms);
        }
        self.send_command(call.gateway, command, PendingCommand::NoFollowUp);
    }

    /// Releases the caller's side of an established call that its server has released or lost. The caller already has
    /// its final answer.
    pub(super) fn release_caller_side(&mut self, session: SessionIx, server: ServerIx) {
        let server = self.server_name(server);
        self.emit_step(session, SessionStep::CutByServer { server });
        let Some(call) = self.calls.remove(session) else { return };
        let mut command = Command::new(Verb::DeleteConnection, 0, call.line)
            .with(parameter::CALL_ID, &call.attempt)
            .with(parameter::ATTEMPT, &call.attempt);
        if let Some(connection) = &call.connection {
            command.parameters.add(parameter::CONNECTION_ID, connection);
        }
        self.send_command(call.gateway, command, PendingCommand::NoFollowUp);
    }
}
