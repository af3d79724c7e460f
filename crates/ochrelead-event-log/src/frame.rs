//! Framing of messages. A frame is the length of the message and its CRC-32, each as a little-endian 32-bit integer,
//! followed by the message.

/// Maximum length of a message in bytes; a greater length field indicates corruption.
pub const MAX_MESSAGE_LENGTH: usize = 1 << 20;
const HEADER_LENGTH: usize = 8;

/// Appends a message as a frame.
pub fn append(bytes: &mut Vec<u8>, message: &[u8]) {
    bytes.extend_from_slice(&(message.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(message).to_le_bytes());
    bytes.extend_from_slice(message);
}

/// Iterates over the messages of the valid frames at the start of a byte slice. Ends at the first frame that is
/// incomplete or corrupted.
pub struct Frames<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Frames<'a> {
    /// Creates an iterator over the frames of a byte slice.
    pub fn new(bytes: &'a [u8]) -> Frames<'a> {
        Frames { bytes, position: 0 }
    }

    /// Returns the number of bytes of the frames that were read.
    pub fn position(&self) -> usize {
        self.position
    }

    /// Returns the number of bytes after the frames that were read.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }
}

impl<'a> Iterator for Frames<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let unread = &self.bytes[self.position..];
        let (length, unread) = unread.split_first_chunk::<4>()?;
        let (checksum, unread) = unread.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*length) as usize;
        let message = unread.get(..length).filter(|_| length <= MAX_MESSAGE_LENGTH)?;
        if crc32fast::hash(message) != u32::from_le_bytes(*checksum) {
            return None;
        }
        self.position += HEADER_LENGTH + length;
        Some(message)
    }
}
