//! The subset of SIP (RFC 3261) over byte streams that a front needs, without I/O.
//!
//! - [`message`]: messages with start line, headers and body, and their encoding.
//! - [`framing`]: splits a byte stream into messages of bounded length.
//!
//! ```
//! use ochrelead_sip::framing::Framer;
//! use ochrelead_sip::message::{StartLine, encode, header};
//!
//! let mut framer = Framer::default();
//! framer.push(&encode("SIP/2.0 200 OK", &[(header::CSEQ, "1 INVITE")], b""));
//! let message = framer.next_message().unwrap().unwrap();
//! assert_eq!(message.start, StartLine::Response { code: 200 });
//! assert_eq!(message.sequence(), Some((1, "INVITE")));
//! assert!(framer.next_message().is_none());
//! ```
#![warn(missing_docs)]

pub mod framing;
pub mod message;

/// The maximum length of a message, head and body together, in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 16 * 1024;
