//! How a server does, by its own signs: sickness, trials, weight, answer time, how many INVITEs may be out.

use super::Controller;
use super::admission::REPORT_TARGETS;
use crate::state::Server;
use crate::time::{Moment, Span};

/// An answer within this share of the post-dial target is no sign of a queue.
pub(super) const EASY_SHARE: f64 = 0.2;
/// The least that the in-flight limit may be, as a share of one INVITE.
const LEAST_LIMIT: f64 = 0.125;
/// With so many answers of late a front sees a queue by itself.
pub(super) const ENOUGH: u32 = 4;
/// A server's weight after a slow or full set-up, and how much of the lost part each second brings back.
const WEIGHT_CUT: f64 = 0.5;
const WEIGHT_BACK: f64 = 0.1;
/// The longest time between two trials of a sick server, in post-dial targets.
const LONGEST_GAP: u64 = 4;

impl Controller {
    /// Trials that were not answered. A server that is only silent is not barred: the age of what waits there
    /// counts as its answer time and holds it back.
    pub(super) fn end_trials(&mut self) {
        let (now, target) = (self.now, self.target);
        for at in &mut self.servers {
            if at.trial_over(target).is_some_and(|moment| moment <= now) {
                at.fall_sick(now, Span::ZERO, target);
            }
        }
    }
}

impl Server {
    /// Unfit: left alone for the gap, then tried with one session; each time that fails it is left alone
    /// for longer.
    pub(super) fn fall_sick(&mut self, now: Moment, gap: Span, target: Span) {
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

    pub(super) fn waiting(&self, target: Span) -> impl Iterator<Item = Moment> {
        self.out.iter().map(|(sent, _)| *sent).filter(move |sent| self.counts(*sent, target))
    }

    /// A failure; it lasts until an answer.
    pub(super) fn meet_trouble(&mut self, now: Moment) {
        self.troubled = true;
        self.cut_weight(now);
    }

    pub(super) fn cut_weight(&mut self, now: Moment) {
        self.weight = self.weight(now) * WEIGHT_CUT;
        self.weight_at = now;
    }

    pub(super) fn weight(&self, now: Moment) -> f64 {
        let seconds = now.since(self.weight_at).ratio(Span::from_secs(1));
        1.0 - (1.0 - self.weight) * (1.0 - WEIGHT_BACK).powf(seconds)
    }

    /// The present answer time: of late, or the age of what still waits where that is longer. A front without
    /// an answer of late holds to the latest: at size it sees a server less often than a queue lasts.
    pub(super) fn answer_time(&self, now: Moment, target: Span) -> Span {
        let waits = self.waiting(target).next().map_or(Span::ZERO, |sent| now.since(sent));
        let latest = self.latest.filter(|(then, _)| now.since(*then) < target * REPORT_TARGETS);
        let held = latest.map_or(Span::ZERO, |(_, took)| took);
        self.present.stats(now).mean().unwrap_or(held).max(waits)
    }

    /// How many INVITEs may be out: what it answered of late times the easy answer time, with one to
    /// spare, by the ratio of the easy answer time to the present one. A server that has answered
    /// little, being fresh or back from silence, so starts at about one and grows with its answers.
    pub(super) fn limit(&self, now: Moment, target: Span) -> f64 {
        let least = self.long.stats(now).min.unwrap_or(Span::ZERO);
        let easy = (least * 2).max(target.scaled(EASY_SHARE));
        let carried = self.recent_rate(now) * easy.ratio(Span::from_secs(1));
        let ratio = easy.ratio(self.answer_time(now, target)).min(1.0);
        ((1.25 + 1.5 * carried) * ratio).max(LEAST_LIMIT)
    }

    /// Answers a second of late.
    pub(super) fn recent_rate(&self, now: Moment) -> f64 {
        f64::from(self.present.stats(now).count) / self.present.duration().ratio(Span::from_secs(1))
    }

    /// When a sick server's trial counts as unanswered: it must not keep the next one back until its
    /// caller's timer limit.
    pub(super) fn trial_over(&self, target: Span) -> Option<Moment> {
        let (sent, _) = self.out.last().filter(|_| self.sick && self.tried)?;
        Some(*sent + target)
    }
}
