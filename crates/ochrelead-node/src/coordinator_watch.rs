//! The subscription to the coordinator (service discovery): connects, subscribes to the events after the last known
//! index, and requests them again when the connection fails, falls silent or may have missed events. It does no I/O:
//! the host polls the actions and performs them.
//!
//! A silent coordinator can't be distinguished from one that is about to answer. While no connection is live, the
//! events are therefore requested on further connections at intervals, and the earlier connections stay open: the first
//! one that is answered delivers the events. A connection with an unreadable line stays open as well, and its later
//! lines are read. A connection that delivers a valid line with nothing missing closes all older ones.

mod connection;

use std::collections::VecDeque;
use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::events::{EndpointChange, EventCursor, EventOutcome};
use tracing::{debug, info, warn};

use crate::bounds::{MAX_WATCH_CONNECTIONS, protocol};
use crate::io::{WatchAction, WatchId};
use connection::{EventGap, WatchConnection};

/// Number of distinct jitter factors that a seed can select.
const JITTER_STEPS: u64 = 1 << 10;
/// At most this many bytes of an unreadable line are logged.
const MAX_LOGGED_LINE_BYTES: usize = 120;
/// Limits the exponential back-off after announced events that did not arrive.
const MAX_DOUBLINGS: u32 = 8;

/// The address, start position and timing of the subscription.
pub(crate) struct WatchConfig {
    pub(crate) coordinator: Option<SocketAddr>,
    /// The position in the event sequence: events after it are requested.
    pub(crate) event_cursor: EventCursor,
    pub(crate) connect_timeout: Span,
    /// How long new calls may still reach a draining server. Events have to arrive within this time.
    pub(crate) drain_grace: Option<Span>,
    /// Selects this front's jitter factor.
    pub(crate) seed: u64,
}

/// The subscription to the coordinator.
pub(crate) struct CoordinatorWatch {
    coordinator: Option<SocketAddr>,
    event_cursor: EventCursor,
    /// In the order in which they were opened, oldest first.
    connections: Vec<WatchConnection>,
    last_watch: WatchId,
    /// No further connection is opened before this time.
    connect_at: Moment,
    connect_timeout: Span,
    /// The delay between two requests, without jitter.
    retry_interval: Span,
    /// Factor from 0.5 to 1.5 on each delay. It differs between fronts, so that fronts that lose the coordinator at the
    /// same time do not all reconnect at once.
    jitter: f64,
    last_requested_at: Moment,
    /// Consecutive connections on which the coordinator announced events and did not deliver them.
    consecutive_announcements: u32,
    /// The start of the period without a live connection, as last logged; `None` if a connection was live.
    lost_since: Option<Moment>,
    /// Requests for events since `lost_since`.
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

    /// Returns the next action for the host.
    pub(crate) fn poll_action(&mut self) -> Option<WatchAction> {
        self.actions.pop_front()
    }

    /// The delay between two requests, with jitter.
    fn retry_delay(&self) -> Span {
        self.retry_interval.scaled(self.jitter)
    }

    /// How long to wait for announced events before they are requested on another connection. The delay doubles with
    /// each consecutive connection that did not deliver them, because every request makes the coordinator send a full
    /// list.
    fn announcement_delay(&self) -> Span {
        let delay = self.retry_interval * (1 << self.consecutive_announcements.min(MAX_DOUBLINGS));
        delay.min(protocol::WATCH_HEARTBEAT).scaled(self.jitter)
    }

    /// Schedules another request for the events, at least one retry delay after the last request.
    fn schedule_request(&mut self, now: Moment) {
        self.connect_at = now.max(self.last_requested_at + self.retry_delay());
    }

    /// Follows the coordinator at a new address and closes the connections to the old one. Does nothing if the address
    /// is unchanged and a connection is open.
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

    /// Advances the position to that of events which were learned from another source. Returns whether that position is
    /// later than the present one.
    pub(crate) fn catch_up(&mut self, known: EventCursor) -> bool {
        let is_later = known.last_index() > self.event_cursor.last_index();
        if is_later {
            self.event_cursor = known;
        }
        is_later
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
        debug!(watch = watch.0, request = line.trim_end(), "connected to the coordinator, requesting events");
        self.actions.push_back(WatchAction::Send { watch, line });
    }

    /// Handles a connection that was closed by the coordinator or could not be established.
    pub(crate) fn on_disconnected(&mut self, watch: WatchId, now: Moment) {
        let Some(position) = self.position(watch) else { return };
        self.connections.remove(position);
        debug!(watch = watch.0, "coordinator connection failed or closed by the coordinator");
        self.schedule_request(now);
        self.log_liveness(now, "connection lost");
    }

    /// Handles received bytes and returns the endpoint changes in them. An unreadable line is skipped, and the events
    /// that it may have carried are requested again on another connection.
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
                        "received an event from the coordinator"
                    );
                    self.on_up_to_date(watch, now);
                    changes.push(change);
                }
                Ok(EventOutcome::UpToDate) => self.on_up_to_date(watch, now),
                Ok(EventOutcome::Unchanged) => self.on_unchanged(watch, now),
                Ok(EventOutcome::Behind) => self.on_gap(watch, EventGap::Announced, now),
                Ok(EventOutcome::Gap) => self.on_gap(watch, EventGap::Skipped, now),
                Err(error) => {
                    self.on_gap(watch, EventGap::Unreadable, now);
                    let line = String::from_utf8_lossy(&line[..line.len().min(MAX_LOGGED_LINE_BYTES)]);
                    warn!(watch = watch.0, %error, ?line, "skipped an unreadable line from the coordinator");
                }
            }
        }
        let is_unusable =
            self.position(watch).is_some_and(|position| self.connections[position].is_unusable());
        if framing.is_err() || is_unusable {
            self.close(watch, "unreadable");
            self.schedule_request(now);
            self.log_liveness(now, "unreadable");
        }
        changes
    }

    /// A connection has delivered all events: closes the older ones.
    fn on_up_to_date(&mut self, watch: WatchId, now: Moment) {
        self.consecutive_announcements = 0;
        if let Some(position) = self.position(watch) {
            self.connections[position].on_up_to_date(now);
        }
        self.close_older(watch);
        self.log_liveness(now, "silent");
    }

    /// A connection has delivered only events that were known already: closes the older ones.
    fn on_unchanged(&mut self, watch: WatchId, now: Moment) {
        if let Some(position) = self.position(watch) {
            self.connections[position].on_unchanged(now);
        }
        self.close_older(watch);
        self.log_liveness(now, "silent");
    }

    fn close_older(&mut self, watch: WatchId) {
        while self.connections.first().is_some_and(|oldest| oldest.watch < watch) {
            self.close(self.connections[0].watch, "superseded");
        }
    }

    /// The coordinator may have events that the connection has not delivered. They are requested on another connection:
    /// after the announcement delay if they were announced and may still arrive, else after the retry delay.
    fn on_gap(&mut self, watch: WatchId, gap: EventGap, now: Moment) {
        let Some(position) = self.position(watch) else { return };
        if self.connections[position].on_gap(gap) {
            match gap {
                EventGap::Announced => {
                    self.connect_at = self.connect_at.max(now + self.announcement_delay());
                    self.consecutive_announcements = self.consecutive_announcements.saturating_add(1);
                }
                EventGap::Skipped | EventGap::Unreadable => self.schedule_request(now),
            }
        }
        self.log_liveness(now, gap.reason());
    }

    /// Closes the connections that have timed out, and opens a further one if none is live and the delay is over.
    pub(crate) fn process(&mut self, now: Moment) {
        let connect_timeout = self.connect_timeout;
        let has_expired = |connection: &&WatchConnection| connection.expires_at(connect_timeout) <= now;
        while let Some(expired) = self.connections.iter().find(has_expired) {
            self.close(expired.watch, "no answer");
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

    /// The connection to replace when the limit is reached: the one whose neighbours by age are closest to each other,
    /// relative to their age. The ages of the rest stay spread, so that one connection is old enough for a slow
    /// coordinator to answer, and another one is recent.
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

    /// Until when a connection counts as live if nothing more arrives; `None` if none does.
    fn live_until(&self) -> Option<Moment> {
        self.connections.iter().filter_map(|connection| connection.live_until(self.retry_interval)).max()
    }

    fn is_live(&self, now: Moment) -> bool {
        self.live_until().is_some_and(|until| now < until)
    }

    /// Logs the transitions between having a live connection and having none.
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

    /// When [`CoordinatorWatch::process`] is due even if nothing arrives.
    pub(crate) fn poll_timeout(&self) -> Option<Moment> {
        self.coordinator?;
        let connect_at = self.live_until().map_or(self.connect_at, |until| until.max(self.connect_at));
        let expiries = self.connections.iter().map(|connection| connection.expires_at(self.connect_timeout));
        expiries.chain([connect_at]).min()
    }
}
