//! The next timeout of each participant.

use std::collections::{BTreeMap, BTreeSet};

use ochrelead_core::time::Moment;
use ochrelead_scenario::participant::Participant;

/// A timer queue with at most one alarm per participant.
#[derive(Default)]
pub(super) struct Alarms {
    queue: BTreeSet<(Moment, Participant)>,
    by_participant: BTreeMap<Participant, Moment>,
}

impl Alarms {
    /// Returns the time of the earliest alarm.
    pub(super) fn next_time(&self) -> Option<Moment> {
        self.queue.first().map(|(time, _)| *time)
    }

    /// Removes the earliest alarm and returns its participant.
    pub(super) fn pop(&mut self) -> Option<Participant> {
        let (_, participant) = self.queue.pop_first()?;
        self.by_participant.remove(&participant);
        Some(participant)
    }

    /// Replaces a participant's alarm; `None` removes it.
    pub(super) fn set(&mut self, participant: Participant, time: Option<Moment>) {
        if let Some(former) = self.by_participant.remove(&participant) {
            self.queue.remove(&(former, participant));
        }
        if let Some(time) = time {
            self.by_participant.insert(participant, time);
            self.queue.insert((time, participant));
        }
    }
}
