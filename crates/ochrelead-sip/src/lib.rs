//! SIP (RFC 3261) over a byte stream, as far as a front needs it, without I/O.
//!
//! - [`message`]: a message's first line, headers and body, and how it is written.
//! - [`framing`]: a byte stream cut into messages, of bounded length.

pub mod framing;
pub mod message;

/// No message holds more than this, head and body together.
pub const LONGEST: usize = 16 * 1024;
