//! The five rules, their violations, and how much of each rule a scenario exercised.

use std::fmt;

use ochrelead_core::time::Moment;

/// A rule that every front must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each call attempt gets exactly one final answer, by its deadline; after the answer or a hang-up the front
    /// sends no further INVITE or answer.
    FinalAnswer,
    /// At most one INVITE of a call attempt is outstanding.
    SingleInvite,
    /// A server that is draining or gone gets no new calls.
    NoNewCallsToLeaving,
    /// All fronts together do not overload a server that has just started.
    SlowStart,
    /// After an INVITE whose call the server may still hold, the next INVITE waits for the resend delay.
    ReleaseDelay,
}

impl Rule {
    /// All rules, in numerical order.
    pub const ALL: [Rule; 5] = [
        Rule::FinalAnswer,
        Rule::SingleInvite,
        Rule::NoNewCallsToLeaving,
        Rule::SlowStart,
        Rule::ReleaseDelay,
    ];

    /// The rule's number in reports, from 1.
    pub fn number(self) -> usize {
        self as usize + 1
    }

    /// A short description of the rule for reports.
    pub fn description(self) -> &'static str {
        match self {
            Rule::FinalAnswer => "one final answer by the deadline, and nothing after it",
            Rule::SingleInvite => "at most one outstanding INVITE per call attempt",
            Rule::NoNewCallsToLeaving => "no new calls to a server that is draining or gone",
            Rule::SlowStart => "no overload of a server that has just started",
            Rule::ReleaseDelay => "the next INVITE waits for the release delay",
        }
    }
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The call attempt or the server concerned.
    pub subject: String,
    /// When it occurred, from the scenario's start.
    pub time: Moment,
    /// What was observed.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (rule, subject) = (self.rule.number(), &self.subject);
        let ms = self.time.micros() as f64 / 1_000.0;
        write!(f, "rule {rule} broken by {subject} at {ms:.3} ms: {}", self.description)
    }
}

/// How often a scenario exercised one rule, and how close it came to a violation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuleCoverage {
    /// The number of cases that were checked.
    pub cases: u64,
    /// The highest usage of the rule's limit over all measured cases, 1 being the limit; `None` if no case was
    /// measured.
    pub peak_usage: Option<f64>,
}

impl RuleCoverage {
    pub(super) fn count_case(&mut self) {
        self.cases += 1;
    }

    pub(super) fn record_usage(&mut self, usage: f64) {
        self.peak_usage = Some(self.peak_usage.unwrap_or(0.0).max(usage));
    }
}
