//! All callers of a scenario behind one gateway. A caller dials, waits for an answer, holds the call and hangs up; it
//! redials if an attempt fails.

mod arrivals;
mod caller;

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Response, Verb, code, parameter};
use ochrelead_mgcp::transaction::{TransactionEvent, TransactionLayer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{Peer, first_transaction};
use arrivals::Arrivals;
use caller::{Action, Caller, CallerState, caller_id};

/// The subscriber digits of the number that a hot number fault directs calls to.
pub const HOT_SUBSCRIBER: &str = "999999";

/// Redial delay of a caller that redials aggressively.
const AGGRESSIVE_REDIAL_DELAY: Span = Span::from_millis(20);
/// Maximum number of times that the redial delay of a caller doubles.
const MAX_REDIAL_DOUBLINGS: u32 = 6;
/// Lower limit of the random factor of a redial delay. The factor is drawn from this value up to this value plus one.
const MIN_REDIAL_JITTER: f64 = 0.5;

/// The gateway event of a caller that dials (off hook); the dialled digits follow.
const OFF_HOOK: &str = "L/hd";
/// The gateway event of a caller that hangs up (on hook).
const ON_HOOK: &str = "L/hu";

/// State and schedule of all callers.
pub struct Callers {
    scenario: Scenario,
    fronts: Vec<SocketAddr>,
    transactions: TransactionLayer,
    now: Moment,
    callers: HashMap<u32, Caller>,
    scheduled: BTreeSet<(Moment, u32, Action)>,
    arrivals: Arrivals,
    next_arrival: Option<Moment>,
    last_caller_id: u32,
    rng: Pcg64Mcg,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
}

impl Callers {
    /// Creates the callers of a scenario that begins at `start`. `fronts` are the addresses of the fronts.
    ///
    /// # Panics
    ///
    /// Panics if the service shares are invalid, which the validation of scenarios excludes.
    pub fn new(scenario: Scenario, fronts: Vec<SocketAddr>, start: Moment, now: Moment) -> Callers {
        Callers {
            transactions: TransactionLayer::new(scenario.front.transactions, first_transaction(now)),
            now,
            callers: HashMap::new(),
            scheduled: BTreeSet::new(),
            arrivals: Arrivals::new(&scenario, start, fronts.len()),
            next_arrival: Some(start.max(now)),
            last_caller_id: 0,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            datagrams: VecDeque::new(),
            fronts,
            scenario,
        }
    }

    /// Whether a caller is connected by the attempt with this id.
    pub fn is_connected(&self, attempt: &str) -> bool {
        let caller = self.caller_of_attempt(caller_id(attempt), attempt);
        caller.is_some_and(|caller| matches!(caller.state, CallerState::Connected { .. }))
    }

    /// Returns the caller with this id if `attempt` is its current attempt.
    fn caller_of_attempt(&self, id: u32, attempt: &str) -> Option<&Caller> {
        self.callers.get(&id).filter(|caller| caller.attempt_id(id) == attempt)
    }

    fn on_arrival(&mut self, now: Moment) {
        self.next_arrival = self.arrivals.draw_next(&self.scenario, now, &mut self.rng);
        self.last_caller_id += 1;
        let id = self.last_caller_id;
        let caller = self.arrivals.draw_caller(&self.scenario, now, id, &mut self.rng);
        self.callers.insert(id, caller);
        self.schedule(id, now, Action::Dial);
    }

    // ---- Actions of callers ----

    fn perform(&mut self, id: u32, action: Action) {
        let Some(caller) = self.callers.get(&id) else { return };
        match (action, caller.state.clone()) {
            (Action::Dial, CallerState::Idle) => self.dial(id),
            (Action::GiveUp, CallerState::Waiting) => self.give_up(id),
            (Action::HangUp, CallerState::Connected { far_end }) => self.hang_up(id, far_end),
            _ => {}
        }
    }

    fn dial(&mut self, id: u32) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        caller.attempts += 1;
        caller.state = CallerState::Waiting;
        let answer_timeout = caller.answer_timeout.min(caller.deadline().since(self.now));
        let digits: Vec<String> = caller.digits.chars().map(|digit| format!("D/{digit}")).collect();
        let events = format!("{OFF_HOOK}, {}", digits.join(", "));
        let answer_timeout_ms = (answer_timeout.micros() / 1_000).to_string();
        self.schedule(id, self.now + answer_timeout, Action::GiveUp);
        let parameters = [
            (parameter::CONNECTION_ID, format!("h{id}")),
            (parameter::TIMER_LIMIT, answer_timeout_ms),
            (parameter::OBSERVED_EVENTS, events),
        ];
        self.notify(id, &parameters);
    }

    fn give_up(&mut self, id: u32) {
        self.set_state(id, CallerState::Idle);
        self.notify(id, &[(parameter::OBSERVED_EVENTS, ON_HOOK.to_owned())]);
        self.redial(id, None);
    }

    fn hang_up(&mut self, id: u32, far_end: String) {
        self.set_state(id, CallerState::Idle);
        let parameters = [(parameter::OBSERVED_EVENTS, ON_HOOK.to_owned()), (parameter::FAR_END, far_end)];
        self.notify(id, &parameters);
        self.remove(id);
    }

    /// Schedules the next attempt after a failed one. Removes the caller if it has used up its redials or if its
    /// deadline has passed before the next attempt.
    fn redial(&mut self, id: u32, retry_after: Option<Span>) {
        let complies = self.rng.random::<f64>() < self.scenario.callers.retry_after_compliance;
        let jitter = MIN_REDIAL_JITTER + self.rng.random::<f64>();
        let Some(caller) = self.callers.get(&id) else { return };
        let delay = match retry_after.filter(|_| complies) {
            Some(retry_after) => retry_after,
            None if caller.redials_aggressively => AGGRESSIVE_REDIAL_DELAY,
            None => {
                let back_off = 1u32 << (caller.attempts - 1).min(MAX_REDIAL_DOUBLINGS);
                self.scenario.callers.redial_delay.scaled(jitter * f64::from(back_off))
            }
        };
        let redial_at = self.now + delay;
        if caller.attempts > caller.max_redials || redial_at >= caller.deadline() {
            self.remove(id);
        } else {
            self.schedule(id, redial_at, Action::Dial);
        }
    }

    /// Sends an NTFY for a caller's line to its front.
    fn notify(&mut self, id: u32, parameters: &[(&str, String)]) {
        let Some(caller) = self.callers.get(&id) else { return };
        let command = Command::new(Verb::Notify, 0, caller.line.clone())
            .with(parameter::REQUEST_IDENTIFIER, 0)
            .with(parameter::ATTEMPT, caller.attempt_id(id));
        let command = parameters.iter().fold(command, |command, (name, value)| command.with(name, value));
        // A gateway with too many outstanding commands drops the event, like a real overloaded gateway.
        let _ = self.transactions.send_command(self.now, self.fronts[caller.front], command);
    }

    // ---- Commands of fronts ----

    /// Handles a command of a front: MDCX connects the call, RQNT rejects it with a tone, DLCX ends it.
    fn handle_command(&mut self, from: SocketAddr, command: &Command) {
        let attempt = command.parameters.get(parameter::ATTEMPT).unwrap_or("");
        let id = caller_id(attempt);
        let state = self.caller_of_attempt(id, attempt).map(|caller| caller.state.clone());
        let is_accepted = match (command.verb, state) {
            (Verb::ModifyConnection, Some(CallerState::Waiting)) => {
                self.on_connected(id, command);
                true
            }
            (Verb::NotificationRequest, Some(CallerState::Waiting)) => {
                self.on_rejected(id, command);
                true
            }
            (Verb::DeleteConnection, Some(CallerState::Connected { .. })) => {
                self.remove(id);
                true
            }
            // The line has no call in a state that permits this command.
            _ => false,
        };
        let code = if is_accepted { code::DONE } else { code::UNKNOWN_CONNECTION };
        self.transactions.respond(from, Response::new(code, command.transaction));
    }

    fn on_connected(&mut self, id: u32, command: &Command) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let far_end = command.parameters.get(parameter::FAR_END).unwrap_or("").to_owned();
        caller.state = CallerState::Connected { far_end };
        let hang_up_at = self.now + caller.hold_time;
        self.schedule(id, hang_up_at, Action::HangUp);
    }

    fn on_rejected(&mut self, id: u32, command: &Command) {
        let retry_after_ms = command.parameters.parse::<u32>(parameter::CALLER_RETRY_AFTER);
        self.set_state(id, CallerState::Idle);
        self.redial(id, retry_after_ms.map(|ms| Span::from_millis(u64::from(ms))));
    }

    // ---- Caller table ----

    fn set_state(&mut self, id: u32, state: CallerState) {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.state = state;
        }
    }

    /// Schedules the next action of a caller and cancels the one that was scheduled before.
    fn schedule(&mut self, id: u32, due: Moment, action: Action) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if let Some((previous_due, previous_action)) = caller.next_action.replace((due, action)) {
            self.scheduled.remove(&(previous_due, id, previous_action));
        }
        self.scheduled.insert((due, id, action));
    }

    fn remove(&mut self, id: u32) {
        if let Some((due, action)) = self.callers.remove(&id).and_then(|caller| caller.next_action) {
            self.scheduled.remove(&(due, id, action));
        }
    }

    /// Takes the next action that is due, with the id of its caller.
    fn next_due(&mut self, now: Moment) -> Option<(u32, Action)> {
        let (_, id, action) = *self.scheduled.first().filter(|(due, _, _)| *due <= now)?;
        self.scheduled.pop_first();
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.next_action = None;
        }
        Some((id, action))
    }
}

impl Peer for Callers {
    fn handle_datagram(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.now = self.now.max(now);
        self.transactions.handle_datagram(now, from, bytes);
        while let Some(event) = self.transactions.poll_event() {
            if let TransactionEvent::CommandReceived { from, command } = event {
                self.handle_command(from, &command);
            }
        }
    }

    fn process(&mut self, now: Moment) {
        self.now = self.now.max(now);
        while let Some(arrival) = self.next_arrival.filter(|arrival| *arrival <= now) {
            self.on_arrival(arrival);
        }
        while let Some((id, action)) = self.next_due(now) {
            self.perform(id, action);
        }
        self.transactions.process(now);
        while let Some(datagram) = self.transactions.poll_datagram() {
            self.datagrams.push_back(datagram);
        }
    }

    fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    fn poll_timeout(&self) -> Option<Moment> {
        let scheduled = self.scheduled.first().map(|(due, _, _)| *due);
        let timeouts = [scheduled, self.next_arrival, self.transactions.poll_timeout()];
        timeouts.into_iter().flatten().min()
    }
}
