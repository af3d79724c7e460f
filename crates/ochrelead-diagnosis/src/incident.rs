//! The kinds of incident, as docs/on-call.md distinguishes them.

use std::fmt;

use ochrelead_core::time::Moment;

/// The kind of an incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum IncidentKind {
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

impl IncidentKind {
    /// The identifier in JSON output. Stable: it stays the same if a variant is renamed.
    pub fn id(self) -> &'static str {
        match self {
            IncidentKind::Slow => "Slow",
            IncidentKind::AllSlow => "AllSlow",
            IncidentKind::Silent => "Silent",
            IncidentKind::Crashed => "Crashed",
            IncidentKind::Replaced => "Replaced",
            IncidentKind::AnswersLost => "AnswersLost",
            IncidentKind::CutOff => "CutOff",
            IncidentKind::FrontKilled => "FrontKilled",
            IncidentKind::FrontStalled => "FrontStalled",
            IncidentKind::Redials => "Redials",
            IncidentKind::HotNumber => "HotNumber",
            IncidentKind::Overload => "Overload",
        }
    }

    /// A short name for plots, of one or two words.
    pub fn short_name(self) -> &'static str {
        match self {
            IncidentKind::Slow => "slow",
            IncidentKind::AllSlow => "all slow",
            IncidentKind::Silent => "silent",
            IncidentKind::Crashed => "crashed",
            IncidentKind::Replaced => "replaced",
            IncidentKind::AnswersLost => "answers lost",
            IncidentKind::CutOff => "cut off",
            IncidentKind::FrontKilled => "killed",
            IncidentKind::FrontStalled => "stood still",
            IncidentKind::Redials => "redials",
            IncidentKind::HotNumber => "flooded",
            IncidentKind::Overload => "overload",
        }
    }

    /// The name shown in reports.
    pub fn name(self) -> &'static str {
        match self {
            IncidentKind::Slow => "slow",
            IncidentKind::AllSlow => "all servers slow",
            IncidentKind::Silent => "silent",
            IncidentKind::Crashed => "crashed and started anew",
            IncidentKind::Replaced => "drained and replaced",
            IncidentKind::AnswersLost => "answers lost on the way",
            IncidentKind::CutOff => "front cut off from the servers",
            IncidentKind::FrontKilled => "front ended without a word",
            IncidentKind::FrontStalled => "front stood still",
            IncidentKind::Redials => "a member's callers dial again at once",
            IncidentKind::HotNumber => "one number flooded",
            IncidentKind::Overload => "more offered than can be carried",
        }
    }
}

/// A detected incident.
#[derive(Clone, Debug, PartialEq)]
pub struct Incident {
    /// What is wrong.
    pub kind: IncidentKind,
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

impl fmt::Display for Incident {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.kind.name())?;
        if !self.subject.is_empty() {
            write!(f, " ({})", self.subject)?;
        }
        write!(f, ": {}", self.evidence)
    }
}
