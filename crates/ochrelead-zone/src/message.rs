//! Messages that fronts send each other about zones. [`crate::codec`] encodes and decodes them.

use ochrelead_core::time::Span;

use crate::ZoneId;
use crate::outcome_reporter::ServerSample;
use crate::ramp::ShareReason;

/// The share of its sessions that a zone takes while it is drained or recovering.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneShare {
    /// The zone that is not in full use.
    pub zone: ZoneId,
    /// From 0 (drained) to 1 (in full use).
    pub share: f64,
    /// Why the zone is not in full use.
    pub reason: ShareReason,
}

/// A message from one front to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The outcomes that a front has counted since its last report, sent to the observer of its zone.
    Report {
        /// The zone of the reporting front.
        zone: ZoneId,
        /// The outcomes by server; each server at most once.
        samples: Vec<ServerSample>,
    },
    /// The shares in force for the fronts of one zone, sent by the observer of that zone.
    Verdicts {
        /// The zone of the fronts that the verdicts are for.
        zone: ZoneId,
        /// Sequence number of the message within the observer's incarnation.
        sequence: u32,
        /// How long the verdicts stay in force without an update.
        ttl: Span,
        /// The zones that are not in full use; all zones that are not listed are in full use.
        shares: Vec<ZoneShare>,
    },
}
