//! Clock synchronization: converts event times of all fronts to a common clock.
//!
//! The clocks of the fronts disagree. Shared events, which all fronts record at nearly the same time (a server's
//! announcement of a restart, the adoption of an endpoint list), relate them: the difference between two fronts'
//! times of a shared event is the offset between their clocks, plus or minus the propagation delay of the event. If
//! records are missing, it is not certain which event of one front corresponds to which event of another. Therefore
//! each pair of events that may correspond is a vote for an offset, and the offset with the most votes is chosen.
//!
//! Within one incarnation of a front, a clock may run fast or slow and may be stepped (set to another time). An
//! incarnation is split into segments at each step: a step back shows in its event order, a step ahead is a large gap
//! without a missing event. The offset of each segment comes from its own shared events or from the previous segment.
//!
//! - `segments`: splits the events of each incarnation into segments.
//! - `estimation`: estimates the offsets of all segments.
//! - `shared_events`: the times of shared events on the common clock.
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

/// The longest time between the first and the last front receiving an announcement, in microseconds: the sender
/// retransmits a datagram twice.
const MAX_DELAY_US: i64 = 1_600_000;

/// The offset between the clock of one incarnation, or one segment of it, and the common clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockOffset {
    /// The offset at the segment's first event, in microseconds. Common time = front's time + offset.
    pub offset_us: i64,
    /// The change of the offset per microsecond of the front's clock: negative for a clock that runs fast.
    pub drift: f64,
    /// The bound on the error of the offset; `None` if no shared event relates this clock to others and its times are
    /// used uncorrected.
    pub error_bound: Option<Span>,
}

impl ClockOffset {
    /// The offset of a clock whose times are used uncorrected.
    const UNKNOWN: ClockOffset = ClockOffset { offset_us: 0, drift: 0.0, error_bound: None };

    /// The offset `elapsed_us` microseconds after the segment's first event.
    fn after(&self, elapsed_us: i64) -> i64 {
        self.offset_us + (self.drift * elapsed_us as f64) as i64
    }
}

/// The clock offsets of all incarnations.
#[derive(Clone, Debug, Default)]
pub struct Clocks {
    incarnations: BTreeMap<FrontIncarnation, IncarnationSegments>,
    unrelated: Vec<FrontIncarnation>,
}

impl Clocks {
    /// Estimates the offsets from records. The records of each incarnation must come in the order of its log.
    pub fn from_records<'a>(records: impl Iterator<Item = &'a Record>) -> Clocks {
        let mut estimator = ClockEstimator::default();
        for record in records {
            estimator.handle_event(&record.incarnation, &record.event);
        }
        estimator.estimate()
    }

    /// The offset at the first event of an incarnation.
    pub fn initial_offset(&self, incarnation: &FrontIncarnation) -> ClockOffset {
        let segments = self.incarnations.get(incarnation);
        segments.and_then(IncarnationSegments::initial_offset).unwrap_or(ClockOffset::UNKNOWN)
    }

    /// The number of clock steps within an incarnation.
    pub fn step_count(&self, incarnation: &FrontIncarnation) -> usize {
        self.incarnations.get(incarnation).map_or(0, IncarnationSegments::step_count)
    }

    /// Converts an event's time to the common clock, in microseconds.
    pub fn common_time_us(&self, incarnation: &FrontIncarnation, event: &Event) -> u64 {
        let segments = self.incarnations.get(incarnation);
        segments.map_or(event.at_us, |segments| segments.common_time_us(event))
    }

    /// For each group of incarnations that shares no event with any other group, its reference incarnation. Empty if
    /// all are in one group.
    pub fn unrelated(&self) -> &[FrontIncarnation] {
        &self.unrelated
    }
}
