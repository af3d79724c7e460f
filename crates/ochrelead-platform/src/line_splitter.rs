//! Splits a byte stream into lines. The buffer never exceeds one line of the maximum length.

use std::collections::VecDeque;

use crate::MAX_MESSAGE_LENGTH;

/// A line exceeds the maximum message length. The rest of the stream is discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line exceeds the maximum message length of {MAX_MESSAGE_LENGTH} bytes")]
pub struct LineTooLong;

/// Splits a stream into lines and buffers an incomplete last line.
#[derive(Debug, Default)]
pub struct LineSplitter {
    partial_line: Vec<u8>,
    failed: bool,
}

impl LineSplitter {
    /// Returns the lines that these bytes complete, without their line endings. Empty lines are skipped. After
    /// [`LineTooLong`], all further input is discarded and every call returns that error.
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

    /// Buffers a part of a line. If the line becomes too long, marks the stream as failed and frees the buffer.
    fn append(&mut self, part: &[u8]) {
        self.failed = self.partial_line.len() + part.len() > MAX_MESSAGE_LENGTH;
        if self.failed {
            self.partial_line = Vec::new();
        } else {
            self.partial_line.extend_from_slice(part);
        }
    }

    /// Takes the buffered line without its carriage return. Returns `None` if it is empty.
    fn complete_line(&mut self) -> Option<Vec<u8>> {
        let mut line = std::mem::take(&mut self.partial_line);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        (!line.is_empty()).then_some(line)
    }

    /// Returns whether an incomplete line is buffered.
    pub fn has_partial_line(&self) -> bool {
        !self.partial_line.is_empty()
    }
}
