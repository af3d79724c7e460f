//! The kinds of incident, as docs/on-call.md distinguishes them.

use std::fmt;

use ochrelead_core::time::Moment;

/// The kind of an incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TroubleKind {
    /// A server answers later than usual while others answer as usual.
    Slow,
    /// All servers answer later than usual, although demand is not higher.
    AllSlow,
    /// A server answers none of the INVITEs sent to it.
    Silent,
    /// A server restarted without announcing a drain before.
    Crashed,
    /// A server drained and restarted.
    Replaced,
    /// Answers of a server are lost in the network.
    AnswersLost,
    /// A front receives nothing from servers that other fronts receive from.
    CutOff,
    /// A front ended without announcing that it leaves service.
    FrontKilled,
    /// A front's process was suspended.
    FrontStalled,
    /// One tenant's callers redial immediately.
    Redials,
    /// Many callers dial the same number.
    HotNumber,
    /// Demand exceeds capacity.
    Overload,
}

impl TroubleKind {
    /// The identifier in JSON output. Stable: it stays the same if a variant is renamed.
    pub fn id(self) -> &'static str {
        match self {
            TroubleKind::Slow => "Slow",
            TroubleKind::AllSlow => "AllSlow",
            TroubleKind::Silent => "Silent",
            TroubleKind::Crashed => "Crashed",
            TroubleKind::Replaced => "Replaced",
            TroubleKind::AnswersLost => "AnswersLost",
            TroubleKind::CutOff => "CutOff",
            TroubleKind::FrontKilled => "FrontKilled",
            TroubleKind::FrontStalled => "FrontStalled",
            TroubleKind::Redials => "Redials",
            TroubleKind::HotNumber => "HotNumber",
            TroubleKind::Overload => "Overload",
        }
    }

    /// A short name for plots, of one or two words.
    pub fn short_name(self) -> &'static str {
        match self {
            TroubleKind::Slow => "slow",
            TroubleKind::AllSlow => "all slow",
            TroubleKind::Silent => "silent",
            TroubleKind::Crashed => "crashed",
            TroubleKind::Replaced => "replaced",
            TroubleKind::AnswersLost => "answers lost",
            TroubleKind::CutOff => "cut off",
            TroubleKind::FrontKilled => "killed",
            TroubleKind::FrontStalled => "stood still",
            TroubleKind::Redials => "redials",
            TroubleKind::HotNumber => "flooded",
            TroubleKind::Overload => "overload",
        }
    }

    /// The name shown in reports.
    pub fn name(self) -> &'static str {
        match self {
            TroubleKind::Slow => "slow",
            TroubleKind::AllSlow => "all servers slow",
            TroubleKind::Silent => "silent",
            TroubleKind::Crashed => "crashed and started anew",
            TroubleKind::Replaced => "drained and replaced",
            TroubleKind::AnswersLost => "answers lost on the way",
            TroubleKind::CutOff => "front cut off from the servers",
            TroubleKind::FrontKilled => "front ended without a word",
            TroubleKind::FrontStalled => "front stood still",
            TroubleKind::Redials => "a member's callers dial again at once",
            TroubleKind::HotNumber => "one number flooded",
            TroubleKind::Overload => "more offered than can be carried",
        }
    }
}

/// A detected incident.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// What is wrong.
    pub kind: TroubleKind,
    /// The server, front, tenant or called number affected; empty if it is the whole fleet.
    pub subject: String,
    /// When it began.
    pub onset: Moment,
    /// When it ended; `None` while it is ongoing.
    pub end: Option<Moment>,
    /// The confidence from 0 to 1: how far the evidence exceeds the required minimum.
    pub confidence: f64,
    /// The evidence in words.
    pub evidence: String,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.kind.name())?;
        if !self.subject.is_empty() {
            write!(f, " ({})", self.subject)?;
        }
        write!(f, ": {}", self.evidence)
    }
}
