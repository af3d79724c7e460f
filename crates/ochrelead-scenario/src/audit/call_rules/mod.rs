//! Rules 1, 2, 3 and 5, which concern single call attempts: the final answer, the number of outstanding INVITEs,
//! servers that leave, and the release delay.

mod caller_side;
mod front_state;
mod server_side;

use std::collections::BTreeMap;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::Message;

use super::trace::{TraceEvent, TraceEventKind};
use super::{Rule, Verdict};
use crate::harness_event::HarnessEvent;
use crate::participant::Participant;
use front_state::{FileDrain, FrontState};

/// A datagram can wait in a front's socket buffer for this long before the front reads it, on a machine under load.
/// Until then the front is not expected to act on it.
const SOCKET_DELAY: Span = Span::from_millis(50);
/// The time after its deadline within which a final answer is still accepted; specified by the operators for the
/// bench.
const ANSWER_GRACE: Span = Span::from_millis(20);
/// The time after which a front that was notified that a server leaves must not send it new calls.
const DRAIN_GRACE: Span = Span::from_millis(250);
/// The fraction by which a front's clock may run faster than the capture's clock.
const CLOCK_DRIFT: f64 = 0.001;

/// Checks rules 1, 2, 3 and 5, and measures the drain delays.
pub(super) fn check(scenario: &Scenario, trace: &[TraceEvent], verdict: &mut Verdict) {
    let mut rules = CallRules { scenario, fronts: BTreeMap::new(), verdict };
    for event in trace {
        match &event.kind {
            TraceEventKind::Harness(harness_event) => rules.on_harness_event(event.time, *harness_event),
            TraceEventKind::Message(message) => rules.on_message(event, message),
        }
    }
}

/// The state of the check while the trace is read in order.
struct CallRules<'a> {
    scenario: &'a Scenario,
    fronts: BTreeMap<u16, FrontState>,
    verdict: &'a mut Verdict,
}

impl CallRules<'_> {
    /// Evaluates datagrams from a front at the time of sending, and datagrams to a front at the time of delivery.
    fn on_message(&mut self, event: &TraceEvent, message: &Message) {
        let time = event.time;
        match (event.from, event.to, event.delivered, message) {
            (Participant::Gateway, Participant::Front(front), true, Message::Command(command)) => {
                self.on_command_from_caller(time, front, command);
            }
            (Participant::Front(front), Participant::Gateway, false, Message::Command(command)) => {
                self.on_command_to_caller(time, front, command);
            }
            (Participant::Front(front), Participant::Server(server), false, Message::Command(command)) => {
                self.on_command_to_server(time, front, server, command);
            }
            (Participant::Server(server), Participant::Front(front), true, Message::Response(response)) => {
                self.on_response_from_server(time, front, server, response);
            }
            (Participant::Server(server), Participant::Front(front), true, Message::Command(command)) => {
                self.on_command_from_server(time, front, server, command);
            }
            _ => {}
        }
    }

    fn on_harness_event(&mut self, time: Moment, event: HarnessEvent) {
        match event {
            // Datagrams that the front sent before it was killed can be captured after the kill event, because the
            // relay reads its sockets with a delay.
            HarnessEvent::Killed(Participant::Front(front)) => {
                self.fronts.entry(front).or_default().killed = true;
            }
            HarnessEvent::Restarted(Participant::Front(front)) => self.on_front_restarted(front),
            HarnessEvent::Suspended(Participant::Front(front)) => {
                self.fronts.entry(front).or_default().suspended = true;
            }
            HarnessEvent::Resumed(Participant::Front(front)) => {
                let front = self.fronts.entry(front).or_default();
                front.suspended = false;
                front.resumed_at = Some(time);
            }
            HarnessEvent::EndpointFileWritten { front: Participant::Front(front), draining } => {
                self.on_endpoint_file(time, front, draining);
            }
            HarnessEvent::ScenarioEnd => self.on_scenario_end(time),
            _ => {}
        }
    }

    /// Clears the state of a front that was restarted. The new process has no calls, but learns the leaving servers
    /// from its endpoint list, so that these are kept.
    fn on_front_restarted(&mut self, front: u16) {
        let leaving = self.fronts.remove(&front).map(|front| front.leaving).unwrap_or_default();
        self.fronts.insert(front, FrontState { leaving, ..FrontState::default() });
    }

    /// Handles an endpoint file that was written completely; a drain is measured from this moment.
    fn on_endpoint_file(&mut self, time: Moment, front: u16, draining: Option<u16>) {
        let front = self.fronts.entry(front).or_default();
        if front.file_drain.as_ref().map(|drain| drain.server) == draining {
            return;
        }
        if let Some(drain) = &front.file_drain {
            let delay = drain.last_invite.map_or(Span::ZERO, |last_invite| last_invite.since(drain.since));
            self.verdict.drain_delays.push(delay);
        }
        front.file_drain = draining.map(|server| FileDrain { server, since: time, last_invite: None });
    }

    /// At the end of the scenario, reports each accepted call attempt whose deadline has passed without a final
    /// answer. Fronts that are killed or suspended at that moment are exempt.
    fn on_scenario_end(&mut self, time: Moment) {
        for front in self.fronts.values().filter(|front| !front.suspended && !front.killed) {
            for (attempt_id, attempt) in &front.attempts {
                let is_unanswered = attempt.answered_at.is_none() && attempt.hung_up_at.is_none();
                if is_unanswered && attempt.deadline + ANSWER_GRACE < time {
                    let description = "no final answer by the timer limit";
                    self.verdict.add_violation(Rule::FinalAnswer, attempt_id, attempt.deadline, description);
                }
            }
        }
    }
}
