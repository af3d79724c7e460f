//! Whoever decides, with one thing wrong.

use std::collections::{BTreeMap, BTreeSet};

use ochrelead_core::call::{Decision, Ending, Lines, ListState, Listing, Offer, Outlook, Reason, Report};
use ochrelead_core::index::{ServerIx, ServiceIx, SessionIx};
use ochrelead_core::time::Moment;
use ochrelead_host::judge::Judge;

/// What is wrong with whoever decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    ReleaseWaitSkipped,
    DrainReadAsAdvice,
    StartForgotten,
    AnswerForgotten,
    InvitedTwice,
    TokenNotCharged,
}

/// A judge that does one thing wrong.
pub struct Wrong {
    fault: Fault,
    judge: Box<dyn Judge + Send>,
    again: Option<Decision>,
    invites: BTreeMap<SessionIx, u32>,
    servers: BTreeSet<ServerIx>,
}

impl Judge for Wrong {
    fn clock(&mut self, now: Moment) {
        self.judge.clock(now);
    }
    fn offered(&mut self, session: SessionIx, offer: Offer) {
        self.invites.insert(session, 0);
        self.judge.offered(session, offer);
    }
    fn stands(&mut self, session: SessionIx) {
        self.judge.stands(session);
    }
    fn ended(&mut self, session: SessionIx, server: ServerIx, ending: Ending, over: bool) {
        let waits = matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled);
        let ending = match self.fault {
            Fault::ReleaseWaitSkipped if waits && !over => Ending::BusyReplied { no_line: false, wait: None },
            _ => ending,
        };
        self.judge.ended(session, server, ending, over);
    }
    fn hung_up(&mut self, session: SessionIx) {
        self.judge.hung_up(session);
    }
    fn listed(&mut self, whole: bool, listings: &[Listing]) {
        self.servers.extend(listings.iter().map(|own| own.server));
        let listings: Vec<Listing> = listings
            .iter()
            .map(|own| {
                let ready = ListState::Ready { started: None };
                let state = match (self.fault, own.state) {
                    (Fault::DrainReadAsAdvice, ListState::Draining) => ready,
                    (Fault::StartForgotten, ListState::Ready { .. }) => ready,
                    (_, state) => state,
                };
                Listing { state, ..*own }
            })
            .collect();
        self.judge.listed(whole, &listings);
    }
    fn served(&mut self, service: ServiceIx, servers: &[i64]) {
        self.judge.served(service, servers);
    }
    fn lines_told(&mut self, server: ServerIx, lines: Lines) {
        self.judge.lines_told(server, lines);
    }
    fn reported(&mut self, server: ServerIx, report: Report) {
        self.judge.reported(server, report);
    }
    fn decide(&mut self) -> Option<Decision> {
        if let Some(again) = self.again.take() {
            return Some(again);
        }
        let decision = self.judge.decide()?;
        match (self.fault, decision) {
            (Fault::AnswerForgotten, Decision::Refuse { .. } | Decision::Terminate { .. }) => self.decide(),
            (Fault::InvitedTwice, Decision::Invite { .. }) => {
                self.again = Some(decision);
                Some(decision)
            }
            (Fault::TokenNotCharged, Decision::Refuse { session, .. }) => {
                let invites = self.invites.entry(session).or_insert(0);
                *invites += 1;
                let server = self.servers.first().copied().filter(|_| *invites < 8);
                Some(server.map_or(decision, |server| Decision::Invite { session, server, patience: None }))
            }
            _ => Some(decision),
        }
    }
    fn wake(&mut self) -> Option<Moment> {
        self.judge.wake()
    }
    fn why(&self) -> Option<Reason> {
        self.judge.why()
    }
    fn outlook(&self, server: ServerIx) -> Option<Outlook> {
        self.judge.outlook(server)
    }
}

impl Wrong {
    pub fn new(fault: Fault, judge: Box<dyn Judge + Send>) -> Wrong {
        Wrong { fault, judge, again: None, invites: BTreeMap::new(), servers: BTreeSet::new() }
    }
}
