//! From verdicts to shares: leaving a district, and coming back to it.
//!
//! Leaving is whole: nobody is answered there, and what is sent is lost, whatever the others can carry.
//!
//! Coming back begins when most of its servers give signs of life. Each step holds a share, the same at all fronts; where
//! what was sent at it was answered in time the next step's is larger by [`ZoneConfig::growth_factor`], where it was not it is halved.
//! So what all fronts together send is at most `growth` times what the district has just shown that it does in time,
//! less than the multiple at which a cold server falls.

use ochrelead_core::time::{Moment, Span};

use crate::ZoneConfig;
use crate::verdict::{Verdict, ZoneStats};

/// The share with which a return begins, and the least.
const FIRST_SHARE: f64 = 0.125;
const LEAST_SHARE: f64 = 0.0625;
/// Of the servers in service so many must have given a sign of life.
const ALIVE_SHARE: f64 = 0.5;
/// So many INVITEs tell whether a step bears; where fewer are sent it goes on after three steps' time without a loss.
const ENOUGH: u32 = 8;
const THIN_STEPS: u64 = 3;
/// So many lost, and none answered, and a return is over.
const FEW: u32 = 3;
/// Of these so many must be answered in time.
const GOOD: f64 = 0.8;
/// A district that is left again is left longer each time, up to this many steps.
const MAX_STEPS: u64 = 16;
/// That is forgotten after so many steps in use.
const FORGOTTEN_STEPS: u64 = 64;

/// Why a district is not wholly in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareReason {
    Drained,
    Recovering,
}

impl ShareReason {
    /// For those who operate it.
    pub fn description(self) -> &'static str {
        match self {
            ShareReason::Drained => "left: nobody is answered there",
            ShareReason::Recovering => "returns, a step at a time",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Here { since: Option<Moment> },
    Left { until: Moment },
    Back { share: f64, step: Moment },
}

/// One district's course, at its observer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneRamp {
    phase: Phase,
    /// How often it was left of late.
    times: u32,
}

impl Default for ZoneRamp {
    fn default() -> ZoneRamp {
        ZoneRamp { phase: Phase::Here { since: None }, times: 0 }
    }
}

impl ZoneRamp {
    /// What another observer had in force is taken on: the return goes on from there.
    pub fn resumed(share: f64, why: ShareReason, now: Moment) -> ZoneRamp {
        let phase = match why {
            ShareReason::Drained => Phase::Left { until: now },
            ShareReason::Recovering => Phase::Back { share, step: now },
        };
        ZoneRamp { phase, times: 1 }
    }

    /// The share in force, and why it is not whole.
    pub fn share(&self) -> Option<(f64, ShareReason)> {
        match self.phase {
            Phase::Here { .. } => None,
            Phase::Left { .. } => Some((0.0, ShareReason::Drained)),
            Phase::Back { share, .. } => Some((share, ShareReason::Recovering)),
        }
    }

    /// Goes on; whether a step has begun, for which what was met before says nothing.
    pub fn process(&mut self, now: Moment, verdict: Verdict, count: &ZoneStats, terms: &ZoneConfig) -> bool {
        let before = self.phase;
        match self.phase {
            Phase::Here { since } => {
                let since = since.unwrap_or(now);
                self.phase = Phase::Here { since: Some(since) };
                if now.since(since) >= terms.step_duration() * FORGOTTEN_STEPS {
                    self.times = 0;
                }
                if verdict == Verdict::Unreachable {
                    self.leave(now, terms);
                }
            }
            Phase::Left { until } => {
                let alive = f64::from(count.alive) >= f64::from(count.servers) * ALIVE_SHARE;
                if now >= until && alive && count.alive > 0 {
                    self.phase = Phase::Back { share: FIRST_SHARE, step: now };
                }
            }
            Phase::Back { share, step } => {
                if verdict == Verdict::Unreachable || is_unanswered(now.since(step), count, terms) {
                    self.leave(now, terms);
                } else if let Some(share) = next_step(share, now.since(step), count, terms) {
                    self.phase = if share >= 1.0 {
                        Phase::Here { since: Some(now) }
                    } else {
                        Phase::Back { share: share.max(LEAST_SHARE), step: now }
                    };
                }
            }
        }
        before != self.phase && !matches!(self.phase, Phase::Here { .. })
    }

    fn leave(&mut self, now: Moment, terms: &ZoneConfig) {
        self.times = (self.times + 1).min(16);
        let steps = (1_u64 << (self.times - 1)).min(MAX_STEPS);
        // Signs of life from before its end are still on their way for two reports, and count for a step.
        let least = terms.step_duration() + terms.report_interval() * 2;
        self.phase = Phase::Left { until: now + least.max(terms.step_duration() * steps) };
    }
}

/// A step of a return in which nobody was answered: it took connections, or gave a sign, and that was all.
fn is_unanswered(lasted: Span, count: &ZoneStats, terms: &ZoneConfig) -> bool {
    lasted >= terms.step_duration()
        && count.recent_in_time + count.recent_late == 0
        && count.recent_lost >= FEW
}

/// The share of the next step, where it is time for one.
fn next_step(share: f64, lasted: Span, count: &ZoneStats, terms: &ZoneConfig) -> Option<f64> {
    let (n, in_time) = (count.recent(), f64::from(count.recent_in_time));
    if lasted < terms.step_duration() {
        return None;
    }
    if n >= ENOUGH {
        let good = in_time >= f64::from(n) * GOOD;
        return Some(if good { share * terms.growth_factor } else { share / 2.0 });
    }
    let thin = lasted >= terms.step_duration() * THIN_STEPS;
    (thin && count.recent_lost == 0).then_some(share * terms.growth_factor)
}
