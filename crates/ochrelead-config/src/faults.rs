//! Faults that are injected into a scenario.

use ochrelead_core::time::Span;

use crate::fields::Fields;
use crate::millis;
use crate::schema::Trouble as FaultMessage;

/// The kind of a fault. Magnitude and duration are those of the [`InjectedFault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A server's process is killed, which ends all its calls, and is started again after the duration.
    Crash,
    /// A server stops without notice and is started again, cold, after the duration.
    Vanish,
    /// A server receives all messages but answers none.
    Silent,
    /// A server's work takes longer by the factor `magnitude`.
    Slow,
    /// The work of all servers takes longer by the factor `magnitude`.
    AllSlow,
    /// The rate of new sessions is multiplied by the magnitude.
    Surge,
    /// The magnitude is the share of all sessions that are requested for one called number with few lines.
    HotNumber,
    /// A server drains for the duration and is then replaced by a cold one.
    Replaced,
    /// A front's process is killed and started again after the duration. It has lost all state but its endpoints.
    FrontKilled,
    /// A front's process is suspended for the duration.
    FrontStall,
    /// The callers of a tenant redial quickly and give up early.
    Redials,
    /// The network loses a share `magnitude` of the messages that a server sends.
    AnswersLost,
    /// The network loses all messages between a front and the servers, in both directions.
    LinkCut,
    /// The network loses a share `magnitude` of the messages from the servers to a front.
    FrontDeaf,
    /// The network loses a share `magnitude` of the messages from a front to the servers.
    FrontMute,
    /// The network loses a share `magnitude` of the messages between a front and the callers, in both directions.
    CallersCut,
    /// A front's system clock is set forward by `magnitude` seconds. This affects the processes that start afterwards.
    ClockAhead,
    /// A front's system clock is set back by `magnitude` seconds. This affects the processes that start afterwards.
    ClockBack,
    /// A front's clock runs fast by `magnitude` parts per million, for the whole scenario.
    ClockFast,
    /// All writes to a front's disk fail for the duration.
    DiskFull,
    /// If a front is killed within the duration, the file that it was writing is left incomplete.
    DiskTorn,
}

impl FaultKind {
    /// All kinds, with their names in scenario files.
    pub const ALL: [(&'static str, FaultKind); 21] = [
        ("crash", FaultKind::Crash),
        ("vanish", FaultKind::Vanish),
        ("silent", FaultKind::Silent),
        ("slow", FaultKind::Slow),
        ("all_slow", FaultKind::AllSlow),
        ("surge", FaultKind::Surge),
        ("hot_number", FaultKind::HotNumber),
        ("replaced", FaultKind::Replaced),
        ("front_killed", FaultKind::FrontKilled),
        ("front_stall", FaultKind::FrontStall),
        ("redials", FaultKind::Redials),
        ("answers_lost", FaultKind::AnswersLost),
        ("link_cut", FaultKind::LinkCut),
        ("front_deaf", FaultKind::FrontDeaf),
        ("front_mute", FaultKind::FrontMute),
        ("callers_cut", FaultKind::CallersCut),
        ("clock_ahead", FaultKind::ClockAhead),
        ("clock_back", FaultKind::ClockBack),
        ("clock_fast", FaultKind::ClockFast),
        ("disk_full", FaultKind::DiskFull),
        ("disk_torn", FaultKind::DiskTorn),
    ];

    /// Returns the name of the kind in scenario files.
    pub fn name(self) -> &'static str {
        FaultKind::ALL.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name)
    }

    /// Returns whether the fault can be injected into emulated fronts only. Real processes use the clock and the disk
    /// of the machine, which can't be replaced.
    pub fn is_emulated_only(self) -> bool {
        use FaultKind::{ClockAhead, ClockBack, ClockFast, DiskFull, DiskTorn};
        matches!(self, ClockAhead | ClockBack | ClockFast | DiskFull | DiskTorn)
    }

    /// Returns whether the fault is injected into fronts.
    pub fn targets_fronts(self) -> bool {
        self.target() == FaultTarget::Fronts
    }

    /// Returns what the indices in `which` refer to.
    fn target(self) -> FaultTarget {
        match self {
            FaultKind::FrontKilled | FaultKind::FrontStall | FaultKind::LinkCut => FaultTarget::Fronts,
            FaultKind::FrontDeaf | FaultKind::FrontMute | FaultKind::CallersCut => FaultTarget::Fronts,
            _ if self.is_emulated_only() => FaultTarget::Fronts,
            FaultKind::Surge | FaultKind::HotNumber | FaultKind::Redials | FaultKind::AllSlow => {
                FaultTarget::Other
            }
            _ => FaultTarget::Servers,
        }
    }
}

/// What a fault is injected into.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FaultTarget {
    Fronts,
    Servers,
    /// Tenants, all servers or all callers. The indices in `which` are not checked.
    Other,
}

/// One fault of a scenario.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The time at which it begins, from the start of the scenario.
    pub start: Span,
    /// The time for which it lasts.
    pub duration: Span,
    /// The indices of the affected servers, fronts or tenants, from 0.
    pub targets: Vec<usize>,
    /// The strength of the fault. Its meaning depends on the kind.
    pub magnitude: f64,
}

/// The numbers of fronts and servers in a scenario.
#[derive(Clone, Copy)]
pub(crate) struct TargetCounts {
    pub(crate) fronts: usize,
    pub(crate) servers: usize,
}

/// Checks a fault. If it names no fronts or servers, it affects the first ones: the share `part` of all, rounded up, but
/// at least one.
pub(crate) fn check(fault: &FaultMessage, counts: TargetCounts, mut fields: Fields<'_>) -> InjectedFault {
    let kind = check_kind(fault, &mut fields);
    let count = match kind.target() {
        FaultTarget::Fronts => Some(counts.fronts),
        FaultTarget::Servers => Some(counts.servers),
        FaultTarget::Other => None,
    };
    let share = fields.in_range("part", fault.part.unwrap_or(0.0), 0.0, 1.0);
    let mut targets: Vec<usize> = fault.which.iter().map(|target| *target as usize).collect();
    if let Some(count) = count {
        if targets.is_empty() {
            targets = (0..((count as f64 * share).ceil() as usize).max(1)).collect();
        }
        for (index, target) in targets.iter().enumerate().filter(|(_, target)| **target >= count) {
            let field = format!("which[{index}]");
            fields.report(&field, format!("which is {target}; there are only {count}, numbered from 0"));
        }
    }
    let magnitude = fault.size.unwrap_or(1.0);
    fields.in_range("size", magnitude, 0.0, 1_000.0);
    InjectedFault {
        kind,
        start: millis(fields.required("at_ms", fault.at_ms)),
        duration: millis(fault.length_ms.unwrap_or(0)),
        targets,
        magnitude,
    }
}

fn check_kind(fault: &FaultMessage, fields: &mut Fields<'_>) -> FaultKind {
    let name = fields.required("kind", fault.kind.clone());
    let kind = FaultKind::ALL.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind);
    if kind.is_none() && fault.kind.is_some() {
        let names = FaultKind::ALL.map(|(name, _)| name).join(", ");
        fields.report("kind", format!("kind is {name:?}; it must be one of {names}"));
    }
    kind.unwrap_or(FaultKind::Slow)
}
