//! MGCP as a call agent and its gateways speak it (RFC 3435), without sockets, clock or randomness of its own.
//!
//! - [`message`]: commands, responses, parameter lines and endpoint names, as values.
//! - [`parse`]: from a datagram to messages. It never panics and its cost is bounded by the datagram's size.
//! - [`mod@write`]: from messages to a datagram.
//! - [`transaction`]: transactions over datagrams: retransmission with exponential back-off, at most one execution at
//!   the receiver, provisional responses, acknowledged responses, and a bound on every table.
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
