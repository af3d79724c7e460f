//! The formats of the operators' platform, without I/O. Parses the messages of callers, the coordinator's events and
//! the configuration of a node, and encodes the messages to callers.
//!
//! - [`settings`]: the settings object, which both a node and the adapter of the platform's simulator receive.
//! - [`configuration`]: the configuration file of a node.
//! - [`events`]: the numbered events of the coordinator, and the position from which to resume them.
//! - [`line_splitter`]: splits a byte stream into lines of bounded length.
//! - [`caller_messages`]: the messages of callers, and the messages that answer them.
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

/// The maximum length of a message, in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 16 * 1024;
