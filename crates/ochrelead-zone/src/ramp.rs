//! From verdicts to shares over time: draining a zone, and ramping it up again.
//!
//! A zone is drained completely and at once: nobody is answered there, and what is sent to it is lost whatever the capacity
//! of the other zones.
//!
//! A recovery begins when enough of the zone's servers give signs of life. Each step holds one share, the same at all fronts.
//! If the INVITEs of a step were answered in time, the next share is larger by [`ZoneConfig::growth_factor`]; otherwise it is
//! halved. So all fronts together send at most this factor times what the zone has just been shown to handle in time, less
//! than the multiple at which a cold server fails.

use ochrelead_core::time::{Moment, Span};

use crate::ZoneConfig;
use crate::verdict::{Verdict, ZoneStats};

/// The share with which a recovery begins.
const INITIAL_SHARE: f64 = 0.125;
/// The smallest share of a recovery: with less, nothing would show that the zone does better.
const MIN_SHARE: f64 = 0.0625;
/// Part of the servers in service that must have given a sign of life.
const MIN_ALIVE_SHARE: f64 = 0.5;
/// INVITEs that are enough to tell whether the zone can bear a step.
const MIN_STEP_INVITES: u32 = 8;
/// With fewer INVITEs the recovery goes on after this many steps' time without a loss.
const LOW_TRAFFIC_STEPS: u64 = 3;
/// Losses, without any answer, that end a recovery.
const MIN_FAILED_STEP_LOSSES: u32 = 3;
/// Part of a step's INVITEs that must be answered in time.
const MIN_IN_TIME_SHARE: f64 = 0.8;
/// A zone that is drained again and again stays drained longer each time, up to this many steps.
const MAX_DRAIN_STEPS: u64 = 16;
/// Drains that are counted; more make no difference.
const MAX_DRAIN_COUNT: u32 = 16;
/// Former drains are forgotten after this many steps in full use.
const DRAIN_COUNT_RESET_STEPS: u64 = 64;

/// Why a zone is not in full use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareReason {
    /// Nobody is answered there.
    Drained,
    /// It takes a growing share after a drain.
    Recovering,
}

impl ShareReason {
    /// Text for the status output.
    pub fn description(self) -> &'static str {
        match self {
            ShareReason::Drained => "left: nobody is answered there",
            ShareReason::Recovering => "returns, a step at a time",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    InUse { since: Option<Moment> },
    Drained { until: Moment },
    Recovering { share: f64, step_began_at: Moment },
}

/// Drain and recovery of one zone, at its observer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneRamp {
    phase: Phase,
    /// Recent drains: each makes the next one last longer.
    drain_count: u32,
}

impl Default for ZoneRamp {
    fn default() -> ZoneRamp {
        ZoneRamp { phase: Phase::InUse { since: None }, drain_count: 0 }
    }
}

impl ZoneRamp {
    /// Continues from the share that a former observer had in force.
    pub fn resumed(share: f64, reason: ShareReason, now: Moment) -> ZoneRamp {
        let phase = match reason {
            ShareReason::Drained => Phase::Drained { until: now },
            ShareReason::Recovering => Phase::Recovering { share, step_began_at: now },
        };
        ZoneRamp { phase, drain_count: 1 }
    }

    /// The share in force and its reason; `None` while the zone is in full use.
    pub fn share(&self) -> Option<(f64, ShareReason)> {
        match self.phase {
            Phase::InUse { .. } => None,
            Phase::Drained { .. } => Some((0.0, ShareReason::Drained)),
            Phase::Recovering { share, .. } => Some((share, ShareReason::Recovering)),
        }
    }

    /// Advances by the latest verdict and statistics. Returns whether a step has begun, for which earlier statistics say
    /// nothing.
    pub fn process(&mut self, now: Moment, verdict: Verdict, stats: &ZoneStats, config: &ZoneConfig) -> bool {
        let previous = self.phase;
        match self.phase {
            Phase::InUse { since } => {
                let since = since.unwrap_or(now);
                self.phase = Phase::InUse { since: Some(since) };
                if now.since(since) >= config.step_duration() * DRAIN_COUNT_RESET_STEPS {
                    self.drain_count = 0;
                }
                if verdict == Verdict::Unreachable {
                    self.drain(now, config);
                }
            }
            Phase::Drained { until } => {
                let min_alive = f64::from(stats.servers) * MIN_ALIVE_SHARE;
                if now >= until && f64::from(stats.alive) >= min_alive && stats.alive > 0 {
                    self.phase = Phase::Recovering { share: INITIAL_SHARE, step_began_at: now };
                }
            }
            Phase::Recovering { share, step_began_at } => {
                let elapsed = now.since(step_began_at);
                if verdict == Verdict::Unreachable || is_step_unanswered(elapsed, stats, config) {
                    self.drain(now, config);
                } else if let Some(share) = next_share(share, elapsed, stats, config) {
                    self.phase = if share >= 1.0 {
                        Phase::InUse { since: Some(now) }
                    } else {
                        Phase::Recovering { share: share.max(MIN_SHARE), step_began_at: now }
                    };
                }
            }
        }
        previous != self.phase && !matches!(self.phase, Phase::InUse { .. })
    }

    fn drain(&mut self, now: Moment, config: &ZoneConfig) {
        self.drain_count = (self.drain_count + 1).min(MAX_DRAIN_COUNT);
        let steps = (1_u64 << (self.drain_count - 1)).min(MAX_DRAIN_STEPS);
        // Signs of life from before the failure may still arrive with two reports, and then count for one step.
        let min_duration = config.step_duration() + config.report_interval() * 2;
        self.phase = Phase::Drained { until: now + min_duration.max(config.step_duration() * steps) };
    }
}

/// A whole step without any answer: the servers accept connections, or give other signs of life, and no more.
fn is_step_unanswered(elapsed: Span, stats: &ZoneStats, config: &ZoneConfig) -> bool {
    let answers = stats.recent_in_time + stats.recent_late;
    elapsed >= config.step_duration() && answers == 0 && stats.recent_lost >= MIN_FAILED_STEP_LOSSES
}

/// The share of the next step; `None` while the present step goes on.
fn next_share(share: f64, elapsed: Span, stats: &ZoneStats, config: &ZoneConfig) -> Option<f64> {
    if elapsed < config.step_duration() {
        return None;
    }
    let invites = stats.recent();
    if invites >= MIN_STEP_INVITES {
        let was_answered = f64::from(stats.recent_in_time) >= f64::from(invites) * MIN_IN_TIME_SHARE;
        return Some(if was_answered { share * config.growth_factor } else { share / 2.0 });
    }
    let has_waited = elapsed >= config.step_duration() * LOW_TRAFFIC_STEPS;
    (has_waited && stats.recent_lost == 0).then_some(share * config.growth_factor)
}
