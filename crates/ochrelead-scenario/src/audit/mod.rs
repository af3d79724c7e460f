//! The auditor: judges a scenario by the captured datagrams and its script, and by nothing else.
//!
//! It shares no code with the fronts but the MGCP grammar, so that it can't agree with a front's own mistakes.
//!
//! - [`Rule`]: the five rules; [`Violation`], [`RuleCoverage`]: what was found and how much was examined.
//! - `call_rules`: the rules on single calls; `slow_start`: the rule on servers that have just started.
//! - [`ServiceLevel`]: how much of the offered value was served.
//! - [`OverflowDistribution`]: whether overflow followed the servers' weights.

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

/// The verdict on one scenario. Moments are counted from the scenario's start.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    coverage: [RuleCoverage; Rule::ALL.len()],
    /// The violations, in the order of their moments.
    pub violations: Vec<Violation>,
    /// For each drain by endpoint file: from the file's last byte to the last INVITE to the server, zero where none
    /// came.
    pub drain_delays: Vec<Span>,
    /// Where calls went that did not go to their destination.
    pub overflow: OverflowDistribution,
    /// How much of the offered value was served.
    pub service_level: ServiceLevel,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn is_passed(&self) -> bool {
        self.violations.is_empty()
    }

    /// What was examined of a rule.
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

/// Judges a scenario by its capture.
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
