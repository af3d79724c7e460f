//! The timed events by which a scenario's faults act on machines and processes.

use std::collections::VecDeque;
use std::fmt;

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::transaction::TransactionConfig;
use ochrelead_scenario::participant::Participant;

use super::{front, server};

/// Time after the scenario's end in which the last sessions receive their final answers. After that,
/// [`max_release_time`] lets unanswered commands time out; any call that is then still established without a session is a
/// violation.
const ANSWER_GRACE: Span = Span::from_secs(4);

/// A scripted event. Fronts are identified by index.
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
    /// Writes the name that is used in traces. It is part of the checksum, so it must stay the same for checksums to be
    /// comparable across versions.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScriptedEvent::KillProcess(participant) => write!(f, "Kill({participant:?})"),
            ScriptedEvent::StartProcess(participant) => write!(f, "Start({participant:?})"),
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

/// Returns the events of a scenario that starts at `start`, ordered by time.
pub(super) fn script(scenario: &Scenario, start: Moment) -> VecDeque<(Moment, ScriptedEvent)> {
    let end = start + scenario.duration + ANSWER_GRACE;
    let mut script = vec![
        (end, ScriptedEvent::StopCapture),
        (end + max_release_time(&scenario.front.transactions), ScriptedEvent::Finish),
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

/// Returns the events that begin and end a fault at one target. Faults that the emulated network, servers and callers
/// apply themselves have no scripted events.
fn fault_events(fault: &InjectedFault, target: usize) -> [Option<ScriptedEvent>; 2] {
    let restart = |participant| {
        [Some(ScriptedEvent::KillProcess(participant)), Some(ScriptedEvent::StartProcess(participant))]
    };
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

/// Returns the time after which no transaction is pending: a release is attempted up to three times, each until its
/// response time-out.
fn max_release_time(transactions: &TransactionConfig) -> Span {
    transactions.response_timeout * 3 + transactions.max_rto * 2 + Span::from_secs(1)
}
