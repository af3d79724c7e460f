//! All callers of a day behind one gateway: they dial, wait, talk, hang up, and dial again.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_config::faults::{FaultKind, InjectedFault};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Endpoint, Response, Verb, code, parameter};
use ochrelead_mgcp::transaction::{TransactionEvent, TransactionLayer};
use rand::distr::weighted::WeightedIndex;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::Peer;

/// The subscriber digits of the number that a flood goes to.
pub const HOT: &str = "999999";
/// An impatient caller waits for this share of what others do, and dials so many times more.
const IMPATIENT: f64 = 0.15;
const IMPATIENT_REDIALS: u32 = 6;

/// What a caller does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Act {
    Dial,
    GiveUp,
    HangUp,
}

struct Caller {
    front: usize,
    line: Endpoint,
    digits: String,
    impatient: bool,
    first_tried: Moment,
    tries: u32,
    redials: u32,
    timer_limit: Span,
    patience: Span,
    hold: Span,
    state: State,
    /// What is due of it.
    next: Option<(Moment, Act)>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Standing { far: String },
    Away,
}

/// The engine of all callers.
pub struct Callers {
    day: Scenario,
    fronts: Vec<SocketAddr>,
    transactions: TransactionLayer,
    start: Moment,
    now: Moment,
    callers: HashMap<u32, Caller>,
    due: BTreeSet<(Moment, u32, Act)>,
    arrives: Option<Moment>,
    arrived: u32,
    chance: Pcg64Mcg,
    services: WeightedIndex<f64>,
    members: Option<WeightedIndex<f64>>,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
}

impl Callers {
    /// The callers of a day that begins at `start`, at fronts that can be reached at these addresses.
    pub fn new(day: Scenario, fronts: Vec<SocketAddr>, start: Moment, now: Moment) -> Callers {
        let shares = |shares: &[f64]| WeightedIndex::new(shares).ok();
        Callers {
            transactions: TransactionLayer::new(day.front.transactions, (now.micros() % 900_000_000) as u32),
            start,
            now,
            callers: HashMap::new(),
            due: BTreeSet::new(),
            arrives: Some(start.max(now)),
            arrived: 0,
            chance: Pcg64Mcg::seed_from_u64(day.seed),
            services: shares(&day.callers.service_shares).expect("the shares were checked"),
            members: shares(&day.callers.tenant_shares),
            datagrams: VecDeque::new(),
            fronts,
            day,
        }
    }

    /// The size of a trouble of that kind that is on at `moment`.
    fn trouble(&self, kind: FaultKind, moment: Moment) -> Option<&InjectedFault> {
        let at = moment.since(self.start);
        let on = |own: &&InjectedFault| own.start <= at && at < own.start + own.duration;
        self.day.faults.iter().filter(|own| own.kind == kind).find(on)
    }

    /// One caller comes; the next is drawn.
    fn arrive(&mut self, moment: Moment) {
        let surge = self.trouble(FaultKind::Surge, moment).map_or(1.0, |trouble| trouble.magnitude.max(0.01));
        let rate = self.day.callers.sessions_per_s * surge;
        let gap = Exp::new(rate).expect("a rate above zero").sample(&mut self.chance);
        let next = moment + Span::from_secs(1).scaled(gap);
        self.arrives = Some(next).filter(|next| next.since(self.start) < self.day.duration);
        let service = self.services.sample(&mut self.chance);
        let member = self.members.as_ref().map(|members| members.sample(&mut self.chance));
        let server = self.chance.random_range(0..self.day.servers.len());
        let front = self.chance.random_range(0..self.fronts.len());
        let subscriber = self.chance.random_range(0..HOT.parse::<u32>().expect("digits"));
        let luck = (self.chance.random::<f64>(), self.chance.random::<f64>());
        let hot =
            self.trouble(FaultKind::HotNumber, moment).is_some_and(|trouble| luck.0 < trouble.magnitude);
        let impatient = self.trouble(FaultKind::Redials, moment).is_some_and(|trouble| {
            member.map_or(trouble.targets.is_empty(), |member| trouble.targets.contains(&member))
        });
        let desk = &self.day.front.controller.services[service];
        let hold = desk.mean_hold_time.max(Span::from_millis(100)).scaled(-(1.0 - luck.1).ln());
        let dialled = self.day.front_settings.service[service].dialled.clone().unwrap_or_default();
        let digits = match hot {
            true => format!("{dialled}00{HOT}"),
            false => format!("{dialled}{server:02}{subscriber:06}"),
        };
        self.arrived += 1;
        let caller = self.arrived;
        let trunk = member.map_or("line", |member| self.day.front.trunks[member].as_str());
        let limit = self.day.front.timer_limits[service];
        let patience = limit.scaled(self.day.callers.patience * if impatient { IMPATIENT } else { 1.0 });
        let redials = if impatient || hot { IMPATIENT_REDIALS } else { self.day.callers.max_redials };
        let held = Caller {
            front,
            line: format!("{trunk}/{caller}@callers").parse().expect("a sound name"),
            digits,
            impatient: impatient || hot,
            first_tried: moment,
            tries: 0,
            redials,
            timer_limit: limit,
            patience,
            hold,
            state: State::Away,
            next: None,
        };
        self.callers.insert(caller, held);
        self.plan(caller, moment, Act::Dial);
    }

    /// The id of a caller's present try: eight digits for the caller, two for the try.
    fn tried(number: u32, caller: &Caller) -> String {
        format!("{number:08X}{:02X}", caller.tries)
    }

    fn notify(&mut self, number: u32, parameters: &[(&str, String)]) {
        let Some(caller) = self.callers.get(&number) else { return };
        let command = Command::new(Verb::Notify, 0, caller.line.clone())
            .with(parameter::REQUEST_IDENTIFIER, 0)
            .with(parameter::ATTEMPT, Self::tried(number, caller));
        let command = parameters.iter().fold(command, |command, (name, value)| command.with(name, value));
        // A gateway that has too much out loses the event, as a busy one would.
        let _ = self.transactions.send_command(self.now, self.fronts[caller.front], command);
    }

    fn act(&mut self, number: u32, act: Act) {
        let Some(caller) = self.callers.get_mut(&number) else { return };
        match (act, caller.state.clone()) {
            (Act::Dial, State::Away) => {
                caller.tries += 1;
                caller.state = State::Waiting;
                let left = (caller.first_tried + caller.timer_limit).since(self.now);
                let patience = caller.patience.min(left);
                let digits: Vec<String> = caller.digits.chars().map(|digit| format!("D/{digit}")).collect();
                let events = format!("L/hd, {}", digits.join(", "));
                let connection = format!("h{number}");
                let until = self.now + patience;
                let patience = (patience.micros() / 1_000).to_string();
                self.plan(number, until, Act::GiveUp);
                self.notify(
                    number,
                    &[
                        (parameter::CONNECTION_ID, connection),
                        (parameter::TIMER_LIMIT, patience),
                        (parameter::OBSERVED_EVENTS, events),
                    ],
                );
            }
            (Act::GiveUp, State::Waiting) => {
                caller.state = State::Away;
                self.notify(number, &[(parameter::OBSERVED_EVENTS, "L/hu".to_owned())]);
                self.dial_again(number, None);
            }
            (Act::HangUp, State::Standing { far }) => {
                caller.state = State::Away;
                self.notify(
                    number,
                    &[(parameter::OBSERVED_EVENTS, "L/hu".to_owned()), (parameter::FAR_END, far)],
                );
                self.leave(number);
            }
            _ => {}
        }
    }

    /// One thing at a time is due of a caller.
    fn plan(&mut self, number: u32, at: Moment, act: Act) {
        let Some(caller) = self.callers.get_mut(&number) else { return };
        if let Some((before, own)) = caller.next.replace((at, act)) {
            self.due.remove(&(before, number, own));
        }
        self.due.insert((at, number, act));
    }

    fn leave(&mut self, number: u32) {
        if let Some((at, act)) = self.callers.remove(&number).and_then(|caller| caller.next) {
            self.due.remove(&(at, number, act));
        }
    }

    /// A try came to nothing: another one, while the caller still has patience for it.
    fn dial_again(&mut self, number: u32, come_back: Option<Span>) {
        let honours = self.chance.random::<f64>() < self.day.callers.retry_after_compliance;
        let spread = 0.5 + self.chance.random::<f64>();
        let Some(caller) = self.callers.get_mut(&number) else { return };
        let wait = match come_back.filter(|_| honours) {
            Some(told) => told,
            None if caller.impatient => Span::from_millis(20),
            None => self.day.callers.redial_delay.scaled(spread * f64::from(1 << (caller.tries - 1).min(6))),
        };
        let next = self.now + wait;
        if caller.tries > caller.redials || next >= caller.first_tried + caller.timer_limit {
            self.leave(number);
        } else {
            self.plan(number, next, Act::Dial);
        }
    }

    /// What a front tells a line: connected, a tone, or the end of the call.
    fn told(&mut self, from: SocketAddr, command: &Command) {
        let tried = command.parameters.get(parameter::ATTEMPT).unwrap_or("");
        let number = tried.get(..8).and_then(|digits| u32::from_str_radix(digits, 16).ok()).unwrap_or(0);
        let present = self.callers.get(&number).filter(|caller| Self::tried(number, caller) == tried);
        let Some(state) = present.map(|caller| caller.state.clone()) else {
            // The caller has left: its line knows no such call.
            return self
                .transactions
                .respond(from, Response::new(code::UNKNOWN_CONNECTION, command.transaction));
        };
        let known = match (command.verb, state) {
            (Verb::ModifyConnection, State::Waiting) => {
                let caller = self.callers.get_mut(&number).expect("just seen");
                let far = command.parameters.get(parameter::FAR_END).unwrap_or("").to_owned();
                caller.state = State::Standing { far };
                let ends = self.now + caller.hold;
                self.plan(number, ends, Act::HangUp);
                true
            }
            (Verb::NotificationRequest, State::Waiting) => {
                let come_back = command.parameters.parse::<u32>(parameter::CALLER_RETRY_AFTER);
                self.callers.get_mut(&number).expect("just seen").state = State::Away;
                self.dial_again(number, come_back.map(|ms| Span::from_millis(u64::from(ms))));
                true
            }
            (Verb::DeleteConnection, State::Standing { .. }) => {
                self.leave(number);
                true
            }
            _ => false,
        };
        let code = if known { code::DONE } else { code::UNKNOWN_CONNECTION };
        self.transactions.respond(from, Response::new(code, command.transaction));
    }

    /// Callers that wait or talk.
    pub fn present(&self) -> usize {
        self.callers.len()
    }

    /// Whether that try's caller is connected by it.
    pub fn stands(&self, tried: &str) -> bool {
        let number = tried.get(..8).and_then(|digits| u32::from_str_radix(digits, 16).ok()).unwrap_or(0);
        let caller = self.callers.get(&number).filter(|caller| Self::tried(number, caller) == tried);
        caller.is_some_and(|caller| matches!(caller.state, State::Standing { .. }))
    }
}

impl Peer for Callers {
    fn take(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.now = self.now.max(now);
        self.transactions.handle_datagram(now, from, bytes);
        while let Some(news) = self.transactions.poll_event() {
            match news {
                TransactionEvent::CommandReceived { from, command } => self.told(from, &command),
                TransactionEvent::TimedOut { .. } => {}
                _ => {}
            }
        }
    }

    fn turn(&mut self, now: Moment) {
        self.now = self.now.max(now);
        while let Some(moment) = self.arrives.filter(|moment| *moment <= now) {
            self.arrive(moment);
        }
        while let Some(&(moment, number, act)) = self.due.first() {
            if moment > now {
                break;
            }
            self.due.pop_first();
            if let Some(caller) = self.callers.get_mut(&number) {
                caller.next = None;
            }
            self.act(number, act);
        }
        self.transactions.process(now);
        while let Some(datagram) = self.transactions.poll_datagram() {
            self.datagrams.push_back(datagram);
        }
    }

    fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    fn wake(&self) -> Option<Moment> {
        let due = self.due.first().map(|(moment, _, _)| *moment);
        due.into_iter().chain(self.arrives).chain(self.transactions.poll_timeout()).min()
    }
}
