//! Plain counters of adoptions and refusals, in the prometheus text form.

use std::collections::BTreeMap;

use ochrelead_core::time::Span;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::adopt::Change;

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tallies {
    pub readings: u64,
    pub adoptions: u64,
    pub changes: BTreeMap<&'static str, u64>,
    pub refusals: BTreeMap<&'static str, u64>,
}

impl Tallies {
    pub(crate) fn adopted(&mut self, changes: &[(String, Change)]) {
        self.adoptions += 1;
        for (_, change) in changes {
            *self.changes.entry(change.name()).or_insert(0) += 1;
        }
    }

    pub(crate) fn refused(&mut self, reason: &'static str) {
        *self.refusals.entry(reason).or_insert(0) += 1;
    }

    /// The counters as text, with the generation and the age of the fleet in force.
    pub fn text(&self, generation: u64, age: Option<Span>) -> String {
        let mut registry = Registry::with_prefix("ochrelead_fleet");
        let counted = |value: u64| {
            let counter: Counter = Counter::default();
            counter.inc_by(value);
            counter
        };
        registry.register("readings", "Changed contents that were read", counted(self.readings));
        registry.register("adoptions", "Fleets adopted", counted(self.adoptions));
        for (name, help, by) in [
            ("changes", "Changes of servers by adopted fleets", &self.changes),
            ("refusals", "Readings refused or held, by reason", &self.refusals),
        ] {
            let family = Family::<Vec<(String, String)>, Counter>::default();
            for (reason, count) in by {
                let labels = vec![("reason".to_owned(), (*reason).to_owned())];
                family.get_or_create(&labels).inc_by(*count);
            }
            registry.register(name, help, family);
        }
        let level = |value: i64| {
            let gauge: Gauge = Gauge::default();
            gauge.set(value);
            gauge
        };
        registry.register("generation", "The generation in force", level(generation as i64));
        let age = age.map_or(-1, |age| (age.micros() / 1_000_000) as i64);
        registry.register(
            "age_seconds",
            "Since the fleet in force was adopted; -1 where it was kept",
            level(age),
        );
        let mut text = String::new();
        encode(&mut text, &registry).expect("a string takes all that is written");
        text
    }
}
