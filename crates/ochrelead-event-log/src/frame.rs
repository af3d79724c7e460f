//! Frames: a length and a CRC-32, four bytes each, least first, and that many bytes.

/// The longest message; a length above it is a sign of damage.
pub const LONGEST: usize = 1 << 20;
const HEAD: usize = 8;

/// Adds a frame.
pub fn put(bytes: &mut Vec<u8>, message: &[u8]) {
    bytes.extend_from_slice(&(message.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(message).to_le_bytes());
    bytes.extend_from_slice(message);
}

/// The whole frames at the head of some bytes. It ends at the first that is not whole.
pub struct Frames<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Frames<'a> {
    pub fn new(bytes: &'a [u8]) -> Frames<'a> {
        Frames { bytes, at: 0 }
    }

    /// How many bytes were whole frames.
    pub fn at(&self) -> usize {
        self.at
    }

    /// How many bytes are left behind them.
    pub fn rest(&self) -> usize {
        self.bytes.len() - self.at
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let rest = &self.bytes[self.at..];
        let (length, rest) = rest.split_first_chunk::<4>()?;
        let (sum, rest) = rest.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*length) as usize;
        let message = rest.get(..length).filter(|_| length <= LONGEST)?;
        if crc32fast::hash(message) != u32::from_le_bytes(*sum) {
            return None;
        }
        self.at += HEAD + length;
        Some(message)
    }
}
