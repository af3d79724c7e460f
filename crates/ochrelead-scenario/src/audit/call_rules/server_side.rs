//! Traffic between fronts and servers: INVITEs (CRCX), how they end, and the servers' state announcements (RSIP).

use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Response, TransactionId, Verb, code, parameter};

use super::front_state::{InviteRecord, OutstandingInvite};
use super::{CLOCK_DRIFT, CallRules, DRAIN_GRACE, SOCKET_DELAY};
use crate::audit::{Rule, Verdict};

impl CallRules<'_> {
    /// Handles a command that a front sent to a server.
    pub(super) fn on_command_to_server(&mut self, time: Moment, front: u16, server: u16, command: &Command) {
        let attempt_id = command.parameters.get(parameter::CALL_ID).unwrap_or("");
        match command.verb {
            Verb::DeleteConnection => self.on_invite_cancelled(time, front, server, attempt_id),
            Verb::CreateConnection => {
                let invite = OutstandingInvite { server, transaction: command.transaction };
                self.on_invite(time, front, attempt_id, invite);
            }
            _ => {}
        }
    }

    fn on_invite_cancelled(&mut self, time: Moment, front: u16, server: u16, attempt_id: &str) {
        let front = self.fronts.entry(front).or_default();
        let Some(attempt) = front.attempts.get_mut(attempt_id) else { return };
        let Some(invite) = attempt.outstanding.filter(|invite| invite.server == server) else { return };
        attempt.outstanding = None;
        attempt.release_started_at = Some(time);
        if let Some(record) = front.invites.get_mut(&invite.transaction) {
            record.ended_at = Some(time);
        }
    }

    fn on_invite(&mut self, time: Moment, front: u16, attempt_id: &str, invite: OutstandingInvite) {
        if self.is_repeated(time, front, invite.transaction) {
            return;
        }
        let front = self.fronts.entry(front).or_default();
        let record = InviteRecord { attempt_id: attempt_id.to_owned(), ended_at: None };
        front.invites.insert(invite.transaction, record);
        let leaving_known_since = front.record_invite_to(invite.server, time);
        let resumed_at = front.resumed_at;
        let Some(attempt) = front.attempts.get_mut(attempt_id) else {
            let description = "an INVITE for a try that the front has not taken";
            return self.verdict.add_violation(Rule::FinalAnswer, attempt_id, time, description);
        };
        let new_invite = NewInvite {
            time,
            server: invite.server,
            attempt_id,
            has_other_outstanding: attempt.outstanding.replace(invite).is_some(),
            answered: attempt.answered_at.is_some(),
            hung_up_at: attempt.hung_up_at,
            release_started_at: attempt.release_started_at.take(),
            leaving_known_since,
            resumed_at,
        };
        new_invite.check_no_other_outstanding(self.verdict);
        new_invite.check_attempt_unanswered(self.verdict);
        new_invite.check_server_not_leaving(self.verdict);
        new_invite.check_release_delay(self.scenario.front.controller.resend_delay, self.verdict);
    }

    /// Returns whether an INVITE is a retransmission. Reports a violation if the INVITE had already ended.
    fn is_repeated(&mut self, time: Moment, front: u16, transaction: TransactionId) -> bool {
        let front = self.fronts.entry(front).or_default();
        let Some(record) = front.invites.get(&transaction) else { return false };
        if record.ended_at.is_some_and(|ended_at| time >= ended_at) {
            let description = "an INVITE repeated after its end";
            self.verdict.add_violation(Rule::FinalAnswer, &record.attempt_id, time, description);
        }
        true
    }

    /// Handles a server's response that reached a front; a final response ends its INVITE.
    pub(super) fn on_response_from_server(
        &mut self,
        time: Moment,
        front: u16,
        server: u16,
        response: &Response,
    ) {
        if response.is_provisional() || response.code == code::ACKNOWLEDGED {
            return;
        }
        let Some(front) = self.fronts.get_mut(&front) else { return };
        let Some(record) = front.invites.get_mut(&response.transaction) else { return };
        let Some(attempt) = front.attempts.get_mut(&record.attempt_id) else { return };
        let ends_outstanding = attempt
            .outstanding
            .is_some_and(|invite| invite.transaction == response.transaction && invite.server == server);
        if ends_outstanding {
            record.ended_at = Some(time + SOCKET_DELAY);
            attempt.outstanding = None;
            attempt.release_started_at = needs_release(response).then_some(time);
        }
    }

    /// Handles a server's command that reached a front: an RSIP changes the server's state, a DLCX resets calls.
    pub(super) fn on_command_from_server(
        &mut self,
        time: Moment,
        front: u16,
        server: u16,
        command: &Command,
    ) {
        let front = self.fronts.entry(front).or_default();
        match command.verb {
            Verb::RestartInProgress if front.restart_commands.insert((server, command.transaction)) => {
                let method =
                    command.parameters.get(parameter::RESTART_METHOD).unwrap_or("").to_ascii_lowercase();
                match method.as_str() {
                    "graceful" => {
                        front.leaving.entry(server).or_insert(time);
                    }
                    "forced" => {
                        front.leaving.entry(server).or_insert(time);
                        front.reset_invites(server, None, time);
                    }
                    "restart" => {
                        front.leaving.remove(&server);
                        front.reset_invites(server, None, time);
                    }
                    "cancel-graceful" => {
                        front.leaving.remove(&server);
                    }
                    _ => {}
                }
            }
            Verb::DeleteConnection => {
                front.reset_invites(server, command.parameters.get(parameter::CALL_ID), time);
            }
            _ => {}
        }
    }
}

/// Whether the server may still hold the call after this response, so that the next INVITE has to wait for its
/// release.
fn needs_release(response: &Response) -> bool {
    matches!(response.code, code::RESTARTING | code::TIMED_OUT | code::ABORTED | code::ENDPOINT_RESTARTING)
}

/// An INVITE that is not a retransmission, with the state that decides whether it is allowed.
struct NewInvite<'a> {
    time: Moment,
    server: u16,
    attempt_id: &'a str,
    /// Whether another INVITE of the attempt is outstanding.
    has_other_outstanding: bool,
    answered: bool,
    hung_up_at: Option<Moment>,
    /// When the previous INVITE ended, if this one has to wait for the release delay.
    release_started_at: Option<Moment>,
    /// The earliest time at which the front could know that the server is leaving.
    leaving_known_since: Option<Moment>,
    /// When the front's process last continued after SIGSTOP.
    resumed_at: Option<Moment>,
}

impl NewInvite<'_> {
    fn check_no_other_outstanding(&self, verdict: &mut Verdict) {
        verdict.coverage_mut(Rule::SingleInvite).count_case();
        if self.has_other_outstanding {
            let description = "an INVITE while another is out";
            verdict.add_violation(Rule::SingleInvite, self.attempt_id, self.time, description);
        }
    }

    fn check_attempt_unanswered(&self, verdict: &mut Verdict) {
        if self.answered {
            let description = "an INVITE after the final answer";
            verdict.add_violation(Rule::FinalAnswer, self.attempt_id, self.time, description);
        }
        if self.hung_up_at.is_some_and(|hung_up_at| !self.may_be_unread(hung_up_at)) {
            let description = "an INVITE after the caller hung up";
            verdict.add_violation(Rule::FinalAnswer, self.attempt_id, self.time, description);
        }
    }

    fn check_server_not_leaving(&self, verdict: &mut Verdict) {
        let coverage = verdict.coverage_mut(Rule::NoNewCallsToLeaving);
        coverage.count_case();
        let Some(known_since) = self.leaving_known_since else { return };
        let elapsed = self.time.since(known_since);
        coverage.record_usage(elapsed.ratio(DRAIN_GRACE).min(1.0));
        if elapsed > DRAIN_GRACE && !self.may_be_unread(known_since) {
            let (server, ms) = (self.server, elapsed.micros() / 1_000);
            let description = format!("an INVITE to server {server} {ms} ms after its leave was told");
            verdict.add_violation(Rule::NoNewCallsToLeaving, self.attempt_id, self.time, description);
        }
    }

    fn check_release_delay(&self, resend_delay: Span, verdict: &mut Verdict) {
        let Some(release_started_at) = self.release_started_at else { return };
        let elapsed = self.time.since(release_started_at);
        let coverage = verdict.coverage_mut(Rule::ReleaseDelay);
        coverage.count_case();
        if elapsed + resend_delay.scaled(CLOCK_DRIFT) < resend_delay {
            let ms = elapsed.micros() / 1_000;
            let description = format!("an INVITE {ms} ms after one that has to be released");
            verdict.add_violation(Rule::ReleaseDelay, self.attempt_id, self.time, description);
        } else {
            coverage.record_usage(resend_delay.ratio(elapsed));
        }
    }

    /// Whether a datagram that reached the front at `arrived_at` can still be unread in its socket buffer.
    fn may_be_unread(&self, arrived_at: Moment) -> bool {
        let is_recent = |moment: Moment| self.time.since(moment) <= SOCKET_DELAY;
        is_recent(arrived_at) || self.resumed_at.is_some_and(is_recent)
    }
}
