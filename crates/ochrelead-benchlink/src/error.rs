//! Errors in batches and events.

use thiserror::Error;

/// An error for which a batch cannot be answered.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum BatchError {
    /// The line is not JSON.
    #[error("batch is not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// The batch has no valid time.
    #[error("batch has no clock: momentMs is missing or not a non-negative number")]
    MissingClock,
    /// The parts of the batch are not an array.
    #[error("batch field parts is not an array")]
    PartsNotArray,
}

/// An error in a batch that was answered nevertheless.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Diagnostic {
    /// A part of the batch names no instance.
    #[error("part {part}: no instance: who is missing or not a non-negative integer")]
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
        /// Why the event was not processed.
        #[source]
        error: EventError,
    },
}

/// Why an event was not processed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum EventError {
    /// The event is not an object whose only key is the name of the event.
    #[error("event is not an object with exactly one key, its name")]
    NotAnEvent,
    /// The instance has not been started.
    #[error("{event}: instance has not been started by a Hello")]
    NotStarted {
        /// The name of the event.
        event: String,
    },
    /// A required field is missing or of another type.
    #[error("{event}: no {field}: required field is missing or invalid")]
    MissingField {
        /// The name of the event.
        event: &'static str,
        /// The name of the field.
        field: &'static str,
    },
    /// A field that several kinds of events require is missing or of another type.
    #[error("no {0}: required field is missing or invalid")]
    MissingCommonField(&'static str),
    /// An entry of an endpoint list names no server.
    #[error("Page: entry of membersList has no server")]
    EntryWithoutServer,
    /// The event refers to an endpoint list that has not been sent.
    #[error("Endpoints: setId refers to a list that no Page has sent")]
    UnknownList,
    /// A field has a value that is not defined or refers to nothing known.
    #[error("{event}: unknown {field} {value}")]
    UnknownValue {
        /// The name of the event.
        event: &'static str,
        /// The name of the field.
        field: &'static str,
        /// The value of the field.
        value: String,
    },
    /// A session was requested with the id of a session that is not over.
    #[error("Inbound: session id {id} is already in use")]
    DuplicateSession {
        /// The id of the session.
        id: String,
    },
    /// An INVITE ended at a server that no endpoint list has named.
    #[error("Settled: server is in no endpoint list received")]
    UnknownServer,
    /// The settings of an instance cannot be read.
    #[error("Hello: reading the settings in facts: {0}")]
    Settings(#[source] serde_json::Error),
}
