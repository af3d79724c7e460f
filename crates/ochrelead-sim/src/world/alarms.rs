//! When each party wants to be called.

use std::collections::{BTreeMap, BTreeSet};

use ochrelead_core::time::Moment;
use ochrelead_scenario::participant::Participant;

/// One alarm at the most for each party.
#[derive(Default)]
pub(super) struct Alarms {
    queue: BTreeSet<(Moment, Participant)>,
    by_party: BTreeMap<Participant, Moment>,
}

impl Alarms {
    /// The time of the first.
    pub(super) fn next_time(&self) -> Option<Moment> {
        self.queue.first().map(|(time, _)| *time)
    }

    /// Takes the first.
    pub(super) fn pop(&mut self) -> Option<Participant> {
        let (_, party) = self.queue.pop_first()?;
        self.by_party.remove(&party);
        Some(party)
    }

    /// Replaces a party's alarm.
    pub(super) fn set(&mut self, party: Participant, time: Option<Moment>) {
        if let Some(former) = self.by_party.remove(&party) {
            self.queue.remove(&(former, party));
        }
        if let Some(time) = time {
            self.by_party.insert(party, time);
            self.queue.insert((time, party));
        }
    }
}
