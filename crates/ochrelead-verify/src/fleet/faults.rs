//! What happens to the front that holds a lease, and how soon it is followed.

use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};

use super::world::{World, moment};
use super::{Fault, MILLISECOND, SECOND};

/// How long a holder is waited for.
const MAX_WAIT_US: u64 = 60 * SECOND;
/// How many voters of five are a majority.
const MAJORITY: usize = 3;

impl World {
    /// The front that may test the first server.
    fn holder(&self) -> Option<u32> {
        let fronts = (0..).zip(&self.fronts);
        fronts
            .into_iter()
            .find(|(_, front)| front.may_test_first_server(self.now_us))
            .map(|(number, _)| number)
    }

    /// Deals the fault, and waits until a front may test the first server. Returns how long that took, in ms.
    pub(super) fn deal_fault(&mut self, fault: Fault) -> Option<u64> {
        self.run_until(self.now_us + MAX_WAIT_US, |world| world.holder().is_some());
        let holder = self.holder()?;
        let began_us = self.apply(fault, holder);
        let may_be_the_same = matches!(fault, Fault::MajorityReturns | Fault::VotersRestart);
        self.run_until(self.now_us + MAX_WAIT_US, |world| {
            world.holder().is_some_and(|next| next != holder || may_be_the_same)
        });
        self.holder().map(|_| (self.now_us - began_us) / MILLISECOND)
    }

    /// Returns when the gap begins.
    fn apply(&mut self, fault: Fault, holder: u32) -> u64 {
        let voters = Electorate::evenly_spaced(1, self.scenario.fronts, DEFAULT_SIZE).voters();
        let began_us = self.now_us;
        match fault {
            Fault::HolderKilled => self.fronts[holder as usize].kill(),
            Fault::HolderPaused => self.fronts[holder as usize].is_paused = true,
            Fault::HolderLeaves => {
                let now = moment(self.now_us);
                if let Some(node) = &mut self.fronts[holder as usize].node {
                    node.leave(now);
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
        began_us
    }
}
