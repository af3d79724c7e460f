//! One state of the model: its fronts, what is in flight, the steps that can be taken, and what must hold after each.

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

/// The time at the start.
const START_US: u64 = 1_000 * TICK_US;

/// A permit that was asked for and not acted on yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingAct {
    permit: Permit,
    member: MemberId,
    lease: u64,
}

/// A message on its way.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct InFlight {
    sender: MemberId,
    recipient: u32,
    message: Message,
}

/// How much may still happen.
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
    /// How far the clock was set back, in microseconds.
    set_back_us: u64,
    pending_act: Option<PendingAct>,
    /// The lease that it holds, in the order in which they began.
    lease: Option<u64>,
    /// Its last vote round.
    last_round: u64,
}

#[derive(Clone)]
pub(super) struct State {
    fronts: Vec<FrontState>,
    /// The messages on their way, and how many copies of each.
    in_flight: BTreeMap<InFlight, u8>,
    real_time_us: u64,
    /// How many leases have begun.
    leases: u64,
    resource: Resource,
    remaining: Remaining,
}

/// A front's own clock without set-backs: even fronts are as slow as allowed, odd ones as fast.
fn drifting_clock(front: u32, real_time_us: u64) -> u64 {
    let elapsed = real_time_us - START_US;
    let drift = elapsed * u64::from(CLOCK_DRIFT_PPM) / 1_000_000;
    START_US + if front % 2 == 0 { elapsed - drift } else { elapsed + drift }
}

impl State {
    pub(super) fn start(model: &Model) -> State {
        let persisted = PersistedState::default();
        let front = |front: u32| {
            let now = Moment::from_micros(drifting_clock(front, START_US));
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
            fronts: (0..model.fronts).map(front).collect(),
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

    /// The time by a front's own clock.
    fn clock(&self, front: u32) -> Moment {
        Moment::from_micros(drifting_clock(front, self.real_time_us) - self.front(front).set_back_us)
    }

    fn permit(&self, front: u32) -> Option<Permit> {
        self.front(front).engine.permit(self.clock(front), TASK)
    }

    /// All steps that can be taken.
    pub(super) fn possible_steps(&self, model: &Model) -> Vec<Step> {
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

    /// Takes a step.
    ///
    /// # Errors
    ///
    /// Where something does not hold after it.
    pub(super) fn step(&mut self, model: &Model, step: Step) -> Result<(), Violation> {
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
            Step::SetClockBack(front) => self.front_mut(front).set_back_us = 2 * TICK_US,
            Step::Permit(front) => {
                let (permit, state) = (self.permit(front), self.front_mut(front));
                let (member, lease) = (state.engine.local(), state.lease.unwrap_or(0));
                state.pending_act = permit.map(|permit| PendingAct { permit, member, lease });
            }
            Step::Act(front) => self.act(model, front)?,
        }
        self.check_holders(model)
    }

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

    fn deliver(&mut self, model: &Model, index: usize, is_last_copy: bool) {
        let in_flight = self.in_flight.iter().nth(index);
        let (packet, copies) =
            in_flight.map(|(packet, copies)| (packet.clone(), *copies)).expect("a step names one");
        if is_last_copy && copies > 1 {
            self.in_flight.insert(packet.clone(), copies - 1);
        } else if is_last_copy {
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

    /// At no moment two fronts may act, each by its own clock. Numbers leases as they begin.
    fn check_holders(&mut self, model: &Model) -> Result<(), Violation> {
        let mut holders = Vec::new();
        for front in 0..model.candidates {
            let (now, is_holder) = (self.clock(front), self.permit(front).is_some());
            let state = &mut self.fronts[front as usize];
            let acts_on = model.mutation == Some(Mutation::ActsAfterRelease)
                && state.pending_act.is_some_and(|pending| now < pending.permit.expires_at);
            match (is_holder, state.lease) {
                (true, None) => {
                    self.leases += 1;
                    state.lease = Some(self.leases);
                }
                (false, Some(_)) => state.lease = None,
                _ => {}
            }
            if is_holder || acts_on {
                holders.push(front);
            }
        }
        if holders.len() > 1 { Err(Violation::ConcurrentHolders { fronts: holders }) } else { Ok(()) }
    }

    /// States with the same fingerprint have the same future.
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
