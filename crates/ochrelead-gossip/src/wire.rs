//! The encoding of datagrams.

use prost::Message as _;
use thiserror::Error;

use crate::members::MemberId;
use crate::schema::{Datagram, Part, part::Kind};

/// The schema version that this program sends.
pub const VERSION: u32 = 2;

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_SIZE: usize = 256;

/// Why a datagram is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// The datagram is longer than [`MAX_DATAGRAM_SIZE`].
    #[error("datagram has {0} bytes; at most {MAX_DATAGRAM_SIZE} are allowed")]
    TooLong(usize),
    /// The bytes are not a datagram of the schema, or its version is 0.
    #[error("datagram cannot be decoded, or its schema version is 0")]
    Malformed,
    /// The datagram names another sender than the front that is listed at its source address.
    #[error("datagram names front {claimed} as its sender but came from the address of front {listed}")]
    WrongSender {
        /// The sender that the datagram names.
        claimed: u32,
        /// The front that is listed at the source address.
        listed: u32,
    },
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDatagram {
    /// The sender.
    pub sender: MemberId,
    /// The schema version of the sender.
    pub version: u32,
    /// The parts of known kinds.
    pub parts: Vec<Kind>,
    /// The number of parts of unknown kinds, which are skipped.
    pub unknown_parts: u32,
}

/// Decodes a datagram received from the address at which `front` is listed.
///
/// # Errors
///
/// If the datagram is too long, malformed, or names another sender than `front`.
pub fn decode(bytes: &[u8], front: u32) -> Result<ReceivedDatagram, DecodeError> {
    if bytes.len() > MAX_DATAGRAM_SIZE {
        return Err(DecodeError::TooLong(bytes.len()));
    }
    let datagram = Datagram::decode(bytes).map_err(|_| DecodeError::Malformed)?;
    if datagram.version == 0 {
        return Err(DecodeError::Malformed);
    }
    if datagram.front != front {
        return Err(DecodeError::WrongSender { claimed: datagram.front, listed: front });
    }
    let (mut parts, mut unknown_parts) = (Vec::new(), 0);
    for part in datagram.parts {
        match part.kind {
            Some(kind) => parts.push(kind),
            None => unknown_parts += 1,
        }
    }
    let sender = MemberId { front, incarnation: datagram.incarnation };
    Ok(ReceivedDatagram { sender, version: datagram.version, parts, unknown_parts })
}

/// Builds a datagram of at most [`MAX_DATAGRAM_SIZE`] bytes.
#[derive(Clone, Debug)]
pub struct DatagramBuilder {
    datagram: Datagram,
    encoded_size: usize,
}

impl DatagramBuilder {
    /// An empty datagram.
    pub fn new(sender: MemberId) -> DatagramBuilder {
        let MemberId { front, incarnation } = sender;
        let datagram = Datagram { version: VERSION, front, incarnation, parts: Vec::new() };
        let encoded_size = datagram.encoded_len();
        DatagramBuilder { datagram, encoded_size }
    }

    /// Adds a part if it fits. Returns whether it was added.
    pub fn try_push(&mut self, kind: Kind) -> bool {
        let part = Part { kind: Some(kind) };
        let part_size = part.encoded_len();
        // The field key takes one byte, and the length one or two.
        let framing = if part_size < 128 { 2 } else { 3 };
        if self.encoded_size + framing + part_size > MAX_DATAGRAM_SIZE {
            return false;
        }
        self.encoded_size += framing + part_size;
        self.datagram.parts.push(part);
        true
    }

    /// Whether the datagram has no parts yet.
    pub fn is_empty(&self) -> bool {
        self.datagram.parts.is_empty()
    }

    /// Encodes the datagram.
    pub fn encode(&self) -> Vec<u8> {
        self.datagram.encode_to_vec()
    }
}
