//! Frames: a length and a CRC-32, four bytes each, least significant first, and that many bytes.

/// The longest message; a length above it is a sign of corruption.
pub const MAX_MESSAGE_LENGTH: usize = 1 << 20;
const HEADER_LENGTH: usize = 8;

/// Appends a message as a frame.
pub fn append(bytes: &mut Vec<u8>, message: &[u8]) {
    bytes.extend_from_slice(&(message.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(message).to_le_bytes());
    bytes.extend_from_slice(message);
}

/// The whole frames at the begin of some bytes. It ends at the first frame that is not whole.
pub struct Frames<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Frames<'a> {
    /// The frames of these bytes.
    pub fn new(bytes: &'a [u8]) -> Frames<'a> {
        Frames { bytes, position: 0 }
    }

    /// How many bytes were whole frames so far.
    pub fn position(&self) -> usize {
        self.position
    }

    /// How many bytes are left behind them.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let rest = &self.bytes[self.position..];
        let (length, rest) = rest.split_first_chunk::<4>()?;
        let (checksum, rest) = rest.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*length) as usize;
        let message = rest.get(..length).filter(|_| length <= MAX_MESSAGE_LENGTH)?;
        if crc32fast::hash(message) != u32::from_le_bytes(*checksum) {
            return None;
        }
        self.position += HEADER_LENGTH + length;
        Some(message)
    }
}
