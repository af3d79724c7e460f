//! The segments of each incarnation in which its clock was not set, gathered event by event.

use std::collections::BTreeMap;

use ochrelead_event_log::LINE_REPORT_PREFIX;
use ochrelead_event_log::reader::FrontIncarnation;
use ochrelead_event_log::schema::{Event, event::What};

use super::ClockOffset;

/// A time that is so much before the last of its incarnation is a clock set back.
const MIN_STEP_BACK_US: u64 = 250_000;
/// A front writes each second: so much later than the last event, with none missing, and it was suspended or its clock
/// was set ahead.
const MIN_STEP_AHEAD_US: u64 = 3_000_000;
/// The shared events of a segment that are kept before those on lines are thinned out, and how far that goes.
const MAX_SHARED_EVENTS: usize = 4_096;
const MAX_LINE_DIVISOR: u64 = 1 << 20;
/// After so many more events on lines it is worth estimating the offsets again.
const LINE_EVENTS_PER_ESTIMATE: usize = 32;

/// An event that other fronts may have seen too.
#[derive(Clone, Debug)]
pub(super) struct SharedEvent {
    pub(super) name: String,
    /// Its time on the front's own clock, in microseconds.
    pub(super) time_us: i64,
}

impl SharedEvent {
    fn of(event: &Event) -> Option<SharedEvent> {
        let name = match &event.what {
            Some(What::Told(told)) => format!("{} {}", told.server, told.what),
            Some(What::Fleet(fleet)) if fleet.generation > 0 => format!("fleet {}", fleet.generation),
            _ => return None,
        };
        Some(SharedEvent { name, time_us: event.at_us as i64 })
    }

    /// The number of free lines that it reports.
    fn free_lines(&self) -> Option<u64> {
        let (_, figures) = self.name.split_once(LINE_REPORT_PREFIX)?;
        figures.split('/').next()?.parse().ok()
    }

    /// Whether it is kept where only line counts that are multiples of this are.
    fn is_kept(&self, line_divisor: u64) -> bool {
        self.free_lines().is_none_or(|free| free % line_divisor == 0)
    }
}

/// A part of an incarnation in which its clock was not set.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    first_sequence: u64,
    first_time_us: u64,
    /// From the last event before it to its first, on the front's own clock, in microseconds.
    pub(super) step_us: i64,
    pub(super) shared_events: Vec<SharedEvent>,
    /// Of events on lines only those are kept whose free lines are a multiple of this.
    line_divisor: u64,
    pub(super) offset: Option<ClockOffset>,
}

impl Segment {
    fn starting_with(event: &Event, step_us: i64) -> Segment {
        Segment {
            first_sequence: event.nth,
            first_time_us: event.at_us,
            step_us,
            shared_events: Vec::new(),
            line_divisor: 1,
            offset: None,
        }
    }

    pub(super) fn first_time_us(&self) -> i64 {
        self.first_time_us as i64
    }

    /// Adds an event. They are thinned out by their contents, so that each incarnation keeps the same ones.
    fn add(&mut self, event: SharedEvent) {
        if event.is_kept(self.line_divisor) {
            self.shared_events.push(event);
        }
        while self.shared_events.len() > MAX_SHARED_EVENTS && self.line_divisor < MAX_LINE_DIVISOR {
            self.line_divisor *= 2;
            let line_divisor = self.line_divisor;
            self.shared_events.retain(|event| event.is_kept(line_divisor));
        }
    }
}

/// The segments of one incarnation.
#[derive(Clone, Debug)]
pub(super) struct IncarnationSegments {
    last_sequence: u64,
    last_time_us: u64,
    pub(super) segments: Vec<Segment>,
}

impl IncarnationSegments {
    fn starting_with(event: &Event) -> IncarnationSegments {
        IncarnationSegments {
            last_sequence: event.nth,
            last_time_us: event.at_us,
            segments: vec![Segment::starting_with(event, 0)],
        }
    }

    /// Begins a segment where the clock was set before this event; whether it was.
    fn split_at_step(&mut self, event: &Event) -> bool {
        let was_suspended = matches!(event.what, Some(What::PausedUs(_)));
        let is_next = event.nth == self.last_sequence + 1;
        let is_ahead = event.at_us > self.last_time_us + MIN_STEP_AHEAD_US && is_next && !was_suspended;
        let was_set = event.at_us + MIN_STEP_BACK_US < self.last_time_us || is_ahead;
        if was_set {
            let step_us = event.at_us as i64 - self.last_time_us as i64;
            self.segments.push(Segment::starting_with(event, step_us));
        }
        (self.last_sequence, self.last_time_us) = (event.nth, event.at_us);
        was_set
    }

    pub(super) fn initial_offset(&self) -> Option<ClockOffset> {
        self.segments.first()?.offset
    }

    pub(super) fn step_count(&self) -> usize {
        self.segments.len() - 1
    }

    pub(super) fn common_time_us(&self, event: &Event) -> u64 {
        let behind = self.segments.partition_point(|segment| segment.first_sequence <= event.nth);
        let Some(segment) = self.segments.get(behind.saturating_sub(1)) else { return event.at_us };
        let elapsed_us = event.at_us as i64 - segment.first_time_us();
        event.at_us.saturating_add_signed(segment.offset.unwrap_or(ClockOffset::UNKNOWN).after(elapsed_us))
    }
}

/// What relates clocks to each other, gathered event by event, each incarnation's in its order. Grows with what servers
/// report of themselves, not with the sessions.
#[derive(Clone, Debug, Default)]
pub struct ClockEstimator {
    pub(super) incarnations: BTreeMap<FrontIncarnation, IncarnationSegments>,
}

impl ClockEstimator {
    /// Adds an event; whether the offsets may be known better with it.
    pub fn handle_event(&mut self, incarnation: &FrontIncarnation, event: &Event) -> bool {
        if !self.incarnations.contains_key(incarnation) {
            self.incarnations.insert(incarnation.clone(), IncarnationSegments::starting_with(event));
        }
        let Some(segments) = self.incarnations.get_mut(incarnation) else { return false };
        let was_set = segments.split_at_step(event);
        let Some(shared) = SharedEvent::of(event) else { return was_set };
        let Some(segment) = segments.segments.last_mut() else { return true };
        let is_on_lines = shared.free_lines().is_some();
        segment.add(shared);
        !is_on_lines || segment.shared_events.len() % LINE_EVENTS_PER_ESTIMATE == 0
    }
}
