//! Applies a fault to the front that holds a lease, and measures the time until a front holds it again.

use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};

use super::world::{World, moment};
use super::{Fault, MILLISECOND, SECOND};

/// The simulation waits at most this long for a holder; also the down time in [`Fault::MajorityReturns`].
const MAX_WAIT_US: u64 = 60 * SECOND;
/// Number of voters that are a majority of [`DEFAULT_SIZE`].
const MAJORITY: usize = 3;

impl World {
    /// The front that holds the lease of the first server.
    fn holder(&self) -> Option<u32> {
        let fronts = (0..).zip(&self.fronts);
        fronts.into_iter().find(|(_, front)| front.holds_first_lease(self.now_us)).map(|(number, _)| number)
    }

    /// Applies the fault to the holder, and waits for the next holder of the lease of the first server. The same front
    /// counts as the next holder if the fault restarts it. Returns the time without a holder, in milliseconds.
    pub(super) fn measure_gap_after(&mut self, fault: Fault) -> Option<u64> {
        self.run_until(self.now_us + MAX_WAIT_US, |world| world.holder().is_some());
        let holder = self.holder()?;
        let gap_start_us = self.apply_fault(fault, holder);
        let holder_restarts = matches!(fault, Fault::MajorityReturns | Fault::VotersRestart);
        self.run_until(self.now_us + MAX_WAIT_US, |world| {
            world.holder().is_some_and(|next| next != holder || holder_restarts)
        });
        self.holder().map(|_| (self.now_us - gap_start_us) / MILLISECOND)
    }

    /// Applies the fault. Returns the virtual time from which the gap counts, in microseconds.
    fn apply_fault(&mut self, fault: Fault, holder: u32) -> u64 {
        let voters = Electorate::evenly_spaced(1, self.scenario.fronts, DEFAULT_SIZE).voters();
        let gap_start_us = self.now_us;
        match fault {
            Fault::HolderKilled => self.fronts[holder as usize].kill(),
            Fault::HolderPaused => self.fronts[holder as usize].is_paused = true,
            Fault::HolderLeaves => {
                let now = moment(self.now_us);
                if let Some(coordination) = &mut self.fronts[holder as usize].coordination {
                    coordination.leave(now);
                }
                self.process(holder);
            }
            Fault::VotersRestart => {
                voters.into_iter().chain([holder]).for_each(|front| self.start(front));
            }
            Fault::MajorityReturns => {
                let others = voters.into_iter().filter(|voter| *voter != holder).take(MAJORITY);
                let down: Vec<u32> = others.chain([holder]).collect();
                down.iter().for_each(|front| self.fronts[*front as usize].kill());
                self.run_until(self.now_us + MAX_WAIT_US, |_| false);
                down.iter().for_each(|front| self.start(*front));
                return self.now_us;
            }
        }
        gap_start_us
    }
}
