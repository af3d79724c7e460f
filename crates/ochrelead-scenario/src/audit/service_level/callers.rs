//! Callers, their value and what became of them.

use std::collections::BTreeMap;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_emulator::callers::HOT_SUBSCRIBER;
use ochrelead_mgcp::message::{Command, Message, Verb, parameter};

use super::OfferedCall;
use crate::audit::dialled::{dialled_digits, dialled_service};
use crate::audit::trace::{TraceEvent, TraceEventKind};
use crate::participant::Participant;

/// The share of its value that a call to a flooded number has.
const FLOODED_VALUE_SHARE: f64 = 0.1;
/// Tenants' quotas are measured over this time.
const QUOTA_WINDOW: Span = Span::from_secs(5);
/// The digits of an attempt's id that name the caller.
const CALLER_ID_LENGTH: usize = 8;

/// One caller, with all of its attempts.
pub(super) struct Caller {
    pub(super) came_at: Moment,
    pub(super) service: usize,
    pub(super) tenant: Option<usize>,
    /// The value of its call, if it is served in time.
    pub(super) value: f64,
    current_attempt: String,
    /// Whether the caller waits in its current attempt, or talks.
    is_off_hook: bool,
    pub(super) established_at: Option<Moment>,
    /// Whether its call was ended by a front.
    pub(super) cut: bool,
}

impl Caller {
    /// The call as the ceiling counts it.
    pub(super) fn offered_call(&self) -> OfferedCall {
        OfferedCall { time: self.came_at, value: self.value }
    }

    /// The value that was served: all of it within the post-dial target, a share by the timer limit.
    pub(super) fn served_value(&self, scenario: &Scenario) -> f64 {
        let Some(established_at) = self.established_at.filter(|_| !self.cut) else { return 0.0 };
        let service = &scenario.front.controller.services[self.service];
        let delay = established_at.since(self.came_at);
        if delay <= service.post_dial_target {
            self.value
        } else if delay <= scenario.front.timer_limits[self.service] {
            self.value * service.late_value_share
        } else {
            0.0
        }
    }

    fn is_off_hook_in(&self, attempt_id: &str) -> bool {
        self.is_off_hook && self.current_attempt == attempt_id
    }
}

/// All callers of a trace.
pub(super) fn read_callers(scenario: &Scenario, trace: &[TraceEvent]) -> Vec<Caller> {
    let quotas = TenantQuotas::new(scenario);
    let mut reader = CallerReader { scenario, callers: BTreeMap::new(), quotas };
    for event in trace {
        let TraceEventKind::Message(Message::Command(command)) = &event.kind else { continue };
        reader.on_command(event, command);
    }
    reader.callers.into_values().collect()
}

struct CallerReader<'a> {
    scenario: &'a Scenario,
    callers: BTreeMap<String, Caller>,
    quotas: TenantQuotas,
}

impl CallerReader<'_> {
    fn on_command(&mut self, event: &TraceEvent, command: &Command) {
        let Some(attempt_id) = command.parameters.get(parameter::ATTEMPT) else { return };
        if attempt_id.len() <= CALLER_ID_LENGTH {
            return;
        }
        let caller_id = &attempt_id[..CALLER_ID_LENGTH];
        match (event.from, event.to, event.delivered, command.verb) {
            (Participant::Gateway, Participant::Front(_), false, Verb::Notify) => {
                self.on_notify(event.time, caller_id, attempt_id, command);
            }
            (Participant::Front(_), Participant::Gateway, true, Verb::ModifyConnection) => {
                if let Some(caller) = self.callers.get_mut(caller_id)
                    && caller.is_off_hook_in(attempt_id)
                {
                    caller.established_at.get_or_insert(event.time);
                }
            }
            (Participant::Front(_), Participant::Gateway, true, Verb::DeleteConnection) => {
                if let Some(caller) = self.callers.get_mut(caller_id)
                    && caller.is_off_hook
                    && caller.established_at.is_some()
                {
                    caller.cut = true;
                }
            }
            _ => {}
        }
    }

    /// A caller goes off hook for an attempt, or hangs up.
    fn on_notify(&mut self, time: Moment, caller_id: &str, attempt_id: &str, command: &Command) {
        let events = command.parameters.get(parameter::OBSERVED_EVENTS).unwrap_or("");
        if events.contains("L/hd") {
            let caller = self.callers.entry(caller_id.to_owned()).or_insert_with(|| {
                let trunk = command.endpoint.local().split('/').next().unwrap_or("");
                new_caller(self.scenario, time, events, trunk, &mut self.quotas)
            });
            attempt_id.clone_into(&mut caller.current_attempt);
            caller.is_off_hook = true;
        } else if let Some(caller) = self.callers.get_mut(caller_id)
            && caller.current_attempt == attempt_id
        {
            caller.is_off_hook = false;
        }
    }
}

fn new_caller(
    scenario: &Scenario,
    time: Moment,
    events: &str,
    trunk: &str,
    quotas: &mut TenantQuotas,
) -> Caller {
    let digits = dialled_digits(events);
    let service = dialled_service(scenario, &digits).unwrap_or(0);
    let tenant = scenario.front.trunks.iter().position(|other| other == trunk);
    let mut value = scenario.front.controller.services[service].value;
    if digits.ends_with(HOT_SUBSCRIBER) {
        value *= FLOODED_VALUE_SHARE;
    }
    if tenant.is_some_and(|tenant| !quotas.admit(scenario, tenant, time)) {
        value *= scenario.front.controller.over_quota_value_share;
    }
    Caller {
        came_at: time,
        service,
        tenant,
        value,
        current_attempt: String::new(),
        is_off_hook: true,
        established_at: None,
        cut: false,
    }
}

/// What each tenant has used of its quota.
struct TenantQuotas {
    /// By tenant: when its calls within quota came, as far as they still count.
    recent_calls: Vec<Vec<Moment>>,
}

impl TenantQuotas {
    fn new(scenario: &Scenario) -> TenantQuotas {
        TenantQuotas { recent_calls: vec![Vec::new(); scenario.front.trunks.len()] }
    }

    /// Whether a call is within its tenant's quota; if it is, it counts.
    fn admit(&mut self, scenario: &Scenario, tenant: usize, time: Moment) -> bool {
        let recent_calls = &mut self.recent_calls[tenant];
        recent_calls.retain(|call| time.since(*call) < QUOTA_WINDOW);
        let quota = scenario.front.controller.tenants[tenant].quota_per_s;
        let limit = quota * QUOTA_WINDOW.ratio(Span::from_secs(1));
        let is_within = (recent_calls.len() as f64) < limit.max(1.0);
        if is_within {
            recent_calls.push(time);
        }
        is_within
    }
}
