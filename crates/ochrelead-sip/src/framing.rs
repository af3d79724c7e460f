//! A byte stream split into messages. A stated length is checked before anything is buffered for it, and what is
//! buffered never exceeds the longest message and one read.

use crate::MAX_MESSAGE_LENGTH;
use crate::message::{Message, StartLine};

/// The end of a head: an empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why a stream can't be read any further: nothing tells where its next message begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FramingError {
    /// The head is no SIP.
    #[error("a head that is no SIP")]
    InvalidHead,
    /// The head states no length of the body.
    #[error("no length, or none that is a number")]
    InvalidLength,
    /// The message is longer than any is allowed to be.
    #[error("longer than {MAX_MESSAGE_LENGTH} bytes")]
    TooLong,
}

/// A head that was parsed, and where in the buffer its body lies.
#[derive(Debug)]
struct PendingBody {
    message: Message,
    start: usize,
    end: usize,
}

/// Splits a stream into messages and buffers its unfinished end.
#[derive(Debug, Default)]
pub struct Framer {
    buffer: Vec<u8>,
    pending_body: Option<PendingBody>,
    /// Where the search for the end of the head goes on.
    searched: usize,
    error: Option<FramingError>,
}

impl Framer {
    /// Buffers what was read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.error.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// The next whole message; none where more has to be read first. After an error there is nothing but that error.
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
        if self.buffer.len() < pending.end {
            self.pending_body = Some(pending);
            return Ok(None);
        }
        let PendingBody { mut message, start, end } = pending;
        message.body = self.buffer[start..end].to_vec();
        self.buffer.drain(..end);
        self.searched = 0;
        // A length that is too short leaves a piece of the body where the next message should begin.
        self.check_next_message()?;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_MESSAGE_LENGTH / 4 {
            self.buffer = Vec::new();
        }
        Ok(Some(message))
    }

    /// Parses the head at the begin of the buffer; none where its end has not been read yet.
    fn parse_head(&mut self) -> Result<Option<PendingBody>, FramingError> {
        self.skip_empty_lines();
        let from = self.searched.min(self.buffer.len());
        let found = self.buffer[from..].windows(HEAD_END.len()).position(|window| window == HEAD_END);
        let Some(offset) = found else {
            self.searched = self.buffer.len().saturating_sub(HEAD_END.len() - 1);
            self.check_first_line()?;
            let too_long = self.buffer.len() > MAX_MESSAGE_LENGTH;
            return if too_long { Err(FramingError::TooLong) } else { Ok(None) };
        };
        let head_end = from + offset;
        if head_end > MAX_MESSAGE_LENGTH {
            return Err(FramingError::TooLong);
        }
        let message = Message::parse_head(&self.buffer[..head_end])?;
        let length = message.content_length()?;
        let start = head_end + HEAD_END.len();
        if length > MAX_MESSAGE_LENGTH || start + length > MAX_MESSAGE_LENGTH {
            return Err(FramingError::TooLong);
        }
        Ok(Some(PendingBody { message, start, end: start + length }))
    }

    /// Empty lines between messages keep a connection open and mean nothing.
    fn skip_empty_lines(&mut self) {
        let length = empty_lines_length(&self.buffer);
        if length > 0 {
            self.buffer.drain(..length);
            self.searched = 0;
        }
    }

    /// A head whose first line can't be SIP is an error at once: its end may never be read.
    fn check_first_line(&self) -> Result<(), FramingError> {
        let line = self.buffer.split(|byte| *byte == b'\r').next().unwrap_or_default();
        let is_plain = |byte: &u8| (b' '..=b'~').contains(byte);
        if line.iter().all(is_plain) { Ok(()) } else { Err(FramingError::InvalidHead) }
    }

    /// Whether what follows a message can be the begin of another.
    fn check_next_message(&self) -> Result<(), FramingError> {
        let rest = &self.buffer[empty_lines_length(&self.buffer)..];
        match rest.windows(2).position(|window| window == b"\r\n") {
            Some(end) => StartLine::parse_bytes(&rest[..end]).map(|_| ()),
            None if rest.first().is_none_or(u8::is_ascii_uppercase) => self.check_first_line(),
            None => Err(FramingError::InvalidHead),
        }
    }

    /// Whether a message has begun and not ended.
    pub fn has_partial_message(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// How many bytes of empty lines are at the begin.
fn empty_lines_length(bytes: &[u8]) -> usize {
    bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count()
}
