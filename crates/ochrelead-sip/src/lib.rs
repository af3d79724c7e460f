//! SIP (RFC 3261) over a byte stream, as far as a front needs it, without I/O.
//!
//! - [`message`]: the first line, headers and body of a message, and how it is encoded.
//! - [`framing`]: a byte stream split into messages of bounded length.
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

/// The longest message, in bytes, head and body together.
pub const MAX_MESSAGE_LENGTH: usize = 16 * 1024;
