//! Dispatches the events of the MGCP transaction layer: commands of gateways and servers, responses to this front's
//! commands, and time-outs of commands that were not answered.

use std::net::SocketAddr;

use ochrelead_core::index::ServerIx;
use ochrelead_core::types::InviteOutcome;
use ochrelead_mgcp::message::{Command, Response, TransactionId, Verb, code};
use ochrelead_mgcp::transaction::{ResponseMatch, TransactionEvent};

use super::Engine;
use super::call_table::SessionKey;

/// Return codes from this one on report an error (RFC 3435 section 2.4).
const FIRST_ERROR_CODE: u16 = 400;

/// The purpose of a command that this front has sent and that is not answered yet.
pub(super) enum PendingCommand {
    /// An INVITE.
    Invite(SessionKey),
    /// The release of an established call at its server.
    Release(SessionKey, ServerIx),
    /// The request to the caller's gateway to connect the caller.
    ConnectCaller(SessionKey),
    /// The release of a call that belongs to no session.
    ReleaseOrphan,
    /// A tone, or the release of the caller's side; the response is not used.
    NoFollowUp,
}

impl Engine {
    pub(super) fn handle_transaction_events(&mut self) {
        while let Some(event) = self.transactions.poll_event() {
            match event {
                TransactionEvent::CommandReceived { from, command } => self.handle_command(from, &command),
                TransactionEvent::ResponseReceived { from, response, matched } => {
                    self.handle_response(from, &response, matched);
                }
                TransactionEvent::TimedOut { transaction, .. } => self.handle_no_response(transaction),
                TransactionEvent::CommandRepeated { .. } => {}
                TransactionEvent::InvalidMessage { from, error } => {
                    self.ignore_message(from, error.to_string());
                }
                TransactionEvent::InvalidDatagram { from, error } => {
                    self.ignore_message(from, error.to_string());
                }
                TransactionEvent::CommandRefused { from, .. } => {
                    self.ignore_message(
                        from,
                        "command refused: too many commands of gateways and servers are open",
                    );
                }
            }
        }
    }

    fn handle_command(&mut self, from: SocketAddr, command: &Command) {
        let server = self.server_table.find_by_address(from);
        if let Some(server) = server {
            self.record_heard(server);
            self.update_load(server, &command.parameters);
        }
        match (command.verb, server) {
            (Verb::Notify, None) => self.handle_notify(from, command),
            (Verb::Notify, Some(server)) => {
                self.respond(from, code::DONE, command);
                self.sample_lines(server, &command.parameters);
            }
            (Verb::DeleteConnection, _) => self.handle_server_release(from, command),
            (Verb::RestartInProgress, _) => self.handle_restart(from, command),
            (Verb::AuditEndpoint, _) => self.respond(from, code::DONE, command),
            _ => {
                // The other commands are sent by call agents and executed by gateways (RFC 3435 section 2.3).
                self.respond(from, code::UNSUPPORTED, command);
                self.ignore_message(
                    from,
                    format!("{} is not a command to a call agent", command.verb.code()),
                );
            }
        }
    }

    fn handle_response(&mut self, from: SocketAddr, response: &Response, matched: ResponseMatch) {
        if let Some(server) = self.server_table.find_by_address(from) {
            self.record_heard(server);
            self.update_load(server, &response.parameters);
        }
        if matched != ResponseMatch::Outstanding {
            // The command has timed out, or was sent by the process that ran here before a restart: a call that it set
            // up is released. If the same id belongs to an open command to another peer, that command stays open.
            if matched == ResponseMatch::Late {
                self.releases.on_invite_answered(response.transaction);
            }
            return self.release_unclaimed_call(from, response);
        }
        match self.pending_commands.remove(&response.transaction) {
            Some(PendingCommand::Invite(session)) => self.on_invite_answered(session, response),
            Some(PendingCommand::Release(session, server)) => {
                self.releases.on_confirmed(self.now, response.transaction);
                self.on_released(session, server, InviteOutcome::Released);
            }
            Some(PendingCommand::ConnectCaller(session)) => {
                // The caller's gateway does not know the call: the caller has hung up, and the NTFY was lost.
                if response.code >= FIRST_ERROR_CODE {
                    self.on_caller_gone(session);
                }
            }
            Some(PendingCommand::ReleaseOrphan) => {
                self.releases.on_confirmed(self.now, response.transaction);
            }
            Some(PendingCommand::NoFollowUp) | None => {}
        }
    }

    fn handle_no_response(&mut self, transaction: TransactionId) {
        match self.pending_commands.remove(&transaction) {
            Some(PendingCommand::Invite(session)) if self.calls.is_current(session) => {
                self.abort_invite(session.index, InviteOutcome::TimedOut);
            }
            Some(PendingCommand::Release(session, server)) => {
                self.releases.on_unanswered(self.now, transaction);
                self.on_released(session, server, InviteOutcome::TimedOut);
            }
            Some(PendingCommand::ReleaseOrphan) => self.releases.on_unanswered(self.now, transaction),
            Some(PendingCommand::ConnectCaller(session)) => self.on_caller_gone(session),
            _ => {}
        }
    }

    /// Responds to a command with a bare return code.
    pub(super) fn respond(&mut self, to: SocketAddr, code: u16, command: &Command) {
        self.transactions.respond(to, Response::new(code, command.transaction));
    }

    /// Sends a command; returns `None` if the table of open commands is full.
    pub(super) fn send_command(
        &mut self,
        to: SocketAddr,
        command: Command,
        pending: PendingCommand,
    ) -> Option<TransactionId> {
        self.send_command_with_repeats(to, command, pending, u32::MAX)
    }

    /// Sends a command with at most `max_repeats` retransmissions; returns `None` if the table of open commands is
    /// full.
    pub(super) fn send_command_with_repeats(
        &mut self,
        to: SocketAddr,
        command: Command,
        pending: PendingCommand,
        max_repeats: u32,
    ) -> Option<TransactionId> {
        match self.transactions.send_command_with_limit(self.now, to, command, max_repeats) {
            Ok(transaction) => {
                self.pending_commands.insert(transaction, pending);
                Some(transaction)
            }
            Err(full) => {
                self.ignore_message(to, full.to_string());
                None
            }
        }
    }

    fn record_heard(&mut self, server: ServerIx) {
        if self.last_heard.len() <= server.index() {
            self.last_heard.resize(server.index() + 1, None);
        }
        self.last_heard[server.index()] = Some(self.now);
    }
}
