//! One time for all fronts.
//!
//! Fronts' clocks disagree. What all fronts see at nearly one time (a server's announcement of a restart, the adoption of
//! an endpoint list) relates them: the gap between two fronts' times of it is the offset of their clocks, give or take
//! the delay of the announcement. Which event of one front is which of another's is not known where records are missing,
//! so each pair that could be the same is a vote, and the offset with the most votes wins.
//!
//! Within one incarnation a clock may run fast or slow, and may be set. An incarnation is split where its times step:
//! back, which its own order shows, or far ahead with no event missing. Each segment is related on its own, or through
//! the segment before it.
//!
//! - `segments`: the segments of each incarnation, gathered event by event.
//! - `estimation`: the offsets of all segments.
//! - `shared_events`: the events that relate clocks, on the common clock.
//! - `votes`: the offset and drift that most votes agree on.

mod estimation;
mod segments;
mod shared_events;
mod votes;

use std::collections::BTreeMap;

use ochrelead_core::time::Span;
use ochrelead_event_log::reader::{FrontIncarnation, Record};
use ochrelead_event_log::schema::Event;

pub use segments::ClockEstimator;
use segments::IncarnationSegments;

/// The longest delay of one announcement from the first front to the last, in microseconds: two repeats of a datagram.
const MAX_DELAY_US: i64 = 1_600_000;

/// The offset of the clock of one incarnation, or of a segment of it between two steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockOffset {
    /// To be added to the segment's first time, in microseconds.
    pub offset_us: i64,
    /// What is added more with each microsecond of its own: negative for a clock that runs fast.
    pub drift: f64,
    /// How far off this may be; none where nothing relates this clock to the others and it is taken as it is.
    pub error_bound: Option<Span>,
}

impl ClockOffset {
    /// The offset of a clock that is taken as it is.
    const UNKNOWN: ClockOffset = ClockOffset { offset_us: 0, drift: 0.0, error_bound: None };

    /// The offset so many microseconds after the segment's first time.
    fn after(&self, elapsed_us: i64) -> i64 {
        self.offset_us + (self.drift * elapsed_us as f64) as i64
    }
}

/// The offsets of all incarnations.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    incarnations: BTreeMap<FrontIncarnation, IncarnationSegments>,
    unrelated: Vec<FrontIncarnation>,
}

impl Clocks {
    /// From records, those of one incarnation in its order.
    pub fn from_records<'a>(records: impl Iterator<Item = &'a Record>) -> Clocks {
        let mut estimator = ClockEstimator::default();
        for record in records {
            estimator.handle_event(&record.incarnation, &record.event);
        }
        estimator.estimate()
    }

    /// The offset at an incarnation's start.
    pub fn initial_offset(&self, incarnation: &FrontIncarnation) -> ClockOffset {
        let segments = self.incarnations.get(incarnation);
        segments.and_then(IncarnationSegments::initial_offset).unwrap_or(ClockOffset::UNKNOWN)
    }

    /// How often an incarnation's clock was set.
    pub fn step_count(&self, incarnation: &FrontIncarnation) -> usize {
        self.incarnations.get(incarnation).map_or(0, IncarnationSegments::step_count)
    }

    /// An event's time on the common clock, in microseconds.
    pub fn common_time_us(&self, incarnation: &FrontIncarnation, event: &Event) -> u64 {
        let segments = self.incarnations.get(incarnation);
        segments.map_or(event.at_us, |segments| segments.common_time_us(event))
    }

    /// Incarnations whose clock nothing relates to the others'.
    pub fn unrelated(&self) -> &[FrontIncarnation] {
        &self.unrelated
    }
}
