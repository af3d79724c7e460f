//! A byte stream split into lines. What is buffered never exceeds one line of the longest allowed length.

use std::collections::VecDeque;

use crate::MAX_MESSAGE_LENGTH;

/// The stream can't be read any further: a line is longer than any message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of more than {MAX_MESSAGE_LENGTH} bytes")]
pub struct LineTooLong;

/// Splits a stream into lines and buffers its unfinished end.
#[derive(Debug, Default)]
pub struct LineSplitter {
    partial_line: Vec<u8>,
    failed: bool,
}

impl LineSplitter {
    /// The lines that these bytes complete, without their line ends; empty lines are skipped. After
    /// [`LineTooLong`] nothing more is read.
    pub fn push(&mut self, bytes: &[u8]) -> (VecDeque<Vec<u8>>, Result<(), LineTooLong>) {
        let mut lines = VecDeque::new();
        let mut remaining = bytes;
        while !self.failed {
            let Some(end) = remaining.iter().position(|byte| *byte == b'\n') else {
                self.append(remaining);
                break;
            };
            self.append(&remaining[..end]);
            if !self.failed {
                lines.extend(self.complete_line());
            }
            remaining = &remaining[end + 1..];
        }
        (lines, if self.failed { Err(LineTooLong) } else { Ok(()) })
    }

    /// Buffers a part of a line, unless the line gets too long: then the buffer is released.
    fn append(&mut self, part: &[u8]) {
        self.failed = self.partial_line.len() + part.len() > MAX_MESSAGE_LENGTH;
        if self.failed {
            self.partial_line = Vec::new();
        } else {
            self.partial_line.extend_from_slice(part);
        }
    }

    /// The buffered line without its carriage return; none where it is empty.
    fn complete_line(&mut self) -> Option<Vec<u8>> {
        let mut line = std::mem::take(&mut self.partial_line);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        (!line.is_empty()).then_some(line)
    }

    /// Whether a line has begun and not ended.
    pub fn has_partial_line(&self) -> bool {
        !self.partial_line.is_empty()
    }
}
