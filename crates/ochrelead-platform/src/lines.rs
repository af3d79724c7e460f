//! A byte stream cut into lines. What is kept never exceeds one line of the longest allowed length.

use std::collections::VecDeque;

use crate::LONGEST;

/// The stream can't be read any further: a line is longer than any message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of more than {LONGEST} bytes")]
pub struct TooLong;

/// The unfinished end of a stream.
#[derive(Debug, Default)]
pub struct Lines {
    rest: Vec<u8>,
    spoilt: bool,
}

impl Lines {
    /// The lines that these bytes complete, without their line feeds; empty lines are passed over. After
    /// [`TooLong`] nothing more is read.
    pub fn cut(&mut self, bytes: &[u8]) -> (VecDeque<Vec<u8>>, Result<(), TooLong>) {
        let mut whole = VecDeque::new();
        let mut left = bytes;
        while !self.spoilt {
            let Some(end) = left.iter().position(|byte| *byte == b'\n') else {
                self.spoilt = self.rest.len() + left.len() > LONGEST;
                if !self.spoilt {
                    self.rest.extend_from_slice(left);
                }
                break;
            };
            let (line, after) = (&left[..end], &left[end + 1..]);
            self.spoilt = self.rest.len() + line.len() > LONGEST;
            if !self.spoilt {
                let mut own = std::mem::take(&mut self.rest);
                own.extend_from_slice(line);
                if own.last() == Some(&b'\r') {
                    own.pop();
                }
                if !own.is_empty() {
                    whole.push_back(own);
                }
            }
            left = after;
        }
        if self.spoilt {
            self.rest = Vec::new();
        }
        (whole, if self.spoilt { Err(TooLong) } else { Ok(()) })
    }

    /// Whether a line has begun and not ended.
    pub fn is_midway(&self) -> bool {
        !self.rest.is_empty()
    }
}
