//! The troubles that a script causes, in the diagnosis's terms.

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_diagnosis::incident::IncidentKind;

use super::ScriptedTrouble;
use crate::participant::{front_name, server_name};

/// All troubles of a script. A surge is one where more is offered than the servers can carry.
pub(super) fn scripted_troubles(scenario: &Scenario) -> Vec<ScriptedTrouble> {
    scenario.faults.iter().flat_map(|fault| troubles_of(scenario, fault)).collect()
}

/// Whether callers offer more sessions, by this factor, than all servers together carry.
pub(super) fn exceeds_capacity(scenario: &Scenario, factor: f64) -> bool {
    let capacity: f64 = scenario.servers.iter().map(|server| server.sessions_per_s).sum();
    scenario.callers.sessions_per_s * factor > capacity
}

fn troubles_of(scenario: &Scenario, fault: &InjectedFault) -> Vec<ScriptedTrouble> {
    let trouble = |(kind, subject)| ScriptedTrouble {
        kind,
        subject,
        start: fault.start,
        duration: fault.duration,
        detected: None,
    };
    let of_fleet = |kind| vec![trouble((kind, String::new()))];
    match fault.kind {
        FaultKind::AllSlow => of_fleet(IncidentKind::AllSlow),
        FaultKind::HotNumber => of_fleet(IncidentKind::HotNumber),
        FaultKind::Surge if exceeds_capacity(scenario, fault.magnitude) => of_fleet(IncidentKind::Overload),
        FaultKind::Surge => Vec::new(),
        kind => {
            let of_targets = fault.targets.iter().filter_map(|target| target_trouble(kind, *target));
            of_targets.map(trouble).collect()
        }
    }
}

/// What a fault is at one of its targets, if it is a trouble there: the kind, and the target's name.
fn target_trouble(kind: FaultKind, target: usize) -> Option<(IncidentKind, String)> {
    match kind {
        FaultKind::Crash | FaultKind::Vanish => Some((IncidentKind::Crashed, server_name(target))),
        FaultKind::Silent => Some((IncidentKind::Silent, server_name(target))),
        FaultKind::Slow => Some((IncidentKind::Slow, server_name(target))),
        FaultKind::Replaced => Some((IncidentKind::Replaced, server_name(target))),
        FaultKind::AnswersLost => Some((IncidentKind::AnswersLost, server_name(target))),
        FaultKind::FrontKilled => Some((IncidentKind::FrontKilled, front_name(target))),
        FaultKind::FrontStall => Some((IncidentKind::FrontStalled, front_name(target))),
        FaultKind::LinkCut => Some((IncidentKind::CutOff, front_name(target))),
        FaultKind::Redials => Some((IncidentKind::Redials, format!("member {}", target + 1))),
        _ => None,
    }
}
