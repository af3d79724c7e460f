//! The servers' side: sends CRCX and DLCX; receives responses, DLCX and RSIP (RFC 3435 sections 2.3.5 to 2.3.12).

use std::net::SocketAddr;

use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::index::{ServerIx, SessionIx};
use ochrelead_core::time::{Moment, Span};
use ochrelead_core::types::{InviteOutcome, LoadReport};
use ochrelead_discovery::server_table::RestartMethod;
use ochrelead_mgcp::message::{Command, Endpoint, Parameters, Response, Verb, code, parameter};

use super::Engine;
use super::call_table::{Circuit, Invite, Phase, SessionKey};
use super::transactions::PendingCommand;
use crate::events::{EngineEvent, SessionStep};
use crate::outcomes;
use crate::releases::Release;

/// The delay of a command that is lost three times, in initial retransmission time-outs: the time-out doubles, so the
/// fourth transmission is sent after 1 + 2 + 4 of them (RFC 3435 section 3.5.3).
const LATE_COMMAND_RTOS: u64 = 7;
/// A line capacity is reported as an event if its number of free lines is a multiple of this.
const LINE_SAMPLING_INTERVAL: u32 = 4;
/// The wildcards for any one endpoint and for all endpoints of a trunk group (RFC 3435 section 2.1.2).
const ANY_CIRCUIT: &str = "$";
const ALL_CIRCUITS: &str = "*";

impl Engine {
    /// Passes the line capacity and the load report of a server's message to the policy.
    pub(super) fn update_load(&mut self, server: ServerIx, parameters: &Parameters) {
        if let Some(lines) = outcomes::parse_lines(parameters) {
            self.policy.on_line_capacity(server, lines);
        }
        let report = outcomes::parse_load_report(parameters);
        if report != LoadReport::default() {
            self.policy.on_load_report(server, report);
        }
    }

    /// Reports a sample of a server's line capacities as events. A server sends each capacity to all fronts at the same
    /// time, and all fronts report the same sample, so that the clocks of their event logs can be aligned.
    pub(super) fn sample_lines(&mut self, server: ServerIx, parameters: &Parameters) {
        let Some(lines) = outcomes::parse_lines(parameters) else { return };
        if lines.free % LINE_SAMPLING_INTERVAL != 0 {
            return;
        }
        if self.sampled_lines.len() <= server.index() {
            self.sampled_lines.resize(server.index() + 1, None);
        }
        if self.sampled_lines[server.index()].replace(lines) != Some(lines) {
            let name = self.server_name(server);
            self.emit(EngineEvent::Lines { name, lines });
        }
    }

    fn trunk_endpoint(&self, server: ServerIx, circuit: &str) -> Endpoint {
        let ServerEndpoint { name, trunk, .. } = self.server_table.endpoint(server);
        let endpoint = format!("{trunk}/{circuit}@{name}");
        endpoint.parse().expect("the names of listed servers were validated as parts of endpoint names")
    }

    /// Sends an INVITE, as one CRCX transaction on the server's trunk group.
    pub(super) fn send_invite(&mut self, session: SessionIx, server: ServerIx, answer_timeout: Option<Span>) {
        let Some(call) = self.calls.get(session) else { return };
        let deadline = call.deadline;
        let command = Command::new(Verb::CreateConnection, 0, self.trunk_endpoint(server, ANY_CIRCUIT))
            .with(parameter::CALL_ID, &call.attempt)
            .with(parameter::CONNECTION_MODE, "sendrecv")
            .with(parameter::LOCAL_CONNECTION_OPTIONS, "p:20, a:PCMU")
            .with(parameter::ATTEMPT, &call.attempt)
            .with(parameter::CALLED_NUMBER, &call.called_number);
        let max_repeats = call.remaining_repeats;
        let address = self.server_table.endpoint(server).address;
        let key = self.calls.key(session);
        let sequence = self.calls.count_invite(session);
        let name = self.server_name(server);
        let reason = self.policy.last_reason();
        self.emit_step(session, SessionStep::Invited { server: name, attempt: sequence, reason });
        let pending = PendingCommand::Invite(key);
        let Some(transaction) = self.send_command_with_repeats(address, command, pending, max_repeats) else {
            return self.policy.on_invite_ended(session, server, InviteOutcome::Unsent, false);
        };
        let times_out_at = answer_timeout.map_or(deadline, |span| deadline.min(self.now + span));
        let invite = Invite { server, address, transaction, sent: self.now, times_out_at };
        self.calls.set_phase(session, Phase::Inviting(invite));
    }

    /// Handles the final response to the session's open INVITE.
    pub(super) fn on_invite_answered(&mut self, key: SessionKey, response: &Response) {
        if !self.calls.is_current(key) {
            return;
        }
        let session = key.index;
        let Some(invite) = self.open_invite(session) else { return };
        if let Some(outcome) = outcomes::from_response(response) {
            return self.end_invite(session, invite, outcome);
        }
        let Some(circuit) = parse_circuit(invite.server, invite.address, response, self.now) else {
            // The response establishes the call but names no valid circuit, so the call can't be used, and is released
            // by its call id.
            self.release_call(invite, session);
            return self.end_invite(session, invite, InviteOutcome::Failed { lines_busy: false });
        };
        self.policy.on_call_established(session);
        let requested_at = self.calls.get(session).map_or(self.now, |call| call.requested_at);
        let established = SessionStep::Established {
            server: self.server_name(invite.server),
            set_up_time: self.now.since(invite.sent),
            since_request: self.now.since(requested_at),
        };
        self.emit_step(session, established);
        self.calls.set_phase(session, Phase::Established(circuit.clone()));
        self.connect_caller(session, &circuit, response.description.clone());
    }

    fn open_invite(&self, session: SessionIx) -> Option<Invite> {
        match self.calls.get(session)?.phase {
            Phase::Inviting(invite) => Some(invite),
            _ => None,
        }
    }

    /// Ends an INVITE that was not answered: cancels it, so that the server releases any circuit reserved for it.
    pub(super) fn abort_invite(&mut self, session: SessionIx, outcome: InviteOutcome) {
        let Some(invite) = self.open_invite(session) else { return };
        self.cancel_invite(session);
        self.end_invite(session, invite, outcome);
    }

    fn end_invite(&mut self, session: SessionIx, invite: Invite, outcome: InviteOutcome) {
        let server = invite.server;
        let name = self.server_name(server);
        let duration = self.now.since(invite.sent);
        self.calls.consume_repeats(session, self.config.transactions.max_retransmissions(duration));
        self.emit_step(session, SessionStep::InviteEnded { server: name, outcome, duration });
        self.calls.set_phase(session, Phase::Pending);
        self.policy.on_invite_ended(session, server, outcome, false);
    }

    /// Stops the retransmissions of the INVITE, and requests the server to release all connections of the call
    /// (RFC 3435 section 2.3.9).
    pub(super) fn cancel_invite(&mut self, session: SessionIx) {
        let Some(invite) = self.open_invite(session) else { return };
        self.abandon_invite(invite);
        self.release_call(invite, session);
    }

    fn abandon_invite(&mut self, invite: Invite) {
        self.transactions.abandon(self.now, invite.transaction);
        self.pending_commands.remove(&invite.transaction);
    }

    fn release_call(&mut self, invite: Invite, session: SessionIx) {
        let Some(attempt) = self.calls.get(session).map(|call| call.attempt.clone()) else { return };
        let endpoint = self.trunk_endpoint(invite.server, ALL_CIRCUITS);
        let release = Release::new(invite.address, endpoint, Some(&attempt), None);
        self.send_release(release.of_invite(invite.transaction));
    }

    /// Releases a connection at a server.
    pub(super) fn release_connection(
        &mut self,
        to: SocketAddr,
        endpoint: Endpoint,
        call: Option<&str>,
        connection: Option<&str>,
    ) {
        self.send_release(Release::new(to, endpoint, call, connection));
    }

    pub(super) fn send_release(&mut self, release: Release) {
        let mut command = Command::new(Verb::DeleteConnection, 0, release.endpoint.clone());
        if let Some(call) = &release.call {
            command.parameters.add(parameter::CALL_ID, call);
        }
        if let Some(connection) = &release.connection {
            command.parameters.add(parameter::CONNECTION_ID, connection);
        }
        if let Some(transaction) = self.send_command(release.to, command, PendingCommand::ReleaseOrphan) {
            self.releases.on_sent(transaction, release);
        }
    }

    /// Handles a response that matches no open command. If it establishes a call, no session will ever release that
    /// call: it is released here, unless a session uses its circuit by now.
    pub(super) fn release_unclaimed_call(&mut self, from: SocketAddr, response: &Response) {
        let Some(server) = self.server_table.find_by_address(from) else { return };
        if response.code != code::DONE {
            return;
        }
        let Some(circuit) = parse_circuit(server, from, response, self.now) else { return };
        if self.calls.is_circuit_in_use(&circuit.endpoint) {
            return;
        }
        let step = SessionStep::UnclaimedCallReleased { server: self.server_name(server) };
        let attempt = response.parameters.get(parameter::ATTEMPT).unwrap_or("").to_owned();
        self.emit(EngineEvent::Session { attempt, step });
        self.release_connection(from, circuit.endpoint, None, Some(&circuit.connection));
    }

    /// Releases an established call at its server, because the caller has hung up.
    pub(super) fn release_established(&mut self, session: SessionIx, circuit: Circuit) {
        let Some(call) = self.calls.get(session) else { return };
        let release = Release::new(
            circuit.address,
            circuit.endpoint.clone(),
            Some(&call.attempt),
            Some(&circuit.connection),
        );
        let command = Command::new(Verb::DeleteConnection, 0, circuit.endpoint)
            .with(parameter::CALL_ID, &call.attempt)
            .with(parameter::CONNECTION_ID, &circuit.connection);
        let key = self.calls.key(session);
        self.calls.set_phase(session, Phase::Releasing);
        match self.send_command(circuit.address, command, PendingCommand::Release(key, circuit.server)) {
            Some(transaction) => self.releases.on_sent(transaction, release),
            None => self.on_released(key, circuit.server, InviteOutcome::TimedOut),
        }
    }

    /// Ends a session whose release was confirmed or has timed out.
    pub(super) fn on_released(&mut self, key: SessionKey, server: ServerIx, outcome: InviteOutcome) {
        if self.calls.is_current(key) {
            let confirmed = outcome == InviteOutcome::Released;
            let step = SessionStep::Released { server: self.server_name(server), confirmed };
            self.emit_step(key.index, step);
            self.policy.on_invite_ended(key.index, server, outcome, true);
            self.calls.remove(key.index);
        }
    }

    /// Handles a call's release by its server (RFC 3435 section 2.3.10).
    pub(super) fn handle_server_release(&mut self, from: SocketAddr, command: &Command) {
        let session = command.parameters.get(parameter::CALL_ID).and_then(|call| self.calls.find(call));
        let session_and_server = session.and_then(|session| Some((session, self.serving_server(session)?)));
        let Some((session, (server, _))) = session_and_server.filter(|(_, (_, address))| *address == from)
        else {
            return self.respond(from, code::UNKNOWN_CALL, command);
        };
        self.respond(from, code::DELETED, command);
        self.on_call_lost(session, server);
    }

    /// The server of the session's INVITE or call, and the address of that server's process.
    fn serving_server(&self, session: SessionIx) -> Option<(ServerIx, SocketAddr)> {
        match &self.calls.get(session)?.phase {
            Phase::Inviting(invite) => Some((invite.server, invite.address)),
            Phase::Established(circuit) => Some((circuit.server, circuit.address)),
            Phase::Pending | Phase::Releasing => None,
        }
    }

    /// Whether the session's INVITE or call is at the process with this address.
    pub(super) fn is_served_from(&self, session: SessionIx, address: SocketAddr) -> bool {
        self.serving_server(session).is_some_and(|(_, serving)| serving == address)
    }

    /// Ends a call that its server has released or lost.
    fn on_call_lost(&mut self, session: SessionIx, server: ServerIx) {
        match self.calls.get(session).map(|call| call.phase.clone()) {
            Some(Phase::Inviting(invite)) => {
                self.abandon_invite(invite);
                self.end_invite(session, invite, InviteOutcome::Reset);
            }
            Some(Phase::Established(_)) => {
                self.policy.on_invite_ended(session, server, InviteOutcome::Reset, true);
                self.release_caller_side(session, server);
            }
            _ => {}
        }
    }

    /// Releases a call that may belong to a server's new process. The announcement of a restart is late if it was lost
    /// and retransmitted: a call that was set up, or whose INVITE was retransmitted, shortly before it was received may
    /// be held by the new process, which would otherwise never release it.
    fn release_if_recent(&mut self, session: SessionIx) {
        let Some(call) = self.calls.get(session) else { return };
        let (attempt, max_delay) =
            (call.attempt.clone(), self.config.transactions.initial_rto * LATE_COMMAND_RTOS);
        match call.phase.clone() {
            Phase::Inviting(invite) if self.now.since(invite.sent) < max_delay => {
                self.release_call(invite, session);
            }
            Phase::Established(circuit) if self.now.since(circuit.established_at) < max_delay => {
                let Circuit { address, endpoint, connection, .. } = circuit;
                self.release_connection(address, endpoint, Some(&attempt), Some(&connection));
            }
            _ => {}
        }
    }

    /// Handles an RSIP: a server announces its restart, its drain or its end.
    pub(super) fn handle_restart(&mut self, from: SocketAddr, command: &Command) {
        let server = self.server_table.find_by_name(command.endpoint.domain());
        let Some(server) = server.filter(|server| self.server_table.find_by_address(from) == Some(*server))
        else {
            self.respond(from, code::UNKNOWN_ENDPOINT, command);
            return self.ignore_message(
                from,
                format!(
                    "RSIP of {}: no listed server of this name has the sender's address",
                    command.endpoint
                ),
            );
        };
        let value = command.parameters.get(parameter::RESTART_METHOD).unwrap_or("");
        let Some(method) = RestartMethod::parse(value) else {
            self.respond(from, code::PROTOCOL_ERROR, command);
            return self.ignore_message(from, format!("RSIP with unknown restart method {value:?}"));
        };
        self.respond(from, code::DONE, command);
        // The delay in the RSIP of a drain is its duration, not its start: the server gets no new calls from now on.
        let Some(effect) = self.server_table.handle_restart(server, method, self.now) else { return };
        if effect.calls_lost {
            self.end_lost_calls(server, from);
        }
        self.policy.on_endpoints(false, &[effect.update]);
        let name = self.server_name(server);
        self.emit(EngineEvent::ServerRestart { name, state: restart_state(method) });
        self.emit(EngineEvent::EndpointsChanged(self.server_table.listed_servers()));
    }

    /// Ends the calls and INVITEs of a server's process that has ended.
    fn end_lost_calls(&mut self, server: ServerIx, address: SocketAddr) {
        let sessions = [self.calls.inviting_at(server), self.calls.established_at(server)].concat();
        for session in sessions {
            // Calls at the server's former address belong to another process.
            if self.is_served_from(session, address) {
                self.release_if_recent(session);
                self.on_call_lost(session, server);
            }
        }
    }
}

/// The server's state after an RSIP with this restart method, as it is written to the event log.
fn restart_state(method: RestartMethod) -> &'static str {
    match method {
        RestartMethod::Restart => "started",
        RestartMethod::Graceful => "drains",
        RestartMethod::Forced => "gone",
        RestartMethod::CancelGraceful | RestartMethod::Disconnected => "back",
    }
}

/// Reads the circuit of an established call from the response (RFC 3435 section 2.3.5: `Z` names the endpoint if the
/// command had a wildcard).
fn parse_circuit(
    server: ServerIx,
    address: SocketAddr,
    response: &Response,
    established_at: Moment,
) -> Option<Circuit> {
    let endpoint = response.parameters.get(parameter::SPECIFIC_ENDPOINT_ID)?.parse().ok()?;
    let connection = response.parameters.get(parameter::CONNECTION_ID)?.to_owned();
    Some(Circuit { server, address, endpoint, connection, established_at })
}
