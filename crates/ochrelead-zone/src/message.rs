//! Messages that fronts send each other about zones. [`crate::codec`] turns them into bytes.

use ochrelead_core::time::Span;

use crate::ZoneId;
use crate::outcome_reporter::ServerSample;
use crate::ramp::ShareReason;

/// The share of sessions that a zone takes while it is drained or recovers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// The zone that takes less than its whole share.
    pub zone: ZoneId,
    /// From 0 (drained) to 1 (in full use).
    pub share: f64,
    /// Why the zone is not in full use.
    pub reason: ShareReason,
}

/// What one front sends to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Outcomes that a front has seen since its last report, for the observer of its zone.
    Report {
        /// The zone of the reporting front.
        zone: ZoneId,
        /// The outcomes by server; each server at most once.
        samples: Vec<ServerSample>,
    },
    /// What is in force for the fronts of one zone, from the observer of that zone.
    Verdicts {
        /// The zone of the fronts that the verdicts are for.
        zone: ZoneId,
        /// Sequence number of the message within the observer's incarnation.
        sequence: u32,
        /// How long the verdicts stay in force without an update.
        ttl: Span,
        /// The zones that are not in full use; all others are.
        shares: Vec<ZoneShare>,
    },
}
