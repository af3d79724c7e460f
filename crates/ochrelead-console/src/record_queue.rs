//! Orders the records of all fronts, which arrive in any order, by a common clock.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::clocks::{ClockEstimator, Clocks};
use ochrelead_event_log::reader::{FrontIncarnation, Record};
use ochrelead_event_log::schema::Event;

/// How long a record is held back to wait for earlier records of other fronts. A record that arrives later than this
/// is released out of order.
const REORDER_DELAY: Span = Span::from_millis(600);

/// A record with its time on the common clock.
#[derive(Debug)]
pub struct TimedRecord {
    /// The time of the event on the common clock.
    pub time: Moment,
    /// The front incarnation that wrote it.
    pub incarnation: FrontIncarnation,
    /// The event.
    pub event: Event,
}

/// The position of a record in the queue: ordered by time, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    time_us: u64,
    arrival: u64,
}

/// Holds records back until their order is settled, and estimates the clock offsets of the fronts from them.
#[derive(Default)]
pub struct RecordQueue {
    records: BTreeMap<QueueKey, (FrontIncarnation, Event)>,
    arrivals: u64,
    newest_us: u64,
    estimator: ClockEstimator,
    clocks: Clocks,
}

impl RecordQueue {
    /// Adds a record. Records of different fronts may come in any order.
    pub fn push(&mut self, record: Record) {
        let Record { incarnation, event, .. } = record;
        self.arrivals += 1;
        if self.estimator.handle_event(&incarnation, &event) {
            self.clocks = self.estimator.clone().estimate();
        }
        let time_us = self.clocks.common_time_us(&incarnation, &event);
        self.newest_us = self.newest_us.max(time_us);
        self.records.insert(QueueKey { time_us, arrival: self.arrivals }, (incarnation, event));
    }

    /// The time up to which the order is settled: the newest record's time plus `idle`, the time since the last
    /// record arrived, minus the reorder delay.
    pub fn settled_until(&self, idle: Span) -> Moment {
        let latest = Moment::from_micros(self.newest_us) + idle;
        Moment::from_micros(latest.micros().saturating_sub(REORDER_DELAY.micros()))
    }

    /// Removes and returns the earliest record, if it is not later than `until`.
    pub fn pop_until(&mut self, until: Moment) -> Option<TimedRecord> {
        let earliest = self.records.first_entry().filter(|entry| entry.key().time_us <= until.micros())?;
        let (key, (incarnation, event)) = earliest.remove_entry();
        Some(TimedRecord { time: Moment::from_micros(key.time_us), incarnation, event })
    }
}
