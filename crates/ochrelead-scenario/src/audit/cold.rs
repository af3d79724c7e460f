//! Rule four: what all fronts together sent to a cold server, against what the script says it could do.

use std::collections::{BTreeMap, HashSet, VecDeque};

use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Message, TransactionId, Verb, code, parameter};

use super::Verdict;
use super::sightings::{Seen, What, state};
use crate::party::Party;

/// Work beyond the budget, in set-ups, that is put down to chance.
const SLACK: f64 = 3.0;
/// The rule is broken only where so much of the work came from fronts that had been told of the start.
const KNOWING: f64 = 2.0 / 3.0;
/// All fronts are told of one start within this.
const ONE_START: Span = Span::from_secs(1);

#[derive(Default)]
struct Cold {
    began: Option<Moment>,
    rsips: HashSet<(u16, TransactionId)>,
    told: HashSet<u16>,
    /// Work of late, in set-ups, and whether its sender had been told.
    work: VecDeque<(Moment, f64, bool)>,
    seen: HashSet<(u16, TransactionId)>,
    /// Set-ups whose refusal has not been seen.
    open: BTreeMap<(u16, TransactionId), Moment>,
    broken: bool,
}

pub fn judge(day: &Scenario, seen: &[Seen], verdict: &mut Verdict) {
    let mut servers: BTreeMap<u16, Cold> = BTreeMap::new();
    for one in seen {
        match (&one.what, one.from, one.to) {
            (What::Message(Message::Command(command)), Party::Server(server), Party::Front(front))
                if command.verb == Verb::RestartInProgress =>
            {
                let restarts = command.parameters.get(parameter::RESTART_METHOD) == Some("restart");
                let cold = servers.entry(server).or_default();
                if restarts && !one.reached {
                    cold.start(one.at, (front, command.transaction));
                } else if restarts {
                    cold.told.insert(front);
                }
            }
            (What::Message(Message::Command(command)), Party::Front(front), Party::Server(server))
                if command.verb == Verb::CreateConnection && one.reached =>
            {
                let cold = servers.entry(server).or_default();
                cold.reached(day, usize::from(server), one.at, (front, command.transaction), verdict);
            }
            (What::Message(Message::Response(response)), Party::Server(server), Party::Front(front))
                if response.code == code::OVERLOAD && !one.reached =>
            {
                let figures = &day.servers[usize::from(server)];
                let cold = servers.entry(server).or_default();
                cold.refused((front, response.transaction), figures.read_work + figures.reject_work);
            }
            _ => {}
        }
    }
}

impl Cold {
    /// An RSIP restart has left. Repeats, and the copies for the other fronts, belong to one start.
    fn start(&mut self, at: Moment, rsip: (u16, TransactionId)) {
        let fresh = self.rsips.insert(rsip);
        if fresh && self.began.is_none_or(|began| at.since(began) > ONE_START) {
            *self = Cold { began: Some(at), rsips: std::mem::take(&mut self.rsips), ..Cold::default() };
        }
    }

    fn refused(&mut self, invite: (u16, TransactionId), work: f64) {
        if let Some(then) = self.open.remove(&invite)
            && let Some(entry) = self.work.iter_mut().find(|(at, set_ups, _)| *at == then && *set_ups == 1.0)
        {
            entry.1 = work;
        }
    }

    fn reached(
        &mut self,
        day: &Scenario,
        server: usize,
        at: Moment,
        invite: (u16, TransactionId),
        verdict: &mut Verdict,
    ) {
        let (figures, rules) = (&day.servers[server], &day.front.controller);
        let Some(began) = self.began.filter(|began| at.since(*began) < figures.warm_up_time) else {
            return self.work.clear();
        };
        let first = self.seen.insert(invite);
        let set_ups = if first { 1.0 } else { figures.repeat_work };
        if first {
            self.open.insert(invite, at);
        }
        self.work.push_back((at, set_ups, self.told.contains(&invite.0)));
        while self.work.front().is_some_and(|(then, ..)| at.since(*then) > rules.overload_duration) {
            self.work.pop_front();
        }
        let warmth = at.since(began).ratio(figures.warm_up_time);
        let slower = state(day, server, at).0.unwrap_or(1.0);
        let speed = (figures.cold_share + (1.0 - figures.cold_share) * warmth) / slower;
        let able =
            rules.overload_duration.ratio(figures.set_up_time()) * speed * rules.overload_multiple + SLACK;
        let sent: f64 = self.work.iter().map(|(_, set_ups, _)| set_ups).sum();
        let known: f64 = self.work.iter().filter(|(.., told)| *told).map(|(_, set_ups, _)| set_ups).sum();
        verdict.tested[3].case();
        verdict.tested[3].used(sent / able);
        if sent > able && known >= sent * KNOWING && !self.broken {
            self.broken = true;
            let how = format!("{sent:.1} set-ups within the fall time where {able:.1} are its limit");
            verdict.breach(4, format!("server {server}"), at, how);
        }
    }
}
