//! The kinds of trouble, as docs/on-call.md tells them apart.

use std::fmt;

use ochrelead_core::time::Moment;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A server is slower than it was and than the others are.
    Slow,
    /// All servers are slower, and carry less than they did.
    AllSlow,
    /// A server takes set-ups and answers none.
    Silent,
    /// A server was gone and has started anew without a word before.
    Crashed,
    /// A server drained and has started anew.
    Replaced,
    /// Answers of a server are lost on the way.
    AnswersLost,
    /// A front hears no server, while others hear them.
    CutOff,
    /// A front ended without a word.
    FrontKilled,
    /// A front stood still.
    FrontStalled,
    /// One member's callers dial again at once.
    Redials,
    /// Many dial one number.
    HotNumber,
    /// More is offered than can be carried.
    Overload,
}

impl Kind {
    /// The stable identifier, for machines: a renamed variant keeps it.
    pub fn id(self) -> &'static str {
        match self {
            Kind::Slow => "Slow",
            Kind::AllSlow => "AllSlow",
            Kind::Silent => "Silent",
            Kind::Crashed => "Crashed",
            Kind::Replaced => "Replaced",
            Kind::AnswersLost => "AnswersLost",
            Kind::CutOff => "CutOff",
            Kind::FrontKilled => "FrontKilled",
            Kind::FrontStalled => "FrontStalled",
            Kind::Redials => "Redials",
            Kind::HotNumber => "HotNumber",
            Kind::Overload => "Overload",
        }
    }

    /// In a word or two, for plots.
    pub fn short(self) -> &'static str {
        match self {
            Kind::Slow => "slow",
            Kind::AllSlow => "all slow",
            Kind::Silent => "silent",
            Kind::Crashed => "crashed",
            Kind::Replaced => "replaced",
            Kind::AnswersLost => "answers lost",
            Kind::CutOff => "cut off",
            Kind::FrontKilled => "killed",
            Kind::FrontStalled => "stood still",
            Kind::Redials => "redials",
            Kind::HotNumber => "flooded",
            Kind::Overload => "overload",
        }
    }

    /// In plain words.
    pub fn name(self) -> &'static str {
        match self {
            Kind::Slow => "slow",
            Kind::AllSlow => "all servers slow",
            Kind::Silent => "silent",
            Kind::Crashed => "crashed and started anew",
            Kind::Replaced => "drained and replaced",
            Kind::AnswersLost => "answers lost on the way",
            Kind::CutOff => "front cut off from the servers",
            Kind::FrontKilled => "front ended without a word",
            Kind::FrontStalled => "front stood still",
            Kind::Redials => "a member's callers dial again at once",
            Kind::HotNumber => "one number flooded",
            Kind::Overload => "more offered than can be carried",
        }
    }
}

/// One trouble.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    pub kind: Kind,
    /// The server, front, member or number; empty where it is the fleet.
    pub of: String,
    pub onset: Moment,
    /// None while it lasts.
    pub end: Option<Moment>,
    /// How sure this is, 0 to 1: how far the evidence is above what was asked of it.
    pub confidence: f64,
    /// What was seen, in plain words.
    pub evidence: String,
}

impl fmt::Display for Trouble {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.kind.name())?;
        if !self.of.is_empty() {
            write!(f, " ({})", self.of)?;
        }
        write!(f, ": {}", self.evidence)
    }
}
