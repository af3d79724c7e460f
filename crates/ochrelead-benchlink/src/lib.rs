//! Adapts the simulator's wire protocol, one JSON batch per line, to the controller of [`ochrelead_core`]. No
//! routing decision is made here.
//!
//! A batch carries events for the instances of one process; the reply carries the actions that they decided on.
//! The simulator defines the names on the wire.
//!
//! - [`Host`] holds all instances of one process and answers batches.
//! - [`error`] defines the errors in batches and events.
//! - `front` adapts one instance, `id_table` maps ids on the wire to indices, `fields` reads fields of JSON objects.
//!
//! ```
//! use ochrelead_benchlink::Host;
//!
//! let mut host = Host::default();
//! let reply = host.process(r#"{"momentMs": 0.25, "seq": 4, "parts": []}"#)?;
//! assert_eq!(reply, r#"{"parts":[],"seq":4}"#);
//! # Ok::<(), ochrelead_benchlink::error::BatchError>(())
//! ```

#![warn(missing_docs)]

pub mod error;
mod fields;
mod front;
mod host;
mod id_table;

pub use host::Host;
