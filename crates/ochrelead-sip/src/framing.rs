//! Splits a byte stream into messages. `Content-Length` is checked before its body is awaited, so that the buffer never
//! exceeds the maximum message length plus one read.

use crate::MAX_MESSAGE_LENGTH;
use crate::message::{Message, StartLine};

/// Ends a message head: the end of the last header line and an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The reason for which a stream can't be read any further: the start of the next message is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FramingError {
    /// The message head is not valid SIP.
    #[error("message head is not valid SIP")]
    InvalidHead,
    /// `Content-Length` is missing, is not a number, or occurs with different values.
    #[error("Content-Length is missing, not a number or ambiguous")]
    InvalidLength,
    /// The message exceeds the maximum length.
    #[error("message exceeds the maximum length of {MAX_MESSAGE_LENGTH} bytes")]
    TooLong,
}

/// A message whose head is parsed, and the range of its body in the buffer.
#[derive(Debug)]
struct PendingBody {
    message: Message,
    body_start: usize,
    body_end: usize,
}

/// Splits a stream into messages and buffers an incomplete last message.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: Vec<u8>,
    pending_body: Option<PendingBody>,
    /// The offset up to which the buffer has been searched for the end of the head.
    searched_to: usize,
    error: Option<FramingError>,
}

impl Framer {
    /// Buffers bytes read from the stream. After an error they are discarded.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Returns the next complete message, or `None` if more input is needed. After an error, every call returns that
    /// error.
    pub fn next_message(&mut self) -> Option<Result<Message, FramingError>> {
        if let Some(error) = self.error {
            return Some(Err(error));
        }
        let parsed = self.parse();
        if let Err(error) = parsed {
            self.error = Some(error);
            self.buffer = Vec::new();
        }
        parsed.transpose()
    }

    fn parse(&mut self) -> Result<Option<Message>, FramingError> {
        let pending = match self.pending_body.take() {
            Some(pending) => pending,
            None => match self.parse_head()? {
                Some(pending) => pending,
                None => return Ok(None),
            },
        };
        if self.buffer.len() < pending.body_end {
            self.pending_body = Some(pending);
            return Ok(None);
        }
        let PendingBody { mut message, body_start, body_end } = pending;
        message.body = self.buffer[body_start..body_end].to_vec();
        self.buffer.drain(..body_end);
        self.searched_to = 0;
        // If Content-Length is too small, the remaining body bytes are read as the next message.
        self.check_next_message()?;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_MESSAGE_LENGTH / 4 {
            self.buffer = Vec::new();
        }
        Ok(Some(message))
    }

    /// Parses the head at the start of the buffer. Returns `None` if the head is incomplete.
    fn parse_head(&mut self) -> Result<Option<PendingBody>, FramingError> {
        self.skip_empty_lines();
        let from = self.searched_to.min(self.buffer.len());
        let offset = self.buffer[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
        let Some(offset) = offset else {
            self.searched_to = self.buffer.len().saturating_sub(HEAD_END.len() - 1);
            self.check_start_line()?;
            let too_long = self.buffer.len() > MAX_MESSAGE_LENGTH;
            return if too_long { Err(FramingError::TooLong) } else { Ok(None) };
        };
        let head_end = from + offset;
        if head_end > MAX_MESSAGE_LENGTH {
            return Err(FramingError::TooLong);
        }
        let message = Message::parse_head(&self.buffer[..head_end])?;
        let body_length = message.content_length()?;
        let body_start = head_end + HEAD_END.len();
        if body_length > MAX_MESSAGE_LENGTH || body_start + body_length > MAX_MESSAGE_LENGTH {
            return Err(FramingError::TooLong);
        }
        Ok(Some(PendingBody { message, body_start, body_end: body_start + body_length }))
    }

    /// Skips empty lines between messages. Peers send them as keep-alives.
    fn skip_empty_lines(&mut self) {
        let length = empty_lines_length(&self.buffer);
        if length > 0 {
            self.buffer.drain(..length);
            self.searched_to = 0;
        }
    }

    /// Checks an incomplete head: its start line must be printable ASCII. Input that is not SIP is rejected at once,
    /// because the end of its head may never arrive.
    fn check_start_line(&self) -> Result<(), FramingError> {
        let line = self.buffer.split(|byte| *byte == b'\r').next().unwrap_or_default();
        let is_printable = |byte: &u8| (b' '..=b'~').contains(byte);
        if line.iter().all(is_printable) { Ok(()) } else { Err(FramingError::InvalidHead) }
    }

    /// Checks that the bytes after a message can be the start of another one.
    fn check_next_message(&self) -> Result<(), FramingError> {
        let next = &self.buffer[empty_lines_length(&self.buffer)..];
        match next.windows(2).position(|window| window == b"\r\n") {
            Some(line_end) => StartLine::parse_bytes(&next[..line_end]).map(|_| ()),
            None if next.first().is_none_or(u8::is_ascii_uppercase) => self.check_start_line(),
            None => Err(FramingError::InvalidHead),
        }
    }

    /// Returns whether an incomplete message is buffered.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the number of bytes that empty lines occupy at the start.
fn empty_lines_length(bytes: &[u8]) -> usize {
    bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count()
}
