//! The event log of a front.
//!
//! - [`schema`]: the events (see `proto/records.proto`, with the rules of how it may change).
//! - [`frame`]: length, checksum, message; what is left of a torn or flipped file.
//! - [`writer`]: segments of bounded size, the oldest dropped; a bounded queue before the disk.
//! - [`reader`]: whole logs piece by piece, and logs that still grow.
//!
//! ```
//! use ochrelead_event_log::frame::{Frames, put};
//!
//! let mut bytes = Vec::new();
//! put(&mut bytes, b"one");
//! put(&mut bytes, b"two");
//! bytes.truncate(bytes.len() - 1);
//! let mut frames = Frames::new(&bytes);
//! assert_eq!(frames.next(), Some(&b"one"[..]));
//! assert_eq!((frames.next(), frames.rest()), (None, 10));
//! ```

pub mod frame;
pub mod reader;
pub mod writer;

/// The schema's own types.
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.records.rs"));
}

/// The version of the schema that this program writes.
pub const VERSION: u32 = 1;

/// How a server's word on its lines begins; `free/all` follows.
pub const LINES: &str = "lines ";
