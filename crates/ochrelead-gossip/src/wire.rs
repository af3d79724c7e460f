//! Encoding and decoding of datagrams.

use prost::Message as _;
use thiserror::Error;

use crate::members::MemberId;
use crate::schema::{Datagram, Part, part::Kind};

/// The version of the schema that this program speaks.
pub const VERSION: u32 = 2;

/// The longest datagram, in bytes.
pub const MAX_DATAGRAM_SIZE: usize = 256;

/// Why a datagram is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Error)]
#[non_exhaustive]
pub enum DecodeError {
    /// Longer than allowed.
    #[error("{0} bytes, and {MAX_DATAGRAM_SIZE} are allowed")]
    TooLong(usize),
    /// Not a datagram of this schema.
    #[error("malformed")]
    Malformed,
    /// It claims to be from another front than the one listed at its address.
    #[error("claims to be from front {claimed}, and came from the address of front {listed}")]
    WrongSender {
        /// The front that the datagram names.
        claimed: u32,
        /// The front at whose address it came.
        listed: u32,
    },
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedDatagram {
    /// Who sent it.
    pub sender: MemberId,
    /// The version of the schema that the sender speaks.
    pub version: u32,
    /// Its parts, of known kinds.
    pub parts: Vec<Kind>,
    /// How many more parts it had, of kinds that this program does not know.
    pub unknown_parts: u32,
}

/// Decodes a datagram that came from the address at which `front` is listed.
///
/// # Errors
///
/// Where it is too long, malformed, or another front's.
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

/// A datagram under construction, which never grows beyond [`MAX_DATAGRAM_SIZE`].
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

    /// Adds a part, where there is room for it. Returns whether it was added.
    pub fn try_push(&mut self, kind: Kind) -> bool {
        let part = Part { kind: Some(kind) };
        let part_size = part.encoded_len();
        // The field's key, and a length of one or two bytes.
        let framing = if part_size < 128 { 2 } else { 3 };
        if self.encoded_size + framing + part_size > MAX_DATAGRAM_SIZE {
            return false;
        }
        self.encoded_size += framing + part_size;
        self.datagram.parts.push(part);
        true
    }

    /// Whether it has no parts yet.
    pub fn is_empty(&self) -> bool {
        self.datagram.parts.is_empty()
    }

    /// The datagram as bytes.
    pub fn encode(&self) -> Vec<u8> {
        self.datagram.encode_to_vec()
    }
}
