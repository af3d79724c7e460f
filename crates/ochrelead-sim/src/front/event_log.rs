//! The event log of one process of a front, in memory.

use ochrelead_core::time::Moment;
use ochrelead_event_log::reader::{FrontIncarnation, Log, Record};
use ochrelead_event_log::schema::Event;
use ochrelead_event_log::schema::event::What;

/// What one process has recorded.
pub(super) struct EventLog {
    incarnation: FrontIncarnation,
    records: Vec<Record>,
}

impl EventLog {
    /// The log of a process that starts now, by its own clock.
    pub(super) fn new(front: &str, started: Moment) -> EventLog {
        let incarnation = FrontIncarnation { front: front.to_owned(), started_us: started.micros() };
        EventLog { incarnation, records: Vec::new() }
    }

    /// Appends an event that happened now, by the process's own clock.
    pub(super) fn append(&mut self, now: Moment, what: What) {
        let event = Event { at_us: now.micros(), nth: self.records.len() as u64, what: Some(what) };
        self.records.push(Record { incarnation: self.incarnation.clone(), event, unknown_fields: 0 });
    }

    /// The same as a log that can be read.
    pub(super) fn into_log(self) -> Log {
        Log::from_records(self.incarnation, self.records)
    }
}
