//! Adapts the bench's wire, JSON lines of batches, to the calls of [`ochrelead_core`] and its decisions. Nothing is
//! decided here.
//!
//! A batch carries events for the instances of one process; the reply carries the actions that they decided on.
//! The names on the wire are the bench's own.
//!
//! - [`Host`]: all instances of one process, by which batches are answered.
//! - [`error`]: what can be wrong with a batch or an event.
//! - `front`: one instance; `id_table`: the wire's ids as indices; `fields`: reading fields of JSON objects.
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
