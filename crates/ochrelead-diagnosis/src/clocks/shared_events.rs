//! The times of shared events on the common clock.

use std::collections::BTreeMap;

use super::MAX_DELAY_US;

/// The largest clock offset considered, in microseconds: covers a time zone that is wrong by up to two hours.
const MAX_OFFSET_US: i64 = 2 * 3_600_000_000 + MAX_DELAY_US;
/// Times of equal name that are closer than this belong to the same event.
const SAME_EVENT_WITHIN_US: i64 = MAX_DELAY_US / 8;

/// The times of shared events on the common clock, in microseconds, by event name: one for each occurrence.
#[derive(Default)]
pub(super) struct SharedEventTimes {
    by_name: BTreeMap<String, Vec<i64>>,
}

impl SharedEventTimes {
    /// Adds an occurrence, unless a known one is the same event.
    pub(super) fn add(&mut self, name: &str, time_us: i64) {
        let times = self.by_name.entry(name.to_owned()).or_default();
        let index = times.partition_point(|known| *known < time_us);
        let is_same =
            |known: Option<&i64>| known.is_some_and(|known| (known - time_us).abs() < SAME_EVENT_WITHIN_US);
        let before = index.checked_sub(1).and_then(|index| times.get(index));
        if !is_same(times.get(index)) && !is_same(before) {
            times.insert(index, time_us);
        }
    }

    /// The occurrences that may be the same event as one at `time_us` on an uncorrected clock.
    pub(super) fn candidates(&self, name: &str, time_us: i64) -> &[i64] {
        let Some(times) = self.by_name.get(name) else { return &[] };
        let from = times.partition_point(|known| *known < time_us - MAX_OFFSET_US);
        &times[from..times.partition_point(|known| *known <= time_us + MAX_OFFSET_US)]
    }
}
