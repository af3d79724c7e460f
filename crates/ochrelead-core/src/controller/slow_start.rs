//! Slow start: what a server that has just started may be sent.

use super::Controller;
use super::admission::GROWTH_FACTOR;
use crate::state::ServerState;
use crate::time::Span;

/// How much of the load that breaks a server while it warms up, by this front's share, set-ups may fill; the
/// rest is for answers, releases, repeats and the unevenness of chance.
const WARM_UP_BUDGET_SHARE: f64 = 0.4;
/// What is known of such a server by its lines alone counts for this share.
const UNKNOWN_SIZE_SHARE: f64 = 0.1;

impl Controller {
    /// Whether a server that warms up may be sent one more: by count over the overload duration and, where
    /// this front's part of that is under one, by chance.
    pub(super) fn admits_slow_start(&self, server: &ServerState, is_destination: bool, sample: f64) -> bool {
        let grant = self.warm_up_rate(server);
        let max_sends = grant * server.sends.duration().ratio(Span::from_secs(1));
        let sends = f64::from(server.sends.stats(self.now).count);
        let own = self.rate(&server.demand);
        sends < max_sends.max(1.0)
            && (max_sends > 1.0 || sample < self.grant_share(server, is_destination, grant, own))
    }

    /// What this front may send a server that is warming up, in sessions a second. What this front's servers
    /// answer for each line stands for its part of the new one; the budget rises over the warm-up, and with
    /// what the new server itself answers.
    fn warm_up_rate(&self, new: &ServerState) -> f64 {
        let (now, config) = (self.now, &self.config);
        let size = |server: &ServerState| f64::from(server.lines.total.max(1));
        // All that are warm, also those that have not answered this front yet: a front just started has few.
        let is_warm = |server: &&ServerState| now >= server.warming_up_until && server.is_ready;
        let warm = || self.servers.iter().filter(is_warm);
        let answers = warm().map(|server| server.long_term_answers.rate(now, self.started_at)).sum::<f64>();
        let sizes = warm().map(size).sum::<f64>().max(size(new));
        // Where no lines are reported, its size is unknown: then a trickle until its own answers count.
        let certainty = if new.lines.total > 0 { 1.0 } else { UNKNOWN_SIZE_SHARE };
        let by_lines = certainty * answers * size(new) / sizes;
        let by_size = by_lines.max(new.line_fill_rate * UNKNOWN_SIZE_SHARE * self.even_share);
        // Lines can overstate a processor six times: what its predecessor answered tells more.
        let is_former = |server: &&ServerState| server.number == new.number && server.warming_up_until < now;
        let former = self.servers.iter().filter(is_former).map(|server| self.rate(&server.long_term_answers));
        let former_rate = new.rate_before_restart.or(former.reduce(f64::max));
        let share = former_rate.map_or(by_size, |rate| by_size.clamp(rate, rate * GROWTH_FACTOR));
        let left = new.warming_up_until.since(now).ratio(config.warm_up_time).min(1.0);
        let budget = config.cold_capacity_share * config.overload_multiple * left
            + config.overload_multiple * (1.0 - left);
        // Where nothing at all says how large it is, all fronts together try one in the overload duration.
        let least = self.even_share / config.overload_duration.ratio(Span::from_secs(1));
        (share * budget * WARM_UP_BUDGET_SHARE).max(new.answer_rate(now) * GROWTH_FACTOR).max(least)
    }
}
