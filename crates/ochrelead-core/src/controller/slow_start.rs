//! Rule four: what a server just started may be sent.

use super::Controller;
use super::admission::GROWTH;
use crate::state::Server;
use crate::time::Span;

/// How much of a cold server's fall budget, by this front's share, set-ups may fill; the rest is for
/// answers, releases, repeats and the unevenness of chance.
const COLD_PART: f64 = 0.4;
/// What is known of a cold server by its lines alone counts for this share.
const UNTOLD: f64 = 0.1;

impl Controller {
    /// Whether a fresh server may be sent one more: by count over the fall time, and where a front's part of
    /// that is under one, by chance.
    pub(super) fn cold_room(&self, at: &Server, destined: bool, draw: f64) -> bool {
        let grant = self.cold_grant(at);
        let most = grant * at.sent.duration().ratio(Span::from_secs(1));
        let sent = f64::from(at.sent.stats(self.now).count);
        sent < most.max(1.0) && (most > 1.0 || draw < self.allot(at, destined, grant, self.rate(&at.wanted)))
    }

    /// Rule four, kept by this front's share alone: what a fresh server may be sent in a second. What
    /// this front's servers answer for each line stands for its part of the fresh one; the budget rises over
    /// the warm-up, and with what the fresh server itself answers.
    fn cold_grant(&self, fresh: &Server) -> f64 {
        let now = self.now;
        let size = |at: &Server| f64::from(at.lines.total.max(1));
        // All that are warm, also those that have not answered this front yet: a front just started has few.
        let warm = || self.servers.iter().filter(|at| now >= at.fresh_until && at.open);
        let answers = warm().map(|at| at.long.rate(now, self.born)).sum::<f64>();
        let sizes = warm().map(size).sum::<f64>().max(size(fresh));
        // Where no lines are told, nothing says how large it is: then a trickle until its own answers count.
        let told = if fresh.lines.total > 0 { 1.0 } else { UNTOLD };
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
}
