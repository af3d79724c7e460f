//! The kinds of trouble, as docs/on-call.md distinguishes them.

use std::fmt;

use ochrelead_core::time::Moment;

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TroubleKind {
    /// A server is slower than it was and than the others are.
    Slow,
    /// All servers are slower, and carry less than they did.
    AllSlow,
    /// A server takes set-ups and answers none.
    Silent,
    /// A server was gone and has restarted without an announcement.
    Crashed,
    /// A server drained and has restarted.
    Replaced,
    /// Answers of a server are lost on the way.
    AnswersLost,
    /// A front hears no server, while others hear them.
    CutOff,
    /// A front ended without leaving service.
    FrontKilled,
    /// A front was suspended for a while.
    FrontStalled,
    /// One tenant's callers dial again at once.
    Redials,
    /// Many dial one number.
    HotNumber,
    /// More is offered than can be carried.
    Overload,
}

impl TroubleKind {
    /// The stable identifier, for machines: a renamed variant keeps it.
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

    /// A name of a word or two, for plots.
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

    /// The name in reports.
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

/// One trouble.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// What is wrong.
    pub kind: TroubleKind,
    /// The server, front, tenant or called number concerned; empty where it is the fleet.
    pub subject: String,
    /// When it began.
    pub onset: Moment,
    /// When it ended; none while it lasts.
    pub end: Option<Moment>,
    /// How sure this is, 0 to 1: how far the evidence is above the least that is needed.
    pub confidence: f64,
    /// What was seen, as a sentence.
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
