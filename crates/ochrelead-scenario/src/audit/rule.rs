//! The five rules, and what the auditor finds about them.

use std::fmt;

use ochrelead_core::time::Moment;

/// A rule that every front keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each call attempt gets one final answer by its deadline, and nothing after it.
    FinalAnswer,
    /// At most one INVITE of a call attempt is outstanding.
    SingleInvite,
    /// A server that drains or is gone gets no new call.
    NoNewCallsToLeaving,
    /// All fronts together send a server that has just started no more than it can carry.
    SlowStart,
    /// After an INVITE that has to be released, the next one waits for the resend delay.
    ReleaseDelay,
}

impl Rule {
    /// All rules, in the order of their numbers.
    pub const ALL: [Rule; 5] = [
        Rule::FinalAnswer,
        Rule::SingleInvite,
        Rule::NoNewCallsToLeaving,
        Rule::SlowStart,
        Rule::ReleaseDelay,
    ];

    /// The rule's number in reports, counted from 1.
    pub fn number(self) -> usize {
        self as usize + 1
    }

    /// The rule in a few words, for reports.
    pub fn description(self) -> &'static str {
        match self {
            Rule::FinalAnswer => "one final answer, in time, and nothing after it",
            Rule::SingleInvite => "never two INVITEs at once",
            Rule::NoNewCallsToLeaving => "nothing new to a server that drains or is gone",
            Rule::SlowStart => "no cold server pushed over",
            Rule::ReleaseDelay => "the release is awaited",
        }
    }
}

/// One case in which a rule was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The call attempt or the server concerned.
    pub subject: String,
    /// When, counted from the scenario's start.
    pub time: Moment,
    /// What was seen, in plain words.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rule, subject) = (self.rule.number(), &self.subject);
        let ms = self.time.micros() as f64 / 1_000.0;
        write!(f, "rule {rule} broken by {subject} at {ms:.3} ms: {}", self.description)
    }
}

/// How much was examined of one rule.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuleCoverage {
    /// How many cases there were.
    pub cases: u64,
    /// The largest share that a kept case used of what the rule allows, 1 being all of it; none where no case
    /// measures it.
    pub peak_usage: Option<f64>,
}

impl RuleCoverage {
    pub(super) fn count_case(&mut self) {
        self.cases += 1;
    }

    pub(super) fn record_usage(&mut self, share: f64) {
        self.peak_usage = Some(self.peak_usage.unwrap_or(0.0).max(share));
    }
}
