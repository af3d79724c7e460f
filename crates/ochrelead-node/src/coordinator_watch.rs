//! The subscription to the coordinator: connects, follows events from the last known index, and requests them again when
//! the connection fails, falls silent or may have missed some. It only returns what is to be done.
//!
//! A coordinator that is silent or slow can't be told from one that is about to answer. So while no connection is live,
//! the events are requested again and again on further connections, and earlier ones are kept: whichever is answered
//! first brings them. The same holds for a connection on which a line can't be read: it is read on. A line that can be
//! used closes all older connections.

mod connection;

use std::collections::VecDeque;
use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::events::{EndpointChange, EventCursor, EventOutcome};
use tracing::{debug, info, warn};

use crate::bounds::{MAX_WATCH_CONNECTIONS, protocol};
use crate::io::{WatchAction, WatchId};
use connection::{EventGap, WatchConnection};

/// The resolution of a front's own share of a retry delay.
const JITTER_STEPS: u64 = 1 << 10;
/// The most bytes of an unreadable line that are logged.
const LOGGED_LINE_LENGTH: usize = 120;
/// The retry delay doubles at most so often.
const MAX_DOUBLINGS: u32 = 8;

/// What to subscribe to, and how.
pub(crate) struct WatchConfig {
    pub(crate) coordinator: Option<SocketAddr>,
    /// What is known of the events so far.
    pub(crate) event_cursor: EventCursor,
    pub(crate) connect_timeout: Span,
    /// How long a draining server may still be sent something new: news must not take longer than that.
    pub(crate) drain_grace: Option<Span>,
    /// Determines the front's own share of a retry delay.
    pub(crate) seed: u64,
}

/// The subscription to the coordinator.
pub(crate) struct CoordinatorWatch {
    coordinator: Option<SocketAddr>,
    event_cursor: EventCursor,
    /// The oldest first.
    connections: Vec<WatchConnection>,
    last_watch: WatchId,
    /// No further connection is opened before.
    connect_at: Moment,
    connect_timeout: Span,
    /// The delay between two requests, before jitter.
    retry_interval: Span,
    /// Fronts that lose their coordinator together reconnect spread: each after its own share of a delay.
    jitter: f64,
    last_requested_at: Moment,
    /// Connections in a row on which events were announced that did not come.
    consecutive_announcements: u32,
    /// Since when no connection has been live, as last logged; `None` where one was.
    lost_since: Option<Moment>,
    /// The events were requested so often since then.
    requests_since_lost: u32,
    actions: VecDeque<WatchAction>,
}

impl CoordinatorWatch {
    pub(crate) fn new(config: &WatchConfig, now: Moment) -> CoordinatorWatch {
        let retry_interval = config.drain_grace.map_or(config.connect_timeout / 5, |grace| grace * 2 / 5);
        CoordinatorWatch {
            coordinator: config.coordinator,
            event_cursor: config.event_cursor,
            connections: Vec::new(),
            last_watch: WatchId(0),
            connect_at: now,
            connect_timeout: config.connect_timeout,
            retry_interval: retry_interval.min(protocol::WATCH_HEARTBEAT / 2),
            jitter: 0.5 + (config.seed % JITTER_STEPS) as f64 / JITTER_STEPS as f64,
            last_requested_at: now,
            consecutive_announcements: 0,
            lost_since: Some(now),
            requests_since_lost: 0,
            actions: VecDeque::new(),
        }
    }

    /// The next action for the host.
    pub(crate) fn poll_action(&mut self) -> Option<WatchAction> {
        self.actions.pop_front()
    }

    /// The delay between two requests.
    fn retry_delay(&self) -> Span {
        self.retry_interval.scaled(self.jitter)
    }

    /// The delay while announced events may still come on a connection that is read; it grows with each one in a row
    /// on which they did not, for each costs a whole list.
    fn announcement_delay(&self) -> Span {
        let delay = self.retry_interval * (1 << self.consecutive_announcements.min(MAX_DOUBLINGS));
        delay.min(protocol::WATCH_HEARTBEAT).scaled(self.jitter)
    }

    /// The events are requested again, not sooner than a delay after the last time.
    fn request_again(&mut self, now: Moment) {
        self.connect_at = now.max(self.last_requested_at + self.retry_delay());
    }

    /// Follows the coordinator at another address; connections to the former are closed.
    pub(crate) fn redirect(&mut self, address: SocketAddr, now: Moment) {
        let is_same = self.coordinator.replace(address) == Some(address);
        if is_same && !self.connections.is_empty() {
            return;
        }
        while let Some(connection) = self.connections.first() {
            self.close(connection.watch, "coordinator moved");
        }
        self.consecutive_announcements = 0;
        self.connect_at = now;
        self.log_liveness(now, "coordinator moved");
    }

    /// Goes on after the events that are known from elsewhere; whether any of them is news.
    pub(crate) fn catch_up(&mut self, known: EventCursor) -> bool {
        let is_news = known.last_index() > self.event_cursor.last_index();
        if is_news {
            self.event_cursor = known;
        }
        is_news
    }

    fn position(&self, watch: WatchId) -> Option<usize> {
        self.connections.iter().position(|connection| connection.watch == watch)
    }

    fn close(&mut self, watch: WatchId, reason: &'static str) {
        if let Some(position) = self.position(watch) {
            self.connections.remove(position);
            debug!(watch = watch.0, reason, "coordinator connection closed");
            self.actions.push_back(WatchAction::Close { watch });
        }
    }

    pub(crate) fn on_connected(&mut self, watch: WatchId, now: Moment) {
        let Some(position) = self.position(watch) else { return };
        self.connections[position].on_connected(now);
        let line = self.event_cursor.request();
        self.requests_since_lost = self.requests_since_lost.saturating_add(1);
        debug!(watch = watch.0, request = line.trim_end(), "coordinator connected");
        self.actions.push_back(WatchAction::Send { watch, line });
    }

    /// The connection was closed or never established.
    pub(crate) fn on_disconnected(&mut self, watch: WatchId, now: Moment) {
        let Some(position) = self.position(watch) else { return };
        self.connections.remove(position);
        debug!(watch = watch.0, "coordinator connection ended");
        self.request_again(now);
        self.log_liveness(now, "connection ended");
    }

    /// Reads what arrived. A line that can't be read is skipped: what it may have brought is requested again on another
    /// connection.
    pub(crate) fn on_data(&mut self, watch: WatchId, bytes: &[u8], now: Moment) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        let Some(position) = self.position(watch) else { return changes };
        let (lines, framing) = self.connections[position].push(bytes, now);
        for line in lines {
            match self.event_cursor.handle_line(&line) {
                Ok(EventOutcome::Changed(change)) => {
                    let index = self.event_cursor.last_index();
                    info!(
                        watch = watch.0,
                        index,
                        servers = change.endpoints.len(),
                        "event of the coordinator"
                    );
                    self.on_complete(watch, now);
                    changes.push(change);
                }
                Ok(EventOutcome::UpToDate) => self.on_complete(watch, now),
                Ok(EventOutcome::Unchanged) => self.on_known(watch, now),
                Ok(EventOutcome::Behind) => self.on_gap(watch, EventGap::Announced, now),
                Ok(EventOutcome::Gap) => self.on_gap(watch, EventGap::Skipped, now),
                Err(error) => {
                    self.on_gap(watch, EventGap::Unreadable, now);
                    let line = String::from_utf8_lossy(&line[..line.len().min(LOGGED_LINE_LENGTH)]);
                    warn!(watch = watch.0, %error, ?line, "line of the coordinator not read");
                }
            }
        }
        let is_unusable =
            self.position(watch).is_some_and(|position| self.connections[position].is_unusable());
        if framing.is_err() || is_unusable {
            self.close(watch, "unreadable");
            self.request_again(now);
            self.log_liveness(now, "unreadable");
        }
        changes
    }

    /// A connection has brought all events: older ones are not needed any more.
    fn on_complete(&mut self, watch: WatchId, now: Moment) {
        self.consecutive_announcements = 0;
        if let Some(position) = self.position(watch) {
            self.connections[position].on_complete(now);
        }
        self.close_older(watch);
        self.log_liveness(now, "silent");
    }

    /// A connection has brought what was known already.
    fn on_known(&mut self, watch: WatchId, now: Moment) {
        if let Some(position) = self.position(watch) {
            self.connections[position].on_known(now);
        }
        self.close_older(watch);
        self.log_liveness(now, "silent");
    }

    fn close_older(&mut self, watch: WatchId) {
        while self.connections.first().is_some_and(|oldest| oldest.watch < watch) {
            self.close(self.connections[0].watch, "superseded");
        }
    }

    /// The coordinator may have events that the connection has not brought. They are requested on another connection as
    /// well; those that were announced may be on their way, and have a delay to come.
    fn on_gap(&mut self, watch: WatchId, gap: EventGap, now: Moment) {
        let Some(position) = self.position(watch) else { return };
        if self.connections[position].on_gap(gap) {
            match gap {
                EventGap::Announced => {
                    self.connect_at = self.connect_at.max(now + self.announcement_delay());
                    self.consecutive_announcements = self.consecutive_announcements.saturating_add(1);
                }
                EventGap::Skipped | EventGap::Unreadable => self.request_again(now),
            }
        }
        self.log_liveness(now, gap.reason());
    }

    /// Closes what is overdue, and opens a further connection where none is live.
    pub(crate) fn process(&mut self, now: Moment) {
        let connect_timeout = self.connect_timeout;
        let is_overdue = |connection: &&WatchConnection| connection.expires_at(connect_timeout) <= now;
        while let Some(overdue) = self.connections.iter().find(is_overdue) {
            self.close(overdue.watch, "no answer");
        }
        self.log_liveness(now, "silent");
        if self.is_live(now) || self.connect_at > now {
            return;
        }
        let Some(address) = self.coordinator else { return };
        if self.connections.len() >= MAX_WATCH_CONNECTIONS {
            let replaced = self.most_redundant(now);
            self.close(replaced, "requested again");
        }
        self.connect_at = now + self.retry_delay();
        self.last_requested_at = now;
        self.last_watch = WatchId(self.last_watch.0 + 1);
        self.connections.push(WatchConnection::new(self.last_watch, now));
        self.actions.push_back(WatchAction::Connect { watch: self.last_watch, address });
    }

    /// The connection that is the least missed: the ages of the others are spread, so that one is old enough for an answer
    /// however slow the coordinator is, and one is young.
    fn most_redundant(&self, now: Moment) -> WatchId {
        let relative_gap = |neighbours: &[WatchConnection]| {
            let [older, .., younger] = neighbours else { return f64::INFINITY };
            let gap = younger.opened_at.since(older.opened_at).micros() as f64;
            gap / now.since(older.opened_at).micros().max(1) as f64
        };
        let by_gap =
            |a: &&[WatchConnection], b: &&[WatchConnection]| relative_gap(a).total_cmp(&relative_gap(b));
        let closest = self.connections.windows(3).min_by(by_gap);
        closest.map_or(WatchId(0), |neighbours| neighbours[1].watch)
    }

    /// Until when a connection is taken for complete, as far as is known now.
    fn live_until(&self) -> Option<Moment> {
        self.connections.iter().filter_map(|connection| connection.live_until(self.retry_interval)).max()
    }

    fn is_live(&self, now: Moment) -> bool {
        self.live_until().is_some_and(|until| now < until)
    }

    fn log_liveness(&mut self, now: Moment, reason: &'static str) {
        let Some(coordinator) = self.coordinator else { return };
        let index = self.event_cursor.last_index();
        match (self.is_live(now), self.lost_since) {
            (true, Some(since)) => {
                let (lost_for, requests) = (now.since(since), self.requests_since_lost);
                info!(%coordinator, index, ?lost_for, requests, "following the coordinator");
                self.lost_since = None;
            }
            (false, None) => {
                info!(%coordinator, index, reason, "coordinator lost");
                self.lost_since = Some(now);
                self.requests_since_lost = 0;
            }
            _ => {}
        }
    }

    pub(crate) fn poll_timeout(&self) -> Option<Moment> {
        self.coordinator?;
        let connect_at = self.live_until().map_or(self.connect_at, |until| until.max(self.connect_at));
        let expiries = self.connections.iter().map(|connection| connection.expires_at(self.connect_timeout));
        expiries.chain([connect_at]).min()
    }
}
