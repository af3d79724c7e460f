//! Turns verdicts into shares over time: drains a zone and ramps it up again.
//!
//! A zone is drained completely and at once: no front receives answers from it, so every session sent there is lost,
//! whatever the capacity of the other zones.
//!
//! A recovery begins when enough servers of the zone show activity. During a step the share is constant and the same at
//! all fronts. If enough INVITEs of a step were answered in time, the next share is larger by
//! [`ZoneConfig::growth_factor`]; otherwise it is halved. So all fronts together send at most this factor times the
//! load that the zone has just answered in time, which is less than the overload at which a cold server fails.

use ochrelead_core::time::{Moment, Span};

use crate::ZoneConfig;
use crate::verdict::{Verdict, ZoneStats};

/// The share of the first step of a recovery.
const INITIAL_SHARE: f64 = 0.125;
/// The smallest share of a recovery. A smaller one would yield too few INVITEs to detect an improvement.
const MIN_SHARE: f64 = 0.0625;
/// Fraction of the servers in service that must show activity before a recovery begins.
const MIN_ALIVE_SHARE: f64 = 0.5;
/// With at least this many INVITEs in a step, the fraction answered in time decides the next share.
const MIN_STEP_INVITES: u32 = 8;
/// With fewer INVITEs, the share grows after this many step durations without a loss.
const LOW_TRAFFIC_STEPS: u64 = 3;
/// Lost INVITEs that end a recovery if a whole step brought no answer.
const MIN_UNANSWERED_STEP_LOSSES: u32 = 3;
/// Fraction of a step's INVITEs that must be answered in time for the share to grow.
const MIN_IN_TIME_SHARE: f64 = 0.8;
/// Each repeated drain lasts twice as many steps as the one before, up to this limit.
const MAX_DRAIN_STEPS: u64 = 16;
/// Limit of the drain count; more drains do not change the duration.
const MAX_DRAIN_COUNT: u32 = 16;
/// The drain count is reset after this many steps in full use.
const DRAIN_COUNT_RESET_STEPS: u64 = 64;

/// Why a zone is not in full use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareReason {
    /// No front receives answers from the zone.
    Drained,
    /// The zone takes a growing share after a drain.
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

/// State machine for the drain and recovery of one zone, run by the observer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneRamp {
    phase: Phase,
    /// Number of recent drains; each doubles the duration of the next one.
    drain_count: u32,
}

impl Default for ZoneRamp {
    fn default() -> ZoneRamp {
        ZoneRamp { phase: Phase::InUse { since: None }, drain_count: 0 }
    }
}

impl ZoneRamp {
    /// Continues with the share that a previous observer had announced.
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

    /// Advances the state with the latest verdict and statistics. Returns whether a drain or a new step has begun; the
    /// caller then discards the earlier statistics, which do not describe it.
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
        // Activity from before the failure may still arrive with the next two reports, and counts for one step after
        // that.
        let min_duration = config.step_duration() + config.report_interval() * 2;
        self.phase = Phase::Drained { until: now + min_duration.max(config.step_duration() * steps) };
    }
}

/// Whether a whole step brought losses and no answer: the servers accept connections or show other activity, but answer
/// no INVITE.
fn is_step_unanswered(elapsed: Span, stats: &ZoneStats, config: &ZoneConfig) -> bool {
    let answers = stats.recent_in_time + stats.recent_late;
    elapsed >= config.step_duration() && answers == 0 && stats.recent_lost >= MIN_UNANSWERED_STEP_LOSSES
}

/// Returns the share of the next step, or `None` while the current step continues.
fn next_share(share: f64, elapsed: Span, stats: &ZoneStats, config: &ZoneConfig) -> Option<f64> {
    if elapsed < config.step_duration() {
        return None;
    }
    let invites = stats.recent_invites();
    if invites >= MIN_STEP_INVITES {
        let is_answered_in_time = f64::from(stats.recent_in_time) >= f64::from(invites) * MIN_IN_TIME_SHARE;
        return Some(if is_answered_in_time { share * config.growth_factor } else { share / 2.0 });
    }
    let is_low_traffic_wait_over = elapsed >= config.step_duration() * LOW_TRAFFIC_STEPS;
    (is_low_traffic_wait_over && stats.recent_lost == 0).then_some(share * config.growth_factor)
}
