//! Events that the transaction layer reports to its host.

use std::net::SocketAddr;

use crate::message::{Command, Response, TransactionId};
use crate::parse::{MessageError, ParseError};

/// The state of the transaction that a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMatch {
    /// The transaction was waiting for the response.
    Outstanding,
    /// The transaction was abandoned or timed out before. Reported for the first late response only.
    Late,
    /// No transaction with this id and peer is known.
    Unknown,
}

/// An event of the transaction layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionEvent {
    /// A command was received for the first time. The host must respond to it.
    CommandReceived {
        /// Its sender.
        from: SocketAddr,
        /// The command.
        command: Command,
    },
    /// A retransmission of a command arrived while the command is being executed.
    CommandRepeated {
        /// Its sender.
        from: SocketAddr,
        /// Its transaction id.
        transaction: TransactionId,
    },
    /// A final response was received.
    ResponseReceived {
        /// Its sender.
        from: SocketAddr,
        /// The response.
        response: Response,
        /// The state of its transaction.
        matched: ResponseMatch,
    },
    /// A command got no final response within the response timeout.
    TimedOut {
        /// Its destination.
        to: SocketAddr,
        /// Its transaction id.
        transaction: TransactionId,
    },
    /// A message could not be parsed. Its sender was sent an error response if the transaction id could be parsed.
    InvalidMessage {
        /// Its sender.
        from: SocketAddr,
        /// The parse error.
        error: MessageError,
    },
    /// A datagram could not be parsed.
    InvalidDatagram {
        /// Its sender.
        from: SocketAddr,
        /// The parse error.
        error: ParseError,
    },
    /// A command was refused because the history is full and its oldest command is still being executed.
    CommandRefused {
        /// Its sender.
        from: SocketAddr,
        /// Its transaction id.
        transaction: TransactionId,
    },
}
