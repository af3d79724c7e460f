//! Rules one, two, three and five, try by try.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Command, Message, Response, TransactionId, Verb, code, parameter};

use super::Verdict;
use super::sightings::{Mark, Seen, What};
use crate::party::Party;

/// A datagram that reached a front less than this ago may still wait in its socket: what the front does
/// meanwhile it does without knowing. Machines under load need that long.
const IN_SOCKET: Span = Span::from_millis(50);
/// A final answer may be so late; the operators' figure for the bench.
const ANSWER_GRACE: Span = Span::from_millis(20);
/// Nothing new goes to a server so long after the front was told.
const DRAIN_GRACE: Span = Span::from_millis(250);

/// A front's clock may run faster than the capture's by this share.
const CLOCKS: f64 = 0.001;

#[derive(Clone, Copy)]
struct Out {
    server: u16,
    transaction: TransactionId,
}

struct Try {
    taken: Moment,
    limit: Moment,
    answers: HashSet<TransactionId>,
    answered: Option<Moment>,
    hung_up: Option<Moment>,
    out: Option<Out>,
    /// When the last INVITE ended so that the release has to be awaited.
    release_from: Option<Moment>,
}

#[derive(Default)]
struct Front {
    tries: BTreeMap<String, Try>,
    /// All INVITEs by their transaction: try, and from when on no repeat of it may go out.
    invites: HashMap<TransactionId, (String, Option<Moment>)>,
    /// Servers that drain or are gone, since when this front was told.
    leaving: BTreeMap<u16, Moment>,
    /// What servers said of their restarts: a repeat is no news.
    told: BTreeSet<(u16, TransactionId)>,
    /// The server that this front's fleet file has draining, and since when; its last INVITE after that.
    drained: Option<(u16, Moment, Option<Moment>)>,
    /// Its process was killed and has not begun anew.
    dead: bool,
    halted: bool,
    /// The last time that it stood still, until then.
    resumed: Option<Moment>,
}

/// The judge of one capture.
struct Judge<'a> {
    day: &'a Scenario,
    fronts: BTreeMap<u16, Front>,
    verdict: &'a mut Verdict,
}

pub fn judge(day: &Scenario, seen: &[Seen], verdict: &mut Verdict) {
    let mut judge = Judge { day, fronts: BTreeMap::new(), verdict };
    for one in seen {
        match &one.what {
            What::Mark(mark) => judge.mark(one.at, *mark),
            What::Message(message) => match (one.from, one.to, one.reached, message) {
                (Party::Gateway, Party::Front(front), true, Message::Command(command)) => {
                    judge.notified(one.at, front, command);
                }
                (Party::Front(front), Party::Gateway, false, Message::Command(command)) => {
                    judge.answered(one.at, front, command);
                }
                (Party::Front(front), Party::Server(server), false, Message::Command(command)) => {
                    judge.sent(one.at, front, server, command);
                }
                (Party::Server(server), Party::Front(front), true, Message::Response(response)) => {
                    judge.responded(one.at, front, server, response);
                }
                (Party::Server(server), Party::Front(front), true, Message::Command(command)) => {
                    judge.told(one.at, front, server, command);
                }
                _ => {}
            },
        }
    }
}

impl Judge<'_> {
    fn mark(&mut self, at: Moment, mark: Mark) {
        match mark {
            // What left it before the end may be seen after it: the rig reads sockets in its own time.
            Mark::Kill(Party::Front(front)) => self.fronts.entry(front).or_default().dead = true,
            Mark::Begin(Party::Front(front)) => {
                // What it held is no longer its duty; what it was told of servers it has on its list.
                let leaving = self.fronts.remove(&front).map(|front| front.leaving).unwrap_or_default();
                self.fronts.insert(front, Front { leaving, ..Front::default() });
            }
            Mark::Halt(Party::Front(front)) => self.fronts.entry(front).or_default().halted = true,
            Mark::Resume(Party::Front(front)) => {
                let front = self.fronts.entry(front).or_default();
                (front.halted, front.resumed) = (false, Some(at));
            }
            Mark::Fleet(Party::Front(front), drains) => self.listed(at, front, drains),
            Mark::End => self.end(at),
            _ => {}
        }
    }

    /// A front's fleet file is whole on disk: the time runs from its last byte.
    fn listed(&mut self, at: Moment, front: u16, drains: Option<u16>) {
        let front = self.fronts.entry(front).or_default();
        if front.drained.map(|(server, ..)| server) == drains {
            return;
        }
        if let Some((_, since, last)) = front.drained {
            self.verdict.drained.push(last.map_or(Span::ZERO, |last| last.since(since)));
        }
        front.drained = drains.map(|server| (server, at, None));
    }

    /// A caller's NTFY reached its front.
    fn notified(&mut self, at: Moment, front: u16, command: &Command) {
        let Some(tried) = command.parameters.get(parameter::ATTEMPT).filter(|_| command.verb == Verb::Notify)
        else {
            return;
        };
        let events = command.parameters.get(parameter::OBSERVED_EVENTS).unwrap_or("");
        let front = self.fronts.entry(front).or_default();
        if front.dead {
            return;
        }
        if events.contains("L/hu") {
            if let Some(held) = front.tries.get_mut(tried) {
                held.hung_up.get_or_insert(at);
            } else {
                // It overtook its try: nothing is owed when that comes.
                front.tries.insert(tried.to_owned(), Try::new(at, at, Some(at)));
            }
        } else if events.contains("L/hd") && !front.tries.contains_key(tried) {
            let digits: String =
                events.split(',').filter_map(|event| event.trim().strip_prefix("D/")).collect();
            let service =
                self.day.front_settings.service.iter().position(|own| {
                    own.dialled.as_deref().is_some_and(|dialled| digits.starts_with(dialled))
                });
            let usual = service.map_or(Span::ZERO, |service| self.day.front.timer_limits[service]);
            let told = command.parameters.parse::<u32>(parameter::TIMER_LIMIT);
            let limit = told.map_or(usual, |ms| Span::from_millis(u64::from(ms)).min(usual));
            front.tries.insert(tried.to_owned(), Try::new(at, at + limit, None));
            self.verdict.tested[0].case();
        }
    }

    /// A front tells a caller's line something.
    fn answered(&mut self, at: Moment, front: u16, command: &Command) {
        let is_final = match command.verb {
            Verb::ModifyConnection => true,
            Verb::NotificationRequest => command.parameters.get(parameter::SIGNAL_REQUESTS).is_some(),
            _ => false,
        };
        let Some(tried) = command.parameters.get(parameter::ATTEMPT).filter(|_| is_final) else { return };
        let Some(front) = self.fronts.get_mut(&front) else { return };
        let resumed = front.resumed;
        let Some(held) = front.tries.get_mut(tried) else {
            return self.verdict.breach(
                1,
                tried,
                at,
                "a final answer for a try that the front has not taken",
            );
        };
        if !held.answers.insert(command.transaction) {
            return;
        }
        if held.answers.len() > 1 {
            return self.verdict.breach(1, tried, at, "a second final answer");
        }
        held.answered = Some(at);
        if let Some(hung_up) = held.hung_up.filter(|then| at.since(*then) > IN_SOCKET && *then > held.taken) {
            let late = at.since(hung_up).micros() / 1_000;
            if resumed.is_none_or(|resumed| at.since(resumed) > IN_SOCKET) {
                self.verdict.breach(
                    1,
                    tried,
                    at,
                    format!("a final answer {late} ms after the caller hung up"),
                );
            }
            return;
        }
        let allowed = held.limit.since(held.taken);
        let excused = resumed.is_some_and(|resumed| resumed + IN_SOCKET >= at);
        if at > held.limit + ANSWER_GRACE && !excused {
            let late = at.since(held.limit).micros() / 1_000;
            self.verdict.breach(
                1,
                tried,
                at,
                format!("its final answer came {late} ms after the timer limit"),
            );
        } else if !excused {
            self.verdict.tested[0].used(at.since(held.taken).ratio(allowed).min(1.0));
        }
    }

    /// A front sends something to a server.
    fn sent(&mut self, at: Moment, number: u16, server: u16, command: &Command) {
        let front = self.fronts.entry(number).or_default();
        let tried = command.parameters.get(parameter::CALL_ID).unwrap_or("");
        match command.verb {
            Verb::DeleteConnection => {
                if let Some(held) = front.tries.get_mut(tried)
                    && let Some(out) = held.out.filter(|out| out.server == server)
                {
                    held.out = None;
                    held.release_from = Some(at);
                    if let Some((_, over)) = front.invites.get_mut(&out.transaction) {
                        *over = Some(at);
                    }
                }
            }
            Verb::CreateConnection => self.invited(at, number, server, tried, command.transaction),
            _ => {}
        }
    }

    fn invited(&mut self, at: Moment, number: u16, server: u16, tried: &str, transaction: TransactionId) {
        let front = self.fronts.entry(number).or_default();
        if let Some((tried, over)) = front.invites.get(&transaction) {
            if over.is_some_and(|over| at >= over) {
                let tried = tried.clone();
                self.verdict.breach(1, tried, at, "an INVITE repeated after its end");
            }
            return;
        }
        front.invites.insert(transaction, (tried.to_owned(), None));
        let told = front.leaving.get(&server).copied();
        let by_file = front.drained.as_mut().filter(|(drained, ..)| *drained == server);
        let told = by_file.map_or(told, |(_, since, last)| {
            *last = Some(at);
            Some(told.unwrap_or(*since).min(*since))
        });
        let resumed = front.resumed;
        let Some(held) = front.tries.get_mut(tried) else {
            return self.verdict.breach(1, tried, at, "an INVITE for a try that the front has not taken");
        };
        let before = held.out.replace(Out { server, transaction });
        let release_from = held.release_from.take();
        let (answered, hung_up) = (held.answered, held.hung_up);
        self.verdict.tested[1].case();
        if before.is_some() {
            self.verdict.breach(2, tried, at, "an INVITE while another is out");
        }
        if answered.is_some() {
            self.verdict.breach(1, tried, at, "an INVITE after the final answer");
        }
        let fresh = |then: Moment| {
            at.since(then) <= IN_SOCKET || resumed.is_some_and(|resumed| at.since(resumed) <= IN_SOCKET)
        };
        if hung_up.is_some_and(|then| !fresh(then)) {
            self.verdict.breach(1, tried, at, "an INVITE after the caller hung up");
        }
        self.verdict.tested[2].case();
        if let Some(told) = told {
            let since = at.since(told);
            self.verdict.tested[2].used(since.ratio(DRAIN_GRACE).min(1.0));
            if since > DRAIN_GRACE && !fresh(told) {
                let how = format!(
                    "an INVITE to server {server} {} ms after its leave was told",
                    since.micros() / 1_000
                );
                self.verdict.breach(3, tried, at, how);
            }
        }
        if let Some(from) = release_from {
            let (since, wait) = (at.since(from), self.day.front.controller.resend_delay);
            self.verdict.tested[4].case();
            if since + wait.scaled(CLOCKS) < wait {
                let how =
                    format!("an INVITE {} ms after one that has to be released", since.micros() / 1_000);
                self.verdict.breach(5, tried, at, how);
            } else {
                self.verdict.tested[4].used(wait.ratio(since));
            }
        }
    }

    /// A server's response reached a front.
    fn responded(&mut self, at: Moment, front: u16, server: u16, response: &Response) {
        let Some(front) = self.fronts.get_mut(&front) else { return };
        if response.is_provisional() || response.code == code::ACKNOWLEDGED {
            return;
        }
        let Some((tried, over)) = front.invites.get_mut(&response.transaction) else { return };
        let Some(held) = front.tries.get_mut(tried.as_str()) else { return };
        if held.out.is_some_and(|out| out.transaction == response.transaction && out.server == server) {
            *over = Some(at + IN_SOCKET);
            held.out = None;
            let cut = matches!(
                response.code,
                code::RESTARTING | code::TIMED_OUT | code::ABORTED | code::ENDPOINT_RESTARTING
            );
            held.release_from = cut.then_some(at);
        }
    }

    /// A server's own command reached a front.
    fn told(&mut self, at: Moment, number: u16, server: u16, command: &Command) {
        let front = self.fronts.entry(number).or_default();
        match command.verb {
            Verb::RestartInProgress if !front.told.insert((server, command.transaction)) => {}
            Verb::RestartInProgress => {
                let method =
                    command.parameters.get(parameter::RESTART_METHOD).unwrap_or("").to_ascii_lowercase();
                match method.as_str() {
                    "graceful" => {
                        front.leaving.entry(server).or_insert(at);
                    }
                    "forced" => {
                        front.leaving.entry(server).or_insert(at);
                        front.cut(server, None, at);
                    }
                    "restart" => {
                        front.leaving.remove(&server);
                        front.cut(server, None, at);
                    }
                    "cancel-graceful" => {
                        front.leaving.remove(&server);
                    }
                    _ => {}
                }
            }
            Verb::DeleteConnection => front.cut(server, command.parameters.get(parameter::CALL_ID), at),
            _ => {}
        }
    }

    /// The capture ends: what was taken and is past its limit must have its answer.
    fn end(&mut self, at: Moment) {
        for front in self.fronts.values().filter(|front| !front.halted && !front.dead) {
            for (tried, held) in &front.tries {
                let owed = held.answered.is_none() && held.hung_up.is_none();
                if owed && held.limit + ANSWER_GRACE < at {
                    let how = "no final answer by the timer limit";
                    self.verdict.breach(1, tried.clone(), held.limit, how);
                }
            }
        }
    }
}

impl Try {
    fn new(taken: Moment, limit: Moment, hung_up: Option<Moment>) -> Try {
        Try { taken, limit, answers: HashSet::new(), answered: None, hung_up, out: None, release_from: None }
    }
}

impl Front {
    /// INVITEs out at a server were reset: all of them, or the one of a call.
    fn cut(&mut self, server: u16, call: Option<&str>, at: Moment) {
        for (tried, held) in &mut self.tries {
            if call.is_none_or(|call| call == tried)
                && let Some(out) = held.out.filter(|out| out.server == server)
            {
                held.out = None;
                held.release_from = Some(at);
                if let Some((_, over)) = self.invites.get_mut(&out.transaction) {
                    *over = Some(at + IN_SOCKET);
                }
            }
        }
    }
}
