//! MGCP between a call agent and its gateways (RFC 3435). The crate uses no sockets, no clock and no random numbers.
//!
//! - [`message`]: commands, responses, parameter lines and endpoint names.
//! - [`parse`]: decodes a datagram into messages. It never panics, and its cost is bounded by the datagram's length.
//! - [`mod@write`]: encodes messages as a datagram.
//! - [`transaction`]: the transaction layer over datagrams: retransmission with exponential back-off, at-most-once
//!   execution at the receiver, provisional responses, response acknowledgements, and a size limit on each table.
//!
//! ```
//! use ochrelead_mgcp::message::{Command, Message, Verb};
//! use ochrelead_mgcp::{parse, write};
//!
//! let command = Command::new(Verb::AuditEndpoint, 17, "trunk/*@s1.example".parse().unwrap());
//! let bytes = write::datagram(&[Message::Command(command.clone())]);
//! assert_eq!(bytes, b"AUEP 17 trunk/*@s1.example MGCP 1.0\r\n");
//! assert_eq!(parse::datagram(&bytes).unwrap(), [Ok(Message::Command(command))]);
//! ```

pub mod message;
pub mod parse;
pub mod transaction;
pub mod write;
