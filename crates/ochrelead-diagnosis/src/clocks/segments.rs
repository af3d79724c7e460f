//! Splits the events of each incarnation into segments within which its clock was not stepped.

use std::collections::BTreeMap;

use ochrelead_event_log::LINE_REPORT_PREFIX;
use ochrelead_event_log::reader::FrontIncarnation;
use ochrelead_event_log::schema::{Event, event::What};

use super::ClockOffset;

/// An event time this far before the previous one of the incarnation means that the clock was set back.
const MIN_STEP_BACK_US: u64 = 250_000;
/// An event time this far after the previous one, with no event missing in between, means that the clock was set
/// ahead or the front was suspended: a running front writes a record each second.
const MIN_STEP_AHEAD_US: u64 = 3_000_000;
/// Above this number of shared events in a segment, line reports are sampled.
const MAX_SHARED_EVENTS: usize = 4_096;
/// The sampling keeps at least one in this many line counts.
const MAX_LINE_DIVISOR: u64 = 1 << 20;
/// The number of further line reports after which a new estimate of the offsets is worthwhile.
const LINE_REPORTS_PER_ESTIMATE: usize = 32;

/// An event that other fronts may have recorded as well.
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

    /// The number of free lines, if this is a server's line report.
    fn free_lines(&self) -> Option<u64> {
        let (_, figures) = self.name.split_once(LINE_REPORT_PREFIX)?;
        figures.split('/').next()?.parse().ok()
    }

    /// Whether the event is kept when line reports are sampled to multiples of `line_divisor` free lines.
    fn is_kept(&self, line_divisor: u64) -> bool {
        self.free_lines().is_none_or(|free| free % line_divisor == 0)
    }
}

/// A part of an incarnation within which its clock was not stepped.
#[derive(Clone, Debug)]
pub(super) struct Segment {
    first_sequence: u64,
    first_time_us: u64,
    /// The time from the last event of the previous segment to the first of this one, on the front's clock, in
    /// microseconds.
    pub(super) step_us: i64,
    pub(super) shared_events: Vec<SharedEvent>,
    /// Line reports are kept only if their number of free lines is a multiple of this.
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

    /// Adds an event. Line reports are sampled by their content, so that all incarnations keep the same ones.
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

    /// Starts a new segment if the clock was stepped before this event. Returns whether it was.
    fn split_at_step(&mut self, event: &Event) -> bool {
        let was_suspended = matches!(event.what, Some(What::PausedUs(_)));
        let is_next = event.nth == self.last_sequence + 1;
        let is_ahead = event.at_us > self.last_time_us + MIN_STEP_AHEAD_US && is_next && !was_suspended;
        let was_stepped = event.at_us + MIN_STEP_BACK_US < self.last_time_us || is_ahead;
        if was_stepped {
            let step_us = event.at_us as i64 - self.last_time_us as i64;
            self.segments.push(Segment::starting_with(event, step_us));
        }
        (self.last_sequence, self.last_time_us) = (event.nth, event.at_us);
        was_stepped
    }

    pub(super) fn initial_offset(&self) -> Option<ClockOffset> {
        self.segments.first()?.offset
    }

    pub(super) fn step_count(&self) -> usize {
        self.segments.len() - 1
    }

    pub(super) fn common_time_us(&self, event: &Event) -> u64 {
        let started = self.segments.partition_point(|segment| segment.first_sequence <= event.nth);
        let Some(segment) = self.segments.get(started.saturating_sub(1)) else { return event.at_us };
        let elapsed_us = event.at_us as i64 - segment.first_time_us();
        event.at_us.saturating_add_signed(segment.offset.unwrap_or(ClockOffset::UNKNOWN).after(elapsed_us))
    }
}

/// Collects the shared events that relate clocks to each other. Expects the events of each incarnation in the order
/// of its log. Its memory grows with the number of server announcements, not with the number of sessions.
#[derive(Clone, Debug, Default)]
pub struct ClockEstimator {
    pub(super) incarnations: BTreeMap<FrontIncarnation, IncarnationSegments>,
}

impl ClockEstimator {
    /// Adds an event. Returns whether a new estimate may be more accurate.
    pub fn handle_event(&mut self, incarnation: &FrontIncarnation, event: &Event) -> bool {
        if !self.incarnations.contains_key(incarnation) {
            self.incarnations.insert(incarnation.clone(), IncarnationSegments::starting_with(event));
        }
        let Some(segments) = self.incarnations.get_mut(incarnation) else { return false };
        let was_stepped = segments.split_at_step(event);
        let Some(shared) = SharedEvent::of(event) else { return was_stepped };
        let Some(segment) = segments.segments.last_mut() else { return true };
        let is_line_report = shared.free_lines().is_some();
        segment.add(shared);
        !is_line_report || segment.shared_events.len() % LINE_REPORTS_PER_ESTIMATE == 0
    }
}
