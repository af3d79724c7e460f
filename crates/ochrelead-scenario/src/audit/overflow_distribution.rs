//! Where calls went that did not go to their destination, against the weights of the endpoint files.

use std::collections::{BTreeMap, HashSet};

use ochrelead_config::scenario::Scenario;
use ochrelead_mgcp::message::{Command, Message, Verb, parameter};
use statrs::distribution::{ChiSquared, ContinuousCDF};

use super::trace::{TraceEvent, TraceEventKind};
use crate::participant::Participant;
use crate::rig_event::RigEvent;

/// First INVITEs of call attempts to another server than their destination, by server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OverflowDistribution {
    /// How many each server got.
    pub observed: Vec<f64>,
    /// How many each server should get by the weights of those that are not draining.
    pub expected: Vec<f64>,
}

impl OverflowDistribution {
    /// The largest difference between a server's share and its expected share, in percentage points.
    pub fn max_deviation(&self) -> f64 {
        let total = self.observed.iter().sum::<f64>().max(1.0);
        let pairs = self.observed.iter().zip(&self.expected);
        let deviations = pairs.map(|(observed, expected)| (observed - expected).abs() / total);
        deviations.fold(0.0, f64::max) * 100.0
    }

    /// The p-value of Pearson's chi-squared test: how likely a deviation as large is by chance alone.
    pub fn p_value(&self) -> f64 {
        let pairs = self.observed.iter().zip(&self.expected).filter(|(_, expected)| **expected > 0.0);
        let statistic: f64 = pairs.map(|(observed, expected)| (observed - expected).powi(2) / expected).sum();
        let degrees_of_freedom = self.observed.len().saturating_sub(1).max(1) as f64;
        ChiSquared::new(degrees_of_freedom).map_or(1.0, |distribution| distribution.sf(statistic))
    }
}

/// Counts overflow of a scenario whose endpoint files change; empty for any other.
pub(super) fn measure(scenario: &Scenario, trace: &[TraceEvent]) -> OverflowDistribution {
    let Some(churn) = &scenario.churn else { return OverflowDistribution::default() };
    let mut counter = OverflowCounter::new(&churn.weights);
    for event in trace {
        match (&event.kind, event.from, event.to) {
            (TraceEventKind::Rig(RigEvent::EndpointFileWritten { front, draining }), ..) => {
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
    /// The server that each front's endpoint file has draining.
    draining: BTreeMap<Participant, Option<u16>>,
    /// Call attempts that have had their first INVITE.
    attempts: HashSet<String>,
    distribution: OverflowDistribution,
}

impl OverflowCounter<'_> {
    fn new(weights: &[f64]) -> OverflowCounter<'_> {
        let none = vec![0.0; weights.len()];
        let distribution = OverflowDistribution { observed: none.clone(), expected: none };
        OverflowCounter { weights, draining: BTreeMap::new(), attempts: HashSet::new(), distribution }
    }

    fn on_invite(&mut self, front: Participant, server: u16, command: &Command) {
        let attempt = command.parameters.get(parameter::ATTEMPT).unwrap_or("").to_owned();
        let called = command.parameters.get(parameter::CALLED_NUMBER).unwrap_or("");
        let destination = called.get(1..3).and_then(|digits| digits.parse::<u16>().ok());
        if !self.attempts.insert(attempt) || destination == Some(server) {
            return;
        }
        // While the file is being adopted either list may be in force.
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
