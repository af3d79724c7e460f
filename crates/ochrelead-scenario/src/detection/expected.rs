//! The faults that the diagnosis is expected to report for a script.

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_diagnosis::incident::IncidentKind;

use super::ExpectedFault;
use crate::participant::{front_name, server_name};

/// Returns the faults that the diagnosis is expected to report for a scenario. A surge is expected only if the
/// offered load exceeds the capacity of the servers.
pub(super) fn expected_faults(scenario: &Scenario) -> Vec<ExpectedFault> {
    scenario.faults.iter().flat_map(|fault| faults_to_report(scenario, fault)).collect()
}

/// Whether the offered load, multiplied by `factor`, exceeds the capacity of all servers together.
pub(super) fn exceeds_capacity(scenario: &Scenario, factor: f64) -> bool {
    let capacity: f64 = scenario.servers.iter().map(|server| server.sessions_per_s).sum();
    scenario.callers.sessions_per_s * factor > capacity
}

fn faults_to_report(scenario: &Scenario, fault: &InjectedFault) -> Vec<ExpectedFault> {
    let expected = |(kind, subject)| ExpectedFault {
        kind,
        subject,
        start: fault.start,
        duration: fault.duration,
        detected: None,
    };
    let of_fleet = |kind| vec![expected((kind, String::new()))];
    match fault.kind {
        FaultKind::AllSlow => of_fleet(IncidentKind::AllSlow),
        FaultKind::HotNumber => of_fleet(IncidentKind::HotNumber),
        FaultKind::Surge if exceeds_capacity(scenario, fault.magnitude) => of_fleet(IncidentKind::Overload),
        FaultKind::Surge => Vec::new(),
        kind => {
            let of_targets = fault.targets.iter().filter_map(|target| reported_at_target(kind, *target));
            of_targets.map(expected).collect()
        }
    }
}

/// Returns the kind and subject with which the diagnosis should report a fault at one of its targets; `None` if it
/// should not report the fault.
fn reported_at_target(kind: FaultKind, target: usize) -> Option<(IncidentKind, String)> {
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
