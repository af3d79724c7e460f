//! What could not be read.

use std::collections::BTreeMap;

/// What could not be read, or not wholly.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Damage {
    /// Files that are no segments.
    pub foreign: Vec<String>,
    /// Segments with bytes behind the last whole frame, and how many. One that is being written may have some.
    pub truncated: BTreeMap<String, u64>,
    /// Segments of a newer version: what is known of them was read.
    pub newer: BTreeMap<String, u32>,
    /// Events of kinds that this program does not know.
    pub unknown_events: u64,
}

impl Damage {
    /// Adds what another reading found.
    pub fn merge(&mut self, other: &Damage) {
        self.foreign.extend(other.foreign.iter().cloned());
        self.truncated.extend(other.truncated.iter().map(|(name, bytes)| (name.clone(), *bytes)));
        self.newer.extend(other.newer.iter().map(|(name, version)| (name.clone(), *version)));
        self.unknown_events += other.unknown_events;
    }
}
