//! A simple model of a signalling server: a queue for one processor, a number of lines, and a warm-up phase.

use std::collections::VecDeque;

use ochrelead_core::config::{ControllerConfig, Service};
use ochrelead_core::time::Span;
use ochrelead_core::types::LineCapacity;

/// One millisecond in microseconds, the unit of simulated time.
pub(super) const MS: u64 = 1_000;
pub(super) const POST_DIAL_TARGET_US: u64 = 1_500 * MS;
/// A caller gives up a call that is not established within this time.
pub(super) const CALL_DEADLINE_US: u64 = 9_000 * MS;
const WARM_UP_TIME_US: u64 = 10_000 * MS;
/// Capacity of a server that has just started, as a fraction of its capacity when warm.
const COLD_CAPACITY_SHARE: f64 = 0.35;
/// A server that is warming up fails if it receives more than this multiple of its capacity within
/// [`OVERLOAD_DURATION_US`].
const OVERLOAD_MULTIPLE: f64 = 2.5;
const OVERLOAD_DURATION_US: u64 = 1_000 * MS;
/// A server that failed under overload starts again after this time.
const RESTART_TIME_US: u64 = 1_000 * MS;
/// An INVITE that would wait longer in the queue is rejected.
const MAX_QUEUE_TIME_US: u64 = 2_500 * MS;
/// Set-ups that the processor of a warm server completes per second.
pub(super) const SETUPS_PER_SECOND: f64 = 100.0;
/// Mean duration of an established call.
pub(super) const MEAN_HOLD_TIME_US: u64 = 6_000 * MS;
/// A third more lines than calls are established at full set-up rate (rate times mean hold time).
const LINES: u32 = (SETUPS_PER_SECOND * 6.0 * 1.33) as u32;
/// Value of a session, indexed by service.
pub(super) const SERVICE_VALUES: [f64; 2] = [1.0, 3.0];
/// Fraction of its value that a session has when it is set up after its post-dial target.
pub(super) const LATE_VALUE_SHARE: f64 = 0.25;

/// The configuration of the call controller at each front.
pub(super) fn controller_config(fronts: u32, seed: u64) -> ControllerConfig {
    let service = |value: f64| Service {
        value,
        post_dial_target: Span::from_micros(POST_DIAL_TARGET_US),
        late_value_share: LATE_VALUE_SHARE,
        mean_hold_time: Span::from_micros(MEAN_HOLD_TIME_US),
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
        warm_up_time: Span::from_micros(WARM_UP_TIME_US),
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_duration: Span::from_micros(OVERLOAD_DURATION_US),
        min_poll_interval: Span::from_millis(5),
    }
}

/// How a server responds to an INVITE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerResponse {
    /// The call will be established at this time.
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
    /// Time of the last start; `None` for a server that was warm when the run began.
    pub(super) started_at: Option<u64>,
    /// Incremented at each start and stop. Calls of an earlier incarnation are lost.
    pub(super) incarnation: u32,
    /// Duration of a set-up, as a multiple of the usual one.
    pub(super) slow_factor: f64,
    /// Whether the server answers no INVITE although it is up.
    pub(super) is_silent: bool,
    pub(super) lines_in_use: u32,
    /// Number of failures under overload while warming up.
    pub(super) cold_failures: u64,
    /// When the processor has completed all set-ups in the queue.
    idle_at: u64,
    /// Arrival times within the last [`OVERLOAD_DURATION_US`].
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

    /// The present capacity as a fraction of the capacity when warm; it grows linearly over the warm-up time.
    fn capacity_share(&self, now: u64) -> f64 {
        let uptime = self
            .started_at
            .map_or(WARM_UP_TIME_US, |started| now.saturating_sub(started))
            .min(WARM_UP_TIME_US);
        COLD_CAPACITY_SHARE + (1.0 - COLD_CAPACITY_SHARE) * uptime as f64 / WARM_UP_TIME_US as f64
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

    /// Accepts an INVITE into the queue, rejects it, or ignores it. A cold server may fail under it.
    pub(super) fn on_invite(&mut self, now: u64) -> ServerResponse {
        if !self.is_up || self.is_silent {
            return ServerResponse::Silent;
        }
        self.recent_invites.push_back(now);
        while self.recent_invites.front().is_some_and(|at| now - at > OVERLOAD_DURATION_US) {
            self.recent_invites.pop_front();
        }
        let capacity_share = self.capacity_share(now);
        if capacity_share < 1.0 && self.is_overloaded(capacity_share) {
            self.cold_failures += 1;
            self.stop();
            self.start(now + RESTART_TIME_US);
            return ServerResponse::Silent;
        }
        if self.started_at.is_some_and(|started| started > now) {
            return ServerResponse::Silent;
        }
        if self.lines_in_use >= LINES {
            return ServerResponse::NoLine;
        }
        if self.idle_at.saturating_sub(now) > MAX_QUEUE_TIME_US {
            return ServerResponse::QueueFull;
        }
        let work = (1e6 / SETUPS_PER_SECOND / capacity_share * self.slow_factor) as u64;
        self.idle_at = self.idle_at.max(now) + work;
        self.lines_in_use += 1;
        ServerResponse::EstablishedAt(self.idle_at)
    }

    /// Whether more INVITEs have arrived than the overload multiple allows, plus three standard deviations of a
    /// Poisson count and three.
    fn is_overloaded(&self, capacity_share: f64) -> bool {
        let allowed =
            SETUPS_PER_SECOND * capacity_share * OVERLOAD_MULTIPLE * OVERLOAD_DURATION_US as f64 / 1e6;
        self.recent_invites.len() as f64 > allowed + 3.0 * allowed.sqrt() + 3.0
    }
}
