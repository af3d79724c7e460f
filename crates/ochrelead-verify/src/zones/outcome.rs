//! What a simulated run has shown.

/// The part of the offered value that was served to the sessions of one half second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServedShare {
    /// Start of the half second, in seconds of the run.
    pub start_seconds: f64,
    /// From 0 to 1; 1 where nothing was offered.
    pub share: f64,
}

/// Violations and measurements of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The first violation of an invariant.
    pub violation: Option<String>,
    /// The value served, as a part of the value offered.
    pub served_share: f64,
    /// Sessions offered early enough to be served within the run.
    pub offered: u64,
    /// INVITEs sent to servers that were down.
    pub lost_invites: u64,
    /// Time from the failure of a zone until nine in ten fronts had sent their last INVITE there, in milliseconds.
    pub p90_drained_ms: Option<u64>,
    /// The same for the last front.
    pub last_drained_ms: Option<u64>,
    /// Time between the first and the last front that followed the verdict, in milliseconds.
    pub verdict_spread_ms: Option<u64>,
    /// Time from the zone's return until it was in full use at all fronts, in milliseconds.
    pub full_use_ms: Option<u64>,
    /// Cold servers that failed under too many INVITEs.
    pub cold_failures: u64,
    /// Datagrams sent between fronts.
    pub datagrams: u64,
    /// Their bytes.
    pub datagram_bytes: u64,
    /// The served share in each half second.
    pub served_over_time: Vec<ServedShare>,
    /// The share in force for the first failed zone at the first front, in each half second.
    pub zone_shares: Vec<f64>,
}

impl Outcome {
    /// Keeps the first violation of a run.
    pub(super) fn report_violation(&mut self, violation: String) {
        self.violation.get_or_insert(violation);
    }
}
