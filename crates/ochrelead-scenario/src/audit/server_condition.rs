//! The condition of a server according to the scenario's script.

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::{EmulatedServer, Scenario};
use ochrelead_core::time::Moment;

/// The lower bound of a scripted slowdown factor; prevents a division by zero.
const MIN_SLOWDOWN: f64 = 0.01;

/// The scripted condition of a server at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ServerCondition {
    /// The factor by which its processing time is multiplied; `None` if it is gone or silent.
    pub(super) slowdown: Option<f64>,
    /// When it last restarted, if it did.
    pub(super) restarted_at: Option<Moment>,
}

impl ServerCondition {
    /// Returns the condition of a server at a moment according to the script.
    pub(super) fn scripted(scenario: &Scenario, server: usize, time: Moment) -> ServerCondition {
        let (mut slowdown, mut available, mut restarted_at) = (1.0, true, None);
        for fault in scenario.faults.iter().filter(|fault| affects(fault, server)) {
            let begin = Moment::START + fault.start;
            let end = begin + fault.duration;
            let active = time >= begin && time < end;
            match fault.kind {
                FaultKind::Slow | FaultKind::AllSlow if active => {
                    slowdown = fault.magnitude.max(MIN_SLOWDOWN);
                }
                FaultKind::Silent if active => available = false,
                FaultKind::Vanish | FaultKind::Crash => {
                    available &= !active;
                    restarted_at = if time >= end { restarted_at.max(Some(end)) } else { restarted_at };
                }
                FaultKind::Replaced if time >= end => restarted_at = restarted_at.max(Some(end)),
                _ => {}
            }
        }
        ServerCondition { slowdown: available.then_some(slowdown), restarted_at }
    }
}

fn affects(fault: &InjectedFault, server: usize) -> bool {
    fault.kind == FaultKind::AllSlow || fault.targets.contains(&server)
}

/// Returns the fraction of its full capacity that a server has, which rises linearly from `cold_share` to 1 as
/// `warm_up`, the completed fraction of its warm-up, goes from 0 to 1.
pub(super) fn capacity_share(server: &EmulatedServer, warm_up: f64) -> f64 {
    server.cold_share + (1.0 - server.cold_share) * warm_up
}
