//! A state of the model: the fronts and the messages in flight, the enabled steps, and the invariants checked after
//! each.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ochrelead_core::time::Moment;
use ochrelead_lease::MemberId;
use ochrelead_lease::engine::{Engine, Transmit};
use ochrelead_lease::lease::Permit;
use ochrelead_lease::message::Message;
use ochrelead_lease::persistence::PersistedState;

use super::{CLOCK_DRIFT_PPM, Model, Step, TASK, TICK_US};
use crate::mutation::Mutation;
use crate::resource::{Act, ActOutcome, Resource};
use crate::violation::Violation;

/// Real time in the initial state, in microseconds.
const START_US: u64 = 1_000 * TICK_US;
/// How far [`Step::SetClockBack`] sets a clock back, in microseconds.
const CLOCK_SET_BACK_US: u64 = 2 * TICK_US;

/// A permit that was obtained and not yet used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingAct {
    permit: Permit,
    member: MemberId,
    lease: u64,
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct InFlight {
    sender: MemberId,
    recipient: u32,
    message: Message,
}

/// The number of events of each kind that may still occur.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Remaining {
    ticks: u8,
    restarts: u8,
    duplicates: u8,
    leaves: u8,
}

#[derive(Clone)]
struct FrontState {
    engine: Engine,
    incarnation: u32,
    /// Total set-back of the clock, in microseconds.
    set_back_us: u64,
    pending_act: Option<PendingAct>,
    /// The lease that the front holds; leases are numbered in the order in which they begin.
    lease: Option<u64>,
    /// The round of the front's latest vote request.
    last_round: u64,
}

#[derive(Clone)]
pub(super) struct State {
    fronts: Vec<FrontState>,
    /// The messages in flight and the number of copies of each.
    in_flight: BTreeMap<InFlight, u8>,
    real_time_us: u64,
    /// Number of leases begun so far.
    leases: u64,
    resource: Resource,
    remaining: Remaining,
}

/// The reading of a front's clock without set-backs, in microseconds. Clocks of even-numbered fronts are slow and
/// those of odd-numbered fronts fast, each by the maximum drift.
fn drifting_clock_us(front: u32, real_time_us: u64) -> u64 {
    let elapsed = real_time_us - START_US;
    let drift = elapsed * u64::from(CLOCK_DRIFT_PPM) / 1_000_000;
    START_US + if front % 2 == 0 { elapsed - drift } else { elapsed + drift }
}

impl State {
    pub(super) fn initial(model: &Model) -> State {
        let persisted = PersistedState::default();
        let initial_front = |front: u32| {
            let now = Moment::from_micros(drifting_clock_us(front, START_US));
            let local = MemberId { front, incarnation: 1 };
            FrontState {
                engine: model.engine(local, Some(&persisted), now),
                incarnation: local.incarnation,
                set_back_us: 0,
                pending_act: None,
                lease: None,
                last_round: 0,
            }
        };
        State {
            fronts: (0..model.fronts).map(initial_front).collect(),
            in_flight: BTreeMap::new(),
            real_time_us: START_US,
            leases: 0,
            resource: Resource::default(),
            remaining: Remaining {
                ticks: model.ticks,
                restarts: model.restarts,
                duplicates: model.duplicates,
                leaves: model.leaves,
            },
        }
    }

    fn front(&self, front: u32) -> &FrontState {
        &self.fronts[front as usize]
    }

    fn front_mut(&mut self, front: u32) -> &mut FrontState {
        &mut self.fronts[front as usize]
    }

    /// The reading of a front's clock.
    fn clock(&self, front: u32) -> Moment {
        Moment::from_micros(drifting_clock_us(front, self.real_time_us) - self.front(front).set_back_us)
    }

    fn permit(&self, front: u32) -> Option<Permit> {
        self.front(front).engine.permit(self.clock(front), TASK)
    }

    /// The steps that are enabled in this state.
    pub(super) fn enabled_steps(&self, model: &Model) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.remaining.ticks > 0 {
            steps.push(Step::Tick);
        }
        for front in 0..model.fronts {
            let timeout = self.front(front).engine.poll_timeout();
            if timeout.is_some_and(|timeout| timeout <= self.clock(front)) {
                steps.push(Step::Process(front));
            }
            if self.remaining.restarts > 0 {
                steps.push(Step::Restart(front));
            }
            if front < model.candidates {
                self.add_candidate_steps(front, model, &mut steps);
            }
        }
        for (index, packet) in self.in_flight.keys().enumerate() {
            if packet.recipient < model.fronts {
                steps.push(Step::Deliver(index));
                if self.remaining.duplicates > 0 {
                    steps.push(Step::Duplicate(index));
                }
            }
        }
        steps
    }

    /// Adds the steps that only a candidate can take.
    fn add_candidate_steps(&self, front: u32, model: &Model, steps: &mut Vec<Step>) {
        let state = self.front(front);
        let is_holder = self.permit(front).is_some();
        if is_holder && self.remaining.leaves > 0 {
            steps.push(Step::Leave(front));
        }
        if is_holder && state.pending_act.is_none() {
            steps.push(Step::Permit(front));
        }
        if is_holder && model.mutation == Some(Mutation::ClockSetBack) && state.set_back_us == 0 {
            steps.push(Step::SetClockBack(front));
        }
        if state.pending_act.is_some() {
            steps.push(Step::Act(front));
        }
    }

    /// Applies a step and checks the invariants.
    ///
    /// # Errors
    ///
    /// Returns the invariant that the step violates.
    pub(super) fn apply(&mut self, model: &Model, step: Step) -> Result<(), Violation> {
        match step {
            Step::Tick => {
                self.remaining.ticks -= 1;
                self.real_time_us += TICK_US;
            }
            Step::Process(front) => {
                let now = self.clock(front) + model.proxy().processing_delay(&model.lease_config());
                self.front_mut(front).engine.process(now);
                self.send_output(front);
            }
            Step::Deliver(index) => self.deliver(model, index, true),
            Step::Duplicate(index) => {
                self.remaining.duplicates -= 1;
                self.deliver(model, index, false);
            }
            Step::Restart(front) => self.restart(model, front),
            Step::Leave(front) => {
                self.remaining.leaves -= 1;
                let now = self.clock(front);
                self.front_mut(front).engine.leave(now);
                self.send_output(front);
            }
            Step::SetClockBack(front) => self.front_mut(front).set_back_us = CLOCK_SET_BACK_US,
            Step::Permit(front) => {
                let (permit, state) = (self.permit(front), self.front_mut(front));
                let (member, lease) = (state.engine.local(), state.lease.unwrap_or(0));
                state.pending_act = permit.map(|permit| PendingAct { permit, member, lease });
            }
            Step::Act(front) => self.act(model, front)?,
        }
        self.check_holders(model)
    }

    /// Puts a front's outgoing messages in flight.
    fn send_output(&mut self, front: u32) {
        let state = &mut self.fronts[front as usize];
        let sender = state.engine.local();
        while let Some(Transmit { recipient, message }) = state.engine.poll_output() {
            if let Message::VoteRequest(request) = message {
                state.last_round = request.round;
            }
            *self.in_flight.entry(InFlight { sender, recipient, message }).or_insert(0) += 1;
        }
    }

    /// Delivers a message to its recipient. Unless `removes_copy`, the copy also stays in flight.
    fn deliver(&mut self, model: &Model, index: usize, removes_copy: bool) {
        let in_flight = self.in_flight.iter().nth(index);
        let (packet, copies) = in_flight
            .map(|(packet, copies)| (packet.clone(), *copies))
            .expect("an enabled step refers to a message in flight");
        if removes_copy && copies > 1 {
            self.in_flight.insert(packet.clone(), copies - 1);
        } else if removes_copy {
            self.in_flight.remove(&packet);
        }
        let InFlight { sender, recipient, message } = packet;
        let now = self.clock(recipient);
        let state = self.front_mut(recipient);
        for delivery in model.proxy().deliver(sender, &message, state.last_round) {
            state.engine.handle_input(now, delivery.sender, &delivery.message);
        }
        self.send_output(recipient);
    }

    fn restart(&mut self, model: &Model, front: u32) {
        self.remaining.restarts -= 1;
        let now = self.clock(front);
        let persisted = model.proxy().persisted_state();
        let state = self.front_mut(front);
        state.incarnation += 1;
        let local = MemberId { front, incarnation: state.incarnation };
        state.engine = model.engine(local, persisted.as_ref(), now);
        (state.pending_act, state.lease) = (None, None);
    }

    fn act(&mut self, model: &Model, front: u32) -> Result<(), Violation> {
        let Some(pending) = self.front_mut(front).pending_act.take() else { return Ok(()) };
        let PendingAct { permit, member, lease } = pending;
        let act = Act { member, token: model.proxy().act_token(permit.token), lease };
        let outcome = self.resource.act(act, model.proxy().checks_tokens())?;
        if let ActOutcome::Refused { highest } = outcome {
            let now = self.clock(front);
            self.front_mut(front).engine.on_fenced(now, TASK, highest);
            self.send_output(front);
        }
        Ok(())
    }

    /// Checks that no two fronts may act at the same real time, each front judging by its own clock. Numbers leases
    /// as they begin.
    fn check_holders(&mut self, model: &Model) -> Result<(), Violation> {
        let mut holders = Vec::new();
        for front in 0..model.candidates {
            let (now, is_holder) = (self.clock(front), self.permit(front).is_some());
            let state = &mut self.fronts[front as usize];
            let acts_after_release = model.mutation == Some(Mutation::ActsAfterRelease)
                && state.pending_act.is_some_and(|pending| now < pending.permit.expires_at);
            match (is_holder, state.lease) {
                (true, None) => {
                    self.leases += 1;
                    state.lease = Some(self.leases);
                }
                (false, Some(_)) => state.lease = None,
                _ => {}
            }
            if is_holder || acts_after_release {
                holders.push(front);
            }
        }
        if holders.len() > 1 { Err(Violation::ConcurrentHolders { fronts: holders }) } else { Ok(()) }
    }

    /// A hash of everything that determines which states can follow.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for front in &self.fronts {
            front.engine.fingerprint(&mut hasher);
            (front.incarnation, front.set_back_us, front.lease, front.last_round).hash(&mut hasher);
            front.pending_act.hash(&mut hasher);
        }
        (&self.in_flight, self.real_time_us, self.resource, self.remaining, self.leases).hash(&mut hasher);
        hasher.finish()
    }
}
