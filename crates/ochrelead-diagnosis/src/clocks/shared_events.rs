//! The times of shared events on the common clock.

use std::collections::BTreeMap;

use super::MAX_DELAY_US;

/// Clocks that are further apart than this are not related: a zone set wrong by an hour or two is.
const MAX_OFFSET_US: i64 = 2 * 3_600_000_000 + MAX_DELAY_US;
/// Times that are nearer than this are of the same event.
const SAME_EVENT_WITHIN_US: i64 = MAX_DELAY_US / 8;

/// The times of each shared event on the common clock, in microseconds, one for each time that it happened.
#[derive(Default)]
pub(super) struct SharedEventTimes {
    by_name: BTreeMap<String, Vec<i64>>,
}

impl SharedEventTimes {
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

    /// The times at which an event may be the same as one at this time on another clock.
    pub(super) fn candidates(&self, name: &str, time_us: i64) -> &[i64] {
        let Some(times) = self.by_name.get(name) else { return &[] };
        let from = times.partition_point(|known| *known < time_us - MAX_OFFSET_US);
        &times[from..times.partition_point(|known| *known <= time_us + MAX_OFFSET_US)]
    }
}
