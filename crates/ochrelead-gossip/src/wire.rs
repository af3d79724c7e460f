//! Datagrams, read and written.

use prost::Message;

use crate::schema::{Datagram, Part, part::What};
use crate::{VERSION, Who};

/// The longest datagram.
pub const LONGEST: usize = 256;

/// Why a datagram is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Unread {
    /// Longer than any of ours.
    TooLong,
    /// No datagram of ours.
    Unreadable,
    /// Said to be of another front than the one that is listed at its address.
    Mistaken,
}

/// A datagram that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    pub from: Who,
    pub version: u32,
    pub parts: Vec<What>,
    /// Parts of kinds that are not known here.
    pub unknown: u32,
}

/// Reads a datagram that came from the address at which `front` is listed.
///
/// # Errors
///
/// Where it is none of ours, or another's.
pub fn read(bytes: &[u8], front: u32) -> Result<Read, Unread> {
    if bytes.len() > LONGEST {
        return Err(Unread::TooLong);
    }
    let datagram = Datagram::decode(bytes).map_err(|_| Unread::Unreadable)?;
    if datagram.version == 0 {
        return Err(Unread::Unreadable);
    }
    if datagram.front != front {
        return Err(Unread::Mistaken);
    }
    let all = datagram.parts.len();
    let parts: Vec<What> = datagram.parts.into_iter().filter_map(|part| part.what).collect();
    let unknown = (all - parts.len()) as u32;
    let from = Who { front, life: datagram.life };
    Ok(Read { from, version: datagram.version, parts, unknown })
}

/// A datagram that is being written.
#[derive(Clone, Debug)]
pub struct Sheet {
    datagram: Datagram,
    length: usize,
}

impl Sheet {
    pub fn new(me: Who) -> Sheet {
        let datagram = Datagram { version: VERSION, front: me.front, life: me.life, parts: Vec::new() };
        let length = datagram.encoded_len();
        Sheet { datagram, length }
    }

    /// Adds a part; false where there is no room for it.
    pub fn add(&mut self, what: What) -> bool {
        let part = Part { what: Some(what) };
        let own = part.encoded_len();
        // The field's key and a length of one or two bytes.
        let more = own + 1 + if own < 128 { 1 } else { 2 };
        if self.length + more > LONGEST {
            return false;
        }
        self.length += more;
        self.datagram.parts.push(part);
        true
    }

    pub fn is_empty(&self) -> bool {
        self.datagram.parts.is_empty()
    }

    pub fn bytes(&self) -> Vec<u8> {
        self.datagram.encode_to_vec()
    }
}
