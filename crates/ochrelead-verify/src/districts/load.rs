//! Servers and callers of a simple kind: a queue in front of one processor, lines, a cold start; sessions with a value, a
//! post-dial target and a timer limit, and callers of whom some dial again.

use std::collections::VecDeque;

use ochrelead_core::config::{ControllerConfig, Service};
use ochrelead_core::time::Span;
use ochrelead_core::types::LineCapacity;

pub const MS: u64 = 1_000;
pub const TARGET: u64 = 1_500 * MS;
pub const TIMER_LIMIT: u64 = 9_000 * MS;
pub const WARM: u64 = 10_000 * MS;
pub const COLD_SHARE: f64 = 0.35;
pub const FALL_MULTIPLE: f64 = 2.5;
const FALL_TIME: u64 = 1_000 * MS;
/// A set-up that would wait longer is turned away.
const LONGEST_QUEUE: u64 = 2_500 * MS;
/// Sessions a second that a warm server carries.
pub const CARRIES: f64 = 100.0;
/// How long sessions stand on the mean.
pub const HOLD: u64 = 6_000 * MS;
/// Lines are enough for a third more than the processor carries.
pub const LINES: u32 = (CARRIES * 6.0 * 1.33) as u32;
pub const VALUES: [f64; 2] = [1.0, 3.0];
pub const LATE_SHARE: f64 = 0.25;

pub fn provision(fronts: u32, seed: u64) -> ControllerConfig {
    let service = |value: f64| Service {
        value,
        post_dial_target: Span::from_micros(TARGET),
        late_value_share: LATE_SHARE,
        mean_hold_time: Span::from_micros(HOLD),
        servers: Vec::new(),
        retryable: true,
    };
    ControllerConfig {
        seed,
        fronts,
        services: VALUES.into_iter().map(service).collect(),
        tenants: Vec::new(),
        over_quota_value_share: 0.1,
        max_invites: 4,
        max_retry_after: Span::from_secs(2),
        resend_delay: Span::from_millis(200),
        cold_capacity_share: COLD_SHARE,
        warm_up_time: Span::from_micros(WARM),
        overload_multiple: FALL_MULTIPLE,
        overload_duration: Span::from_micros(FALL_TIME),
        min_turn_interval: Span::from_millis(5),
    }
}

#[derive(Clone, Debug)]
pub struct Server {
    pub district: u32,
    pub up: bool,
    /// When it started, where that is lately.
    pub started: Option<u64>,
    /// Counts its lives: what an earlier one had taken is gone.
    pub life: u32,
    /// It takes so many times as long.
    pub slow: f64,
    /// It answers nothing.
    pub silent: bool,
    free_at: u64,
    pub in_use: u32,
    /// INVITEs of the last fall time.
    came: VecDeque<u64>,
    pub falls: u64,
}

/// What a server makes of an INVITE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Set up at that moment.
    Stands(u64),
    Full,
    NoLine,
    /// It never answers.
    Nothing,
}

impl Server {
    pub fn new(district: u32) -> Server {
        Server {
            district,
            up: true,
            started: None,
            life: 0,
            slow: 1.0,
            silent: false,
            free_at: 0,
            in_use: 0,
            came: VecDeque::new(),
            falls: 0,
        }
    }

    /// The part of what it carries when warm that it carries now.
    pub fn warmth(&self, now: u64) -> f64 {
        let since = self.started.map_or(WARM, |started| now.saturating_sub(started)).min(WARM);
        COLD_SHARE + (1.0 - COLD_SHARE) * since as f64 / WARM as f64
    }

    pub fn lines(&self) -> LineCapacity {
        LineCapacity { free: LINES.saturating_sub(self.in_use), total: LINES }
    }

    pub fn end(&mut self) {
        (self.up, self.in_use) = (false, 0);
        self.life += 1;
        self.came.clear();
    }

    pub fn start(&mut self, now: u64) {
        (self.up, self.started, self.free_at, self.in_use) = (true, Some(now), now, 0);
        self.life += 1;
    }

    pub fn take(&mut self, now: u64) -> Answer {
        if !self.up || self.silent {
            return Answer::Nothing;
        }
        self.came.push_back(now);
        while self.came.front().is_some_and(|at| now - at > FALL_TIME) {
            self.came.pop_front();
        }
        let warmth = self.warmth(now);
        if warmth < 1.0 {
            // N requests are what it may be sent in the fall time, with room for the unevenness of chance.
            let n = CARRIES * warmth * FALL_MULTIPLE * FALL_TIME as f64 / 1e6;
            if self.came.len() as f64 > n + 3.0 * n.sqrt() + 3.0 {
                self.falls += 1;
                self.end();
                self.start(now + 1_000 * MS);
                return Answer::Nothing;
            }
        }
        if self.started.is_some_and(|started| started > now) {
            return Answer::Nothing;
        }
        if self.in_use >= LINES {
            return Answer::NoLine;
        }
        let wait = self.free_at.saturating_sub(now);
        if wait > LONGEST_QUEUE {
            return Answer::Full;
        }
        let work = (1e6 / CARRIES / warmth * self.slow) as u64;
        self.free_at = self.free_at.max(now) + work;
        self.in_use += 1;
        Answer::Stands(self.free_at)
    }
}
