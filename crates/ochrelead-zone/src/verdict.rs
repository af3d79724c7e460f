//! Decides from the aggregated statistics whether a zone is unreachable.
//!
//! A zone that is up keeps answering, even if late and at a quarter of its usual rate: a server whose processor has
//! become slow still answers the INVITEs that it has accepted. Let m be a quarter of the answers that the silent
//! servers of a zone would have given since their last answers at their last known rates. If the zone is up, the
//! probability that none of these servers answers any front in that time is e^-m. A zone is unreachable when this
//! probability is at most [`MAX_FALSE_POSITIVE_RATE`], most of its contacted servers are silent, and several fronts
//! have lost INVITEs there. With fewer lost INVITEs, the silence may only mean that few were sent.
//!
//! The contribution of one server to m is capped at `MAX_SERVER_CONTRIBUTION` times an equal part of the required m.
//! Otherwise a single server with a long silence, together with two that answer rarely, would make the zone
//! unreachable.
//!
//! A zone that is only slow is not restricted here: in measurements that cost more than it gained (docs/zones.md). The
//! controller limits each of its servers by the answers of that server.

/// Upper bound of the probability that one evaluation finds a zone unreachable although it is up.
pub const MAX_FALSE_POSITIVE_RATE: f64 = 1e-6;
/// The smallest part of its usual answer rate that a server that is up still reaches.
const MIN_ANSWER_SHARE: f64 = 0.25;
/// One silent server contributes at most this multiple of the required missed answers divided by the number of silent
/// servers.
const MAX_SERVER_CONTRIBUTION: f64 = 1.5;
/// INVITEs that the silent servers of a zone must have lost, in total, since their last answers.
const MIN_LOST_INVITES: u32 = 20;
/// Fraction of the contacted servers that must be silent.
const MIN_SILENT_SHARE: f64 = 0.75;
/// The controller handles a single silent server; it does not restrict the zone.
const MIN_SILENT_SERVERS: f64 = 2.0;
/// Fraction of the servers in service that must have been contacted.
const MIN_CONTACTED_SHARE: f64 = 0.5;
/// Fronts that must have lost INVITEs, or all reporting fronts if there are fewer.
const MIN_FRONTS_WITH_LOSS: u32 = 3;
/// Fraction of the recent INVITEs that a healthy zone answers in time.
const MIN_HEALTHY_IN_TIME_SHARE: f64 = 0.8;
/// Recent INVITEs without which a zone does not count as healthy.
const MIN_RECENT_INVITES: u32 = 4;

/// Statistics of one zone from the reports of all fronts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneStats {
    /// Servers in service.
    pub servers: u32,
    /// Servers that answered recently or have lost INVITEs since their last answer.
    pub contacted: u32,
    /// Contacted servers that answer no front.
    pub silent: u32,
    /// INVITEs lost at silent servers since their last answers.
    pub lost: u32,
    /// Fronts that lost these INVITEs.
    pub fronts_with_loss: u32,
    /// Answers that the silent servers would have given since their last answers at their last known rates, as returned
    /// by [`total_missed_answers`].
    pub missed_answers: f64,
    /// Servers that showed any activity within the last step.
    pub alive: u32,
    /// Recent INVITEs answered in time.
    pub recent_in_time: u32,
    /// Recent INVITEs answered late.
    pub recent_late: u32,
    /// Recent INVITEs lost.
    pub recent_lost: u32,
}

impl ZoneStats {
    /// Recent INVITEs that were answered in time or are overdue. A late answer follows a loss of the same INVITE, so
    /// the larger of the two counts is used and not their sum.
    pub fn recent_invites(&self) -> u32 {
        self.recent_in_time + self.recent_lost.max(self.recent_late)
    }

    fn in_time_share(&self) -> f64 {
        f64::from(self.recent_in_time) / f64::from(self.recent_invites().max(1))
    }

    /// Whether the zone had at least `MIN_RECENT_INVITES` recent INVITEs and answered enough of them in time.
    pub fn is_healthy(&self) -> bool {
        self.recent_invites() >= MIN_RECENT_INVITES && self.in_time_share() >= MIN_HEALTHY_IN_TIME_SHARE
    }

    fn is_unreachable(&self, reporter_count: u32) -> bool {
        let required_silent = (f64::from(self.contacted) * MIN_SILENT_SHARE).max(MIN_SILENT_SERVERS);
        let false_positive_rate = (-self.missed_answers * MIN_ANSWER_SHARE).exp();
        self.servers >= 2
            && f64::from(self.contacted) >= f64::from(self.servers) * MIN_CONTACTED_SHARE
            && f64::from(self.silent) >= required_silent
            && self.fronts_with_loss >= MIN_FRONTS_WITH_LOSS.min(reporter_count)
            && self.lost >= MIN_LOST_INVITES
            && false_positive_rate <= MAX_FALSE_POSITIVE_RATE
    }
}

/// The result of evaluating a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is no evidence that the zone is unreachable.
    Unchanged,
    /// No front receives answers from the zone.
    Unreachable,
}

/// Returns a verdict for each zone, in the order of `zones`. `reporter_count` is the number of fronts that report.
///
/// If no zone is healthy, none is found unreachable: the cause is not in the zones, or there is no zone that could take
/// the sessions.
pub fn evaluate(zones: &[ZoneStats], reporter_count: u32) -> Vec<Verdict> {
    let any_healthy = zones.iter().any(ZoneStats::is_healthy);
    let verdict = |zone: &ZoneStats| {
        if any_healthy && zone.is_unreachable(reporter_count) {
            Verdict::Unreachable
        } else {
            Verdict::Unchanged
        }
    };
    zones.iter().map(verdict).collect()
}

/// Sums the missed answers of the silent servers, with a cap on the contribution of each server.
pub fn total_missed_answers(missed_by_server: &[f64]) -> f64 {
    let required = -MAX_FALSE_POSITIVE_RATE.ln() / MIN_ANSWER_SHARE;
    let max_contribution = required * MAX_SERVER_CONTRIBUTION / missed_by_server.len().max(1) as f64;
    missed_by_server.iter().map(|missed| missed.min(max_contribution)).sum()
}
