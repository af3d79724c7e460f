//! The result of a simulated run.

/// The served fraction of the value of the sessions that were first requested within one half second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedShare {
    /// Start of the half second, in seconds since the start of the run.
    pub start_seconds: f64,
    /// From 0 to 1; 1 if no session was requested.
    pub share: f64,
}

/// Violations and measurements of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The first violation of an invariant, if any.
    pub violation: Option<String>,
    /// Served value as a fraction of the offered value.
    pub served_share: f64,
    /// Number of sessions requested early enough to meet their post-dial target within the run.
    pub offered: u64,
    /// Number of INVITEs sent to servers that were down.
    pub lost_invites: u64,
    /// Time from the failure of a zone until a front's last INVITE to it, in milliseconds: the 90th percentile over
    /// the fronts that sent any.
    pub p90_drained_ms: Option<u64>,
    /// The maximum of the same time.
    pub last_drained_ms: Option<u64>,
    /// Time between the first front that drained the failed zone and the last, in milliseconds.
    pub verdict_spread_ms: Option<u64>,
    /// Time from the return of the zone until it was in full use at all fronts, in milliseconds.
    pub full_use_ms: Option<u64>,
    /// Number of times that a server failed under overload while warming up.
    pub cold_failures: u64,
    /// Number of datagrams sent between fronts.
    pub datagrams: u64,
    /// Total size of these datagrams, in bytes.
    pub datagram_bytes: u64,
    /// The served share for each half second of the run.
    pub served_over_time: Vec<ServedShare>,
    /// The share of the first failed zone at the first front, sampled every half second from the failure.
    pub zone_shares: Vec<f64>,
}

impl Outcome {
    /// Records a violation, unless an earlier one is recorded.
    pub(super) fn report_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}
