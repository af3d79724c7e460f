//! The acts of lease holders, and the checks of the invariants.

use ochrelead_lease::lease::Permit;
use ochrelead_lease::{MemberId, TaskId};
use rand::RngExt;

use super::world::{Event, World, ranked_candidates};
use super::{Finding, MILLISECOND, Problem};
use crate::mutation::Mutation;
use crate::resource::{Act, ActOutcome};

/// Interval between the acts of a holder.
const ACT_INTERVAL_US: u64 = 100 * MILLISECOND;
/// Upper limit of the additional random delay of a late act.
const MAX_ACT_DELAY_MS: u64 = 8_000;

impl World {
    /// The front's permit to act on a task, by the front's clock, if it holds the lease.
    fn permit(&self, front: u32, task: u64) -> Option<Permit> {
        let engine = self.fronts[front as usize].engine.as_ref()?;
        engine.permit(self.clock(front), TaskId(task))
    }

    /// Records a violation, unless an earlier one is recorded.
    pub(super) fn report(&mut self, problem: Problem) {
        let at_ms = self.now_us / MILLISECOND;
        self.report.finding.get_or_insert(Finding { problem, at_ms });
    }

    /// Updates the record of the leases that a front holds, and checks that no other front holds one of them too.
    /// Runs after each event at the front.
    pub(super) fn check_holder(&mut self, front: u32) {
        for task in 0..self.scenario.tasks {
            let is_holder = self.permit(front, task).is_some();
            let was_holder = self.fronts[front as usize].leases.contains_key(&task);
            if is_holder && !was_holder {
                self.on_lease_begun(front, task);
            }
            if !is_holder && was_holder {
                self.fronts[front as usize].leases.remove(&task);
                self.without_holder_since.insert(task, Some(self.now_us));
            }
            if is_holder {
                let mut others = ranked_candidates(task, self.scenario.fronts).into_iter();
                let other = others.find(|other| *other != front && self.permit(*other, task).is_some());
                if let Some(other) = other {
                    self.report(Problem::ConcurrentHolders { task, fronts: [front, other] });
                }
            }
        }
    }

    /// Counts a new lease, ends the task's time without a holder, and schedules the first act.
    fn on_lease_begun(&mut self, front: u32, task: u64) {
        self.report.leases += 1;
        let lease = self.report.leases;
        let state = &mut self.fronts[front as usize];
        state.leases.insert(task, lease);
        let incarnation = state.incarnation;
        if let Some(Some(since_us)) = self.without_holder_since.insert(task, None) {
            self.report.gaps_ms.push((self.now_us - since_us) / MILLISECOND);
        }
        self.schedule(self.now_us, Event::Act { holder: MemberId { front, incarnation }, task });
    }

    /// A holder acts on its task if its permit is valid and it is not paused, and schedules its next act. The act
    /// may arrive after the permit has expired.
    pub(super) fn act(&mut self, holder: MemberId, task: u64) {
        let front = holder.front;
        let state = &self.fronts[front as usize];
        if state.incarnation != holder.incarnation || state.engine.is_none() {
            return;
        }
        let Some(lease) = state.leases.get(&task).copied() else { return };
        if !state.is_paused
            && let Some(permit) = self.permit(front, task)
        {
            let token = self.proxy.act_token(permit.token);
            self.send_act(Act { member: holder, token, lease }, task, permit);
        }
        self.check_holder(front);
        self.schedule(self.now_us + ACT_INTERVAL_US, Event::Act { holder, task });
    }

    /// Sends an act to its resource. 5 % of the acts are late if the scenario has faults.
    fn send_act(&mut self, act: Act, task: u64, permit: Permit) {
        let mut delay_us = self.rng.random_range(0..=self.conditions.max_delay_us);
        if !self.scenario.without_faults && self.rng.random_bool(0.05) {
            delay_us += self.rng.random_range(0..MAX_ACT_DELAY_MS) * MILLISECOND;
        }
        self.schedule(self.now_us + delay_us, Event::ActArrives { act, task });
        let releases = self.scenario.mutation == Some(Mutation::ActsAfterRelease);
        if releases && self.rng.random_bool(0.05) {
            let front = act.member.front;
            let now = self.clock(front);
            if let Some(engine) = &mut self.fronts[front as usize].engine {
                engine.leave(now);
            }
            // The mutation: an act arrives at the end of the permit, although the lease is already released.
            let remaining_us = permit.expires_at.since(now).micros();
            self.schedule(self.now_us + remaining_us, Event::ActArrives { act, task });
        }
    }

    /// An act arrives at its resource. A holder whose act is refused learns the highest token, unless it was
    /// restarted or is paused.
    pub(super) fn act_arrives(&mut self, act: Act, task: u64) {
        self.report.acts += 1;
        let acts_after_release = self.scenario.mutation == Some(Mutation::ActsAfterRelease);
        let checks_tokens = self.proxy.checks_tokens() && !acts_after_release;
        match self.resources.entry(task).or_default().act(act, checks_tokens) {
            Err(violation) => self.report(Problem::Resource(violation)),
            Ok(ActOutcome::Accepted) => {}
            Ok(ActOutcome::Refused { highest }) => {
                self.report.refused_acts += 1;
                let (front, now) = (act.member.front, self.clock(act.member.front));
                let state = &mut self.fronts[front as usize];
                if state.incarnation == act.member.incarnation
                    && !state.is_paused
                    && let Some(engine) = &mut state.engine
                {
                    engine.on_fenced(now, TaskId(task), highest);
                    self.process(front, None);
                }
            }
        }
    }
}
