//! Traffic between callers and fronts: the call attempts that a front accepts, and the final answer to each.

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Verb, parameter};
use thiserror::Error;

use super::front_state::Attempt;
use super::{ANSWER_GRACE, CallRules, SOCKET_DELAY};
use crate::audit::Rule;
use crate::audit::dialled::{dialled_digits, dialled_service};

impl CallRules<'_> {
    /// Handles a caller's NTFY that reached its front: a new call attempt or a hang-up.
    pub(super) fn on_command_from_caller(&mut self, time: Moment, front: u16, command: &Command) {
        if command.verb != Verb::Notify {
            return;
        }
        let Some(attempt_id) = command.parameters.get(parameter::ATTEMPT) else { return };
        let events = command.parameters.get(parameter::OBSERVED_EVENTS).unwrap_or("");
        let front = self.fronts.entry(front).or_default();
        if front.killed {
            return;
        }
        if events.contains("L/hu") {
            // The network can reorder a hang-up before its attempt; such an attempt needs no answer.
            let attempt =
                front.attempts.entry(attempt_id.to_owned()).or_insert_with(|| Attempt::abandoned(time));
            attempt.hung_up_at.get_or_insert(time);
        } else if events.contains("L/hd") && !front.attempts.contains_key(attempt_id) {
            let attempt = Attempt::new(time, time + time_limit(self.scenario, command, events));
            front.attempts.insert(attempt_id.to_owned(), attempt);
            self.verdict.coverage_mut(Rule::FinalAnswer).count_case();
        }
    }

    /// Handles a command that a front sent to a caller's line. MDCX (established) and RQNT with a signal (rejected)
    /// are final answers.
    pub(super) fn on_command_to_caller(&mut self, time: Moment, front: u16, command: &Command) {
        let is_final_answer = match command.verb {
            Verb::ModifyConnection => true,
            Verb::NotificationRequest => command.parameters.get(parameter::SIGNAL_REQUESTS).is_some(),
            _ => false,
        };
        if !is_final_answer {
            return;
        }
        let Some(attempt_id) = command.parameters.get(parameter::ATTEMPT) else { return };
        let Some(front) = self.fronts.get_mut(&front) else { return };
        let resumed_at = front.resumed_at;
        let Some(attempt) = front.attempts.get_mut(attempt_id) else {
            let description = "a final answer for a try that the front has not taken";
            return self.verdict.add_violation(Rule::FinalAnswer, attempt_id, time, description);
        };
        if !attempt.answers.insert(command.transaction) {
            return;
        }
        if attempt.answers.len() > 1 {
            let description = "a second final answer";
            return self.verdict.add_violation(Rule::FinalAnswer, attempt_id, time, description);
        }
        attempt.answered_at = Some(time);
        let answer = FinalAnswer {
            time,
            accepted_at: attempt.accepted_at,
            deadline: attempt.deadline,
            hung_up_at: attempt.hung_up_at,
            resumed_at,
        };
        match answer.check() {
            Ok(Some(usage)) => self.verdict.coverage_mut(Rule::FinalAnswer).record_usage(usage),
            Ok(None) => {}
            Err(error) => {
                self.verdict.add_violation(Rule::FinalAnswer, attempt_id, time, error.to_string());
            }
        }
    }
}

/// Returns the time from a call attempt to its deadline: the smaller of the service's timer limit and the limit that
/// the caller requests, if any.
fn time_limit(scenario: &Scenario, command: &Command, events: &str) -> Span {
    let service = dialled_service(scenario, &dialled_digits(events));
    let timer_limit = service.map_or(Span::ZERO, |service| scenario.front.timer_limits[service]);
    let requested_ms = command.parameters.parse::<u32>(parameter::TIMER_LIMIT);
    requested_ms.map_or(timer_limit, |ms| Span::from_millis(u64::from(ms)).min(timer_limit))
}

/// The reason why a final answer violates rule 1.
#[derive(Clone, Copy, Debug, Error)]
enum LateAnswer {
    #[error("a final answer {late_ms} ms after the caller hung up")]
    AfterHangUp { late_ms: u64 },
    #[error("its final answer came {late_ms} ms after the timer limit")]
    AfterDeadline { late_ms: u64 },
}

/// The first final answer to a call attempt, with the times that decide whether it is allowed.
struct FinalAnswer {
    time: Moment,
    accepted_at: Moment,
    deadline: Moment,
    hung_up_at: Option<Moment>,
    /// When the front's process last continued after SIGSTOP.
    resumed_at: Option<Moment>,
}

impl FinalAnswer {
    /// Returns the fraction of the allowed time that was used, or the reason for a violation. Returns `None` if the
    /// front's process has just resumed, because the answer then says nothing about the front's timing.
    fn check(&self) -> Result<Option<f64>, LateAnswer> {
        let since_resumed = self.resumed_at.map(|resumed_at| self.time.since(resumed_at));
        let just_resumed = since_resumed.is_some_and(|since| since <= SOCKET_DELAY);
        if let Some(hung_up_at) = self.known_hang_up() {
            if just_resumed {
                return Ok(None);
            }
            let late_ms = self.time.since(hung_up_at).micros() / 1_000;
            return Err(LateAnswer::AfterHangUp { late_ms });
        }
        if just_resumed {
            return Ok(None);
        }
        if self.time > self.deadline + ANSWER_GRACE {
            let late_ms = self.time.since(self.deadline).micros() / 1_000;
            return Err(LateAnswer::AfterDeadline { late_ms });
        }
        let allowed = self.deadline.since(self.accepted_at);
        Ok(Some(self.time.since(self.accepted_at).ratio(allowed).min(1.0)))
    }

    /// Returns when the caller hung up, if the front must have read the hang-up by the time of its answer.
    fn known_hang_up(&self) -> Option<Moment> {
        self.hung_up_at.filter(|hung_up_at| {
            self.time.since(*hung_up_at) > SOCKET_DELAY && *hung_up_at > self.accepted_at
        })
    }
}
