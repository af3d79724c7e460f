//! What happens to a server in the course of a scenario.

use std::collections::BTreeMap;

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::Moment;

use super::ProcessState;

/// Reports come behind all faults of the same moment.
const REPORT_ORDER: usize = usize::MAX;

#[derive(Clone, Copy, Debug)]
pub(super) enum ScriptedAction {
    SetState(ProcessState),
    /// Announces that it will be replaced.
    AnnounceDrain,
    /// The old processor goes, a cold one takes its place.
    Replace,
    /// Slows the processor down by this factor.
    SetSlowdown(f64),
    /// Reports its lines to all fronts.
    ReportLines,
}

/// The scripted actions that are still to come, in their order.
pub(super) struct Script {
    actions: BTreeMap<(Moment, usize), ScriptedAction>,
}

impl Script {
    /// The script of the server with this index, in a scenario that begins at `start`. Kills and starts of its process
    /// are its host's.
    pub(super) fn new(scenario: &Scenario, index: usize, start: Moment, now: Moment) -> Script {
        let mut actions = BTreeMap::new();
        for (order, fault) in scenario.faults.iter().enumerate() {
            let (begins_at, ends_at) = (start + fault.start, start + fault.start + fault.duration);
            let concerns_server = fault.kind == FaultKind::AllSlow || fault.targets.contains(&index);
            if ends_at <= now || !concerns_server {
                continue;
            }
            if let Some((begin, end)) = begin_and_end(fault) {
                actions.insert((begins_at, order * 2), begin);
                actions.insert((ends_at, order * 2 + 1), end);
            }
        }
        Script { actions }
    }

    /// Schedules the next report of its lines.
    pub(super) fn schedule_report(&mut self, due: Moment) {
        self.actions.insert((due, REPORT_ORDER), ScriptedAction::ReportLines);
    }

    /// The next action that is due.
    pub(super) fn next_due(&mut self, now: Moment) -> Option<ScriptedAction> {
        let entry = self.actions.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }

    /// When the next action is due.
    pub(super) fn poll_timeout(&self) -> Option<Moment> {
        self.actions.first_key_value().map(|((due, _), _)| *due)
    }
}

/// What happens to a server at the begin and at the end of a fault; none where it is no fault of a server.
fn begin_and_end(fault: &InjectedFault) -> Option<(ScriptedAction, ScriptedAction)> {
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
