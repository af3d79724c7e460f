//! One connection to the coordinator.

use std::collections::VecDeque;

use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::line_splitter::{LineSplitter, LineTooLong};

use crate::bounds::protocol;
use crate::io::WatchId;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    /// The events were requested; nothing has been answered.
    Requested {
        since: Moment,
    },
    /// It has brought lines.
    Following {
        last_heard: Moment,
    },
    /// The coordinator has events that it has not brought.
    Behind {
        last_heard: Moment,
    },
}

/// One connection to the coordinator.
pub(super) struct WatchConnection {
    pub(super) watch: WatchId,
    pub(super) opened_at: Moment,
    state: State,
    line_splitter: LineSplitter,
}

impl WatchConnection {
    pub(super) fn new(watch: WatchId, now: Moment) -> WatchConnection {
        WatchConnection {
            watch,
            opened_at: now,
            state: State::Connecting,
            line_splitter: LineSplitter::default(),
        }
    }

    pub(super) fn on_connected(&mut self, now: Moment) {
        self.state = State::Requested { since: now };
    }

    /// The lines that these bytes complete.
    pub(super) fn push(&mut self, bytes: &[u8]) -> (VecDeque<Vec<u8>>, Result<(), LineTooLong>) {
        self.line_splitter.push(bytes)
    }

    /// It has brought a whole line: one that trickles in and never ends counts as silence.
    pub(super) fn on_line(&mut self, now: Moment) {
        self.state = State::Following { last_heard: now };
    }

    /// It has announced events that it has not brought; whether that is news.
    pub(super) fn on_behind(&mut self) -> bool {
        let last_heard = match self.state {
            State::Behind { .. } => return false,
            State::Following { last_heard } => last_heard,
            State::Connecting | State::Requested { .. } => self.opened_at,
        };
        self.state = State::Behind { last_heard };
        true
    }

    pub(super) fn has_received(&self) -> bool {
        matches!(self.state, State::Following { .. })
    }

    /// Until when the events on it are taken for complete; `None` where they are not.
    pub(super) fn live_until(&self) -> Option<Moment> {
        match self.state {
            State::Following { last_heard } => Some(last_heard + protocol::WATCH_SILENCE_THRESHOLD),
            State::Connecting | State::Requested { .. } | State::Behind { .. } => None,
        }
    }

    /// When it is given up.
    pub(super) fn expires_at(&self, connect_timeout: Span) -> Moment {
        match self.state {
            State::Connecting => self.opened_at + connect_timeout,
            State::Requested { since } => since + protocol::WATCH_ANSWER_TIMEOUT,
            State::Following { last_heard } | State::Behind { last_heard } => {
                last_heard + protocol::WATCH_ANSWER_TIMEOUT
            }
        }
    }
}
