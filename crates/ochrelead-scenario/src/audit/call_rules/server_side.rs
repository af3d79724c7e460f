//! Between fronts and servers: INVITEs (CRCX), their ends, and what servers announce of themselves.

use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Response, TransactionId, Verb, code, parameter};

use super::front_state::{InviteRecord, OutstandingInvite};
use super::{CLOCK_DRIFT, CallRules, DRAIN_GRACE, SOCKET_DELAY};
use crate::audit::{Rule, Verdict};

impl CallRules<'_> {
    /// A front sends a command to a server.
    pub(super) fn on_command_to_server(&mut self, time: Moment, front: u16, server: u16, command: &Command) {
        let attempt_id = command.parameters.get(parameter::CALL_ID).unwrap_or("");
        match command.verb {
            Verb::DeleteConnection => self.on_invite_called_off(time, front, server, attempt_id),
            Verb::CreateConnection => {
                let invite = OutstandingInvite { server, transaction: command.transaction };
                self.on_invite(time, front, attempt_id, invite);
            }
            _ => {}
        }
    }

    fn on_invite_called_off(&mut self, time: Moment, front: u16, server: u16, attempt_id: &str) {
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
        let leave_known_since = front.note_invite_to(invite.server, time);
        let resumed_at = front.resumed_at;
        let Some(attempt) = front.attempts.get_mut(attempt_id) else {
            let description = "an INVITE for a try that the front has not taken";
            return self.verdict.add_violation(Rule::FinalAnswer, attempt_id, time, description);
        };
        let new_invite = NewInvite {
            time,
            server: invite.server,
            attempt_id,
            former_outstanding: attempt.outstanding.replace(invite).is_some(),
            answered: attempt.answered_at.is_some(),
            hung_up_at: attempt.hung_up_at,
            release_started_at: attempt.release_started_at.take(),
            leave_known_since,
            resumed_at,
        };
        new_invite.check_single(self.verdict);
        new_invite.check_caller_waits(self.verdict);
        new_invite.check_server_stays(self.verdict);
        new_invite.check_release_delay(self.scenario.front.controller.resend_delay, self.verdict);
    }

    /// Whether an INVITE repeats an earlier one, which it must not do after that one's end.
    fn is_repeated(&mut self, time: Moment, front: u16, transaction: TransactionId) -> bool {
        let front = self.fronts.entry(front).or_default();
        let Some(record) = front.invites.get(&transaction) else { return false };
        if record.ended_at.is_some_and(|ended_at| time >= ended_at) {
            let description = "an INVITE repeated after its end";
            self.verdict.add_violation(Rule::FinalAnswer, &record.attempt_id, time, description);
        }
        true
    }

    /// A server's response reached a front.
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
        let answers_outstanding = attempt
            .outstanding
            .is_some_and(|invite| invite.transaction == response.transaction && invite.server == server);
        if answers_outstanding {
            record.ended_at = Some(time + SOCKET_DELAY);
            attempt.outstanding = None;
            attempt.release_started_at = needs_release(response).then_some(time);
        }
    }

    /// A server's own command reached a front.
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

/// Whether a response leaves open what became of the call, so that its release has to be awaited.
fn needs_release(response: &Response) -> bool {
    matches!(response.code, code::RESTARTING | code::TIMED_OUT | code::ABORTED | code::ENDPOINT_RESTARTING)
}

/// An INVITE that is no repeat, and what bears on whether it may leave.
struct NewInvite<'a> {
    time: Moment,
    server: u16,
    attempt_id: &'a str,
    /// Whether another INVITE of the attempt is outstanding.
    former_outstanding: bool,
    answered: bool,
    hung_up_at: Option<Moment>,
    /// When the former INVITE ended, where its release has to be awaited.
    release_started_at: Option<Moment>,
    /// Since when the front knows that the server leaves.
    leave_known_since: Option<Moment>,
    /// When the front last went on after a stop.
    resumed_at: Option<Moment>,
}

impl NewInvite<'_> {
    fn check_single(&self, verdict: &mut Verdict) {
        verdict.coverage_mut(Rule::SingleInvite).count_case();
        if self.former_outstanding {
            let description = "an INVITE while another is out";
            verdict.add_violation(Rule::SingleInvite, self.attempt_id, self.time, description);
        }
    }

    fn check_caller_waits(&self, verdict: &mut Verdict) {
        if self.answered {
            let description = "an INVITE after the final answer";
            verdict.add_violation(Rule::FinalAnswer, self.attempt_id, self.time, description);
        }
        if self.hung_up_at.is_some_and(|hung_up_at| !self.may_be_unread(hung_up_at)) {
            let description = "an INVITE after the caller hung up";
            verdict.add_violation(Rule::FinalAnswer, self.attempt_id, self.time, description);
        }
    }

    fn check_server_stays(&self, verdict: &mut Verdict) {
        let coverage = verdict.coverage_mut(Rule::NoNewCallsToLeaving);
        coverage.count_case();
        let Some(known_since) = self.leave_known_since else { return };
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

    /// Whether what reached the front at a moment may still wait in its socket.
    fn may_be_unread(&self, arrived_at: Moment) -> bool {
        let is_recent = |moment: Moment| self.time.since(moment) <= SOCKET_DELAY;
        is_recent(arrived_at) || self.resumed_at.is_some_and(is_recent)
    }
}
