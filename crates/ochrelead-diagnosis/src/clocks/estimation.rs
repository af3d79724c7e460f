//! Estimates the clock offsets of all segments, starting from a reference segment.

use std::cmp::Reverse;

use ochrelead_core::time::Span;
use ochrelead_event_log::reader::FrontIncarnation;

use super::segments::{ClockEstimator, Segment};
use super::shared_events::SharedEventTimes;
use super::votes::estimate_offset;
use super::{ClockOffset, Clocks, MAX_DELAY_US};

/// The longest interval between two records of a running front.
const RECORD_INTERVAL: Span = Span::from_secs(1);

/// Identifies a segment of an incarnation.
#[derive(Clone, Debug)]
struct SegmentId {
    incarnation: FrontIncarnation,
    index: usize,
}

impl ClockEstimator {
    /// Estimates all offsets. The reference, whose clock is used uncorrected, is the segment with the most shared
    /// events. A segment that shares no event with the reference is related through other segments if possible;
    /// otherwise it becomes the reference of another group.
    pub fn estimate(mut self) -> Clocks {
        let mut open = self.segments_by_shared_events();
        let mut unrelated = Vec::new();
        while !open.is_empty() {
            // No open segment is related to an earlier group: start a new group. Prefer the first segment of an
            // incarnation as the reference, since the offsets of its later segments derive from it.
            let root = open.iter().position(|segment| segment.index == 0).unwrap_or(0);
            let reference = open.remove(root);
            let mut common = SharedEventTimes::default();
            self.set_offset(&reference, ClockOffset::UNKNOWN, &mut common);
            self.relate_all(&mut open, &mut common);
            unrelated.push(reference.incarnation);
        }
        // With a single group, all incarnations are related.
        if unrelated.len() == 1 {
            unrelated.clear();
        }
        Clocks { incarnations: self.incarnations, unrelated }
    }

    /// All segments, by descending number of shared events.
    fn segments_by_shared_events(&self) -> Vec<SegmentId> {
        let mut segments: Vec<(Reverse<usize>, SegmentId)> = Vec::new();
        for (incarnation, known) in &self.incarnations {
            segments.extend(known.segments.iter().enumerate().map(|(index, segment)| {
                (Reverse(segment.shared_events.len()), SegmentId { incarnation: incarnation.clone(), index })
            }));
        }
        // A stable sort: ties keep the order of incarnations and of their segments.
        segments.sort_by_key(|(count, _)| *count);
        segments.into_iter().map(|(_, segment)| segment).collect()
    }

    fn segment(&self, id: &SegmentId) -> Option<&Segment> {
        self.incarnations.get(&id.incarnation)?.segments.get(id.index)
    }

    fn set_offset(&mut self, id: &SegmentId, offset: ClockOffset, common: &mut SharedEventTimes) {
        let incarnation = self.incarnations.get_mut(&id.incarnation);
        let Some(segment) = incarnation.and_then(|incarnation| incarnation.segments.get_mut(id.index)) else {
            return;
        };
        segment.offset = Some(offset);
        let first_us = segment.first_time_us();
        for event in &segment.shared_events {
            common.add(&event.name, event.time_us + offset.after(event.time_us - first_us));
        }
    }

    /// Sets the offset of each open segment that shares an event with a related one. Repeats until a pass relates
    /// none.
    fn relate_all(&mut self, open: &mut Vec<SegmentId>, common: &mut SharedEventTimes) {
        loop {
            let open_before = open.len();
            for segment in std::mem::take(open) {
                match self.offset_of(&segment, common) {
                    Some(offset) => self.set_offset(&segment, offset, common),
                    None => open.push(segment),
                }
            }
            if open.len() == open_before {
                return;
            }
        }
    }

    /// Estimates the offset of a segment from its shared events (by vote), or carries it over from the previous
    /// segment.
    fn offset_of(&self, id: &SegmentId, common: &SharedEventTimes) -> Option<ClockOffset> {
        let segment = self.segment(id)?;
        let voted = estimate_offset(segment, common);
        let Some(index) = id.index.checked_sub(1) else { return voted };
        let before = self.segment(&SegmentId { incarnation: id.incarnation.clone(), index })?;
        let offset = before.offset?;
        let elapsed_us = segment.first_time_us() - segment.step_us - before.first_time_us();
        let offset_us = offset.after(elapsed_us);
        let drift = offset.drift;
        let error_bound = offset.error_bound.map(|bound| bound + RECORD_INTERVAL);
        if segment.step_us < 0 {
            // The clock was set back. A front writes a record each second, so less than a second passed during the
            // step.
            let carried = ClockOffset {
                offset_us: offset_us - segment.step_us,
                drift,
                error_bound: error_bound.or(Some(RECORD_INTERVAL)),
            };
            return Some(voted.filter(|voted| voted.error_bound < carried.error_bound).unwrap_or(carried));
        }
        // The times jump ahead. Unless the shared events show a step, assume that this time really passed.
        let carried = ClockOffset { offset_us, drift, error_bound };
        let differs = |voted: &ClockOffset| voted.offset_us.abs_diff(offset_us) > MAX_DELAY_US as u64;
        Some(voted.filter(differs).unwrap_or(carried))
    }
}
