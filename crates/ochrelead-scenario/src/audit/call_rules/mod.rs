//! Rules one, two, three and five: what each front does with each call attempt.

mod caller_side;
mod front_state;
mod server_side;

use std::collections::BTreeMap;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::Message;

use super::trace::{TraceEvent, TraceEventKind};
use super::{Rule, Verdict};
use crate::participant::Participant;
use crate::rig_event::RigEvent;
use front_state::{FileDrain, FrontState};

/// A datagram that reached a front less than this ago may still wait in its socket: until then the front acts
/// without knowing of it. Machines under load need that long.
const SOCKET_DELAY: Span = Span::from_millis(50);
/// A final answer may be so late; the operators' figure for the bench.
const ANSWER_GRACE: Span = Span::from_millis(20);
/// No new call goes to a server so long after the front was notified that it leaves.
const DRAIN_GRACE: Span = Span::from_millis(250);
/// A front's clock may run faster than the capture's by this share.
const CLOCK_DRIFT: f64 = 0.001;

/// Checks the rules on single call attempts.
pub(super) fn check(scenario: &Scenario, trace: &[TraceEvent], verdict: &mut Verdict) {
    let mut rules = CallRules { scenario, fronts: BTreeMap::new(), verdict };
    for event in trace {
        match &event.kind {
            TraceEventKind::Rig(rig_event) => rules.on_rig_event(event.time, *rig_event),
            TraceEventKind::Message(message) => rules.on_message(event, message),
        }
    }
}

/// The state of the check: what each front has seen and done so far.
struct CallRules<'a> {
    scenario: &'a Scenario,
    fronts: BTreeMap<u16, FrontState>,
    verdict: &'a mut Verdict,
}

impl CallRules<'_> {
    /// What a front sends counts when it leaves, what it receives when it arrives.
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

    fn on_rig_event(&mut self, time: Moment, event: RigEvent) {
        match event {
            // What left the front before its end may be captured after it: the rig reads sockets in its own time.
            RigEvent::Killed(Participant::Front(front)) => {
                self.fronts.entry(front).or_default().killed = true;
            }
            RigEvent::Restarted(Participant::Front(front)) => self.on_front_restarted(front),
            RigEvent::Suspended(Participant::Front(front)) => {
                self.fronts.entry(front).or_default().suspended = true;
            }
            RigEvent::Resumed(Participant::Front(front)) => {
                let front = self.fronts.entry(front).or_default();
                front.suspended = false;
                front.resumed_at = Some(time);
            }
            RigEvent::EndpointFileWritten { front: Participant::Front(front), draining } => {
                self.on_endpoint_file(time, front, draining);
            }
            RigEvent::ScenarioEnd => self.on_scenario_end(time),
            _ => {}
        }
    }

    /// The new process is not bound by its predecessor's calls; which servers leave it has from its endpoints.
    fn on_front_restarted(&mut self, front: u16) {
        let leaving = self.fronts.remove(&front).map(|front| front.leaving).unwrap_or_default();
        self.fronts.insert(front, FrontState { leaving, ..FrontState::default() });
    }

    /// A front's endpoint file is whole on disk: the time of a drain runs from its last byte.
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

    /// The capture ends: an accepted call attempt whose deadline is over must have its answer.
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
