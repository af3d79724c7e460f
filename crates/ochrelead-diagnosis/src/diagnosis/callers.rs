//! What callers do: redials at once, and called numbers that many dial.

use std::collections::BTreeMap;

use ochrelead_core::time::Moment;

use super::trouble_log::Finding;
use super::{Diagnosis, window_middle};
use crate::trouble::TroubleKind;

/// So many cases within the window are a trouble.
const MIN_CASES: usize = 4;
/// A number with so many attempts and calls at once is flooded.
const MIN_OPEN_CALLS: usize = 4;
/// So many cases give full confidence.
const CONFIDENT_FLOOD_CASES: f64 = 12.0;
const CONFIDENT_REDIAL_CASES: f64 = 15.0;

/// How often something was seen.
struct Count<T> {
    value: T,
    count: usize,
}

/// The most frequent value; of equals the highest.
fn most_frequent<T: Ord>(values: impl Iterator<Item = T>) -> Option<Count<T>> {
    let mut counts = BTreeMap::new();
    for value in values {
        *counts.entry(value).or_insert(0) += 1;
    }
    counts.into_iter().max_by_key(|(_, count)| *count).map(|(value, count)| Count { value, count })
}

impl Diagnosis {
    /// Callers that dial again at once, and numbers that many dial.
    pub(super) fn evaluate_callers(&mut self, now: Moment) {
        if let Some(flooded) = self.flooded_number() {
            let finding = Finding {
                kind: TroubleKind::HotNumber,
                subject: &flooded.value,
                onset: window_middle(now),
                confidence: (flooded.count as f64 / CONFIDENT_FLOOD_CASES).min(1.0),
                evidence: format!("{} tries met its busy lines, or are open, at once", flooded.count),
            };
            self.troubles.observe(now, finding);
            return;
        }
        let all = self.immediate_redials.len();
        let Some(Count { value: tenant, count }) = most_frequent(self.immediate_redials.values().copied())
        else {
            return;
        };
        if count < MIN_CASES || count * 4 < all * 3 {
            return;
        }
        let finding = Finding {
            kind: TroubleKind::Redials,
            subject: &format!("member {tenant}"),
            onset: window_middle(now),
            confidence: (count as f64 / CONFIDENT_REDIAL_CASES).min(1.0),
            evidence: format!("{count} of {all} tries that came again at once are its callers'"),
        };
        self.troubles.observe(now, finding);
    }

    /// The number whose lines were busy most often, or the one with the most open calls.
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
