//! The faults that a seed draws, and when they happen.

use rand::RngExt;

use super::network::Partition;
use super::world::{Event, World, ranked_candidates};
use super::{MILLISECOND, SECOND};
use crate::mutation::Mutation;

/// How often a front that crashes in a loop is started.
const CRASHES_IN_LOOP: u64 = 8;
/// How often clocks are set back, where that is the mutation.
const CLOCK_SET_BACKS: u32 = 20;

/// When a fault begins, and how long it lasts, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Period {
    starts_us: u64,
    length_us: u64,
}

impl Period {
    fn ends_us(&self) -> u64 {
        self.starts_us + self.length_us
    }
}

impl World {
    /// Schedules all faults of the scenario.
    pub(super) fn schedule_faults(&mut self) {
        let end_us = self.scenario.duration_secs * SECOND;
        for _ in 0..self.rng.random_range(4..24) {
            let starts_us = self.rng.random_range(0..end_us);
            let length_us = self.rng.random_range(10..12_000) * MILLISECOND;
            let front = self.draw_front();
            self.schedule_fault(front, Period { starts_us, length_us });
        }
        if self.scenario.mutation == Some(Mutation::ClockSetBack) {
            for _ in 0..CLOCK_SET_BACKS {
                let (at_us, front) = (self.rng.random_range(0..end_us), self.draw_front());
                self.schedule(at_us, Event::SetClockBack(front));
            }
        }
    }

    /// A front that is worth a fault: mostly a voter or a candidate.
    fn draw_front(&mut self) -> u32 {
        let mut likely: Vec<u32> = self.electorate.voters().into_iter().collect();
        for task in 0..self.scenario.tasks {
            likely.extend(ranked_candidates(task, self.scenario.fronts));
        }
        likely[self.rng.random_range(0..likely.len())]
    }

    fn schedule_fault(&mut self, front: u32, period: Period) {
        let starts_us = period.starts_us;
        match self.rng.random_range(0..11) {
            10 => self.schedule_crash_loop(front, period),
            0 | 1 => {
                self.schedule(starts_us, Event::Crash(front));
                self.schedule(starts_us + period.length_us / 4, Event::Start(front));
            }
            2 | 3 => {
                self.schedule(starts_us, Event::Pause(front));
                self.schedule(period.ends_us(), Event::Resume(front));
            }
            4 => self.schedule_rolling_voter_restart(period),
            5 => self.schedule_mass_restart(starts_us),
            6 | 7 => {
                let both_ways = self.rng.random_bool(0.5);
                let is_on_side = (0..self.scenario.fronts).map(|_| self.rng.random_bool(0.5)).collect();
                self.schedule_partition(Partition::Sides { is_on_side, both_ways }, period);
            }
            8 => {
                let (hears, is_heard) = (self.rng.random_bool(0.5), self.rng.random_bool(0.3));
                self.schedule_partition(Partition::Front { front, hears, is_heard }, period);
            }
            _ => self.schedule(starts_us, Event::Leave(front)),
        }
    }

    /// A front that is started again and again, and crashes soon after.
    fn schedule_crash_loop(&mut self, front: u32, period: Period) {
        for index in 0..CRASHES_IN_LOOP {
            let at_us = period.starts_us + index * period.length_us / CRASHES_IN_LOOP;
            self.schedule(at_us, Event::Crash(front));
            self.schedule(at_us + 20 * MILLISECOND, Event::Start(front));
        }
    }

    /// Voters restart one after the other, faster than any of them abstains.
    fn schedule_rolling_voter_restart(&mut self, period: Period) {
        for (index, voter) in (0..).zip(self.electorate.voters()) {
            let at_us = period.starts_us + index * period.length_us / 10;
            self.schedule(at_us, Event::Crash(voter));
            self.schedule(at_us + 50 * MILLISECOND, Event::Start(voter));
        }
    }

    /// Seven fronts in ten restart at once.
    fn schedule_mass_restart(&mut self, at_us: u64) {
        for front in 0..self.scenario.fronts {
            if self.rng.random_bool(0.7) {
                self.schedule(at_us, Event::Crash(front));
                let down_us = self.rng.random_range(100..3_000) * MILLISECOND;
                self.schedule(at_us + down_us, Event::Start(front));
            }
        }
    }

    fn schedule_partition(&mut self, partition: Partition, period: Period) {
        self.partitions.push(partition);
        let index = self.partitions.len() - 1;
        self.schedule(period.starts_us, Event::Partition(index));
        self.schedule(period.ends_us(), Event::Heal);
    }
}
