//! Puts the records of several fronts, which arrive in any order, into one order on a common clock.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use ochrelead_diagnosis::clocks::{ClockEstimator, Clocks};
use ochrelead_event_log::reader::{FrontIncarnation, Record};
use ochrelead_event_log::schema::Event;

/// How long a record waits for earlier ones of other fronts. One that arrives later than that counts as it arrives.
const REORDER_DELAY: Span = Span::from_millis(600);

/// A record that has waited long enough.
#[derive(Debug)]
pub struct TimedRecord {
    /// When it happened, on the common clock.
    pub time: Moment,
    /// The front that wrote it.
    pub incarnation: FrontIncarnation,
    /// What happened.
    pub event: Event,
}

/// The place of a waiting record: by time, and in order of arrival where times are equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    time_us: u64,
    arrival: u64,
}

/// Records that wait for their turn, and the fronts' clocks as estimated from them.
#[derive(Default)]
pub struct RecordQueue {
    waiting: BTreeMap<QueueKey, (FrontIncarnation, Event)>,
    arrivals: u64,
    newest_us: u64,
    estimator: ClockEstimator,
    clocks: Clocks,
}

impl RecordQueue {
    /// Adds a record, in any order.
    pub fn push(&mut self, record: Record) {
        let Record { incarnation, event, .. } = record;
        self.arrivals += 1;
        if self.estimator.handle_event(&incarnation, &event) {
            self.clocks = self.estimator.clone().estimate();
        }
        let time_us = self.clocks.common_time_us(&incarnation, &event);
        self.newest_us = self.newest_us.max(time_us);
        self.waiting.insert(QueueKey { time_us, arrival: self.arrivals }, (incarnation, event));
    }

    /// The time up to which the order is settled, where nothing has arrived for `idle`: time goes on with it.
    pub fn settled_until(&self, idle: Span) -> Moment {
        let latest = Moment::from_micros(self.newest_us) + idle;
        Moment::from_micros(latest.micros().saturating_sub(REORDER_DELAY.micros()))
    }

    /// The earliest record, where it is not later than `until`.
    pub fn pop_until(&mut self, until: Moment) -> Option<TimedRecord> {
        let earliest = self.waiting.first_entry().filter(|entry| entry.key().time_us <= until.micros())?;
        let (key, (incarnation, event)) = earliest.remove_entry();
        Some(TimedRecord { time: Moment::from_micros(key.time_us), incarnation, event })
    }
}
