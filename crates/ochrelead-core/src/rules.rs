//! All that ochrelead decides.
//!
//! The host feeds a [`Controller`] with what it sees (`clock`, `offered`, `stands`, `ended`, `hung_up`,
//! `listed`, `served`, `lines_told`, `reported`); these calls only update what is known. After each turn it
//! pulls [`Controller::decide`] until there is none left and asks [`Controller::wake`] when to come again.
//! The interface: `call.rs` has the types that pass between the two, `provision.rs` the start-up figures,
//! `index.rs` and `time.rs` what stands for ids and times. `ledger.rs` is the module's memory.

use std::collections::BTreeSet;

use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::call::{
    Choice, Decision, Denial, Ending, Lines, ListState, Listing, Offer, Outlook, Payment, Reason, Report,
};
use crate::index::{MemberIx, ServerIx, ServiceIx, SessionIx};
use crate::ledger::{Desk, Numbers, Out, Quota, Server, Session, Sessions};
use crate::provision::{Member, Provision};
use crate::ring::Ring;
use crate::time::{Moment, Span};

const USUAL_INVITES: u32 = 3;
/// The share of a server's lines that is kept from a session of the least value, and less from a worthier.
const LINES_KEPT: f64 = 0.01;
/// Where lines are that short, so much of what falls free is filled; the rest is for chance.
const FREED_USED: f64 = 0.6;
/// A session to a number given up on less than so many post-dial targets ago is taken for a redial.
const REDIAL_TARGETS: u64 = 4;
/// Callers are asked back after this share of the post-dial target: the same try may still make it.
const AWAY_SHARE: f64 = 0.2;
/// An answer within this share of the post-dial target is no sign of a queue.
const EASY_SHARE: f64 = 0.2;
/// The least that the in-flight limit may be, as a share of one INVITE.
const LEAST_LIMIT: f64 = 0.125;
/// How much of a cold server's fall budget, by this front's share, set-ups may fill; the rest is for
/// answers, releases, repeats and the unevenness of chance.
const COLD_PART: f64 = 0.4;
/// A server is sent so many times what it answers or sets up ...
const GROWTH: f64 = 1.5;
/// ... and, where it is not fresh, this share of what fills its lines besides: what takes over from a larger one
/// has to grow within a drain, not within the next.
const TRICKLE: f64 = 0.2;
/// What is known of a cold server by its lines alone counts for this share.
const UNTOLD: f64 = 0.1;
/// With so many answers of late a front sees a queue by itself.
const ENOUGH: u32 = 4;
/// What is left of the trickle while this front has met trouble there.
const TROUBLED_TRICKLE: f64 = TRICKLE / 10.0;
/// An answer that took more than this share of the target cuts what a server may be sent.
const LATE_SHARE: f64 = 0.5;
/// An INVITE to a server whose answers got lost so many targets ago is waited for this share of a target.
const LOSSY_TARGETS: u64 = 8;
const LOST_SHARE: f64 = 0.5;
/// How far one session moves the mean worth.
const WORTH_STEP: f64 = 0.05;
/// What a server says of its lines and its processor is good for so many post-dial targets.
const REPORT_TARGETS: u64 = 6;
/// The widths of the buckets of time: of lines told, of the present (eight), of the long run (sixteen).
const TOLD: Span = Span::from_secs(1);
const PRESENT: Span = Span::from_millis(250);
const LONG: Span = Span::from_secs(2);
/// A server's weight after a slow or full set-up, and how much of the lost part each second brings back.
const WEIGHT_CUT: f64 = 0.5;
const WEIGHT_BACK: f64 = 0.1;
/// While an answer is awaited the host is asked to come so many times in a post-dial target.
const WATCHES: u64 = 8;
/// The longest time between two trials of a sick server, in post-dial targets.
const LONGEST_GAP: u64 = 4;

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
    answers: Ring<16>,
    overflow: Ring<8>,
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
    reason: Reason,
    chance: Pcg64Mcg,
}

impl Controller {
    pub fn new(provision: &Provision, now: Moment) -> Self {
        let least = provision.services.iter().map(|s| s.value).fold(f64::INFINITY, f64::min);
        let target =
            provision.services.iter().map(|s| s.post_dial_target).min().unwrap_or(Span::from_secs(1));
        let fronts = f64::from(provision.fronts.max(1));
        let quota = |member: &Member| Quota::new(member.quota_per_s / fronts, LONG);
        Controller {
            now,
            desks: provision.services.iter().map(|service| Desk::new(service, least)).collect(),
            target,
            most_invites: match provision.most_invites {
                0 => USUAL_INVITES,
                most => most.min(USUAL_INVITES),
            },
            longest_away: provision.longest_away,
            release_wait: provision.release_wait,
            warm_after: provision.warm_after,
            cold_multiple: provision.cold_share * provision.fall_multiple,
            fall_multiple: provision.fall_multiple,
            fall_after: provision.fall_after,
            born: now,
            quotas: provision.members.iter().map(quota).collect(),
            over_share_worth: provision.over_share_worth,
            even_part: 1.0 / fronts,
            answers: Ring::new(LONG),
            overflow: Ring::new(PRESENT * 2),
            usual_worth: 1.0,
            margin: provision.turn,
            sessions: Sessions::default(),
            servers: Vec::new(),
            numbers: Numbers::default(),
            due: BTreeSet::new(),
            alarm: None,
            overslept: Span::ZERO,
            reason: Reason::Denied(Denial::NoRoom),
            chance: Pcg64Mcg::seed_from_u64(provision.seed),
        }
    }

    // ---- What is seen ----

    /// The host's clock; told before anything else of a turn. A front that stood still finds all that came
    /// meanwhile in one turn: what it overslept is not booked as the servers' answer time.
    pub fn clock(&mut self, now: Moment) {
        if now > self.now {
            let late = self.alarm.map_or(Span::ZERO, |alarm| now.since(alarm));
            self.overslept = if late > self.margin * 4 { late } else { Span::ZERO };
            self.now = now;
        }
    }

    pub fn offered(&mut self, session: SessionIx, offer: Offer) {
        // Redials pass for first tries where nothing marks them: they are known by their number.
        let (now, memory) = (self.now, self.target * REDIAL_TARGETS);
        let known = offer.number.map(|number| self.numbers.get(number)).unwrap_or_default();
        let again = known.given_up.filter(|given_up| now.since(*given_up) < memory);
        let first_tried = again.map_or(now, |_| known.first_tried);
        if let Some(number) = offer.number {
            self.numbers.get_mut(number).first_tried = first_tried;
        }
        if let Some(quota) = offer.member.and_then(|member| self.quotas.get_mut(member.at())) {
            quota.asked.add(now, Span::ZERO);
        }
        if let Some(desk) = self.desks.get_mut(offer.service.at()) {
            desk.offered += 1.0;
        }
        for at in self.servers.iter_mut().filter(|at| at.number == offer.destination) {
            at.wanted.add(now, Span::ZERO);
        }
        let luck = self.chance.random::<f64>();
        let held = Session::new(offer, now, first_tried, luck);
        self.usual_worth += (self.worth(&held) - self.usual_worth) * WORTH_STEP;
        self.sessions.put(session, held);
        self.due.insert((self.now, session));
    }

    /// The session's INVITE was answered: the call stands.
    pub fn stands(&mut self, session: SessionIx) {
        let now = self.now;
        let Some(held) = self.sessions.get_mut(session) else { return };
        let Some(Out { server, sent }) = held.out.take() else { return };
        held.standing = true;
        if let Some(number) = held.offer.number {
            self.numbers.get_mut(number).run = 0;
        }
        let took = now.since(sent) - self.overslept;
        self.answers.add(now, took);
        let slow = self.target.scaled(EASY_SHARE * 2.0);
        let at = &mut self.servers[server.at()];
        at.out.retain(|(_, out)| *out != session);
        at.present.add(now, took);
        at.long.add(now, took);
        at.latest = Some((now, took));
        at.answered_sent = at.answered_sent.max(sent);
        at.heard = now;
        at.troubled = false;
        if took > slow {
            at.cut_weight(now);
        }
        if took > self.target {
            at.fall_sick(now, self.target, self.target);
        } else {
            (at.sick, at.gap) = (false, Span::ZERO);
        }
    }

    /// An INVITE, or the call that it set up, has ended. `over`: the session has its answer.
    pub fn ended(&mut self, session: SessionIx, server: ServerIx, ending: Ending, over: bool) {
        let now = self.now;
        let sent = self.sessions.get(session).and_then(|held| held.out).map_or(now, |out| out.sent);
        if let Some(at) = self.servers.get_mut(server.at()) {
            at.out.retain(|(_, out)| *out != session);
            // No answer, though a later INVITE had one: it was lost, and the server is not slow.
            if ending == Ending::TimedOut && sent < at.answered_sent {
                at.lossy_until = now + self.target * LOSSY_TARGETS;
            }
            match ending {
                // Busy lines, a number's or its own, are no trouble of the processor.
                Ending::Released => at.heard = now,
                // Nor does a trial that met them tell whether it is fit: the next session is another.
                Ending::Fault { lines_busy: true } => (at.heard, at.tried) = (now, false),
                // A server that answers quickly with faults would draw ever more sessions into them.
                Ending::Fault { lines_busy: false } => {
                    at.heard = now;
                    at.meet_trouble(now);
                    at.fall_sick(now, self.target, self.target);
                    at.faulty = true;
                }
                Ending::BusyReplied { no_line: true, .. } => {
                    (at.heard, at.lines.free, at.sick) = (now, 0, false);
                    at.cut_weight(now);
                }
                Ending::BusyReplied { wait, .. } => {
                    at.heard = now;
                    at.meet_trouble(now);
                    if at.sick || wait.is_some() {
                        at.fall_sick(now, wait.unwrap_or(self.target), self.target);
                    }
                }
                Ending::ConnectFailed => at.fall_sick(now, self.target, self.target),
                Ending::TimedOut | Ending::Reset | Ending::Cancelled | Ending::Unsent => {
                    at.meet_trouble(now);
                    // A trial that ends without an answer leaves the server sick, for longer.
                    if at.sick {
                        at.fall_sick(now, self.target, self.target);
                    }
                }
            }
        }
        let (target, release_wait) = (self.target, self.release_wait);
        let Some(held) = self.sessions.get_mut(session) else { return };
        held.last = Some(ending);
        let number = held.offer.number;
        if over || held.over || held.standing {
            self.forget(session);
        } else {
            held.out = None;
            held.spurned.push(server);
            if matches!(ending, Ending::TimedOut | Ending::Reset | Ending::Cancelled) {
                held.not_before = now + release_wait;
            }
            held.due = Some(now);
            self.due.insert((now, session));
        }
        // A number whose lines were all busy is left alone, longer each time; a release frees one.
        if let Some(number) = number {
            let known = self.numbers.get_mut(number);
            match ending {
                Ending::Fault { lines_busy: true } => {
                    known.run = known.run.saturating_add(1);
                    known.busy_until = now + target * u64::from(known.run.min(4));
                }
                Ending::Released => known.busy_until = now,
                _ => {}
            }
        }
    }

    /// The caller has gone, or the session was answered elsewhere.
    pub fn hung_up(&mut self, session: SessionIx) {
        let Some(held) = self.sessions.get_mut(session) else { return };
        held.over = true;
        if held.out.is_none() {
            self.forget(session);
        }
    }

    /// News of the server list; `whole` where it names all servers there are.
    pub fn listed(&mut self, whole: bool, listings: &[Listing]) {
        let now = self.now;
        if whole {
            self.servers.iter_mut().for_each(|server| server.open = false);
        }
        for listing in listings {
            while self.servers.len() <= listing.server.at() {
                self.servers.push(Server::new(now, self.fall_after / 4, TOLD, PRESENT, LONG));
            }
            let warm_after = self.warm_after;
            let server = &mut self.servers[listing.server.at()];
            server.number = listing.number;
            server.listed_weight = listing.weight;
            server.open = matches!(listing.state, ListState::Ready { .. });
            if let ListState::Ready { started: Some(started) } = listing.state
                && server.started != Some(started)
            {
                server.started = Some(started);
                if started + warm_after > now {
                    server.restart(now, started + warm_after);
                }
            }
        }
    }

    /// The numbers of the servers that take a service from now on; any where none is named.
    pub fn served(&mut self, service: ServiceIx, servers: &[i64]) {
        if let Some(desk) = self.desks.get_mut(service.at()) {
            desk.servers = servers.to_vec();
        }
    }

    pub fn lines_told(&mut self, server: ServerIx, lines: Lines) {
        let hold = Desk::mean_hold(&self.desks);
        if let Some(at) = self.servers.get_mut(server.at()) {
            at.told(self.now, lines, hold);
        }
    }

    /// What share of the sessions a server takes from now on, at all fronts alike: 1 where it is not eased.
    pub fn eased(&mut self, server: ServerIx, share: f64) {
        if let Some(at) = self.servers.get_mut(server.at()) {
            at.eased = share;
        }
    }

    /// What a server says of its processor.
    pub fn reported(&mut self, server: ServerIx, report: Report) {
        let Some(at) = self.servers.get_mut(server.at()) else { return };
        if report != Report::default() {
            (at.report, at.reported) = (report, self.now);
        }
    }

    // ---- What is decided ----

    /// The next decision, until there is none left for this turn.
    pub fn decide(&mut self) -> Option<Decision> {
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
    pub fn why(&self) -> Reason {
        self.reason
    }

    /// What is held of a server now, for records.
    pub fn outlook(&self, server: ServerIx) -> Option<Outlook> {
        let (at, now, target) = (self.servers.get(server.at())?, self.now, self.target);
        Some(Outlook {
            limit: at.limit(now, target),
            waiting: at.waiting(target).count() as u32,
            answer_time: at.answer_time(now, target),
            sick: at.sick,
            fresh: now < at.fresh_until,
            troubled: at.troubled,
            flow: at.flow,
            lines: at.lines,
        })
    }

    /// When the host is to come again although nothing happens. While an answer is awaited that is often
    /// enough to tell by a late turn that this front itself stood still.
    pub fn wake(&mut self) -> Option<Moment> {
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
        let desk = &self.desks[held.offer.service.at()];
        let may_run = match held.last {
            None | Some(Ending::BusyReplied { .. }) => true,
            Some(Ending::TimedOut | Ending::Reset | Ending::Cancelled) => desk.repeatable,
            Some(_) => false,
        };
        let (repeatable, target) = (desk.repeatable, desk.target);
        let ready = held.not_before.max(now);
        let in_time = ready + self.margin < held.offer.timer_limit;
        // A number whose lines were all busy a moment ago takes nothing.
        let busy = held.offer.number.is_some_and(|number| self.numbers.get(number).busy_until > now);
        let spent = held.invites >= self.most_invites;
        let denials = [
            (!may_run, Denial::NotAgain),
            (!in_time, Denial::TooLate),
            (busy, Denial::NumberBusy),
            (spent, Denial::InvitesSpent),
        ];
        if let Some((_, denial)) = denials.into_iter().find(|(holds, _)| *holds) {
            return Some(self.give_up(session, denial));
        }
        let (resend, paid) = (held.invites > 0, held.paid);
        let kept = paid.map(|(to, _)| to).filter(|to| self.has_room(*to, session));
        let chosen = kept.or_else(|| self.choose(session));
        let destination = self.sessions.get(session)?.offer.destination;
        if chosen.is_none_or(|to| self.servers[to.at()].number != destination) {
            self.overflow.add(now, Span::ZERO);
        }
        let Some(server) = chosen else {
            return Some(self.give_up(session, Denial::NoRoom));
        };
        let payment = match paid {
            _ if !resend => Payment::Free,
            Some((to, payment)) if to == server => payment,
            _ => {
                self.refund(session);
                let Some(payment) = self.servers[server.at()].bucket.withdraw(now) else {
                    return Some(self.give_up(session, Denial::NoToken));
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
        let at = &mut self.servers[server.at()];
        at.out.push((now, session));
        at.tried = at.sick;
        at.sent.add(now, Span::ZERO);
        at.lines.free = at.lines.free.saturating_sub(1);
        if !resend {
            at.bucket.deposit(now);
        }
        let choice = if at.number == destination { Choice::Destination } else { Choice::Drawn };
        self.reason = Reason::Sent { choice, payment };
        // Where answers get lost there is time for another INVITE.
        let patience = (now < at.lossy_until && repeatable).then(|| target.scaled(LOST_SHARE));
        Some(Decision::Invite { session, server, patience })
    }

    /// The destination while it has room, then a weighted draw among the others that have.
    fn choose(&mut self, session: SessionIx) -> Option<ServerIx> {
        let held = self.sessions.get(session)?;
        let allowed = &self.desks[held.offer.service.at()].servers;
        let all = (0..self.servers.len()).map(ServerIx::new);
        let open: Vec<ServerIx> = all
            .filter(|at| allowed.is_empty() || allowed.contains(&self.servers[at.at()].number))
            .filter(|at| !held.spurned.contains(at))
            .collect();
        let mut fit: Vec<ServerIx> = open.iter().copied().filter(|at| self.has_room(*at, session)).collect();
        if fit.is_empty() {
            fit = open.into_iter().filter(|at| self.is_last_resort(*at)).collect();
        }
        let destination = held.offer.destination;
        if let Some(first) = fit.iter().find(|at| self.servers[at.at()].number == destination) {
            return Some(*first);
        }
        let weigh = |at: &Server| at.listed_weight * at.weight(self.now) * f64::from(at.lines.free.max(1));
        let draw = WeightedIndex::new(fit.iter().map(|at| weigh(&self.servers[at.at()]))).ok()?;
        Some(fit[draw.sample(&mut self.chance)])
    }

    /// Whether the server may be sent this session now.
    fn has_room(&self, server: ServerIx, session: SessionIx) -> bool {
        let (Some(at), Some(held)) = (self.servers.get(server.at()), self.sessions.get(session)) else {
            return false;
        };
        let now = self.now;
        if !at.open || (at.sick && (now < at.barred_until || at.tried)) {
            return false;
        }
        let destined = held.offer.destination == at.number;
        // A district that is left, or comes back: those that want the server first, the worthier ones before others.
        if at.eased < 1.0
            && (!destined || held.draws(server) >= at.eased * self.worth(held) / self.usual_worth)
        {
            return false;
        }
        let waiting = at.waiting(self.target).count() as f64;
        let (limit, draw) = (at.limit(now, self.target), held.draws(server));
        if now < at.fresh_until {
            return !at.sick && waiting < limit.clamp(1.0, 2.0) && self.cold_room(at, destined, draw);
        }
        let worth = self.worth(held);
        if !at.sick && waiting >= limit * worth.sqrt() {
            return false;
        }
        let share = self.share(at, destined).min(self.lines_share(at, destined, worth));
        // A limit under one INVITE is a share of the sessions, by chance: no two fronts move in step.
        let share = if limit < 1.0 { share.min(limit) } else { share };
        draw < share * worth / self.usual_worth
    }

    /// Where no server has room, one left alone for its faults alone is better than none: it answers, some well.
    /// Protects against a second trouble while one server answers faults; covers faults of any share. Harm: where
    /// it answers nothing else, each such session costs it a look. One at a time, and never to a fresh one.
    fn is_last_resort(&self, server: ServerIx) -> bool {
        let (at, now) = (&self.servers[server.at()], self.now);
        at.open
            && at.eased >= 1.0
            && at.sick
            && at.faulty
            && now >= at.fresh_until
            && at.waiting(self.target).next().is_none()
    }

    /// The share of the sessions that want the server which may go there, so that all fronts together send it
    /// no more than a multiple of what it sets up. Where this front has answers enough, its own limit serves
    /// better; a destination is left alone until something says that it is pressed.
    fn share(&self, at: &Server, destined: bool) -> f64 {
        let asked = at.present.tally(self.now).count < ENOUGH && self.is_news(at.told_at);
        let Some(flow) = at.flow.filter(|_| asked) else {
            return f64::INFINITY;
        };
        let news = if self.is_news(at.reported) { at.report } else { Report::default() };
        let held_back = news.hold_back.unwrap_or(0.0).clamp(0.0, 1.0);
        let short = news.can_take.filter(|most| *most < flow);
        if destined && !at.troubled && held_back == 0.0 && short.is_none() {
            return f64::INFINITY;
        }
        let trickle = if at.troubled { TROUBLED_TRICKLE } else { TRICKLE };
        let grown = (flow * GROWTH + at.fills * trickle) * (1.0 - held_back);
        let room = short.unwrap_or(grown.max(news.can_take.unwrap_or(0.0))) * self.slowed(at);
        let part = self.part();
        self.allot(at, destined, room * part, self.rate(&at.wanted).min(flow * part))
    }

    /// Whether what was told then is still good.
    fn is_news(&self, then: Moment) -> bool {
        self.now.since(then) < self.target * REPORT_TARGETS
    }

    /// What is left of a server's room when its last answer took more than half the target: its queue has to
    /// drain, or all that it sets up is late.
    fn slowed(&self, at: &Server) -> f64 {
        let recent = at.latest.filter(|(then, _)| self.is_news(*then));
        let ratio = recent.map_or(1.0, |(_, took)| self.target.scaled(LATE_SHARE).ratio(took).min(1.0));
        ratio * ratio
    }

    /// Where lines are short: what falls free goes to sessions of its destination, by chance. News of free
    /// lines reaches all fronts at once; all staying away and all coming back would leave them half empty.
    fn lines_share(&self, at: &Server, destined: bool, worth: f64) -> f64 {
        let kept = f64::from(at.lines.all) * LINES_KEPT / worth;
        if f64::from(at.lines.free) >= kept || !self.is_news(at.told_at) {
            return f64::INFINITY;
        }
        if destined { at.freed * FREED_USED * self.part() / self.rate(&at.wanted) } else { 0.0 }
    }

    /// A grant, in sessions a second, as a share of those that want it: first the destination's own, of
    /// others what those leave.
    fn allot(&self, at: &Server, destined: bool, grant: f64, own: f64) -> f64 {
        if destined {
            return grant / self.rate(&at.wanted);
        }
        (grant - own) / self.rate(&self.overflow)
    }

    /// What was counted as a rate, one over the whole span at the least.
    fn rate<const N: usize>(&self, ring: &Ring<N>) -> f64 {
        ring.rate(self.now, self.born).max(1.0 / ring.span().ratio(Span::from_secs(1)))
    }

    /// This front's part of all sessions that the servers set up; an even one while it has answers of few.
    fn part(&self) -> f64 {
        let all = self.servers.iter().filter_map(|at| at.flow).sum::<f64>();
        let few = f64::from(ENOUGH) / self.answers.span().ratio(Span::from_secs(1));
        (self.answers.rate(self.now, self.born) + few) / (all + few / self.even_part)
    }

    /// What is left to gain with a session, in values of the least service: a redial that comes after the
    /// post-dial target of its first try earns the late share only. Never nothing at all: what earns nothing is
    /// still set up where nothing is short.
    fn worth(&self, held: &Session) -> f64 {
        let desk = &self.desks[held.offer.service.at()];
        let late = self.now.since(held.first_tried) > desk.target
            || (held.offer.redial && held.first_tried == held.came);
        let left = desk.value * self.in_share(held.offer.member) * if late { desk.late } else { 1.0 };
        left.max(f64::MIN_POSITIVE)
    }

    /// What is left of the value of a member's sessions, on the mean, when it asks here for more than an even
    /// part of its share: what lies beyond is worth little, and goes first when room is short. Harm: a front
    /// with much of a member's traffic ranks it low although all fronts together keep within its share.
    fn in_share(&self, member: Option<MemberIx>) -> f64 {
        let Some(quota) = member.and_then(|member| self.quotas.get(member.at())) else { return 1.0 };
        let within = (quota.part_per_s / self.rate(&quota.asked)).min(1.0);
        within + (1.0 - within) * self.over_share_worth
    }

    /// Whether a fresh server may be sent one more: by count over the fall time, and where a front's part of
    /// that is under one, by chance.
    fn cold_room(&self, at: &Server, destined: bool, draw: f64) -> bool {
        let grant = self.cold_grant(at);
        let most = grant * at.sent.span().ratio(Span::from_secs(1));
        let sent = f64::from(at.sent.tally(self.now).count);
        sent < most.max(1.0) && (most > 1.0 || draw < self.allot(at, destined, grant, self.rate(&at.wanted)))
    }

    /// Rule four, kept by this front's share alone: what a fresh server may be sent in a second. What
    /// this front's servers answer for each line stands for its part of the fresh one; the budget rises over
    /// the warm-up, and with what the fresh server itself answers.
    fn cold_grant(&self, fresh: &Server) -> f64 {
        let now = self.now;
        let size = |at: &Server| f64::from(at.lines.all.max(1));
        // All that are warm, also those that have not answered this front yet: a front just started has few.
        let warm = || self.servers.iter().filter(|at| now >= at.fresh_until && at.open);
        let answers = warm().map(|at| at.long.rate(now, self.born)).sum::<f64>();
        let sizes = warm().map(size).sum::<f64>().max(size(fresh));
        // Where no lines are told, nothing says how large it is: then a trickle until its own answers count.
        let told = if fresh.lines.all > 0 { 1.0 } else { UNTOLD };
        let by_lines = told * answers * size(fresh) / sizes;
        let alike = by_lines.max(fresh.fills * UNTOLD * self.even_part);
        // Lines can overstate a processor six times: what stood in its place before tells more.
        let stood = |at: &&Server| at.number == fresh.number && at.fresh_until < now;
        let former = self.servers.iter().filter(stood).map(|at| self.rate(&at.long)).reduce(f64::max);
        let share = fresh.before.or(former).map_or(alike, |rate| alike.clamp(rate, rate * GROWTH));
        let left = fresh.fresh_until.since(now).ratio(self.warm_after).min(1.0);
        let budget = self.cold_multiple * left + self.fall_multiple * (1.0 - left);
        // Where nothing at all says how large it is, all fronts together try one in the fall time.
        let least = self.even_part / self.fall_after.ratio(Span::from_secs(1));
        (share * budget * COLD_PART).max(fresh.recent_rate(now) * GROWTH).max(least)
    }

    /// Trials that were not answered. A server that is only silent is not barred: the age of what waits there
    /// counts as its answer time and holds it back.
    fn end_trials(&mut self) {
        let (now, target) = (self.now, self.target);
        for at in &mut self.servers {
            if at.trial_over(target).is_some_and(|moment| moment <= now) {
                at.fall_sick(now, Span::ZERO, target);
            }
        }
    }

    /// Given up: answered at once, with a time to come back where that may be named.
    fn give_up(&mut self, session: SessionIx, denial: Denial) -> Decision {
        let now = self.now;
        self.reason = Reason::Denied(denial);
        let Some(held) = self.forget(session) else { return Decision::Terminate { session } };
        if let Some(number) = held.offer.number {
            self.numbers.get_mut(number).given_up = Some(now);
        }
        let desk = &self.desks[held.offer.service.at()];
        if held.invites > 0 && !desk.repeatable {
            return Decision::Terminate { session };
        }
        let come_back =
            (self.longest_away > Span::ZERO).then_some(self.longest_away.min(desk.target.scaled(AWAY_SHARE)));
        Decision::Refuse { session, come_back }
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
            self.servers[to.at()].bucket.refund(self.now, payment);
        }
    }
}

impl Server {
    /// Unfit: left alone for the gap, then tried with one session; each time that fails it is left alone
    /// for longer.
    fn fall_sick(&mut self, now: Moment, gap: Span, target: Span) {
        if self.sick && !self.tried {
            return;
        }
        self.gap = if self.sick { (self.gap * 2).clamp(target, target * LONGEST_GAP) } else { gap };
        (self.sick, self.tried, self.faulty) = (true, false, false);
        self.barred_until = now + self.gap;
        self.present.clear();
    }

    /// An INVITE that a later one has overtaken, or that is not answered for a post-dial target although the
    /// server was heard since, was lost on the way: it says nothing of the server's present state.
    fn counts(&self, sent: Moment, target: Span) -> bool {
        sent >= self.answered_sent && self.heard.since(sent) <= target
    }

    fn waiting(&self, target: Span) -> impl Iterator<Item = Moment> {
        self.out.iter().map(|(sent, _)| *sent).filter(move |sent| self.counts(*sent, target))
    }

    /// A failure; it lasts until an answer.
    fn meet_trouble(&mut self, now: Moment) {
        self.troubled = true;
        self.cut_weight(now);
    }

    fn cut_weight(&mut self, now: Moment) {
        self.weight = self.weight(now) * WEIGHT_CUT;
        self.weight_at = now;
    }

    fn weight(&self, now: Moment) -> f64 {
        let seconds = now.since(self.weight_at).ratio(Span::from_secs(1));
        1.0 - (1.0 - self.weight) * (1.0 - WEIGHT_BACK).powf(seconds)
    }

    /// The present answer time: of late, or the age of what still waits where that is longer.
    fn answer_time(&self, now: Moment, target: Span) -> Span {
        let waits = self.waiting(target).next().map_or(Span::ZERO, |sent| now.since(sent));
        self.present.tally(now).mean().unwrap_or(Span::ZERO).max(waits)
    }

    /// How many INVITEs may be out: what it answered of late times the easy answer time, with one to
    /// spare, by the ratio of the easy answer time to the present one. A server that has answered
    /// little, being fresh or back from silence, so starts at about one and grows with its answers.
    fn limit(&self, now: Moment, target: Span) -> f64 {
        let least = self.long.tally(now).least.unwrap_or(Span::ZERO);
        let easy = (least * 2).max(target.scaled(EASY_SHARE));
        let carried = self.recent_rate(now) * easy.ratio(Span::from_secs(1));
        let ratio = easy.ratio(self.answer_time(now, target)).min(1.0);
        ((1.25 + 1.5 * carried) * ratio).max(LEAST_LIMIT)
    }

    /// Answers a second of late.
    fn recent_rate(&self, now: Moment) -> f64 {
        f64::from(self.present.tally(now).count) / self.present.span().ratio(Span::from_secs(1))
    }

    /// When a sick server's trial counts as unanswered: it must not keep the next one back until its
    /// caller's timer limit.
    fn trial_over(&self, target: Span) -> Option<Moment> {
        let (sent, _) = self.out.last().filter(|_| self.sick && self.tried)?;
        Some(*sent + target)
    }
}
