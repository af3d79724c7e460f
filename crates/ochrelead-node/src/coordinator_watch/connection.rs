//! One connection to the coordinator.

use std::collections::VecDeque;

use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::line_splitter::{LineSplitter, LineTooLong};

use crate::bounds::protocol;
use crate::io::WatchId;

/// A connection with more consecutive unreadable lines than this is closed.
const MAX_UNREADABLE_LINES: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    /// The events were requested; no answer has arrived.
    Requested {
        since: Moment,
    },
    /// Lines have arrived, and no known event is missing.
    Following {
        last_heard: Moment,
    },
    /// The coordinator has, or may have, events that it did not deliver here. Later lines are still read.
    Incomplete {
        gap: EventGap,
        last_complete: Moment,
    },
}

/// Why events may be missing on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventGap {
    /// The coordinator reported a later index than that of the last event; the events may still arrive.
    Announced,
    /// An event arrived whose index is not the next one.
    Skipped,
    /// A line could not be read; it may have been an event.
    Unreadable,
}

impl EventGap {
    pub(super) fn reason(self) -> &'static str {
        match self {
            EventGap::Announced => "announced events not received",
            EventGap::Skipped => "event missing",
            EventGap::Unreadable => "unreadable line",
        }
    }
}

/// One connection to the coordinator.
pub(super) struct WatchConnection {
    pub(super) watch: WatchId,
    pub(super) opened_at: Moment,
    state: State,
    line_splitter: LineSplitter,
    /// When the unterminated last line began to arrive; `None` if all received lines are complete.
    partial_since: Option<Moment>,
    /// Consecutive unreadable lines since the last readable one.
    unreadable_lines: usize,
}

impl WatchConnection {
    pub(super) fn new(watch: WatchId, now: Moment) -> WatchConnection {
        WatchConnection {
            watch,
            opened_at: now,
            state: State::Connecting,
            line_splitter: LineSplitter::default(),
            partial_since: None,
            unreadable_lines: 0,
        }
    }

    pub(super) fn on_connected(&mut self, now: Moment) {
        self.state = State::Requested { since: now };
    }

    /// Adds received bytes and returns the lines that they complete.
    pub(super) fn push(&mut self, bytes: &[u8], now: Moment) -> (VecDeque<Vec<u8>>, Result<(), LineTooLong>) {
        let (lines, framing) = self.line_splitter.push(bytes);
        let is_same_line = lines.is_empty();
        let started = self.partial_since.filter(|_| is_same_line).unwrap_or(now);
        self.partial_since = self.line_splitter.has_partial_line().then_some(started);
        (lines, framing)
    }

    /// A line has shown that no event is missing on this connection. Only complete lines count: a line that arrives
    /// byte by byte and never ends is treated as silence.
    pub(super) fn on_up_to_date(&mut self, now: Moment) {
        self.unreadable_lines = 0;
        self.state = State::Following { last_heard: now };
    }

    /// An event arrived that was known already. It does not fill a gap.
    pub(super) fn on_unchanged(&mut self, now: Moment) {
        self.unreadable_lines = 0;
        if !matches!(self.state, State::Incomplete { .. }) {
            self.state = State::Following { last_heard: now };
        }
    }

    /// Events may be missing on this connection. Returns whether the gap, or its kind, is new.
    pub(super) fn on_gap(&mut self, gap: EventGap) -> bool {
        self.unreadable_lines = if gap == EventGap::Unreadable { self.unreadable_lines + 1 } else { 0 };
        let (last_complete, is_new_gap) = match self.state {
            // Events that were lost on this connection do not arrive on it after an announcement either.
            State::Incomplete { .. } if gap == EventGap::Announced => return false,
            State::Incomplete { gap: previous, last_complete } => (last_complete, previous != gap),
            State::Following { last_heard } => (last_heard, true),
            State::Connecting | State::Requested { .. } => (self.opened_at, true),
        };
        self.state = State::Incomplete { gap, last_complete };
        is_new_gap
    }

    /// Whether too many consecutive lines were unreadable.
    pub(super) fn is_unusable(&self) -> bool {
        self.unreadable_lines > MAX_UNREADABLE_LINES
    }

    /// Until when the connection counts as live: until the silence threshold, or until a partial line has taken
    /// `line_timeout`, whichever comes first. `None` if it isn't connected or events may be missing on it.
    pub(super) fn live_until(&self, line_timeout: Span) -> Option<Moment> {
        match self.state {
            State::Following { last_heard } => {
                let silent_at = last_heard + protocol::WATCH_SILENCE_THRESHOLD;
                Some(self.partial_since.map_or(silent_at, |since| silent_at.min(since + line_timeout)))
            }
            State::Connecting | State::Requested { .. } | State::Incomplete { .. } => None,
        }
    }

    /// When the connection times out.
    pub(super) fn expires_at(&self, connect_timeout: Span) -> Moment {
        match self.state {
            State::Connecting => self.opened_at + connect_timeout,
            State::Requested { since } => since + protocol::WATCH_ANSWER_TIMEOUT,
            State::Following { last_heard } => last_heard + protocol::WATCH_ANSWER_TIMEOUT,
            State::Incomplete { last_complete, .. } => last_complete + protocol::WATCH_ANSWER_TIMEOUT,
        }
    }
}
