//! Draws the faults of a run from its seed, and schedules them.

use rand::RngExt;

use super::network::Partition;
use super::world::{Event, World, ranked_candidates};
use super::{MILLISECOND, SECOND};
use crate::mutation::Mutation;

/// Number of crashes in a crash loop.
const CRASHES_IN_LOOP: u64 = 8;
/// Number of times that a clock is set back in a run with [`Mutation::ClockSetBack`].
const CLOCK_SET_BACKS: u32 = 20;

/// Start and duration of a fault, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Period {
    start_us: u64,
    duration_us: u64,
}

impl Period {
    fn end_us(&self) -> u64 {
        self.start_us + self.duration_us
    }
}

impl World {
    /// Schedules all faults of the scenario.
    pub(super) fn schedule_faults(&mut self) {
        let end_us = self.scenario.duration_secs * SECOND;
        for _ in 0..self.rng.random_range(4..24) {
            let start_us = self.rng.random_range(0..end_us);
            let duration_us = self.rng.random_range(10..12_000) * MILLISECOND;
            let front = self.draw_front();
            self.schedule_fault(front, Period { start_us, duration_us });
        }
        if self.scenario.mutation == Some(Mutation::ClockSetBack) {
            for _ in 0..CLOCK_SET_BACKS {
                let (at_us, front) = (self.rng.random_range(0..end_us), self.draw_front());
                self.schedule(at_us, Event::SetClockBack(front));
            }
        }
    }

    /// Draws a voter or a candidate for a task; other fronts have no part in any lease. A front that has several of
    /// these roles is drawn more often.
    fn draw_front(&mut self) -> u32 {
        let mut likely: Vec<u32> = self.electorate.voters().into_iter().collect();
        for task in 0..self.scenario.tasks {
            likely.extend(ranked_candidates(task, self.scenario.fronts));
        }
        likely[self.rng.random_range(0..likely.len())]
    }

    /// Draws a kind of fault and schedules its events.
    fn schedule_fault(&mut self, front: u32, period: Period) {
        let start_us = period.start_us;
        match self.rng.random_range(0..11) {
            10 => self.schedule_crash_loop(front, period),
            0 | 1 => {
                self.schedule(start_us, Event::Crash(front));
                self.schedule(start_us + period.duration_us / 4, Event::Start(front));
            }
            2 | 3 => {
                self.schedule(start_us, Event::Pause(front));
                self.schedule(period.end_us(), Event::Resume(front));
            }
            4 => self.schedule_rolling_voter_restart(period),
            5 => self.schedule_mass_restart(start_us),
            6 | 7 => {
                let both_ways = self.rng.random_bool(0.5);
                let is_on_first_side = (0..self.scenario.fronts).map(|_| self.rng.random_bool(0.5)).collect();
                self.schedule_partition(Partition::Sides { is_on_first_side, both_ways }, period);
            }
            8 => {
                let (can_receive, can_send) = (self.rng.random_bool(0.5), self.rng.random_bool(0.3));
                self.schedule_partition(Partition::Front { front, can_receive, can_send }, period);
            }
            _ => self.schedule(start_us, Event::Leave(front)),
        }
    }

    /// Schedules a crash loop: the front crashes at regular intervals, and is started 20 ms after each crash.
    fn schedule_crash_loop(&mut self, front: u32, period: Period) {
        for index in 0..CRASHES_IN_LOOP {
            let at_us = period.start_us + index * period.duration_us / CRASHES_IN_LOOP;
            self.schedule(at_us, Event::Crash(front));
            self.schedule(at_us + 20 * MILLISECOND, Event::Start(front));
        }
    }

    /// Schedules restarts of all voters one after the other, at intervals shorter than the time for which a
    /// restarted voter abstains.
    fn schedule_rolling_voter_restart(&mut self, period: Period) {
        for (index, voter) in (0..).zip(self.electorate.voters()) {
            let at_us = period.start_us + index * period.duration_us / 10;
            self.schedule(at_us, Event::Crash(voter));
            self.schedule(at_us + 50 * MILLISECOND, Event::Start(voter));
        }
    }

    /// Schedules a crash of about 70 % of the fronts at the same time; each starts again after a random time.
    fn schedule_mass_restart(&mut self, at_us: u64) {
        for front in 0..self.scenario.fronts {
            if self.rng.random_bool(0.7) {
                self.schedule(at_us, Event::Crash(front));
                let down_us = self.rng.random_range(100..3_000) * MILLISECOND;
                self.schedule(at_us + down_us, Event::Start(front));
            }
        }
    }

    /// Schedules a partition and its end. Only one partition is in force at a time: a new one replaces the former,
    /// and the end of any partition restores all links.
    fn schedule_partition(&mut self, partition: Partition, period: Period) {
        self.partitions.push(partition);
        let index = self.partitions.len() - 1;
        self.schedule(period.start_us, Event::Partition(index));
        self.schedule(period.end_us(), Event::Heal);
    }
}
