//! A stand-in signalling server: one processor line that set-ups, answers, releases, repeats and refusals all
//! need; lines; a cold start that warms, and that falls over when pushed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

use ochrelead_config::faults::FaultKind;
use ochrelead_config::scenario::{EmulatedServer, Scenario};
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Endpoint, Response, TransactionId, Verb, code, parameter};
use ochrelead_mgcp::transaction::{TransactionConfig, TransactionEvent, TransactionLayer};

use crate::Peer;

/// The lines of one called number at one server.
const LINES_OF_A_NUMBER: usize = 4;
/// Set-ups that a cold server takes beyond its budget without falling over: the slack for chance.
const SLACK: f64 = 3.0;

/// What a server is in the eyes of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Well,
    /// Takes everything, answers nothing.
    Silent,
    /// Not there.
    Away,
    /// Was pushed over while it was cold: not there any more.
    Fallen,
}

/// What the day has in store for this server.
#[derive(Clone, Copy, Debug)]
enum Act {
    Health(Health),
    Drain,
    /// The old processor goes, a cold one takes its place.
    Replace,
    Slower(f64),
    Told,
}

struct Job {
    work: Span,
    kind: Work,
}

enum Work {
    SetUp(Asked),
    Answer(Asked),
    Release {
        from: SocketAddr,
        transaction: TransactionId,
        circuits: Vec<u32>,
    },
    /// Repeats, refusals, looks: work that leads to nothing.
    Waste,
}

#[derive(Clone)]
struct Asked {
    from: SocketAddr,
    transaction: TransactionId,
    call: String,
    called: String,
    off: bool,
}

struct Circuit {
    front: SocketAddr,
    call: String,
    called: String,
}

/// The engine of one server.
pub struct Server {
    figures: EmulatedServer,
    name: String,
    fronts: Vec<SocketAddr>,
    transactions: TransactionLayer,
    now: Moment,
    health: Health,
    /// When it started cold; none where it has been warm since long ago.
    started: Option<Moment>,
    slower: f64,
    fall_multiple: f64,
    fall_after: Span,
    /// Work that came while it was cold, in set-ups.
    pressure: VecDeque<(Moment, f64)>,
    first: VecDeque<Job>,
    queue: VecDeque<Job>,
    in_hand: Option<(Moment, Job)>,
    circuits: BTreeMap<u32, Circuit>,
    last_circuit: u32,
    numbers: HashMap<String, usize>,
    told: HashMap<SocketAddr, TransactionId>,
    script: BTreeMap<(Moment, usize), Act>,
    datagrams: VecDeque<(SocketAddr, Vec<u8>)>,
}

impl Server {
    /// The `nth` server of a day that began at `start`. `fresh`: its process has just been started anew.
    pub fn new(
        day: &Scenario,
        nth: usize,
        name: String,
        fronts: Vec<SocketAddr>,
        start: Moment,
        now: Moment,
        fresh: bool,
    ) -> Server {
        let figures = day.servers[nth];
        let first = (now.micros() % 900_000_000) as u32 + nth as u32;
        let mut server = Server {
            figures,
            name,
            fronts,
            transactions: TransactionLayer::new(
                TransactionConfig { sends_provisional: false, ..day.front.transactions },
                first,
            ),
            now,
            health: Health::Well,
            started: None,
            slower: 1.0,
            fall_multiple: day.front.controller.overload_multiple,
            fall_after: day.front.controller.overload_duration,
            pressure: VecDeque::new(),
            first: VecDeque::new(),
            queue: VecDeque::new(),
            in_hand: None,
            circuits: BTreeMap::new(),
            last_circuit: 0,
            numbers: HashMap::new(),
            told: HashMap::new(),
            script: script(day, nth, start, now),
            datagrams: VecDeque::new(),
        };
        if fresh {
            server.start_cold();
        }
        let offset = figures.report_interval.scaled(nth as f64 / day.servers.len() as f64);
        server.script.insert((now + offset, usize::MAX), Act::Told);
        server
    }

    fn start_cold(&mut self) {
        self.health = Health::Well;
        self.started = Some(self.now);
        self.tell_restart("restart", Span::ZERO);
    }

    /// What it can do now, in shares of its warm speed.
    fn speed(&self) -> f64 {
        let Some(started) = self.started else { return 1.0 / self.slower };
        let warmth = self.now.since(started).ratio(self.figures.warm_up_time).min(1.0);
        (self.figures.cold_share + (1.0 - self.figures.cold_share) * warmth) / self.slower
    }

    fn is_cold(&self) -> bool {
        self.started.is_some_and(|started| self.now.since(started) < self.figures.warm_up_time)
    }

    fn wait(&self) -> Span {
        let queued = self.first.iter().chain(&self.queue).map(|job| job.work);
        let left = self.in_hand.as_ref().map_or(Span::ZERO, |(done, _)| done.since(self.now));
        queued.fold(Span::ZERO, |sum, work| sum + work).scaled(1.0 / self.speed()) + left
    }

    fn put(&mut self, shares: f64, kind: Work) {
        let job = Job { work: self.figures.set_up_time().scaled(shares), kind };
        let ahead = self.figures.finishes_first && matches!(job.kind, Work::Answer(_) | Work::Release { .. });
        if ahead {
            self.first.push_back(job);
        } else {
            self.queue.push_back(job);
        }
    }

    /// Work from outside reaches a processor that may be cold.
    fn press(&mut self, set_ups: f64) {
        if !self.is_cold() {
            return self.pressure.clear();
        }
        self.pressure.push_back((self.now, set_ups));
        while self.pressure.front().is_some_and(|(then, _)| self.now.since(*then) > self.fall_after) {
            self.pressure.pop_front();
        }
        let second = Span::from_secs(1);
        let able = self.fall_after.ratio(second) * second.ratio(self.figures.set_up_time()) * self.speed();
        let sent: f64 = self.pressure.iter().map(|(_, set_ups)| set_ups).sum();
        if sent > able * self.fall_multiple + SLACK {
            self.go(Health::Fallen);
        }
    }

    /// The process is not there any more: all that it held is gone.
    fn go(&mut self, health: Health) {
        self.health = health;
        self.first.clear();
        self.queue.clear();
        self.in_hand = None;
        self.circuits.clear();
        self.numbers.clear();
        self.pressure.clear();
    }

    /// What it says of itself in its messages.
    fn telling(&self) -> Vec<(&'static str, String)> {
        let free = (self.figures.lines as usize).saturating_sub(self.circuits.len());
        let mut telling = vec![(parameter::LINE_CAPACITY, format!("{free}/{}", self.figures.lines))];
        let full = self.wait().ratio(self.figures.max_queue).min(1.0);
        if self.figures.reports_accepted_rate {
            let can_take = self.figures.sessions_per_s * self.speed() * (1.0 - full);
            telling.push((parameter::ACCEPTED_RATE, format!("{can_take:.2}")));
        }
        if self.figures.reports_hold_back_share {
            telling.push((parameter::HOLD_BACK_SHARE, format!("{:.3}", (full * 2.0).min(0.95))));
        }
        telling
    }

    fn respond(&mut self, to: SocketAddr, response: Response) {
        let telling = self.telling();
        let response =
            telling.into_iter().fold(response, |response, (name, value)| response.with(name, value));
        self.transactions.respond(to, response);
    }

    fn everything(&self) -> Endpoint {
        format!("*@{}", self.name).parse().expect("a name that the rig gave")
    }

    fn tell_restart(&mut self, method: &str, delay: Span) {
        for front in self.fronts.clone() {
            let command = Command::new(Verb::RestartInProgress, 0, self.everything())
                .with(parameter::RESTART_METHOD, method)
                .with(parameter::RESTART_DELAY, delay.micros() / 1_000_000);
            // A full table is that of a server that nobody answers: there is nobody to tell.
            let _ = self.transactions.send_command(self.now, front, command);
        }
    }

    /// The lines, unasked, to all fronts. Old news is not repeated: newer is on its way.
    fn tell_lines(&mut self) {
        for front in self.fronts.clone() {
            let command =
                Command::new(Verb::Notify, 0, self.everything()).with(parameter::REQUEST_IDENTIFIER, 0);
            let telling = self.telling();
            let command =
                telling.into_iter().fold(command, |command, (name, value)| command.with(name, value));
            if let Ok(transaction) = self.transactions.send_command(self.now, front, command)
                && let Some(before) = self.told.insert(front, transaction)
            {
                self.transactions.abandon(self.now, before);
            }
        }
    }

    fn asked(&mut self, from: SocketAddr, command: &Command) {
        let transaction = command.transaction;
        match command.verb {
            Verb::CreateConnection => self.set_up(from, command),
            Verb::DeleteConnection => self.release(from, command),
            Verb::AuditEndpoint => {
                self.put(self.figures.read_work, Work::Waste);
                self.respond(from, Response::new(code::DONE, transaction));
            }
            _ => self.respond(from, Response::new(code::UNSUPPORTED, transaction)),
        }
    }

    fn set_up(&mut self, from: SocketAddr, command: &Command) {
        let (transaction, figures) = (command.transaction, self.figures);
        let text = |name: &str| command.parameters.get(name).unwrap_or("").to_owned();
        let called = text(parameter::CALLED_NUMBER);
        let wait = self.wait();
        let refusal = if wait > figures.max_queue {
            let busy = Response::new(code::OVERLOAD, transaction);
            Some(if figures.names_retry_after {
                busy.with(parameter::SERVER_RETRY_AFTER, wait.micros() / 2_000)
            } else {
                busy
            })
        } else if self.circuits.len() >= figures.lines as usize {
            Some(Response::new(code::NO_ENDPOINT, transaction))
        } else if self.numbers.get(&called).is_some_and(|used| *used >= LINES_OF_A_NUMBER) {
            Some(Response::new(code::OFF_HOOK, transaction))
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.press(figures.read_work + figures.reject_work);
            self.put(figures.read_work + figures.reject_work, Work::Waste);
            return self.respond(from, refusal);
        }
        self.press(1.0);
        let call = text(parameter::CALL_ID);
        self.put(1.0, Work::SetUp(Asked { from, transaction, call, called, off: false }));
    }

    fn release(&mut self, from: SocketAddr, command: &Command) {
        let call = command.parameters.get(parameter::CALL_ID);
        let connection = command.parameters.get(parameter::CONNECTION_ID);
        let local = command.endpoint.local().to_owned();
        let meant = |(number, circuit): &(&u32, &Circuit)| {
            let named = local == format!("trunk/{number}");
            let same = connection.is_none_or(|own| own == format!("c{number}"));
            circuit.front == from
                && (named || command.endpoint.has_wildcard())
                && same
                && call.is_none_or(|own| own == circuit.call)
        };
        let circuits: Vec<u32> = self.circuits.iter().filter(meant).map(|(number, _)| *number).collect();
        if let Some(call) = call {
            self.call_off(from, call);
        }
        let work = if circuits.is_empty() { self.figures.read_work } else { self.figures.follow_up_work };
        self.put(work, Work::Release { from, transaction: command.transaction, circuits });
    }

    /// A set-up in the queue is not wanted any more; where the figures say so it needs no work either.
    fn call_off(&mut self, from: SocketAddr, call: &str) {
        let drops = self.figures.drops_cancelled;
        let look = self.figures.set_up_time().scaled(self.figures.read_work);
        let in_hand = self.in_hand.iter_mut().map(|(_, job)| job);
        for job in self.first.iter_mut().chain(&mut self.queue).chain(in_hand) {
            if let Work::SetUp(asked) | Work::Answer(asked) = &mut job.kind
                && asked.from == from
                && asked.call == call
            {
                asked.off = true;
                if drops {
                    job.work = job.work.min(look);
                }
            }
        }
    }

    fn done(&mut self, job: Job) {
        match job.kind {
            Work::SetUp(asked) if asked.off => {
                self.respond(asked.from, Response::new(code::ABORTED, asked.transaction));
            }
            Work::SetUp(asked) => self.put(self.figures.follow_up_work, Work::Answer(asked)),
            Work::Answer(asked) if asked.off => {
                self.respond(asked.from, Response::new(code::ABORTED, asked.transaction));
            }
            Work::Answer(asked) => self.stands(asked),
            Work::Release { from, transaction, circuits } => {
                for number in circuits {
                    if let Some(circuit) = self.circuits.remove(&number)
                        && let Some(used) = self.numbers.get_mut(&circuit.called)
                    {
                        *used = used.saturating_sub(1);
                    }
                }
                self.numbers.retain(|_, used| *used > 0);
                self.respond(from, Response::new(code::DELETED, transaction));
            }
            Work::Waste => {}
        }
    }

    fn stands(&mut self, asked: Asked) {
        self.last_circuit += 1;
        let number = self.last_circuit;
        *self.numbers.entry(asked.called.clone()).or_insert(0) += 1;
        let response = Response::new(code::DONE, asked.transaction)
            .with(parameter::CONNECTION_ID, format!("c{number}"))
            .with(parameter::SPECIFIC_ENDPOINT_ID, format!("trunk/{number}@{}", self.name))
            .with(parameter::ATTEMPT, &asked.call);
        let circuit = Circuit { front: asked.from, call: asked.call, called: asked.called };
        self.circuits.insert(number, circuit);
        self.respond(asked.from, response);
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Health(Health::Well) if self.health == Health::Away => self.start_cold(),
            Act::Health(Health::Away) => self.go(Health::Away),
            Act::Health(health) if self.health != Health::Fallen => self.health = health,
            Act::Health(_) => {}
            Act::Drain => self.tell_restart("graceful", Span::from_secs(2)),
            Act::Replace => {
                for (number, circuit) in std::mem::take(&mut self.circuits) {
                    let endpoint = format!("trunk/{number}@{}", self.name).parse().expect("a sound name");
                    let command = Command::new(Verb::DeleteConnection, 0, endpoint)
                        .with(parameter::CALL_ID, &circuit.call)
                        .with(parameter::REASON_CODE, "900 replaced");
                    let _ = self.transactions.send_command(self.now, circuit.front, command);
                }
                self.go(Health::Well);
                self.start_cold();
            }
            Act::Slower(times) => self.slower = times.max(0.01),
            Act::Told => {
                if self.health == Health::Well {
                    self.tell_lines();
                }
                self.script.insert((self.now + self.figures.report_interval, usize::MAX), Act::Told);
            }
        }
    }

    fn work(&mut self) {
        loop {
            match self.in_hand.take() {
                Some((done, job)) if done <= self.now => self.done(job),
                Some(in_hand) => {
                    self.in_hand = Some(in_hand);
                    return;
                }
                None => match self.first.pop_front().or_else(|| self.queue.pop_front()) {
                    Some(job) => self.in_hand = Some((self.now + job.work.scaled(1.0 / self.speed()), job)),
                    None => return,
                },
            }
        }
    }

    fn is_there(&self) -> bool {
        matches!(self.health, Health::Well | Health::Silent)
    }

    /// Calls that stand here.
    pub fn standing(&self) -> usize {
        self.circuits.len()
    }

    /// The calls that stand here: whose, and of which try.
    pub fn calls(&self) -> impl Iterator<Item = (SocketAddr, &str)> {
        self.circuits.values().map(|circuit| (circuit.front, circuit.call.as_str()))
    }

    pub fn has_fallen(&self) -> bool {
        self.health == Health::Fallen
    }
}

impl Peer for Server {
    fn take(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.now = self.now.max(now);
        if !self.is_there() {
            return;
        }
        self.transactions.handle_datagram(now, from, bytes);
        while let Some(news) = self.transactions.poll_event() {
            match news {
                TransactionEvent::CommandReceived { from, command } => self.asked(from, &command),
                TransactionEvent::CommandRepeated { .. } => {
                    self.press(self.figures.repeat_work);
                    self.put(self.figures.repeat_work, Work::Waste);
                }
                _ => {}
            }
        }
    }

    fn turn(&mut self, now: Moment) {
        self.now = self.now.max(now);
        while let Some(entry) = self.script.first_entry().filter(|entry| entry.key().0 <= now) {
            let act = entry.remove();
            self.act(act);
        }
        if !self.is_there() {
            while self.transactions.poll_datagram().is_some() {}
            return;
        }
        if self.health == Health::Well {
            self.work();
        }
        self.transactions.process(now);
        while let Some(datagram) = self.transactions.poll_datagram() {
            if self.health == Health::Well {
                self.datagrams.push_back(datagram);
            }
        }
    }

    fn next_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.datagrams.pop_front()
    }

    fn wake(&self) -> Option<Moment> {
        let script = self.script.first_key_value().map(|((moment, _), _)| *moment);
        let work = self.in_hand.as_ref().map(|(done, _)| *done).filter(|_| self.health == Health::Well);
        let transactions = self.transactions.poll_timeout().filter(|_| self.is_there());
        script.into_iter().chain(work).chain(transactions).min()
    }
}

/// What is still to come for the server. Kills and starts of its process are the rig's.
fn script(day: &Scenario, nth: usize, start: Moment, now: Moment) -> BTreeMap<(Moment, usize), Act> {
    let mut script = BTreeMap::new();
    for (at, trouble) in day.faults.iter().enumerate() {
        let (begins, ends) = (start + trouble.start, start + trouble.start + trouble.duration);
        if ends <= now || (trouble.kind != FaultKind::AllSlow && !trouble.targets.contains(&nth)) {
            continue;
        }
        let acts = match trouble.kind {
            FaultKind::Silent => (Act::Health(Health::Silent), Act::Health(Health::Well)),
            FaultKind::Vanish => (Act::Health(Health::Away), Act::Health(Health::Well)),
            FaultKind::Slow | FaultKind::AllSlow => (Act::Slower(trouble.magnitude), Act::Slower(1.0)),
            FaultKind::Replaced => (Act::Drain, Act::Replace),
            _ => continue,
        };
        script.insert((begins, at * 2), acts.0);
        script.insert((ends, at * 2 + 1), acts.1);
    }
    script
}
