//! Slow start: the rate at which a server that has just started is sent INVITEs.

use super::Controller;
use super::admission::GROWTH_FACTOR;
use crate::state::ServerState;
use crate::time::Span;

/// Share of this front's part of the overload limit that set-ups may use while a server warms up. The remainder
/// is a margin for answers, releases, retransmissions and random variation.
const WARM_UP_BUDGET_SHARE: f64 = 0.4;
/// Factor on a rate that is estimated from a line count alone, or for a server that reports no lines.
const UNKNOWN_SIZE_SHARE: f64 = 0.1;

impl Controller {
    /// Returns whether a server that is warming up may be sent one more INVITE.
    ///
    /// The INVITEs sent within the overload duration must be below max(1, warm-up rate * overload duration). If
    /// that product is at most 1, the session's random sample must in addition lie below the share of the demand
    /// that the warm-up rate covers.
    pub(super) fn admits_slow_start(&self, server: &ServerState, is_destination: bool, sample: f64) -> bool {
        let allowed_rate = self.warm_up_rate(server);
        let max_sends = allowed_rate * server.sends.duration().ratio(Span::from_secs(1));
        let sends = f64::from(server.sends.stats(self.now).count);
        let destination_rate = self.rate(&server.demand);
        sends < max_sends.max(1.0)
            && (max_sends > 1.0
                || sample < self.share_of_demand(server, is_destination, allowed_rate, destination_rate))
    }

    /// Returns the rate at which this front may send to a server that is warming up, in sessions per second:
    /// the highest of
    ///
    /// - base rate * budget * `WARM_UP_BUDGET_SHARE`, where the budget rises linearly from overload multiple *
    ///   cold capacity share at the start to the overload multiple at the end of the warm-up;
    /// - `GROWTH_FACTOR` * the rate at which the server already answers this front;
    /// - this front's even share of one session per overload duration.
    ///
    /// The base rate estimates this front's part of the warm server's rate: the answers per line that this
    /// front gets from its warm servers * the lines of the new one, at least `UNKNOWN_SIZE_SHARE` of this
    /// front's even share of the rate that fills those lines. If the rate of the server's former process, or of
    /// its predecessor of the same number, is known, the base rate is clamped to 1 to `GROWTH_FACTOR` times it.
    fn warm_up_rate(&self, new_server: &ServerState) -> f64 {
        let (now, config) = (self.now, &self.config);
        let line_count = |server: &ServerState| f64::from(server.lines.total.max(1));
        // Includes warm servers that have not answered this front yet: a front that has just started has
        // answers from few servers.
        let is_warm = |server: &&ServerState| now >= server.warming_up_until && server.is_ready;
        let warm = || self.servers.iter().filter(is_warm);
        let answers = warm().map(|server| server.long_term_answers.rate(now, self.started_at)).sum::<f64>();
        let warm_lines = warm().map(line_count).sum::<f64>().max(line_count(new_server));
        // A server that reports no lines has an unknown size: it is sent little until its own answers count.
        let certainty = if new_server.lines.total > 0 { 1.0 } else { UNKNOWN_SIZE_SHARE };
        let rate_by_lines = certainty * answers * line_count(new_server) / warm_lines;
        let rate_by_size =
            rate_by_lines.max(new_server.line_fill_rate * UNKNOWN_SIZE_SHARE * self.even_share);
        // Lines can overstate the processor's capacity six times, so the rate of the former process, or of the
        // predecessor of the same number, takes precedence.
        let is_predecessor =
            |server: &&ServerState| server.number == new_server.number && server.warming_up_until < now;
        let predecessor_rates =
            self.servers.iter().filter(is_predecessor).map(|server| self.rate(&server.long_term_answers));
        let former_rate = new_server.rate_before_restart.or(predecessor_rates.reduce(f64::max));
        let base_rate =
            former_rate.map_or(rate_by_size, |rate| rate_by_size.clamp(rate, rate * GROWTH_FACTOR));
        let remaining = new_server.warming_up_until.since(now).ratio(config.warm_up_time).min(1.0);
        let budget = config.cold_capacity_share * config.overload_multiple * remaining
            + config.overload_multiple * (1.0 - remaining);
        // If nothing indicates the server's size, all fronts together send one session per overload duration.
        let min_rate = self.even_share / config.overload_duration.ratio(Span::from_secs(1));
        (base_rate * budget * WARM_UP_BUDGET_SHARE)
            .max(new_server.answer_rate(now) * GROWTH_FACTOR)
            .max(min_rate)
    }
}
