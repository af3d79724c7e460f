//! What can go wrong in a scenario.

use ochrelead_core::time::Span;

use crate::fields::Fields;
use crate::millis;
use crate::schema;

/// What can go wrong. Magnitude and duration are those of the [`InjectedFault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// A server's process is killed and started again after the duration: all its calls are cut.
    Crash,
    /// A server stands still and comes back without its warm-up.
    Vanish,
    /// A server accepts set-ups and answers none.
    Silent,
    /// A server is slower by the magnitude.
    Slow,
    /// All servers are slower by the magnitude.
    AllSlow,
    /// Callers ask for sessions the magnitude times as often.
    Surge,
    /// A share of the magnitude of all sessions goes to one number with few lines.
    HotNumber,
    /// A server drains for the duration and is replaced by one that has to warm up.
    Replaced,
    /// A front is killed and started again after the duration, with its last endpoints only.
    FrontKilled,
    /// A front's process stands still for the duration.
    FrontStall,
    /// The callers of one tenant dial again at once, and give up early.
    Redials,
    /// Answers of a server are lost on the way to the fronts, a share of the magnitude.
    AnswersLost,
    /// The link between a front and all servers is cut, both ways.
    LinkCut,
    /// Nothing of the servers reaches a front, a share of the magnitude of it.
    FrontDeaf,
    /// Nothing of a front reaches the servers, a share of the magnitude of it.
    FrontMute,
    /// The link between a front and the callers loses a share of the magnitude, both ways.
    CallersCut,
    /// A front's system clock is set by the magnitude seconds, ahead; its next process has it.
    ClockAhead,
    /// The same, back.
    ClockBack,
    /// A front's clock runs fast by the magnitude in a million.
    ClockFast,
    /// A front's disk accepts nothing for the duration.
    DiskFull,
    /// What a front was writing when it was killed within the duration is torn.
    DiskTorn,
}

impl FaultKind {
    /// All kinds, with the names that scenarios have for them.
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

    /// The name that scenarios have for it.
    pub fn name(self) -> &'static str {
        FaultKind::ALL.iter().find(|(_, kind)| *kind == self).map_or("", |(name, _)| name)
    }

    /// Whether only emulated fronts can have it: clocks and disks are the system's, and real processes can't be given
    /// others.
    pub fn is_emulated_only(self) -> bool {
        use FaultKind::{ClockAhead, ClockBack, ClockFast, DiskFull, DiskTorn};
        matches!(self, ClockAhead | ClockBack | ClockFast | DiskFull | DiskTorn)
    }

    /// Whether it is injected at fronts.
    pub fn is_at_fronts(self) -> bool {
        self.target() == FaultTarget::Fronts
    }

    /// What it is injected at.
    fn target(self) -> FaultTarget {
        match self {
            FaultKind::FrontKilled | FaultKind::FrontStall | FaultKind::LinkCut => FaultTarget::Fronts,
            FaultKind::FrontDeaf | FaultKind::FrontMute | FaultKind::CallersCut => FaultTarget::Fronts,
            _ if self.is_emulated_only() => FaultTarget::Fronts,
            FaultKind::Surge | FaultKind::HotNumber | FaultKind::Redials | FaultKind::AllSlow => {
                FaultTarget::Everything
            }
            _ => FaultTarget::Servers,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FaultTarget {
    Fronts,
    Servers,
    /// Neither fronts nor servers are counted.
    Everything,
}

/// One fault of a scenario.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it begins, from the start of the scenario.
    pub start: Span,
    /// How long it lasts.
    pub duration: Span,
    /// The servers, fronts or tenants that it is injected at, counted from 0.
    pub targets: Vec<usize>,
    /// How strong it is; what that means depends on the kind.
    pub magnitude: f64,
}

/// How many fronts and servers a scenario has.
#[derive(Clone, Copy)]
pub(crate) struct TargetCounts {
    pub(crate) fronts: usize,
    pub(crate) servers: usize,
}

/// Checks one fault.
pub(crate) fn check(fault: &schema::Trouble, counts: TargetCounts, mut fields: Fields<'_>) -> InjectedFault {
    let kind = check_kind(fault, &mut fields);
    let count = match kind.target() {
        FaultTarget::Fronts => Some(counts.fronts),
        FaultTarget::Servers => Some(counts.servers),
        FaultTarget::Everything => None,
    };
    let share = fields.in_range("part", fault.part.unwrap_or(0.0), 0.0, 1.0);
    let mut targets: Vec<usize> = fault.which.iter().map(|target| *target as usize).collect();
    if let Some(count) = count {
        if targets.is_empty() {
            targets = (0..((count as f64 * share).ceil() as usize).max(1)).collect();
        }
        for (index, _) in targets.iter().enumerate().filter(|(_, target)| **target >= count) {
            let field = format!("which[{index}]");
            fields.report(&field, format!("there are only {count}, counted from 0"));
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

fn check_kind(fault: &schema::Trouble, fields: &mut Fields<'_>) -> FaultKind {
    let name = fields.required("kind", fault.kind.clone());
    let kind = FaultKind::ALL.iter().find(|(known, _)| *known == name).map(|(_, kind)| *kind);
    if kind.is_none() && fault.kind.is_some() {
        let names = FaultKind::ALL.map(|(name, _)| name).join(", ");
        fields.report("kind", format!("kind is {name:?}; it must be one of {names}"));
    }
    kind.unwrap_or(FaultKind::Slow)
}
