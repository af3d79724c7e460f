//! A simple model of a signalling server: a queue in front of one processor, lines, and a cold start.

use std::collections::VecDeque;

use ochrelead_core::config::{ControllerConfig, Service};
use ochrelead_core::time::Span;
use ochrelead_core::types::LineCapacity;

/// Microseconds in a millisecond; times of the simulation are microseconds since its start.
pub(super) const MS: u64 = 1_000;
pub(super) const POST_DIAL_TARGET: u64 = 1_500 * MS;
/// How long a caller waits at most.
pub(super) const CALL_DEADLINE: u64 = 9_000 * MS;
const WARM_UP_TIME: u64 = 10_000 * MS;
/// Capacity of a server that has just started, as a part of its usual one.
const COLD_CAPACITY_SHARE: f64 = 0.35;
/// A cold server fails when it is sent more than this multiple of its capacity...
const OVERLOAD_MULTIPLE: f64 = 2.5;
/// ... within this time.
const OVERLOAD_DURATION: u64 = 1_000 * MS;
/// How long a server stays down after it has failed under overload.
const RESTART_TIME: u64 = 1_000 * MS;
/// An INVITE that would wait longer is rejected.
const MAX_QUEUE_TIME: u64 = 2_500 * MS;
/// Sessions that a warm server sets up in a second.
pub(super) const SETUPS_PER_SECOND: f64 = 100.0;
/// Mean length of an established call.
pub(super) const MEAN_HOLD_TIME: u64 = 6_000 * MS;
/// Lines for a third more calls than the processor sets up.
const LINES: u32 = (SETUPS_PER_SECOND * 6.0 * 1.33) as u32;
/// Value of a session, by service.
pub(super) const SERVICE_VALUES: [f64; 2] = [1.0, 3.0];
/// The part of its value that a session set up after its target has.
pub(super) const LATE_VALUE_SHARE: f64 = 0.25;

/// The configuration of the call controller at each front.
pub(super) fn controller_config(fronts: u32, seed: u64) -> ControllerConfig {
    let service = |value: f64| Service {
        value,
        post_dial_target: Span::from_micros(POST_DIAL_TARGET),
        late_value_share: LATE_VALUE_SHARE,
        mean_hold_time: Span::from_micros(MEAN_HOLD_TIME),
        servers: Vec::new(),
        retryable: true,
    };
    ControllerConfig {
        seed,
        fronts,
        services: SERVICE_VALUES.into_iter().map(service).collect(),
        tenants: Vec::new(),
        over_quota_value_share: 0.1,
        max_invites: 4,
        max_retry_after: Span::from_secs(2),
        resend_delay: Span::from_millis(200),
        cold_capacity_share: COLD_CAPACITY_SHARE,
        warm_up_time: Span::from_micros(WARM_UP_TIME),
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: Span::from_micros(OVERLOAD_DURATION),
        min_poll_interval: Span::from_millis(5),
    }
}

/// How a server responds to an INVITE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerResponse {
    /// The call is established at that time.
    EstablishedAt(u64),
    /// Rejected at once: the queue is too long.
    QueueFull,
    /// Rejected at once: no line is free.
    NoLine,
    /// It never answers.
    Silent,
}

#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) zone: u32,
    pub(super) is_up: bool,
    /// When it started, unless it has been up since before the run.
    pub(super) started_at: Option<u64>,
    /// Counts starts and stops: calls of an earlier incarnation are gone.
    pub(super) incarnation: u32,
    /// Multiple of its usual time that a set-up takes.
    pub(super) slow_factor: f64,
    /// It answers nothing.
    pub(super) is_silent: bool,
    pub(super) lines_in_use: u32,
    /// How often it has failed under overload while cold.
    pub(super) cold_failures: u64,
    /// When the processor has worked off its queue.
    idle_at: u64,
    /// Arrivals within the last overload duration.
    recent_invites: VecDeque<u64>,
}

impl Server {
    pub(super) fn new(zone: u32) -> Server {
        Server {
            zone,
            is_up: true,
            started_at: None,
            incarnation: 0,
            slow_factor: 1.0,
            is_silent: false,
            lines_in_use: 0,
            cold_failures: 0,
            idle_at: 0,
            recent_invites: VecDeque::new(),
        }
    }

    /// Its present capacity, as a part of its usual one.
    fn capacity_share(&self, now: u64) -> f64 {
        let uptime =
            self.started_at.map_or(WARM_UP_TIME, |started| now.saturating_sub(started)).min(WARM_UP_TIME);
        COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * uptime as f64 / WARM_UP_TIME as f64
    }

    pub(super) fn lines(&self) -> LineCapacity {
        LineCapacity { free: LINES.saturating_sub(self.lines_in_use), total: LINES }
    }

    pub(super) fn stop(&mut self) {
        self.is_up = false;
        self.lines_in_use = 0;
        self.incarnation += 1;
        self.recent_invites.clear();
    }

    pub(super) fn start(&mut self, now: u64) {
        self.is_up = true;
        self.started_at = Some(now);
        self.idle_at = now;
        self.lines_in_use = 0;
        self.incarnation += 1;
    }

    pub(super) fn on_invite(&mut self, now: u64) -> ServerResponse {
        if !self.is_up || self.is_silent {
            return ServerResponse::Silent;
        }
        self.recent_invites.push_back(now);
        while self.recent_invites.front().is_some_and(|at| now - at > OVERLOAD_DURATION) {
            self.recent_invites.pop_front();
        }
        let capacity_share = self.capacity_share(now);
        if capacity_share < 1.0 && self.is_overloaded(capacity_share) {
            self.cold_failures += 1;
            self.stop();
            self.start(now + RESTART_TIME);
            return ServerResponse::Silent;
        }
        if self.started_at.is_some_and(|started| started > now) {
            return ServerResponse::Silent;
        }
        if self.lines_in_use >= LINES {
            return ServerResponse::NoLine;
        }
        if self.idle_at.saturating_sub(now) > MAX_QUEUE_TIME {
            return ServerResponse::QueueFull;
        }
        let work = (1e6 / SETUPS_PER_SECOND / capacity_share * self.slow_factor) as u64;
        self.idle_at = self.idle_at.max(now) + work;
        self.lines_in_use += 1;
        ServerResponse::EstablishedAt(self.idle_at)
    }

    /// Whether more INVITEs arrived than the multiple allows, with a margin for random variation.
    fn is_overloaded(&self, capacity_share: f64) -> bool {
        let allowed = SETUPS_PER_SECOND * capacity_share * OVERLOAD_MULTIPLE * OVERLOAD_DURATION as f64 / 1e6;
        self.recent_invites.len() as f64 > allowed + 3.0 * allowed.sqrt() + 3.0
    }
}
