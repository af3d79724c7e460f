//! Consecutive lines to one caller, collected to be written with one system call.

use std::mem;

use ochrelead_platform::MAX_MESSAGE_LENGTH;

use crate::io::CallerId;

/// Lines to one caller that have not been written yet, at most `MAX_MESSAGE_LENGTH` bytes of them.
#[derive(Default)]
pub(super) struct CallerLines {
    /// `None` if there are no lines.
    caller: Option<CallerId>,
    bytes: Vec<u8>,
}

impl CallerLines {
    pub(super) fn is_empty(&self) -> bool {
        self.caller.is_none()
    }

    /// Whether a line of this length to this caller may be added.
    pub(super) fn accepts(&self, caller: CallerId, length: usize) -> bool {
        self.caller.is_none()
            || (self.caller == Some(caller) && self.bytes.len() + length <= MAX_MESSAGE_LENGTH)
    }

    pub(super) fn push(&mut self, caller: CallerId, line: &[u8]) {
        self.caller = Some(caller);
        self.bytes.extend_from_slice(line);
    }

    /// Removes and returns the lines with their caller.
    pub(super) fn take(&mut self) -> Option<(CallerId, Vec<u8>)> {
        let caller = self.caller.take()?;
        Some((caller, mem::take(&mut self.bytes)))
    }
}
