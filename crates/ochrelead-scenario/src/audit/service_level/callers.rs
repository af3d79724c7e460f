//! The callers of a trace: the value of their calls and the outcome.

use std::collections::BTreeMap;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_emulator::callers::HOT_SUBSCRIBER;
use ochrelead_mgcp::message::{Command, Message, Verb, parameter};

use super::OfferedCall;
use crate::audit::dialled::{dialled_digits, dialled_service};
use crate::audit::trace::{TraceEvent, TraceEventKind};
use crate::participant::Participant;

/// The factor on the value of a call to the flooded (hot) number.
const FLOODED_VALUE_SHARE: f64 = 0.1;
/// The sliding window over which tenants' quotas are measured.
const QUOTA_WINDOW: Span = Span::from_secs(5);
/// The number of leading digits of an attempt's id that identify the caller.
const CALLER_ID_LENGTH: usize = 8;

/// One caller, with all of its attempts.
pub(super) struct Caller {
    pub(super) arrived_at: Moment,
    pub(super) service: usize,
    pub(super) tenant: Option<usize>,
    /// The value of its call if it is served in time.
    pub(super) value: f64,
    current_attempt: String,
    /// Whether the caller is off hook in its current attempt: it waits or talks.
    is_off_hook: bool,
    pub(super) established_at: Option<Moment>,
    /// Whether a front ended its established call before it hung up.
    pub(super) cut: bool,
}

impl Caller {
    /// Returns the call as input of the capacity ceiling.
    pub(super) fn offered_call(&self) -> OfferedCall {
        OfferedCall { time: self.arrived_at, value: self.value }
    }

    /// Returns the served value: the full value if the call was established within the post-dial target,
    /// `late_value_share` of it up to the timer limit, and 0 otherwise or if the call was cut.
    pub(super) fn served_value(&self, scenario: &Scenario) -> f64 {
        let Some(established_at) = self.established_at.filter(|_| !self.cut) else { return 0.0 };
        let service = &scenario.front.controller.services[self.service];
        let delay = established_at.since(self.arrived_at);
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

/// Returns all callers of a trace, ordered by id.
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

    /// Handles a caller that goes off hook for an attempt, or hangs up.
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
        arrived_at: time,
        service,
        tenant,
        value,
        current_attempt: String::new(),
        is_off_hook: true,
        established_at: None,
        cut: false,
    }
}

/// The tenants' use of their quotas.
struct TenantQuotas {
    /// By tenant: the arrival times of its calls within quota that are inside the window.
    recent_calls: Vec<Vec<Moment>>,
}

impl TenantQuotas {
    fn new(scenario: &Scenario) -> TenantQuotas {
        TenantQuotas { recent_calls: vec![Vec::new(); scenario.front.trunks.len()] }
    }

    /// Returns whether a call is within its tenant's quota; only such calls use up the quota.
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
