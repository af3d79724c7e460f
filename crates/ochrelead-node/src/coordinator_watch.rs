//! The subscription to the coordinator: connects, follows events from the last known index, and reconnects when the
//! connection fails, falls silent or brings invalid lines. It only returns what is to be done.

use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::events::{EndpointChange, EventCursor, EventOutcome};
use ochrelead_platform::line_splitter::LineSplitter;

use crate::bounds::protocol;
use crate::io::{WatchAction, WatchId};

/// The resolution of a front's own share of a retry delay.
const JITTER_STEPS: u64 = 1 << 10;
/// The retry delay doubles at most so often.
const MAX_DOUBLINGS: u32 = 8;

#[derive(Debug)]
enum WatchState {
    Disconnected { retry_at: Moment },
    Connecting { since: Moment },
    Connected { last_heard: Moment, has_received: bool },
}

/// What to subscribe to, and how.
pub(crate) struct WatchConfig {
    pub(crate) coordinator: Option<SocketAddr>,
    /// What is known of the events so far.
    pub(crate) event_cursor: EventCursor,
    pub(crate) connect_timeout: Span,
    /// Determines the front's own share of a retry delay.
    pub(crate) seed: u64,
}

/// The subscription to the coordinator.
pub(crate) struct CoordinatorWatch {
    coordinator: Option<SocketAddr>,
    event_cursor: EventCursor,
    line_splitter: LineSplitter,
    watch: WatchId,
    state: WatchState,
    connect_timeout: Span,
    /// Fronts that lose their coordinator together reconnect spread: each after its own share of a delay.
    jitter: f64,
    /// Connections in a row that brought an invalid line.
    consecutive_errors: u32,
}

impl CoordinatorWatch {
    pub(crate) fn new(config: &WatchConfig, now: Moment) -> CoordinatorWatch {
        CoordinatorWatch {
            coordinator: config.coordinator,
            event_cursor: config.event_cursor,
            line_splitter: LineSplitter::default(),
            watch: WatchId(0),
            state: WatchState::Disconnected { retry_at: now },
            connect_timeout: config.connect_timeout,
            jitter: 0.5 + (config.seed % JITTER_STEPS) as f64 / JITTER_STEPS as f64,
            consecutive_errors: 0,
        }
    }

    /// The delay after a failure; it grows with each invalid answer in a row, for each costs a whole list.
    fn retry_delay(&self) -> Span {
        let delay = self.connect_timeout / 5 * (1 << self.consecutive_errors.min(MAX_DOUBLINGS));
        delay.min(protocol::WATCH_HEARTBEAT).scaled(self.jitter)
    }

    /// Follows the coordinator at another address; a connection to the former is closed.
    pub(crate) fn redirect(&mut self, address: SocketAddr, now: Moment) -> Option<WatchAction> {
        let is_same = self.coordinator.replace(address) == Some(address);
        if is_same && !matches!(self.state, WatchState::Disconnected { .. }) {
            return None;
        }
        self.disconnect(now)
    }

    fn disconnect(&mut self, retry_at: Moment) -> Option<WatchAction> {
        self.line_splitter = LineSplitter::default();
        let was_open = !matches!(self.state, WatchState::Disconnected { .. });
        self.state = WatchState::Disconnected { retry_at };
        was_open.then_some(WatchAction::Close { watch: self.watch })
    }

    pub(crate) fn on_connected(&mut self, watch: WatchId, now: Moment) -> Option<WatchAction> {
        if watch != self.watch || !matches!(self.state, WatchState::Connecting { .. }) {
            return None;
        }
        self.state = WatchState::Connected { last_heard: now, has_received: false };
        Some(WatchAction::Send { watch, line: self.event_cursor.request() })
    }

    /// The connection was closed or never established: retried at once where it had brought lines, else after a delay.
    pub(crate) fn on_disconnected(&mut self, watch: WatchId, now: Moment) {
        if watch != self.watch {
            return;
        }
        self.line_splitter = LineSplitter::default();
        let has_received = matches!(self.state, WatchState::Connected { has_received: true, .. });
        let retry_at = if has_received { now } else { now + self.retry_delay() };
        self.state = WatchState::Disconnected { retry_at };
    }

    /// Reads what arrived; an invalid line ends the connection.
    pub(crate) fn on_data(
        &mut self,
        watch: WatchId,
        bytes: &[u8],
        now: Moment,
    ) -> (Vec<EndpointChange>, Option<WatchAction>) {
        let mut changes = Vec::new();
        if watch != self.watch || !matches!(self.state, WatchState::Connected { .. }) {
            return (changes, None);
        }
        let (lines, framing) = self.line_splitter.push(bytes);
        if !lines.is_empty() {
            // A line that trickles in and never ends counts as silence.
            self.state = WatchState::Connected { last_heard: now, has_received: true };
        }
        let mut is_valid = framing.is_ok();
        for line in lines {
            match self.event_cursor.handle_line(&line) {
                Ok(EventOutcome::Changed(change)) => {
                    self.consecutive_errors = 0;
                    changes.push(change);
                }
                Ok(EventOutcome::Unchanged) => {}
                Ok(EventOutcome::Gap) | Err(_) => {
                    is_valid = false;
                    break;
                }
            }
        }
        if is_valid {
            return (changes, None);
        }
        let delay = self.retry_delay();
        self.consecutive_errors = self.consecutive_errors.saturating_add(1);
        let action = self.disconnect(now + delay);
        (changes, action)
    }

    /// The next action that is due.
    pub(crate) fn process(&mut self, now: Moment) -> Option<WatchAction> {
        if self.poll_timeout().is_none_or(|due| due > now) {
            return None;
        }
        match self.state {
            WatchState::Disconnected { .. } => {
                let address = self.coordinator?;
                self.watch = WatchId(self.watch.0 + 1);
                self.state = WatchState::Connecting { since: now };
                Some(WatchAction::Connect { watch: self.watch, address })
            }
            WatchState::Connecting { .. } | WatchState::Connected { .. } => self.disconnect(now),
        }
    }

    pub(crate) fn poll_timeout(&self) -> Option<Moment> {
        match self.state {
            WatchState::Disconnected { retry_at } => self.coordinator.map(|_| retry_at),
            WatchState::Connecting { since } => Some(since + self.connect_timeout),
            WatchState::Connected { last_heard, .. } => {
                Some(last_heard + protocol::WATCH_HEARTBEAT.scaled(1.6))
            }
        }
    }
}
