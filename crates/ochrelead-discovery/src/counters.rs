//! Counters of readings, adoptions and refusals, in the text format of Prometheus.

use std::collections::BTreeMap;

use ochrelead_core::time::Span;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::adoption::ServerChange;

/// Prefix of all metric names.
const PREFIX: &str = "ochrelead_fleet";
/// Value of the age metric for a fleet that this process has not adopted, in seconds.
const UNKNOWN_AGE: i64 = -1;

/// Counters since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Readings whose contents differed from the previous reading.
    pub readings: u64,
    /// Fleets adopted.
    pub adoptions: u64,
    /// Changes of servers by adopted fleets, by the name of the kind of change.
    pub changes: BTreeMap<&'static str, u64>,
    /// Readings rejected, by reason.
    pub refusals: BTreeMap<&'static str, u64>,
}

impl Counters {
    pub(crate) fn count_adoption(&mut self, changes: &[ServerChange]) {
        self.adoptions += 1;
        for change in changes {
            *self.changes.entry(change.kind.name()).or_insert(0) += 1;
        }
    }

    pub(crate) fn count_refusal(&mut self, reason: &'static str) {
        *self.refusals.entry(reason).or_insert(0) += 1;
    }

    /// Encodes the counters, and the generation and the age of the fleet in force.
    pub fn to_prometheus(&self, generation: u64, age: Option<Span>) -> String {
        let mut registry = Registry::with_prefix(PREFIX);
        registry.register("readings", "Changed contents that were read", counter(self.readings));
        registry.register("adoptions", "Fleets adopted", counter(self.adoptions));
        registry.register(
            "changes",
            "Changes of servers by adopted fleets",
            counters_by_reason(&self.changes),
        );
        registry.register(
            "refusals",
            "Readings refused or held, by reason",
            counters_by_reason(&self.refusals),
        );
        registry.register("generation", "The generation in force", gauge(generation as i64));
        let age_seconds = age.map_or(UNKNOWN_AGE, |age| (age.micros() / 1_000_000) as i64);
        registry.register(
            "age_seconds",
            "Since the fleet in force was adopted; -1 where it was kept",
            gauge(age_seconds),
        );
        let mut text = String::new();
        encode(&mut text, &registry).expect("writing to a String does not fail");
        text
    }
}

fn counter(value: u64) -> Counter {
    let counter = Counter::default();
    counter.inc_by(value);
    counter
}

fn counters_by_reason(counts: &BTreeMap<&'static str, u64>) -> Family<Vec<(String, String)>, Counter> {
    let family = Family::<Vec<(String, String)>, Counter>::default();
    for (reason, count) in counts {
        let labels = vec![("reason".to_owned(), (*reason).to_owned())];
        family.get_or_create(&labels).inc_by(*count);
    }
    family
}

fn gauge(value: i64) -> Gauge {
    let gauge = Gauge::default();
    gauge.set(value);
    gauge
}
