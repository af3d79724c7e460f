//! Between callers and fronts: which call attempts a front accepts, and the final answer of each.

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Verb, parameter};
use thiserror::Error;

use super::front_state::Attempt;
use super::{ANSWER_GRACE, CallRules, SOCKET_DELAY};
use crate::audit::Rule;
use crate::audit::dialled::{dialled_digits, dialled_service};

impl CallRules<'_> {
    /// A caller's NTFY reached its front.
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
            // A hang-up may overtake its attempt: then nothing is owed when that comes.
            let attempt =
                front.attempts.entry(attempt_id.to_owned()).or_insert_with(|| Attempt::abandoned(time));
            attempt.hung_up_at.get_or_insert(time);
        } else if events.contains("L/hd") && !front.attempts.contains_key(attempt_id) {
            let attempt = Attempt::new(time, time + time_limit(self.scenario, command, events));
            front.attempts.insert(attempt_id.to_owned(), attempt);
            self.verdict.coverage_mut(Rule::FinalAnswer).count_case();
        }
    }

    /// A front sends a command to a caller's line.
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

/// The time from a call attempt to its deadline: the timer limit of the service, or the caller's own where shorter.
fn time_limit(scenario: &Scenario, command: &Command, events: &str) -> Span {
    let service = dialled_service(scenario, &dialled_digits(events));
    let timer_limit = service.map_or(Span::ZERO, |service| scenario.front.timer_limits[service]);
    let patience = command.parameters.parse::<u32>(parameter::TIMER_LIMIT);
    patience.map_or(timer_limit, |ms| Span::from_millis(u64::from(ms)).min(timer_limit))
}

/// How a final answer breaks its rule.
#[derive(Clone, Copy, Debug, Error)]
enum LateAnswer {
    #[error("a final answer {late_ms} ms after the caller hung up")]
    AfterHangUp { late_ms: u64 },
    #[error("its final answer came {late_ms} ms after the timer limit")]
    AfterDeadline { late_ms: u64 },
}

/// The first final answer of a call attempt, and what bears on whether it may leave.
struct FinalAnswer {
    time: Moment,
    accepted_at: Moment,
    deadline: Moment,
    hung_up_at: Option<Moment>,
    /// When the front last went on after a stop.
    resumed_at: Option<Moment>,
}

impl FinalAnswer {
    /// Says how much of the allowed time was used, where that counts, or how the rule was broken.
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

    /// When the caller hung up, where the front must know it.
    fn known_hang_up(&self) -> Option<Moment> {
        self.hung_up_at.filter(|hung_up_at| {
            self.time.since(*hung_up_at) > SOCKET_DELAY && *hung_up_at > self.accepted_at
        })
    }
}
