//! Decides from the aggregated statistics whether a zone is unreachable.
//!
//! A zone that is up answers, even if late and a quarter as often as before: a processor that has become slow answers the
//! INVITEs that it had accepted. For such a zone, the probability that none of its silent servers answers anybody for as
//! long as they have been silent is e^-m, where m is a quarter of the answers that these servers would have given meanwhile
//! at their last known rate. A zone is unreachable when that probability is at most [`MAX_FALSE_POSITIVE_RATE`], most of its
//! servers are silent, and several fronts have lost INVITEs there; with fewer of these, perhaps nobody has asked.
//!
//! No server contributes much more than an even part of m. Otherwise a single server that has been silent for long would
//! carry the verdict, and two others that answer rarely would complete it.
//!
//! A zone that is merely slower is not restricted here: in measurements that cost more than it gained (docs/zones.md). The
//! controller limits each of its servers by what that server answers.

/// Probability that one evaluation of a zone that is up calls it unreachable.
pub const MAX_FALSE_POSITIVE_RATE: f64 = 1e-6;
/// The part of its usual answers that a server still gives while it is up.
const MIN_ANSWER_SHARE: f64 = 0.25;
/// A silent server contributes at most this multiple of an even part of the missed answers that are required.
const MAX_SERVER_CONTRIBUTION: f64 = 1.5;
/// INVITEs lost at the zone's silent servers since their last answers.
const MIN_LOST: u32 = 20;
/// Part of the contacted servers that must be silent.
const MIN_SILENT_SHARE: f64 = 0.75;
/// A single silent server is a matter for the controller, not for the zone.
const MIN_SILENT_SERVERS: f64 = 2.0;
/// Part of the servers in service that must have been contacted.
const MIN_CONTACTED_SHARE: f64 = 0.5;
/// Fronts that must have lost INVITEs; fewer where fewer report.
const MIN_REPORTING_FRONTS: u32 = 3;
/// Part of the recent INVITEs that a healthy zone answers in time.
const HEALTHY_SHARE: f64 = 0.8;
/// Recent INVITEs that are needed to judge a zone's health.
const MIN_RECENT: u32 = 4;

/// Statistics of one zone, over all fronts that report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneStats {
    /// Servers in service.
    pub servers: u32,
    /// Servers that were sent an INVITE recently.
    pub contacted: u32,
    /// Contacted servers that answer nobody.
    pub silent: u32,
    /// INVITEs lost at silent servers since their last answers.
    pub lost: u32,
    /// Fronts that lost these INVITEs.
    pub reporting_fronts: u32,
    /// Answers that the silent servers would have given meanwhile at their last known rate.
    pub missed_answers: f64,
    /// Servers that gave some sign of life within the last step.
    pub alive: u32,
    /// Recent INVITEs answered in time.
    pub recent_in_time: u32,
    /// Recent INVITEs answered late.
    pub recent_late: u32,
    /// Recent INVITEs lost.
    pub recent_lost: u32,
}

impl ZoneStats {
    /// Recent INVITEs that were answered or are overdue. A late one was lost before; it counts once.
    pub fn recent(&self) -> u32 {
        self.recent_in_time + self.recent_lost.max(self.recent_late)
    }

    fn in_time_share(&self) -> f64 {
        f64::from(self.recent_in_time) / f64::from(self.recent().max(1))
    }

    /// Whether there were enough recent INVITEs to tell, and nearly all of them were answered in time.
    pub fn is_healthy(&self) -> bool {
        self.recent() >= MIN_RECENT && self.in_time_share() >= HEALTHY_SHARE
    }

    fn is_unreachable(&self, reporters: u32) -> bool {
        let required_silent = (f64::from(self.contacted) * MIN_SILENT_SHARE).max(MIN_SILENT_SERVERS);
        let false_positive_rate = (-self.missed_answers * MIN_ANSWER_SHARE).exp();
        self.servers >= 2
            && f64::from(self.contacted) >= f64::from(self.servers) * MIN_CONTACTED_SHARE
            && f64::from(self.silent) >= required_silent
            && self.reporting_fronts >= MIN_REPORTING_FRONTS.min(reporters)
            && self.lost >= MIN_LOST
            && false_positive_rate <= MAX_FALSE_POSITIVE_RATE
    }
}

/// The result of one evaluation of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// No evidence that would change anything.
    Unchanged,
    /// No front gets answers from the zone.
    Unreachable,
}

/// Evaluates all zones, in the order given.
///
/// Never all of them are unreachable: where none is healthy, the cause is not in the zones, or there is no zone to move the
/// sessions to.
pub fn evaluate(zones: &[ZoneStats], reporters: u32) -> Vec<Verdict> {
    let any_healthy = zones.iter().any(ZoneStats::is_healthy);
    let verdict = |zone: &ZoneStats| {
        if any_healthy && zone.is_unreachable(reporters) { Verdict::Unreachable } else { Verdict::Unchanged }
    };
    zones.iter().map(verdict).collect()
}

/// Adds up the answers missed at each silent server, with a bound on what one server contributes.
pub fn total_missed_answers(by_server: &[f64]) -> f64 {
    let required = -MAX_FALSE_POSITIVE_RATE.ln() / MIN_ANSWER_SHARE;
    let max_contribution = required * MAX_SERVER_CONTRIBUTION / by_server.len().max(1) as f64;
    by_server.iter().map(|missed| missed.min(max_contribution)).sum()
}
