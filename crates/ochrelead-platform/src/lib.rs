//! The operators' platform as seen by a front, without I/O: the messages of callers, the coordinator's events and the
//! node's configuration are parsed, and the messages to callers are encoded.
//!
//! - [`settings`]: the settings object, the same that the simulator hands out; one parser for adapter and node.
//! - [`configuration`]: the configuration file of a node.
//! - [`events`]: the numbered events of the coordinator, and from where to resume them.
//! - [`line_splitter`]: a byte stream split into lines of bounded length.
//! - [`caller_messages`]: what a caller's line says, and the lines that answer it.
//!
//! ```
//! use ochrelead_platform::caller_messages::{CallerMessage, parse};
//! use ochrelead_platform::line_splitter::LineSplitter;
//!
//! let mut splitter = LineSplitter::default();
//! let (lines, _) = splitter.push(b"{\"t\":\"hb\",\"ref\":\"7\",\"f\":{},\"c\":0}\n{\"t\":");
//! assert_eq!(parse(&lines[0]).unwrap(), CallerMessage::Heartbeat { id: "7".to_owned() });
//! assert!(splitter.has_partial_line());
//! ```
#![warn(missing_docs)]

pub mod caller_messages;
pub mod configuration;
pub mod events;
pub mod line_splitter;
pub mod settings;

/// The longest message, in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 16 * 1024;
