//! All fronts' records in one order.
//!
//! A life's events keep their own order, whatever its clock says; lives of one front follow one another; between
//! fronts the common clock decides. Only the next event of each front is held.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use ochrelead_core::time::Moment;
use ochrelead_diagnosis::clocks::Clocks;
use ochrelead_event_log::reader::{Damage, Log, Record};

/// One front's lives, the first of them under way.
struct Course {
    lives: VecDeque<Log>,
    /// No event of it is before this.
    reached: Moment,
    next: Option<Record>,
}

impl Course {
    fn pull(&mut self, damage: &mut Damage) -> Option<Record> {
        loop {
            let log = self.lives.front_mut()?;
            if let Some(record) = log.next() {
                return Some(record);
            }
            damage.merge(log.damage());
            self.lives.pop_front();
        }
    }
}

/// Records on the common clock, in its order.
pub struct Merged<'a> {
    clocks: &'a Clocks,
    courses: Vec<Course>,
    heap: BinaryHeap<Reverse<(Moment, usize)>>,
    damage: Damage,
}

impl<'a> Merged<'a> {
    pub fn new(logs: Vec<Log>, clocks: &'a Clocks) -> Merged<'a> {
        let mut fronts: BTreeMap<String, VecDeque<Log>> = BTreeMap::new();
        for log in logs {
            fronts.entry(log.incarnation.front.clone()).or_default().push_back(log);
        }
        let mut merged =
            Merged { clocks, courses: Vec::new(), heap: BinaryHeap::new(), damage: Damage::default() };
        for mut lives in fronts.into_values() {
            // By the common clock: a front whose clock was set back between two lives names them the wrong way.
            let started =
                |log: &Log| log.incarnation.started_us.saturating_add_signed(clocks.of(&log.incarnation).add);
            lives.make_contiguous().sort_by_key(started);
            merged.courses.push(Course { lives, reached: Moment::START, next: None });
            merged.refill(merged.courses.len() - 1);
        }
        merged
    }

    fn refill(&mut self, at: usize) {
        let course = &mut self.courses[at];
        course.next = course.pull(&mut self.damage);
        if let Some(record) = &course.next {
            let own = Moment::from_micros(self.clocks.common(&record.incarnation, &record.event));
            course.reached = course.reached.max(own);
            self.heap.push(Reverse((course.reached, at)));
        }
    }

    /// What could not be read, of what was read.
    pub fn damage(&self) -> &Damage {
        &self.damage
    }
}

impl Iterator for Merged<'_> {
    type Item = (Moment, Record);

    fn next(&mut self) -> Option<(Moment, Record)> {
        let Reverse((at, course)) = self.heap.pop()?;
        let record = self.courses[course].next.take()?;
        self.refill(course);
        Some((at, record))
    }
}
