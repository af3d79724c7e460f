//! Whether a server has room for a session: its limit, the shares in which it takes, what a session is worth.

use super::Controller;
use super::health::{EASY_SHARE, ENOUGH};
use crate::index::{ServerIx, SessionIx, TenantIx};
use crate::sliding_window::SlidingWindow;
use crate::state::{Server, Session};
use crate::time::{Moment, Span};
use crate::types::LoadReport;

/// The share of a server's lines that is kept from a session of the least value, and less from a worthier.
const LINES_KEPT: f64 = 0.01;
/// Where lines are that short, so much of what falls free is filled; the rest is for chance.
const FREED_USED: f64 = 0.6;
/// A server is sent so many times what it answers or, of its own sessions, sets up ...
pub(super) const GROWTH: f64 = 1.5;
/// ... and, where it is not fresh, this share of what fills its lines besides: what takes over from a larger
/// one has to grow within a drain, not within the next.
const TRICKLE: f64 = 0.2;
/// What is left of the trickle while this front has met trouble there.
const TROUBLED_TRICKLE: f64 = TRICKLE / 10.0;
/// What a server says of its lines and its processor, and its latest answer, are good for so many targets.
pub(super) const REPORT_TARGETS: u64 = 6;

impl Controller {
    /// Whether the server may be sent this session now.
    pub(super) fn has_room(&self, server: ServerIx, session: SessionIx) -> bool {
        let (Some(at), Some(held)) = (self.servers.get(server.index()), self.sessions.get(session)) else {
            return false;
        };
        let now = self.now;
        if !at.open || (at.sick && (now < at.barred_until || at.tried)) {
            return false;
        }
        let destined = held.offer.destination == at.number;
        // A district that is left, or comes back: those that want the server first, the worthier ones ahead.
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

    /// Where no server has room, one left alone for its faults alone is better than none: it answers, some
    /// well. Protects against a second trouble while one server answers faults; covers faults of any share.
    /// Harm: where it answers nothing else, each such session costs it a look. One at a time.
    pub(super) fn is_last_resort(&self, server: ServerIx) -> bool {
        let (at, now) = (&self.servers[server.index()], self.now);
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
        let asked = at.present.stats(self.now).count < ENOUGH && self.is_news(at.told_at);
        let Some(flow) = at.flow.filter(|_| asked) else {
            return f64::INFINITY;
        };
        let news = if self.is_news(at.reported) { at.report } else { LoadReport::default() };
        let held_back = news.hold_back_share.unwrap_or(0.0).clamp(0.0, 1.0);
        let short = news.accepted_rate.filter(|most| *most < flow);
        if destined && !at.troubled && held_back == 0.0 && short.is_none() {
            return f64::INFINITY;
        }
        let trickle = if at.troubled { TROUBLED_TRICKLE } else { TRICKLE };
        // Overflow is granted what its own sessions leave, and the trickle: in a surge of all, growth at each
        // server let half as much again in everywhere, and jammed one after the other. Harm: where one server
        // fails, the others take its sessions up more slowly.
        let growth = if destined { GROWTH } else { 1.0 };
        let grown = (flow * growth + at.fills * trickle) * (1.0 - held_back);
        let room = short.unwrap_or(grown.max(news.accepted_rate.unwrap_or(0.0))) * self.slowed(at);
        let part = self.part();
        self.allot(at, destined, room * part, self.rate(&at.wanted).min(flow * part))
    }

    /// Whether what was told then is still good.
    fn is_news(&self, then: Moment) -> bool {
        self.now.since(then) < self.target * REPORT_TARGETS
    }

    /// What is left of a server's room when its latest answer took more than the easy time: its queue has to
    /// drain before set-ups that wait there are repeated, which is work again, or all it sets up is late.
    fn slowed(&self, at: &Server) -> f64 {
        let recent = at.latest.filter(|(then, _)| self.is_news(*then));
        let ratio = recent.map_or(1.0, |(_, took)| self.target.scaled(EASY_SHARE).ratio(took).min(1.0));
        ratio * ratio
    }

    /// Where lines are short: what falls free goes to sessions of its destination, by chance. News of free
    /// lines reaches all fronts at once; all staying away and all coming back would leave them half empty.
    fn lines_share(&self, at: &Server, destined: bool, worth: f64) -> f64 {
        let kept = f64::from(at.lines.total) * LINES_KEPT / worth;
        if f64::from(at.lines.free) >= kept || !self.is_news(at.told_at) {
            return f64::INFINITY;
        }
        if destined { at.freed * FREED_USED * self.part() / self.rate(&at.wanted) } else { 0.0 }
    }

    /// A grant, in sessions a second, as a share of those that want it: first the destination's own, of
    /// others what those leave.
    pub(super) fn allot(&self, at: &Server, destined: bool, grant: f64, own: f64) -> f64 {
        if destined {
            return grant / self.rate(&at.wanted);
        }
        (grant - own) / self.rate(&self.overflow)
    }

    /// What was counted as a rate, one over the whole span at the least.
    pub(super) fn rate<const N: usize>(&self, ring: &SlidingWindow<N>) -> f64 {
        ring.rate(self.now, self.born).max(1.0 / ring.duration().ratio(Span::from_secs(1)))
    }

    /// This front's part of all sessions that the servers set up; an even one while it has answers of few.
    fn part(&self) -> f64 {
        let all = self.servers.iter().filter_map(|at| at.flow).sum::<f64>();
        let few = f64::from(ENOUGH) / self.answers.duration().ratio(Span::from_secs(1));
        (self.answers.rate(self.now, self.born) + few) / (all + few / self.even_part)
    }

    /// What is left to gain with a session, in values of the least service: a redial that comes after the
    /// post-dial target of its first try earns the late share only. Never nothing at all: what earns nothing
    /// is still set up where nothing is short.
    pub(super) fn worth(&self, held: &Session) -> f64 {
        let desk = &self.desks[held.offer.service.index()];
        let late = self.now.since(held.first_tried) > desk.target
            || (held.offer.is_redial && held.first_tried == held.came);
        let left = desk.value * self.in_share(held.offer.tenant) * if late { desk.late } else { 1.0 };
        left.max(f64::MIN_POSITIVE)
    }

    /// What is left of the value of a member's sessions, on the mean, when it asks here for more than an even
    /// part of its share: what lies beyond is worth little, and goes first when room is short. Harm: a front
    /// with much of a member's traffic ranks it low although all fronts together keep within its share.
    fn in_share(&self, member: Option<TenantIx>) -> f64 {
        let Some(quota) = member.and_then(|member| self.quotas.get(member.index())) else { return 1.0 };
        let within = (quota.part_per_s / self.rate(&quota.asked)).min(1.0);
        within + (1.0 - within) * self.over_share_worth
    }
}
