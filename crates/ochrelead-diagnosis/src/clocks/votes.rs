//! The offset and the drift that most votes agree on.

use ochrelead_core::time::Span;

use super::segments::Segment;
use super::shared_events::SharedEventTimes;
use super::{ClockOffset, MAX_DELAY_US};

/// The most that a clock runs fast or slow.
const MAX_DRIFT: f64 = 1e-3;
/// So many votes over so many microseconds are needed to estimate the drift.
const MIN_DRIFT_VOTES: usize = 6;
const MIN_DRIFT_DURATION_US: i64 = 600_000_000;
/// The votes that the slope is taken from; more of them are thinned out.
const MAX_SLOPE_VOTES: usize = 64;
/// Events that were not repeated are this near to the median of their kind, in microseconds.
const PROMPT_WITHIN_US: i64 = 100_000;

/// A pair of times that may be of the same event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Vote {
    /// From the segment's first time to the event, in microseconds.
    elapsed_us: i64,
    /// From the event's time to that on the common clock, in microseconds.
    gap_us: i64,
}

impl Vote {
    /// The gap at the segment's first time.
    fn initial_gap_us(self, drift: f64) -> i64 {
        self.gap_us - (drift * self.elapsed_us as f64) as i64
    }
}

/// The offset that most votes agree on.
pub(super) fn estimate_offset(segment: &Segment, common: &SharedEventTimes) -> Option<ClockOffset> {
    let votes = votes(segment, common);
    let first_us = segment.first_time_us();
    let duration_us = segment.shared_events.iter().map(|event| event.time_us - first_us).max()?;
    let steady = largest_cluster(&votes, 0.0, MAX_DELAY_US)?;
    // Whatever a clock that runs fast or slow could have made of it.
    let widest_us = MAX_DELAY_US + (duration_us as f64 * MAX_DRIFT) as i64;
    let wide = largest_cluster(&votes, 0.0, widest_us)?;
    let can_drift = duration_us >= MIN_DRIFT_DURATION_US && wide.len() >= MIN_DRIFT_VOTES;
    let drift = if can_drift { median_slope(&wide) } else { 0.0 };
    let drifting = largest_cluster(&votes, drift, MAX_DELAY_US)?;
    let is_drifting = drifting.len() > steady.len()
        || median_deviation_us(&drifting, drift) * 2 < median_deviation_us(&steady, 0.0);
    let (agreed, drift) = if is_drifting { (drifting, drift) } else { (steady, 0.0) };
    // Where most were prompt, the late ones add nothing.
    let prompt = largest_cluster(&agreed, drift, PROMPT_WITHIN_US)?;
    let are_most_prompt = prompt.len() > 2 && prompt.len() * 2 >= agreed.len();
    let agreed = if are_most_prompt { prompt } else { agreed };
    let gaps_us = sorted_gaps_us(&agreed, drift);
    let spread_us = gaps_us.last()? - gaps_us.first()?;
    let bound_us = if agreed.len() > 2 { spread_us / 2 } else { MAX_DELAY_US.max(spread_us) };
    Some(ClockOffset {
        offset_us: gaps_us[gaps_us.len() / 2],
        drift,
        error_bound: Some(Span::from_micros(bound_us as u64)),
    })
}

fn votes(segment: &Segment, common: &SharedEventTimes) -> Vec<Vote> {
    let first_us = segment.first_time_us();
    let votes = segment.shared_events.iter().flat_map(|event| {
        let candidates = common.candidates(&event.name, event.time_us).iter();
        candidates.map(move |common_us| Vote {
            elapsed_us: event.time_us - first_us,
            gap_us: common_us - event.time_us,
        })
    });
    votes.collect()
}

fn sorted_gaps_us(votes: &[Vote], drift: f64) -> Vec<i64> {
    let mut gaps_us: Vec<i64> = votes.iter().map(|vote| vote.initial_gap_us(drift)).collect();
    gaps_us.sort_unstable();
    gaps_us
}

/// Half of the votes are nearer than this to their median: late ones do not count in it.
fn median_deviation_us(votes: &[Vote], drift: f64) -> i64 {
    let gaps_us = sorted_gaps_us(votes, drift);
    let median_us = gaps_us[gaps_us.len() / 2];
    let mut deviations_us: Vec<i64> = gaps_us.iter().map(|gap_us| (gap_us - median_us).abs()).collect();
    deviations_us.sort_unstable();
    deviations_us[deviations_us.len() / 2]
}

/// The most votes within `width_us`; of equals those that move the clock least.
fn largest_cluster(votes: &[Vote], drift: f64, width_us: i64) -> Option<Vec<Vote>> {
    let mut sorted = votes.to_vec();
    sorted.sort_by_key(|vote| vote.initial_gap_us(drift));
    let gap_us = |index: usize| sorted[index].initial_gap_us(drift);
    let (mut best, mut end) = (0..0, 0);
    for start in 0..sorted.len() {
        while end < sorted.len() && gap_us(end) - gap_us(start) <= width_us {
            end += 1;
        }
        let moves_less = || gap_us(start).abs() < gap_us(best.start).abs();
        if end - start > best.len() || (end - start == best.len() && moves_less()) {
            best = start..end;
        }
    }
    (!best.is_empty()).then(|| sorted[best].to_vec())
}

/// The median of the slopes between votes that are far apart (Theil-Sen), within what clocks do.
fn median_slope(votes: &[Vote]) -> f64 {
    let mut sorted = votes.to_vec();
    sorted.sort_unstable();
    let thinned: Vec<Vote> = sorted.iter().step_by(sorted.len() / MAX_SLOPE_VOTES + 1).copied().collect();
    let duration_us = thinned.last().map_or(0, |last| last.elapsed_us)
        - thinned.first().map_or(0, |first| first.elapsed_us);
    let mut slopes = Vec::new();
    for (index, early) in thinned.iter().enumerate() {
        let far = thinned[index..].iter().filter(|late| late.elapsed_us - early.elapsed_us > duration_us / 4);
        slopes.extend(
            far.map(|late| (late.gap_us - early.gap_us) as f64 / (late.elapsed_us - early.elapsed_us) as f64),
        );
    }
    slopes.sort_by(f64::total_cmp);
    slopes.get(slopes.len() / 2).copied().unwrap_or(0.0).clamp(-MAX_DRIFT, MAX_DRIFT)
}
