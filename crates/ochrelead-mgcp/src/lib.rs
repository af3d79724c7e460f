//! MGCP as a call agent and its gateways speak it (RFC 3435), without sockets, clock or chance of its own.
//!
//! - [`message`]: commands, responses, parameter lines and endpoint names, as values.
//! - [`parse`]: from a datagram to messages. It never panics and its cost is bounded by the datagram's size.
//! - [`mod@write`]: from messages to a datagram.
//! - [`exchange`]: transactions over datagrams: repeats at doubling gaps, at most one execution at the
//!   receiver, provisional answers, acknowledged answers, and a bound on every table.
//!
//! ```
//! use ochrelead_mgcp::{message::{Command, Message, Verb}, parse::datagram, write::datagram as written};
//!
//! let asked = Command::new(Verb::AuditEndpoint, 17, "trunk/*@s1.example".parse().unwrap());
//! let bytes = written(&[Message::Command(asked.clone())]);
//! assert_eq!(bytes, b"AUEP 17 trunk/*@s1.example MGCP 1.0\r\n");
//! assert_eq!(datagram(&bytes).unwrap(), [Ok(Message::Command(asked))]);
//! ```

pub mod exchange;
pub mod message;
pub mod parse;
pub mod write;
