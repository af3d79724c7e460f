//! One connection to the coordinator.

use std::collections::VecDeque;

use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::line_splitter::{LineSplitter, LineTooLong};

use crate::bounds::protocol;
use crate::io::WatchId;

/// A connection with more unreadable lines in a row is closed.
const MAX_UNREADABLE_LINES: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    /// The events were requested; nothing has been answered.
    Requested {
        since: Moment,
    },
    /// It has brought lines, and every event of which is known.
    Following {
        last_heard: Moment,
    },
    /// The coordinator has, or may have, events that it has not brought. Later ones are still read.
    Incomplete {
        gap: EventGap,
        last_complete: Moment,
    },
}

/// Why events may be missing on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EventGap {
    /// A later number came without its events; they may be on their way.
    Announced,
    /// A later event came than the next.
    Skipped,
    /// A line could not be read: it may have been an event.
    Unreadable,
}

impl EventGap {
    pub(super) fn reason(self) -> &'static str {
        match self {
            EventGap::Announced => "events announced that have not come",
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
    /// Since when the line that arrives last has been without its end.
    partial_since: Option<Moment>,
    /// Unreadable lines since the last one that could be read.
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

    /// The lines that these bytes complete.
    pub(super) fn push(&mut self, bytes: &[u8], now: Moment) -> (VecDeque<Vec<u8>>, Result<(), LineTooLong>) {
        let (lines, framing) = self.line_splitter.push(bytes);
        let is_same_line = lines.is_empty();
        let began = self.partial_since.filter(|_| is_same_line).unwrap_or(now);
        self.partial_since = self.line_splitter.has_partial_line().then_some(began);
        (lines, framing)
    }

    /// It has brought what shows that no event is missing on it. A line that trickles in and never ends counts as
    /// silence.
    pub(super) fn on_complete(&mut self, now: Moment) {
        self.unreadable_lines = 0;
        self.state = State::Following { last_heard: now };
    }

    /// It has brought what was known already; that does not fill a gap.
    pub(super) fn on_known(&mut self, now: Moment) {
        self.unreadable_lines = 0;
        if !matches!(self.state, State::Incomplete { .. }) {
            self.state = State::Following { last_heard: now };
        }
    }

    /// Events may be missing on it; whether that is news.
    pub(super) fn on_gap(&mut self, gap: EventGap) -> bool {
        self.unreadable_lines = if gap == EventGap::Unreadable { self.unreadable_lines + 1 } else { 0 };
        let (last_complete, is_news) = match self.state {
            // Events that are lost on it do not come on it once they are announced.
            State::Incomplete { .. } if gap == EventGap::Announced => return false,
            State::Incomplete { gap: former, last_complete } => (last_complete, former != gap),
            State::Following { last_heard } => (last_heard, true),
            State::Connecting | State::Requested { .. } => (self.opened_at, true),
        };
        self.state = State::Incomplete { gap, last_complete };
        is_news
    }

    /// Whether it brings nothing but noise.
    pub(super) fn is_unusable(&self) -> bool {
        self.unreadable_lines > MAX_UNREADABLE_LINES
    }

    /// Until when the events on it are taken for complete, if a line takes no longer than `line_timeout`; `None` where
    /// they are not.
    pub(super) fn live_until(&self, line_timeout: Span) -> Option<Moment> {
        match self.state {
            State::Following { last_heard } => {
                let silent_at = last_heard + protocol::WATCH_SILENCE_THRESHOLD;
                Some(self.partial_since.map_or(silent_at, |since| silent_at.min(since + line_timeout)))
            }
            State::Connecting | State::Requested { .. } | State::Incomplete { .. } => None,
        }
    }

    /// When it is given up.
    pub(super) fn expires_at(&self, connect_timeout: Span) -> Moment {
        match self.state {
            State::Connecting => self.opened_at + connect_timeout,
            State::Requested { since } => since + protocol::WATCH_ANSWER_TIMEOUT,
            State::Following { last_heard } => last_heard + protocol::WATCH_ANSWER_TIMEOUT,
            State::Incomplete { last_complete, .. } => last_complete + protocol::WATCH_ANSWER_TIMEOUT,
        }
    }
}
