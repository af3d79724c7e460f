//! What can be wrong with a batch or an event.

use thiserror::Error;

/// Why a batch can't be answered at all.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum BatchError {
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The batch does not say what time it is.
    #[error("no clock (momentMs)")]
    MissingClock,
    /// The parts of the batch are not an array.
    #[error("parts is not an array")]
    PartsNotArray,
}

/// Something wrong in a batch that was answered all the same.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Diagnostic {
    /// A part of the batch names no instance.
    #[error("part {part}: no instance (who)")]
    MissingInstance {
        /// The position of the part in the batch.
        part: usize,
    },
    /// An event was not processed.
    #[error("instance {instance}, event {event}: {error}")]
    Event {
        /// The instance that the event is for.
        instance: u64,
        /// The position of the event among those of its part.
        event: usize,
        /// What is wrong with it.
        #[source]
        error: EventError,
    },
}

/// Why an event was not processed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum EventError {
    /// The event is not an object with its name as the one key.
    #[error("not an object with one key")]
    NotAnEvent,
    /// The instance was never started.
    #[error("{event}: it never had its Hello")]
    NotStarted {
        /// The name of the event.
        event: String,
    },
    /// The event lacks a field that it needs.
    #[error("{event}: no {field}")]
    MissingField {
        /// The name of the event.
        event: &'static str,
        /// The name of the field.
        field: &'static str,
    },
    /// The event lacks a field that events of several kinds need.
    #[error("no {0}")]
    MissingCommonField(&'static str),
    /// An entry of a list names no server.
    #[error("Page: an entry without server")]
    EntryWithoutServer,
    /// The event refers to a list that was not sent.
    #[error("Endpoints: no such list")]
    UnknownList,
    /// A field has a value that the wire does not define, or that names nothing known.
    #[error("{event}: unknown {field} {value}")]
    UnknownValue {
        /// The name of the event.
        event: &'static str,
        /// The name of the field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// A session was requested with the id of another.
    #[error("Inbound: {id} came before")]
    DuplicateSession {
        /// The id of the session.
        id: String,
    },
    /// An INVITE ended at a server that no list has named.
    #[error("Settled: unknown server")]
    UnknownServer,
    /// The settings of an instance can't be read.
    #[error("Hello: facts: {0}")]
    Settings(#[source] serde_json::Error),
}
