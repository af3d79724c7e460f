//! All fronts' records in one order.
//!
//! An incarnation's events keep their own order, whatever its clock says; incarnations of one front follow one
//! another; between fronts the common clock decides. Only the next event of each front is kept.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use ochrelead_core::time::Moment;
use ochrelead_diagnosis::clocks::Clocks;
use ochrelead_event_log::reader::{Damage, Log, Record};

/// One front's logs, in the order of its incarnations; the first is being read.
struct FrontLogs {
    logs: VecDeque<Log>,
    /// No event that is still to come is before this.
    reached: Moment,
    next: Option<Record>,
}

impl FrontLogs {
    fn read_next(&mut self, damage: &mut Damage) -> Option<Record> {
        loop {
            let log = self.logs.front_mut()?;
            if let Some(record) = log.next() {
                return Some(record);
            }
            damage.merge(log.damage());
            self.logs.pop_front();
        }
    }
}

/// Records with their times on the common clock, in the order of these.
pub struct MergedLog<'a> {
    clocks: &'a Clocks,
    fronts: Vec<FrontLogs>,
    /// The time of each front's next event, with the front's index.
    queue: BinaryHeap<Reverse<(Moment, usize)>>,
    damage: Damage,
}

impl<'a> MergedLog<'a> {
    /// Merges logs by the given clocks.
    pub fn new(logs: Vec<Log>, clocks: &'a Clocks) -> MergedLog<'a> {
        let mut by_front: BTreeMap<String, VecDeque<Log>> = BTreeMap::new();
        for log in logs {
            by_front.entry(log.incarnation.front.clone()).or_default().push_back(log);
        }
        let mut merged =
            MergedLog { clocks, fronts: Vec::new(), queue: BinaryHeap::new(), damage: Damage::default() };
        for mut logs in by_front.into_values() {
            // By the common clock: a front whose clock was set back between two starts numbers them in the wrong order.
            let started = |log: &Log| {
                log.incarnation
                    .started_us
                    .saturating_add_signed(clocks.initial_offset(&log.incarnation).offset_us)
            };
            logs.make_contiguous().sort_by_key(started);
            merged.fronts.push(FrontLogs { logs, reached: Moment::START, next: None });
            merged.refill(merged.fronts.len() - 1);
        }
        merged
    }

    /// What could not be read, of what was read.
    pub fn damage(&self) -> &Damage {
        &self.damage
    }

    /// Reads the next event of a front.
    fn refill(&mut self, index: usize) {
        let front = &mut self.fronts[index];
        front.next = front.read_next(&mut self.damage);
        if let Some(record) = &front.next {
            let time = Moment::from_micros(self.clocks.common_time_us(&record.incarnation, &record.event));
            front.reached = front.reached.max(time);
            self.queue.push(Reverse((front.reached, index)));
        }
    }
}

impl Iterator for MergedLog<'_> {
    type Item = (Moment, Record);

    fn next(&mut self) -> Option<(Moment, Record)> {
        let Reverse((time, index)) = self.queue.pop()?;
        let record = self.fronts[index].next.take()?;
        self.refill(index);
        Some((time, record))
    }
}
