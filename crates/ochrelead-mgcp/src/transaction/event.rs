//! What the transaction layer reports to its user.

use std::net::SocketAddr;

use crate::message::{Command, Response, TransactionId};
use crate::parse::{MessageError, ParseError};

/// Which transaction a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMatch {
    /// One that waits for it.
    Outstanding,
    /// One that was abandoned or has timed out. Reported once.
    Late,
    /// None that is remembered.
    Unknown,
}

/// What the transaction layer reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionEvent {
    /// A command was received for the first time. It has to be answered.
    CommandReceived {
        /// Its sender.
        from: SocketAddr,
        /// The command.
        command: Command,
    },
    /// A command was received again while it is being executed.
    CommandRepeated {
        /// Its sender.
        from: SocketAddr,
        /// Its transaction.
        transaction: TransactionId,
    },
    /// A final response was received.
    ResponseReceived {
        /// Its sender.
        from: SocketAddr,
        /// The response.
        response: Response,
        /// The transaction that it belongs to.
        matched: ResponseMatch,
    },
    /// A command got no response in time.
    TimedOut {
        /// Where it was sent.
        to: SocketAddr,
        /// Its transaction.
        transaction: TransactionId,
    },
    /// A message could not be parsed. Its sender has got an error response if its transaction is known.
    InvalidMessage {
        /// Its sender.
        from: SocketAddr,
        /// What is wrong with it.
        error: MessageError,
    },
    /// A datagram could not be parsed.
    InvalidDatagram {
        /// Its sender.
        from: SocketAddr,
        /// What is wrong with it.
        error: ParseError,
    },
    /// A command was refused: the history is full of commands that are being executed.
    CommandRefused {
        /// Its sender.
        from: SocketAddr,
        /// Its transaction.
        transaction: TransactionId,
    },
}
