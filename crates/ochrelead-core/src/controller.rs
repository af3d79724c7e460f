//! The decisions on sessions.
//!
//! A host reports what it sees through the `on_*` methods, which only update state. After each turn it calls
//! [`Controller::next_decision`] until there is none left, and [`Controller::poll_timeout`] for the next turn.
//! Here: the course of a session. `observations`: what events mean; `admission`: whether a server can take a
//! session; `slow_start`: what a cold server may be sent; `health`: outlier detection and in-flight limits.

mod admission;
mod health;
mod observations;
mod slow_start;

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand_pcg::Pcg64Mcg;

use crate::config::{ControllerConfig, Tenant};
use crate::index::{ServerIx, SessionIx};
use crate::sliding_window::SlidingWindow;
use crate::state::{Desk, Numbers, Out, Quota, Server, Session, Sessions};
use crate::time::{Moment, Span};
use crate::types::{
    BudgetGrant, Decision, DecisionReason, InviteOutcome, RejectionCause, RoutingChoice, ServerSnapshot,
};

const USUAL_INVITES: u32 = 3;
/// Callers are asked back after this share of the post-dial target: the same try may still make it.
const AWAY_SHARE: f64 = 0.2;
/// Where answers get lost an INVITE is waited for this share of a target.
const LOST_SHARE: f64 = 0.5;
/// The widths of the buckets of time: of the present (eight), of the long run (sixteen).
const PRESENT: Span = Span::from_millis(250);
const LONG: Span = Span::from_secs(2);
/// While an answer is awaited the host is asked to come so many times in a post-dial target.
const WATCHES: u64 = 8;

/// The decisions of one front.
pub struct Controller {
    now: Moment,
    desks: Vec<Desk>,
    /// The shortest post-dial target.
    target: Span,
    most_invites: u32,
    longest_away: Span,
    release_wait: Span,
    warm_after: Span,
    /// What a server just started may be sent before it falls over, in set-ups of a warm one.
    cold_multiple: f64,
    fall_multiple: f64,
    fall_after: Span,
    born: Moment,
    /// The members' shares, and what a session beyond one is worth.
    quotas: Vec<Quota>,
    over_share_worth: f64,
    /// The part of all sessions that an even one of the fronts carries.
    even_part: f64,
    /// The answers of all servers over the long run, and the sessions of late that left their destination.
    answers: SlidingWindow<16>,
    overflow: SlidingWindow<8>,
    /// A session's worth, on the mean of late.
    usual_worth: f64,
    margin: Span,
    sessions: Sessions,
    servers: Vec<Server>,
    numbers: Numbers,
    due: BTreeSet<(Moment, SessionIx)>,
    /// When the host was last asked to come, and by how much it came too late for this turn.
    alarm: Option<Moment>,
    overslept: Span,
    /// Why the decision last pulled is what it is.
    reason: DecisionReason,
    chance: Pcg64Mcg,
}

impl Controller {
    pub fn new(provision: &ControllerConfig, now: Moment) -> Self {
        let least = provision.services.iter().map(|s| s.value).fold(f64::INFINITY, f64::min);
        let target =
            provision.services.iter().map(|s| s.post_dial_target).min().unwrap_or(Span::from_secs(1));
        let fronts = f64::from(provision.fronts.max(1));
        let quota = |member: &Tenant| Quota::new(member.quota_per_s / fronts, LONG);
        Controller {
            now,
            desks: provision.services.iter().map(|service| Desk::new(service, least)).collect(),
            target,
            most_invites: match provision.max_invites {
                0 => USUAL_INVITES,
                most => most.min(USUAL_INVITES),
            },
            longest_away: provision.max_retry_after,
            release_wait: provision.resend_delay,
            warm_after: provision.warm_up_time,
            cold_multiple: provision.cold_capacity_share * provision.overload_multiple,
            fall_multiple: provision.overload_multiple,
            fall_after: provision.overload_duration,
            born: now,
            quotas: provision.tenants.iter().map(quota).collect(),
            over_share_worth: provision.over_quota_value_share,
            even_part: 1.0 / fronts,
            answers: SlidingWindow::new(LONG),
            overflow: SlidingWindow::new(PRESENT * 2),
            usual_worth: 1.0,
            margin: provision.min_turn_interval,
            sessions: Sessions::default(),
            servers: Vec::new(),
            numbers: Numbers::default(),
            due: BTreeSet::new(),
            alarm: None,
            overslept: Span::ZERO,
            reason: DecisionReason::Rejected(RejectionCause::NoCapacity),
            chance: Pcg64Mcg::seed_from_u64(provision.seed),
        }
    }

    /// The host's clock; told before anything else of a turn. A front that stood still finds all that came
    /// meanwhile in one turn: what it overslept is not booked as the servers' answer time.
    pub fn advance_to(&mut self, now: Moment) {
        if now > self.now {
            let late = self.alarm.map_or(Span::ZERO, |alarm| now.since(alarm));
            self.overslept = if late > self.margin * 4 { late } else { Span::ZERO };
            self.now = now;
        }
    }

    // ---- What is decided ----

    /// The next decision, until there is none left for this turn.
    pub fn next_decision(&mut self) -> Option<Decision> {
        self.end_trials();
        while let Some(&(moment, session)) = self.due.first() {
            if moment > self.now {
                return None;
            }
            self.due.pop_first();
            if let Some(decision) = self.judge(session) {
                return Some(decision);
            }
        }
        None
    }

    /// Why the decision last pulled is what it is.
    pub fn last_reason(&self) -> DecisionReason {
        self.reason
    }

    /// What is held of a server now, for records.
    pub fn server_snapshot(&self, server: ServerIx) -> Option<ServerSnapshot> {
        let (at, now, target) = (self.servers.get(server.index())?, self.now, self.target);
        Some(ServerSnapshot {
            in_flight_limit: at.limit(now, target),
            in_flight: at.waiting(target).count() as u32,
            answer_time: at.answer_time(now, target),
            ejected: at.sick,
            warming_up: now < at.fresh_until,
            last_attempt_failed: at.troubled,
            setup_rate: at.flow,
            lines: at.lines,
        })
    }

    /// When the host is to come again although nothing happens. While an answer is awaited that is often
    /// enough to tell by a late turn that this front itself stood still.
    pub fn poll_timeout(&mut self) -> Option<Moment> {
        let now = self.now;
        let due = self.due.first().map(|(moment, _)| *moment);
        let trials = self.servers.iter().filter_map(|at| at.trial_over(self.target));
        let awaited = self.servers.iter().any(|at| !at.out.is_empty());
        let watch = awaited.then(|| now + self.target / WATCHES);
        self.alarm = due.into_iter().chain(trials).chain(watch).filter(|moment| *moment > now).min();
        self.alarm
    }

    /// One due session: an INVITE, a final answer, or (none) the wait for the release.
    fn judge(&mut self, session: SessionIx) -> Option<Decision> {
        let now = self.now;
        let held = self.sessions.get(session)?;
        let desk = &self.desks[held.offer.service.index()];
        let (repeatable, target) = (desk.repeatable, desk.target);
        let may_run = match held.last {
            None | Some(InviteOutcome::Rejected { .. }) => true,
            Some(InviteOutcome::TimedOut | InviteOutcome::Reset | InviteOutcome::Cancelled) => repeatable,
            Some(_) => false,
        };
        let ready = held.not_before.max(now);
        let in_time = ready + self.margin < held.offer.deadline;
        // A number whose lines were all busy a moment ago takes nothing.
        let busy = held.offer.called_number.is_some_and(|number| self.numbers.get(number).busy_until > now);
        let spent = held.invites >= self.most_invites;
        let denials = [
            (!may_run, RejectionCause::NotRetryable),
            (!in_time, RejectionCause::DeadlineTooClose),
            (busy, RejectionCause::CalledNumberBusy),
            (spent, RejectionCause::AttemptsExhausted),
        ];
        if let Some((_, denial)) = denials.into_iter().find(|(holds, _)| *holds) {
            return Some(self.give_up(session, denial));
        }
        let (resend, paid) = (held.invites > 0, held.paid);
        let kept = paid.map(|(to, _)| to).filter(|to| self.has_room(*to, session));
        let chosen = kept.or_else(|| self.choose(session));
        let destination = self.sessions.get(session)?.offer.destination;
        if chosen.is_none_or(|to| self.servers[to.index()].number != destination) {
            self.overflow.record(now, Span::ZERO);
        }
        let Some(server) = chosen else {
            return Some(self.give_up(session, RejectionCause::NoCapacity));
        };
        let payment = match paid {
            _ if !resend => BudgetGrant::Free,
            Some((to, payment)) if to == server => payment,
            _ => {
                self.refund(session);
                let Some(payment) = self.servers[server.index()].bucket.withdraw(now) else {
                    return Some(self.give_up(session, RejectionCause::NoRetryBudget));
                };
                payment
            }
        };
        let held = self.sessions.get_mut(session)?;
        if ready > now {
            held.paid = Some((server, payment));
            held.due = Some(ready);
            self.due.insert((ready, session));
            return None;
        }
        held.paid = None;
        held.due = None;
        held.out = Some(Out { server, sent: now });
        held.invites += 1;
        let at = &mut self.servers[server.index()];
        at.out.push((now, session));
        at.tried = at.sick;
        at.sent.record(now, Span::ZERO);
        at.lines.free = at.lines.free.saturating_sub(1);
        if !resend {
            at.bucket.deposit(now);
        }
        let choice =
            if at.number == destination { RoutingChoice::Destination } else { RoutingChoice::WeightedDraw };
        self.reason = DecisionReason::Sent { choice, grant: payment };
        // Where answers get lost there is time for another INVITE.
        let patience = (now < at.lossy_until && repeatable).then(|| target.scaled(LOST_SHARE));
        Some(Decision::Invite { session, server, answer_timeout: patience })
    }

    /// The destination while it has room, then a weighted draw among the others that have.
    fn choose(&mut self, session: SessionIx) -> Option<ServerIx> {
        let held = self.sessions.get(session)?;
        let allowed = &self.desks[held.offer.service.index()].servers;
        let all = (0..self.servers.len()).map(ServerIx::new);
        let open: Vec<ServerIx> = all
            .filter(|at| allowed.is_empty() || allowed.contains(&self.servers[at.index()].number))
            .filter(|at| !held.spurned.contains(at))
            .collect();
        let mut fit: Vec<ServerIx> = open.iter().copied().filter(|at| self.has_room(*at, session)).collect();
        if fit.is_empty() {
            fit = open.into_iter().filter(|at| self.is_last_resort(*at)).collect();
        }
        let destination = held.offer.destination;
        if let Some(first) = fit.iter().find(|at| self.servers[at.index()].number == destination) {
            return Some(*first);
        }
        let weigh = |at: &Server| at.listed_weight * at.weight(self.now) * f64::from(at.lines.free.max(1));
        let draw = WeightedIndex::new(fit.iter().map(|at| weigh(&self.servers[at.index()]))).ok()?;
        Some(fit[draw.sample(&mut self.chance)])
    }

    /// Given up: answered at once, with a time to come back where that may be named.
    fn give_up(&mut self, session: SessionIx, denial: RejectionCause) -> Decision {
        let now = self.now;
        self.reason = DecisionReason::Rejected(denial);
        let Some(held) = self.forget(session) else { return Decision::Fail { session } };
        if let Some(number) = held.offer.called_number {
            self.numbers.get_mut(number).given_up = Some(now);
        }
        let desk = &self.desks[held.offer.service.index()];
        if held.invites > 0 && !desk.repeatable {
            return Decision::Fail { session };
        }
        let come_back =
            (self.longest_away > Span::ZERO).then_some(self.longest_away.min(desk.target.scaled(AWAY_SHARE)));
        Decision::Reject { session, retry_after: come_back }
    }

    fn forget(&mut self, session: SessionIx) -> Option<Session> {
        self.refund(session);
        let held = self.sessions.take(session)?;
        if let Some(due) = held.due {
            self.due.remove(&(due, session));
        }
        Some(held)
    }

    /// What a session's next INVITE had paid goes back, once.
    fn refund(&mut self, session: SessionIx) {
        if let Some((to, payment)) = self.sessions.get_mut(session).and_then(|held| held.paid.take()) {
            self.servers[to.index()].bucket.refund(self.now, payment);
        }
    }
}
