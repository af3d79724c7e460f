//! Files and bytes of logs that could not be read.

use std::collections::BTreeMap;

/// Files and events that could not be read, or only in part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Damage {
    /// Names of files with the segment extension that are not segments or can't be read.
    pub foreign: Vec<String>,
    /// Names of segments with bytes after the last complete frame, and the number of these bytes. A segment that is
    /// being written can temporarily have an incomplete frame at its end.
    pub truncated: BTreeMap<String, u64>,
    /// Names of segments with a newer schema version, and that version. Their known fields and events were read.
    pub newer: BTreeMap<String, u32>,
    /// The number of events of unknown kinds.
    pub unknown_events: u64,
}

impl Damage {
    /// Adds the damage that another read operation found.
    pub fn merge(&mut self, other: &Damage) {
        self.foreign.extend(other.foreign.iter().cloned());
        self.truncated.extend(other.truncated.iter().map(|(name, bytes)| (name.clone(), *bytes)));
        self.newer.extend(other.newer.iter().map(|(name, version)| (name.clone(), *version)));
        self.unknown_events += other.unknown_events;
    }
}
