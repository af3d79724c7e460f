//! Splits a datagram into lines and messages.

/// The line that separates two messages of a datagram (RFC 3435 section 3.5.5).
const SEPARATOR: &[u8] = b".";

/// Reads the lines of a datagram. A line ends at CRLF, at LF or at the end of the datagram.
pub(super) struct Lines<'a> {
    unread: &'a [u8],
    line_number: usize,
}

impl<'a> Lines<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Lines<'a> {
        Lines { unread: bytes, line_number: 0 }
    }

    /// Returns the number of the line that was read last, counted from 1.
    pub(super) fn line_number(&self) -> usize {
        self.line_number
    }

    fn next_line(&mut self) -> Option<&'a [u8]> {
        if self.unread.is_empty() {
            return None;
        }
        self.line_number += 1;
        let (line, unread) = match self.unread.iter().position(|byte| *byte == b'\n') {
            Some(end) => (&self.unread[..end], &self.unread[end + 1..]),
            None => (self.unread, &[][..]),
        };
        self.unread = unread;
        Some(line.strip_suffix(b"\r").unwrap_or(line))
    }

    /// Returns the next line of the current message. After its last line, consumes the separator and returns none.
    pub(super) fn next_line_of_message(&mut self) -> Option<&'a [u8]> {
        self.next_line().filter(|line| *line != SEPARATOR)
    }

    /// Returns the first line of the next message: the next line that is neither empty nor a separator.
    pub(super) fn next_message(&mut self) -> Option<&'a [u8]> {
        loop {
            let line = self.next_line()?;
            if !line.is_empty() && line != SEPARATOR {
                return Some(line);
            }
        }
    }

    /// Skips the remaining lines of the current message.
    pub(super) fn skip_message(&mut self) {
        while self.next_line_of_message().is_some() {}
    }
}
