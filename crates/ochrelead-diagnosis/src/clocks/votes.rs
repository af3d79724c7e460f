//! Estimates the offset and the drift that most votes agree on.

use ochrelead_core::time::Span;

use super::segments::Segment;
use super::shared_events::SharedEventTimes;
use super::{ClockOffset, MAX_DELAY_US};

/// The largest drift considered: 1 ms per second.
const MAX_DRIFT: f64 = 1e-3;
/// The number of votes, and the duration of the segment, that an estimate of the drift requires.
const MIN_DRIFT_VOTES: usize = 6;
const MIN_DRIFT_DURATION_US: i64 = 600_000_000;
/// The number of votes above which they are sampled to estimate the slope.
const MAX_SLOPE_VOTES: usize = 64;
/// The gaps of events that were not delayed by a retransmission lie within this width, in microseconds.
const PROMPT_WITHIN_US: i64 = 100_000;

/// A pair of event times, on the segment's clock and on the common clock, that may be the same event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Vote {
    /// The time from the segment's first event to this one, in microseconds.
    elapsed_us: i64,
    /// The event's time on the common clock minus its time on the segment's clock, in microseconds.
    gap_us: i64,
}

impl Vote {
    /// The gap extrapolated back to the segment's first event.
    fn initial_gap_us(self, drift: f64) -> i64 {
        self.gap_us - (drift * self.elapsed_us as f64) as i64
    }
}

/// Estimates the offset that most votes agree on; `None` without votes.
pub(super) fn estimate_offset(segment: &Segment, common: &SharedEventTimes) -> Option<ClockOffset> {
    let votes = votes(segment, common);
    let first_us = segment.first_time_us();
    let duration_us = segment.shared_events.iter().map(|event| event.time_us - first_us).max()?;
    let steady = largest_cluster(&votes, 0.0, MAX_DELAY_US)?;
    // The spread of gaps that a clock with the largest drift can show.
    let max_spread_us = MAX_DELAY_US + (duration_us as f64 * MAX_DRIFT) as i64;
    let wide = largest_cluster(&votes, 0.0, max_spread_us)?;
    let can_drift = duration_us >= MIN_DRIFT_DURATION_US && wide.len() >= MIN_DRIFT_VOTES;
    let drift = if can_drift { median_slope(&wide) } else { 0.0 };
    let drifting = largest_cluster(&votes, drift, MAX_DELAY_US)?;
    let is_drifting = drifting.len() > steady.len()
        || median_deviation_us(&drifting, drift) * 2 < median_deviation_us(&steady, 0.0);
    let (agreed, drift) = if is_drifting { (drifting, drift) } else { (steady, 0.0) };
    // If most events were not retransmitted, ignore the retransmitted ones.
    let prompt = largest_cluster(&agreed, drift, PROMPT_WITHIN_US)?;
    let is_prompt_majority = prompt.len() > 2 && prompt.len() * 2 >= agreed.len();
    let agreed = if is_prompt_majority { prompt } else { agreed };
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

/// The median absolute deviation of the gaps from their median: robust against a minority of late events.
fn median_deviation_us(votes: &[Vote], drift: f64) -> i64 {
    let gaps_us = sorted_gaps_us(votes, drift);
    let median_us = gaps_us[gaps_us.len() / 2];
    let mut deviations_us: Vec<i64> = gaps_us.iter().map(|gap_us| (gap_us - median_us).abs()).collect();
    deviations_us.sort_unstable();
    deviations_us[deviations_us.len() / 2]
}

/// The largest set of votes whose gaps lie within `width_us`. Of equally large sets, the one with the smallest
/// absolute gap.
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

/// The median slope between votes that are at least a quarter of the duration apart (Theil-Sen estimator), clamped to
/// `MAX_DRIFT`.
fn median_slope(votes: &[Vote]) -> f64 {
    let mut sorted = votes.to_vec();
    sorted.sort_unstable();
    let sampled: Vec<Vote> = sorted.iter().step_by(sorted.len() / MAX_SLOPE_VOTES + 1).copied().collect();
    let duration_us = sampled.last().map_or(0, |last| last.elapsed_us)
        - sampled.first().map_or(0, |first| first.elapsed_us);
    let mut slopes = Vec::new();
    for (index, early) in sampled.iter().enumerate() {
        let distant =
            sampled[index..].iter().filter(|late| late.elapsed_us - early.elapsed_us > duration_us / 4);
        slopes.extend(
            distant.map(|late| {
                (late.gap_us - early.gap_us) as f64 / (late.elapsed_us - early.elapsed_us) as f64
            }),
        );
    }
    slopes.sort_by(f64::total_cmp);
    slopes.get(slopes.len() / 2).copied().unwrap_or(0.0).clamp(-MAX_DRIFT, MAX_DRIFT)
}
