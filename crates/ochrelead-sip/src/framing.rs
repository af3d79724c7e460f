//! A byte stream cut into messages. A stated length is checked before anything is kept for it, and what is kept
//! never exceeds the longest message and one read.

use crate::LONGEST;
use crate::message::Message;

/// Why a stream can't be read any further: nothing says where its next message begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Broken {
    #[error("a head that is no SIP")]
    Head,
    #[error("no length, or none that is a number")]
    Length,
    #[error("longer than {LONGEST} bytes")]
    TooLong,
}

/// What came of a stream and is not read yet.
#[derive(Debug, Default)]
pub struct Framer {
    rest: Vec<u8>,
    /// A head that was read, where its body began, and where it ends.
    head: Option<(Message, usize, usize)>,
    /// Where the search for the end of the head goes on.
    searched: usize,
    broken: Option<Broken>,
}

impl Framer {
    pub fn push(&mut self, bytes: &[u8]) {
        if self.broken.is_none() {
            self.rest.extend_from_slice(bytes);
        }
    }

    /// The next whole message; none where more has to come first. After an error there is nothing but that error.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Option<Result<Message, Broken>> {
        if let Some(broken) = self.broken {
            return Some(Err(broken));
        }
        let read = self.read();
        if let Err(broken) = read {
            self.broken = Some(broken);
            self.rest = Vec::new();
            return Some(Err(broken));
        }
        read.transpose()
    }

    fn read(&mut self) -> Result<Option<Message>, Broken> {
        if self.head.is_none() {
            // Empty lines between messages keep a connection open and mean nothing.
            let blank = self.rest.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
            if blank > 0 {
                self.rest.drain(..blank);
                self.searched = 0;
            }
            let from = self.searched.min(self.rest.len());
            let Some(end) = self.rest[from..].windows(4).position(|four| four == b"\r\n\r\n") else {
                self.searched = self.rest.len().saturating_sub(3);
                self.doubt()?;
                return if self.rest.len() > LONGEST { Err(Broken::TooLong) } else { Ok(None) };
            };
            let end = from + end;
            if end > LONGEST {
                return Err(Broken::TooLong);
            }
            let message = Message::head(&self.rest[..end])?;
            let length = message.length()?;
            let body = end + 4;
            if length > LONGEST || body + length > LONGEST {
                return Err(Broken::TooLong);
            }
            self.head = Some((message, body, body + length));
        }
        let Some((_, _, end)) = &self.head else { return Ok(None) };
        if self.rest.len() < *end {
            return Ok(None);
        }
        let Some((mut message, body, end)) = self.head.take() else { return Ok(None) };
        message.body = self.rest[body..end].to_vec();
        self.rest.drain(..end);
        self.searched = 0;
        // A length that is too short leaves a piece of the body where the next message should begin.
        self.foreign()?;
        if self.rest.is_empty() && self.rest.capacity() > LONGEST / 4 {
            self.rest = Vec::new();
        }
        Ok(Some(message))
    }

    /// A head that begins like none is broken at once: its end may never come.
    fn doubt(&self) -> Result<(), Broken> {
        let line = self.rest.split(|byte| *byte == b'\r').next().unwrap_or_default();
        let plain = |byte: &u8| (b' '..=b'~').contains(byte);
        if line.iter().all(plain) { Ok(()) } else { Err(Broken::Head) }
    }

    /// Whether what follows a message can't be the begin of another.
    fn foreign(&self) -> Result<(), Broken> {
        let blank = |byte: &&u8| matches!(byte, b'\r' | b'\n');
        let rest = &self.rest[self.rest.iter().take_while(blank).count()..];
        match rest.windows(2).position(|two| two == b"\r\n") {
            Some(end) => Message::first(&rest[..end]),
            None if rest.first().is_none_or(u8::is_ascii_uppercase) => self.doubt(),
            None => Err(Broken::Head),
        }
    }

    /// Whether a message has begun and not ended.
    pub fn is_midway(&self) -> bool {
        !self.rest.is_empty()
    }
}
