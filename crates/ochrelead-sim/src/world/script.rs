//! What a scenario does to machines, and when.

use std::collections::VecDeque;
use std::fmt;

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::transaction::TransactionConfig;
use ochrelead_scenario::participant::Participant;

use super::{front, server};

/// After its length a scenario runs on until the last sessions have their answers. Then commands that nobody answers
/// are given up, and what is left must be nobody's.
const TAIL: Span = Span::from_secs(4);

/// A scripted event. Fronts are named by their index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ScriptedEvent {
    KillProcess(Participant),
    StartProcess(Participant),
    StallFront(usize),
    ResumeFront(usize),
    SetClock { front: usize, seconds: f64 },
    SetDiskFull { front: usize, full: bool },
    SetTornWrites { front: usize, torn: bool },
    StopCapture,
    Finish,
}

impl fmt::Display for ScriptedEvent {
    /// Its name in traces. It is part of the checksum, and stays as it is so that versions can be compared.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScriptedEvent::KillProcess(party) => write!(f, "Kill({party:?})"),
            ScriptedEvent::StartProcess(party) => write!(f, "Start({party:?})"),
            ScriptedEvent::StallFront(front) => write!(f, "Halt({front})"),
            ScriptedEvent::ResumeFront(front) => write!(f, "Resume({front})"),
            ScriptedEvent::SetClock { front, seconds } => write!(f, "Set({front}, {seconds:?})"),
            ScriptedEvent::SetDiskFull { front, full } => write!(f, "Full({front}, {full})"),
            ScriptedEvent::SetTornWrites { front, torn } => write!(f, "Tears({front}, {torn})"),
            ScriptedEvent::StopCapture => f.write_str("End"),
            ScriptedEvent::Finish => f.write_str("Close"),
        }
    }
}

/// The events of a scenario that starts then, in the order of their times.
pub(super) fn script(scenario: &Scenario, start: Moment) -> VecDeque<(Moment, ScriptedEvent)> {
    let end = start + scenario.duration + TAIL;
    let mut script = vec![
        (end, ScriptedEvent::StopCapture),
        (end + last_retransmissions(&scenario.front.transactions), ScriptedEvent::Finish),
    ];
    for fault in &scenario.faults {
        let times = [start + fault.start, start + fault.start + fault.duration];
        for &target in &fault.targets {
            let events = fault_events(fault, target);
            script.extend(times.into_iter().zip(events).filter_map(|(time, event)| Some((time, event?))));
        }
    }
    script.sort_by_key(|(time, _)| *time);
    script.into()
}

/// What begins a fault at one target, and what ends it. Faults of network, servers and callers are not scripted here.
fn fault_events(fault: &InjectedFault, target: usize) -> [Option<ScriptedEvent>; 2] {
    let restart = |party| [Some(ScriptedEvent::KillProcess(party)), Some(ScriptedEvent::StartProcess(party))];
    let set_clock = |seconds| [Some(ScriptedEvent::SetClock { front: target, seconds }), None];
    match fault.kind {
        FaultKind::FrontKilled => restart(front(target)),
        FaultKind::FrontStall => {
            [Some(ScriptedEvent::StallFront(target)), Some(ScriptedEvent::ResumeFront(target))]
        }
        FaultKind::Crash => restart(server(target)),
        FaultKind::ClockAhead => set_clock(fault.magnitude),
        FaultKind::ClockBack => set_clock(-fault.magnitude),
        FaultKind::DiskFull => {
            [true, false].map(|full| Some(ScriptedEvent::SetDiskFull { front: target, full }))
        }
        FaultKind::DiskTorn => {
            [true, false].map(|torn| Some(ScriptedEvent::SetTornWrites { front: target, torn }))
        }
        _ => [None, None],
    }
}

/// After this long nobody owes anybody anything: a release is asked for three times.
fn last_retransmissions(transactions: &TransactionConfig) -> Span {
    transactions.response_timeout * 3 + transactions.max_rto * 2 + Span::from_secs(1)
}
