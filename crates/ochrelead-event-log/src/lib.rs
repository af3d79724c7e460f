//! The event log of a front: files (segments) of framed protobuf messages.
//!
//! - [`schema`]: the events, generated from `proto/records.proto`, which also states the rules for schema changes.
//! - [`frame`]: the encoding of a message with its length and checksum; detects truncation and corruption.
//! - [`writer`]: writes segments of bounded size behind a bounded queue, and deletes the oldest segments.
//! - [`reader`]: reads finished logs in chunks.
//! - [`follower`]: reads logs that are still being written.
//!
//! ```
//! use ochrelead_event_log::frame::{Frames, append};
//!
//! let mut bytes = Vec::new();
//! append(&mut bytes, b"one");
//! append(&mut bytes, b"two");
//! bytes.truncate(bytes.len() - 1);
//! let mut frames = Frames::new(&bytes);
//! assert_eq!(frames.next(), Some(&b"one"[..]));
//! assert_eq!((frames.next(), frames.remaining()), (None, 10));
//! ```
#![warn(missing_docs)]

mod damage;
pub mod follower;
pub mod frame;
pub mod reader;
pub mod writer;

/// The message types of the schema.
#[allow(missing_docs, reason = "generated from proto/records.proto, which has the comments")]
#[allow(unreachable_pub, reason = "generated")]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.records.rs"));
}

/// The schema version that [`writer`] writes.
pub const VERSION: u32 = 1;

/// The prefix of the text that a `Told` event records for a server's report of its lines; `free/total` follows.
pub const LINE_REPORT_PREFIX: &str = "lines ";
