//! Detects incidents caused by callers: immediate redials of one tenant, and a called number that many dial.

use std::collections::BTreeMap;

use ochrelead_core::time::Moment;

use super::incident_log::Finding;
use super::{Diagnosis, window_middle};
use crate::incident::IncidentKind;

/// The number of cases within the window that makes an incident.
const MIN_CASES: usize = 4;
/// A number with this many concurrent attempts and calls is flooded.
const MIN_OPEN_CALLS: usize = 4;
/// The number of cases that gives full confidence in a flooded number.
const CONFIDENT_FLOOD_CASES: f64 = 12.0;
/// The number of cases that gives full confidence in redials.
const CONFIDENT_REDIAL_CASES: f64 = 15.0;

/// A value with its number of occurrences.
struct Count<T> {
    value: T,
    count: usize,
}

/// The most frequent value; of equally frequent ones, the highest.
fn most_frequent<T: Ord>(values: impl Iterator<Item = T>) -> Option<Count<T>> {
    let mut counts = BTreeMap::new();
    for value in values {
        *counts.entry(value).or_insert(0) += 1;
    }
    counts.into_iter().max_by_key(|(_, count)| *count).map(|(value, count)| Count { value, count })
}

impl Diagnosis {
    /// Reports a flooded number if there is one, otherwise a tenant whose callers redial immediately.
    pub(super) fn evaluate_callers(&mut self, now: Moment) {
        if let Some(flooded) = self.flooded_number() {
            let finding = Finding {
                kind: IncidentKind::HotNumber,
                subject: &flooded.value,
                onset: window_middle(now),
                confidence: (flooded.count as f64 / CONFIDENT_FLOOD_CASES).min(1.0),
                evidence: format!("{} tries met its busy lines, or are open, at once", flooded.count),
            };
            self.incidents.observe(now, finding);
            return;
        }
        let total = self.immediate_redials.len();
        let Some(Count { value: tenant, count }) = most_frequent(self.immediate_redials.values().copied())
        else {
            return;
        };
        let is_majority = count * 4 >= total * 3;
        if count < MIN_CASES || !is_majority {
            return;
        }
        let finding = Finding {
            kind: IncidentKind::Redials,
            subject: &format!("member {tenant}"),
            onset: window_middle(now),
            confidence: (count as f64 / CONFIDENT_REDIAL_CASES).min(1.0),
            evidence: format!("{count} of {total} tries that came again at once are its callers'"),
        };
        self.incidents.observe(now, finding);
    }

    /// The number that was busy most often, or else the one with the most open calls; `None` if too few.
    fn flooded_number(&self) -> Option<Count<String>> {
        let busiest = most_frequent(self.busy_numbers.values());
        if let Some(Count { value, count }) = busiest.filter(|busiest| busiest.count >= MIN_CASES) {
            return Some(Count { value: value.clone(), count });
        }
        let fullest = self.open_calls_by_number.iter().max_by_key(|(_, open)| **open);
        let (called, open) = fullest.filter(|(_, open)| **open >= MIN_OPEN_CALLS)?;
        Some(Count { value: called.clone(), count: *open })
    }
}
