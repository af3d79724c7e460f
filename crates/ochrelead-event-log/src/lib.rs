//! The event log of a front.
//!
//! - [`schema`]: the events (see `proto/records.proto`, with the rules of how it may change).
//! - [`frame`]: length, checksum, message; what is left of a truncated or corrupted file.
//! - [`writer`]: segments of bounded size, the oldest dropped; a bounded queue before the disk.
//! - [`reader`]: whole logs piece by piece; [`follower`]: logs that still grow.
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

/// The schema's own types.
#[allow(missing_docs, reason = "generated from proto/records.proto, which has the comments")]
#[allow(unreachable_pub, reason = "generated")]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.records.rs"));
}

/// The version of the schema that this program writes.
pub const VERSION: u32 = 1;

/// How a server's message on its lines begins; `free/total` follows.
pub const LINES: &str = "lines ";
