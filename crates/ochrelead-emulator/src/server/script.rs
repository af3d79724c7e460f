//! The timed actions of a server in a scenario: its faults and its load reports.

use std::collections::BTreeMap;

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::Moment;

use super::ProcessState;

/// Sort key of load reports: a report follows all fault actions that are due at the same time.
const REPORT_ORDER: usize = usize::MAX;

#[derive(Clone, Copy, Debug)]
pub(super) enum ScriptedAction {
    SetState(ProcessState),
    /// Announces that the server drains and will be replaced.
    AnnounceDrain,
    /// Replaces the process by a cold one.
    Replace,
    /// Divides the speed of the processor by this factor.
    SetSlowdown(f64),
    /// Reports the load to all fronts.
    ReportLoad,
}

/// The scripted actions that are not performed yet, ordered by due time.
pub(super) struct Script {
    actions: BTreeMap<(Moment, usize), ScriptedAction>,
}

impl Script {
    /// Creates the script of the server with this index, in a scenario that begins at `start`. Killing and starting the
    /// process on a crash fault is left to the host.
    pub(super) fn new(scenario: &Scenario, index: usize, start: Moment, now: Moment) -> Script {
        let mut actions = BTreeMap::new();
        for (order, fault) in scenario.faults.iter().enumerate() {
            let (begins_at, ends_at) = (start + fault.start, start + fault.start + fault.duration);
            let affects_server = fault.kind == FaultKind::AllSlow || fault.targets.contains(&index);
            if ends_at <= now || !affects_server {
                continue;
            }
            if let Some((begin, end)) = start_and_end_actions(fault) {
                actions.insert((begins_at, order * 2), begin);
                actions.insert((ends_at, order * 2 + 1), end);
            }
        }
        Script { actions }
    }

    /// Schedules the next load report.
    pub(super) fn schedule_report(&mut self, due: Moment) {
        self.actions.insert((due, REPORT_ORDER), ScriptedAction::ReportLoad);
    }

    /// Takes the next action that is due at `now`.
    pub(super) fn next_due(&mut self, now: Moment) -> Option<ScriptedAction> {
        let entry = self.actions.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }

    /// Returns when the next action is due.
    pub(super) fn poll_timeout(&self) -> Option<Moment> {
        self.actions.first_key_value().map(|((due, _), _)| *due)
    }
}

/// Returns the actions at the start and at the end of a fault; none if the fault has no scripted action at a server.
fn start_and_end_actions(fault: &InjectedFault) -> Option<(ScriptedAction, ScriptedAction)> {
    let recovery = ScriptedAction::SetState(ProcessState::Serving);
    match fault.kind {
        FaultKind::Silent => Some((ScriptedAction::SetState(ProcessState::Silent), recovery)),
        FaultKind::Vanish => Some((ScriptedAction::SetState(ProcessState::Stopped), recovery)),
        FaultKind::Slow | FaultKind::AllSlow => {
            Some((ScriptedAction::SetSlowdown(fault.magnitude), ScriptedAction::SetSlowdown(1.0)))
        }
        FaultKind::Replaced => Some((ScriptedAction::AnnounceDrain, ScriptedAction::Replace)),
        _ => None,
    }
}
