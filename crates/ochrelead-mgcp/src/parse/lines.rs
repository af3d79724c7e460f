//! The lines of a datagram.

/// The line between two messages of a datagram (RFC 3435 section 3.5.5).
const SEPARATOR: &[u8] = b".";

/// The lines of a datagram, ended by CRLF, LF or the end.
pub(super) struct Lines<'a> {
    rest: &'a [u8],
    line_number: usize,
}

impl<'a> Lines<'a> {
    pub(super) fn new(bytes: &'a [u8]) -> Lines<'a> {
        Lines { rest: bytes, line_number: 0 }
    }

    /// The number of the line that was returned last, counted from 1.
    pub(super) fn line_number(&self) -> usize {
        self.line_number
    }

    fn next_line(&mut self) -> Option<&'a [u8]> {
        if self.rest.is_empty() {
            return None;
        }
        self.line_number += 1;
        let (line, rest) = match self.rest.iter().position(|byte| *byte == b'\n') {
            Some(end) => (&self.rest[..end], &self.rest[end + 1..]),
            None => (self.rest, &[][..]),
        };
        self.rest = rest;
        Some(line.strip_suffix(b"\r").unwrap_or(line))
    }

    /// The next line of the present message; none behind its last one, whose separator is consumed.
    pub(super) fn next_line_of_message(&mut self) -> Option<&'a [u8]> {
        self.next_line().filter(|line| *line != SEPARATOR)
    }

    /// The first line of the next message: the next one that is neither empty nor a separator.
    pub(super) fn next_message(&mut self) -> Option<&'a [u8]> {
        loop {
            let line = self.next_line()?;
            if !line.is_empty() && line != SEPARATOR {
                return Some(line);
            }
        }
    }

    /// Skips the rest of the present message.
    pub(super) fn skip_message(&mut self) {
        while self.next_line_of_message().is_some() {}
    }
}
