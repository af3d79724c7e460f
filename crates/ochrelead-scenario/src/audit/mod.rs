//! The auditor: checks a run of a scenario, using only the captured datagrams and the scenario's script.
//!
//! It shares only the MGCP parser and the configuration with the fronts, so that a fault in a front's logic can't
//! hide itself from the audit.
//!
//! - [`Rule`]: the five rules; [`Violation`] and [`RuleCoverage`]: the results of their checks.
//! - `call_rules`: the rules on single call attempts; `slow_start`: the rule on servers that have just started.
//! - [`ServiceLevel`]: the fraction of the offered value that was served.
//! - [`OverflowDistribution`]: how overflow calls were distributed over the servers, compared with their weights.

mod call_rules;
mod dialled;
mod overflow_distribution;
mod rule;
mod server_condition;
mod service_level;
mod slow_start;
mod trace;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};

use crate::capture::CapturedDatagram;
pub use overflow_distribution::OverflowDistribution;
pub use rule::{Rule, RuleCoverage, Violation};
pub use service_level::{OfferedCall, ServiceLevel, capacity_ceiling};

/// The result of an audit. Moments are relative to the scenario's start.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    coverage: [RuleCoverage; Rule::ALL.len()],
    /// The violations, in the order of time.
    pub violations: Vec<Violation>,
    /// For each drain by endpoint file: the time from the completion of the file to the last INVITE to the draining
    /// server, zero if there was none.
    pub drain_delays: Vec<Span>,
    /// The distribution of calls that were not sent to their destination server.
    pub overflow: OverflowDistribution,
    /// The fraction of the offered value that was served.
    pub service_level: ServiceLevel,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn is_passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// How often the rule was exercised, and how close the scenario came to violating it.
    pub fn coverage(&self, rule: Rule) -> &RuleCoverage {
        &self.coverage[rule as usize]
    }

    fn coverage_mut(&mut self, rule: Rule) -> &mut RuleCoverage {
        &mut self.coverage[rule as usize]
    }

    fn add_violation(
        &mut self,
        rule: Rule,
        subject: impl Into<String>,
        time: Moment,
        description: impl Into<String>,
    ) {
        let (subject, description) = (subject.into(), description.into());
        self.violations.push(Violation { rule, subject, time, description });
    }
}

/// Audits the capture of a scenario.
pub fn audit(scenario: &Scenario, datagrams: &[CapturedDatagram]) -> Verdict {
    let trace = trace::read_trace(datagrams);
    let mut verdict = Verdict::default();
    call_rules::check(scenario, &trace, &mut verdict);
    slow_start::check(scenario, &trace, &mut verdict);
    verdict.overflow = overflow_distribution::measure(scenario, &trace);
    verdict.service_level = service_level::measure(scenario, &trace);
    verdict.violations.sort_by_key(|violation| (violation.time, violation.rule));
    verdict
}
