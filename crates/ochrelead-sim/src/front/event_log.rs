//! An in-memory event log of one front process.

use ochrelead_core::time::Moment;
use ochrelead_event_log::reader::{FrontIncarnation, Log, Record};
use ochrelead_event_log::schema::Event;
use ochrelead_event_log::schema::event::What;

/// The records of one front process.
pub(super) struct EventLog {
    incarnation: FrontIncarnation,
    records: Vec<Record>,
}

impl EventLog {
    /// Creates the log of a process that starts at `started` on its local clock.
    pub(super) fn new(front: &str, started: Moment) -> EventLog {
        let incarnation = FrontIncarnation { front: front.to_owned(), started_us: started.micros() };
        EventLog { incarnation, records: Vec::new() }
    }

    /// Appends an event that occurred at `now` on the process's local clock.
    pub(super) fn append(&mut self, now: Moment, what: What) {
        let event = Event { at_us: now.micros(), nth: self.records.len() as u64, what: Some(what) };
        self.records.push(Record { incarnation: self.incarnation.clone(), event, unknown_fields: 0 });
    }

    /// Converts the records to a readable log.
    pub(super) fn into_log(self) -> Log {
        Log::from_records(self.incarnation, self.records)
    }
}
