//! Merges the logs of all fronts into one ordered stream of records.
//!
//! Events of one incarnation keep the order of its log, even if its clock was set back. Incarnations of one front
//! follow one another. Events of different fronts are ordered by the common clock. Only the next event of each front
//! is held in memory.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use ochrelead_core::time::Moment;
use ochrelead_diagnosis::clocks::Clocks;
use ochrelead_event_log::reader::{Damage, Log, Record};

/// The remaining logs of one front, in the order of its incarnations. The first one is being read.
struct FrontLogs {
    logs: VecDeque<Log>,
    /// The time of the latest event read. Later events with an earlier time are moved up to it.
    latest: Moment,
    /// The next event, read ahead.
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

/// Iterates over the records of all fronts with their times on the common clock, in the order of time.
pub struct MergedLog<'a> {
    clocks: &'a Clocks,
    fronts: Vec<FrontLogs>,
    /// The time of each front's next event, with the front's index.
    queue: BinaryHeap<Reverse<(Moment, usize)>>,
    damage: Damage,
}

impl<'a> MergedLog<'a> {
    /// Merges `logs`; `clocks` convert event times to the common clock.
    pub fn new(logs: Vec<Log>, clocks: &'a Clocks) -> MergedLog<'a> {
        let mut by_front: BTreeMap<String, VecDeque<Log>> = BTreeMap::new();
        for log in logs {
            by_front.entry(log.incarnation.front.clone()).or_default().push_back(log);
        }
        let mut merged =
            MergedLog { clocks, fronts: Vec::new(), queue: BinaryHeap::new(), damage: Damage::default() };
        for mut logs in by_front.into_values() {
            // Sort by the common clock: by the front's own clock, two incarnations appear in the wrong order if the
            // clock was set back between their starts.
            let started_us = |log: &Log| {
                log.incarnation
                    .started_us
                    .saturating_add_signed(clocks.initial_offset(&log.incarnation).offset_us)
            };
            logs.make_contiguous().sort_by_key(started_us);
            merged.fronts.push(FrontLogs { logs, latest: Moment::START, next: None });
            merged.refill(merged.fronts.len() - 1);
        }
        merged
    }

    /// The damage found in the logs that have been read completely.
    pub fn damage(&self) -> &Damage {
        &self.damage
    }

    /// Reads the next event of a front and queues it.
    fn refill(&mut self, index: usize) {
        let front = &mut self.fronts[index];
        front.next = front.read_next(&mut self.damage);
        if let Some(record) = &front.next {
            let time = Moment::from_micros(self.clocks.common_time_us(&record.incarnation, &record.event));
            front.latest = front.latest.max(time);
            self.queue.push(Reverse((front.latest, index)));
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
