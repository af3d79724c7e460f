//! Where sessions went that did not go to their destination, against the weights of the fleet files.

use std::collections::{BTreeMap, HashSet};

use ochrelead_config::scenario::Scenario;
use ochrelead_mgcp::message::{Message, Verb, parameter};
use statrs::distribution::{ChiSquared, ContinuousCDF};

use super::sightings::{Mark, Seen, What};
use crate::party::Party;

/// First INVITEs that were drawn, by server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drawn {
    pub seen: Vec<f64>,
    /// What the weights of those that could be drawn make one expect.
    pub expected: Vec<f64>,
}

impl Drawn {
    /// The largest gap between a server's share and what its weight makes one expect, in points of a hundred.
    pub fn widest(&self) -> f64 {
        let all = self.seen.iter().sum::<f64>().max(1.0);
        let gaps = self.seen.iter().zip(&self.expected).map(|(seen, expected)| (seen - expected).abs() / all);
        gaps.fold(0.0, f64::max) * 100.0
    }

    /// Pearson's chi-squared test: how likely a gap as large is by chance alone.
    pub fn likelihood(&self) -> f64 {
        let terms = self.seen.iter().zip(&self.expected).filter(|(_, expected)| **expected > 0.0);
        let statistic: f64 = terms.map(|(seen, expected)| (seen - expected).powi(2) / expected).sum();
        let freedom = self.seen.len().saturating_sub(1).max(1) as f64;
        ChiSquared::new(freedom).map_or(1.0, |chi| chi.sf(statistic))
    }
}

pub fn measure(day: &Scenario, seen: &[Seen]) -> Drawn {
    let Some(churn) = &day.churn else { return Drawn::default() };
    let servers = churn.weights.len();
    let mut drawn = Drawn { seen: vec![0.0; servers], expected: vec![0.0; servers] };
    let mut drains: BTreeMap<u16, Option<u16>> = BTreeMap::new();
    let mut tries = HashSet::new();
    for one in seen {
        match (&one.what, one.from, one.to) {
            (What::Mark(Mark::Fleet(Party::Front(front), server)), ..) => {
                drains.insert(*front, *server);
            }
            (What::Message(Message::Command(command)), Party::Front(front), Party::Server(server))
                if command.verb == Verb::CreateConnection && !one.reached =>
            {
                let tried = command.parameters.get(parameter::ATTEMPT).unwrap_or("").to_owned();
                let called = command.parameters.get(parameter::CALLED_NUMBER).unwrap_or("");
                let destination = called.get(1..3).and_then(|digits| digits.parse::<u16>().ok());
                if !tries.insert(tried) || destination == Some(server) {
                    continue;
                }
                // While the file is being adopted either list may be in force.
                let drained = drains.get(&front).copied().flatten();
                if drained == Some(server) || destination != drained {
                    continue;
                }
                let open = |at: &usize| Some(*at as u16) != drained;
                let all: f64 = (0..servers).filter(open).map(|at| churn.weights[at]).sum();
                for at in (0..servers).filter(open) {
                    drawn.expected[at] += churn.weights[at] / all;
                }
                drawn.seen[usize::from(server)] += 1.0;
            }
            _ => {}
        }
    }
    drawn
}
