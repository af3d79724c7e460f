//! Compares how calls that were not sent to their destination server were distributed with the weights of the
//! endpoint files.

use std::collections::{BTreeMap, HashSet};

use ochrelead_config::scenario::Scenario;
use ochrelead_mgcp::message::{Command, Message, Verb, parameter};
use statrs::distribution::{ChiSquared, ContinuousCDF};

use super::trace::{TraceEvent, TraceEventKind};
use crate::harness_event::HarnessEvent;
use crate::participant::Participant;

/// The first INVITEs of call attempts that went to another server than their destination, by server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverflowDistribution {
    /// The number of INVITEs that each server got.
    pub observed: Vec<f64>,
    /// The expected number for each server by the weights of the servers that were not draining.
    pub expected: Vec<f64>,
}

impl OverflowDistribution {
    /// Returns the largest difference between a server's observed and expected share, in percentage points.
    pub fn max_deviation(&self) -> f64 {
        let total = self.observed.iter().sum::<f64>().max(1.0);
        let pairs = self.observed.iter().zip(&self.expected);
        let deviations = pairs.map(|(observed, expected)| (observed - expected).abs() / total);
        deviations.fold(0.0, f64::max) * 100.0
    }

    /// Returns the p-value of Pearson's chi-squared test: the probability of a deviation at least as large by chance.
    pub fn p_value(&self) -> f64 {
        let pairs = self.observed.iter().zip(&self.expected).filter(|(_, expected)| **expected > 0.0);
        let statistic: f64 = pairs.map(|(observed, expected)| (observed - expected).powi(2) / expected).sum();
        let degrees_of_freedom = self.observed.len().saturating_sub(1).max(1) as f64;
        ChiSquared::new(degrees_of_freedom).map_or(1.0, |distribution| distribution.sf(statistic))
    }
}

/// Measures the overflow of a scenario that rewrites endpoint files; returns an empty distribution for any other.
pub(super) fn measure(scenario: &Scenario, trace: &[TraceEvent]) -> OverflowDistribution {
    let Some(churn) = &scenario.churn else { return OverflowDistribution::default() };
    let mut counter = OverflowCounter::new(&churn.weights);
    for event in trace {
        match (&event.kind, event.from, event.to) {
            (TraceEventKind::Harness(HarnessEvent::EndpointFileWritten { front, draining }), ..) => {
                counter.draining.insert(*front, *draining);
            }
            (
                TraceEventKind::Message(Message::Command(command)),
                front @ Participant::Front(_),
                Participant::Server(server),
            ) if command.verb == Verb::CreateConnection && !event.delivered => {
                counter.on_invite(front, server, command);
            }
            _ => {}
        }
    }
    counter.distribution
}

struct OverflowCounter<'a> {
    weights: &'a [f64],
    /// By front: the server that its endpoint file marks as draining.
    draining: BTreeMap<Participant, Option<u16>>,
    /// The call attempts whose first INVITE has been seen.
    attempts: HashSet<String>,
    distribution: OverflowDistribution,
}

impl OverflowCounter<'_> {
    fn new(weights: &[f64]) -> OverflowCounter<'_> {
        let zeros = vec![0.0; weights.len()];
        let distribution = OverflowDistribution { observed: zeros.clone(), expected: zeros };
        OverflowCounter { weights, draining: BTreeMap::new(), attempts: HashSet::new(), distribution }
    }

    fn on_invite(&mut self, front: Participant, server: u16, command: &Command) {
        let attempt = command.parameters.get(parameter::ATTEMPT).unwrap_or("").to_owned();
        let called = command.parameters.get(parameter::CALLED_NUMBER).unwrap_or("");
        let destination = called.get(1..3).and_then(|digits| digits.parse::<u16>().ok());
        if !self.attempts.insert(attempt) || destination == Some(server) {
            return;
        }
        // While a front loads a new file, either endpoint list may be in effect. Only calls whose destination is
        // draining and that went to another server are certain to be overflow by the new list.
        let draining = self.draining.get(&front).copied().flatten();
        if draining == Some(server) || destination != draining {
            return;
        }
        let is_available = |index: &usize| Some(*index as u16) != draining;
        let available = (0..self.weights.len()).filter(is_available);
        let total: f64 = available.clone().map(|index| self.weights[index]).sum();
        for index in available {
            self.distribution.expected[index] += self.weights[index] / total;
        }
        self.distribution.observed[usize::from(server)] += 1.0;
    }
}
