//! Zone failover for a fleet of fronts: all fronts drain a failed zone together, and ramp it up no faster than its
//! servers can handle.
//!
//! A single front sends a few sessions per second to tens of servers. From these alone it would detect the failure of a
//! zone late, and it would detect the recovery at the same time as all other fronts, whose load would then overload
//! servers that start cold. So the fronts of a zone report the outcomes of their INVITEs to one of them, the observer.
//! The observer decides for all of them which share of their sessions the servers of each zone take.
//!
//! - [`outcome_reporter`]: counts the outcomes of one front at each server: INVITEs answered in time, late, or lost.
//! - [`outcome_aggregate`]: aggregates the reports of all fronts of a zone, at its observer.
//! - [`verdict`]: decides from these statistics whether a zone is unreachable, with a bound on false positives.
//! - [`ramp`]: turns verdicts into shares over time: drain at once, recover step by step.
//! - [`message`], [`codec`]: the messages between fronts, and their wire format.
//! - [`engine`]: combines these for one front, without I/O.
//!
//! A share does not change which routing decisions are allowed: it only limits how often a server is eligible, in the
//! same way at all fronts. Verdicts expire if the observer stops sending them; each front then uses all zones in full
//! again.
//!
//! ```
//! use ochrelead_core::time::{Moment, Span};
//! use ochrelead_gossip::MemberId;
//! use ochrelead_zone::engine::{Engine, Recipient};
//! use ochrelead_zone::{ServerKey, ServerLocation, ZoneConfig, ZoneId};
//!
//! let config = ZoneConfig { loss_timeout: Span::from_millis(375), growth_factor: 2.0 };
//! let start = Moment::from_micros(1_000_000);
//! let mut engine = Engine::new(MemberId { front: 0, incarnation: 1 }, ZoneId(0), config, 7, start);
//! engine.on_server_locations(&[ServerLocation { server: ServerKey::from_name("s-1"), zone: ZoneId(1) }]);
//!
//! // No other front announces itself as the observer, so this one takes the role and notifies all others.
//! let later = start + Span::from_secs(1);
//! engine.process(later);
//! assert!(engine.is_observer());
//! let (recipient, _bytes) = engine.poll_output().expect("an observer announces itself at once");
//! assert_eq!(recipient, Recipient::All);
//! assert_eq!(engine.zone_share(later, ZoneId(1)), 1.0);
//! ```

#![warn(missing_docs)]

pub mod codec;
pub mod engine;
pub mod message;
pub mod outcome_aggregate;
pub mod outcome_reporter;
pub mod ramp;
pub mod verdict;

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::time::Span;

/// Types generated from the protobuf schema (`proto/zone.proto`).
pub mod schema {
    #![allow(missing_docs, clippy::all, reason = "generated; the schema file has the documentation")]
    include!(concat!(env!("OUT_DIR"), "/ochrelead.zone.rs"));
}

/// A zone, identified by its index in the configured list of zones, which is the same at all fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// Number of zones that are tracked; a server in a zone with a higher index is treated as being in no zone.
pub const MAX_ZONES: u32 = 16;

/// A server, identified by a hash of its name, which is the same at all fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u16);

const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

impl ServerKey {
    /// Hashes a server's name: 32-bit FNV-1a, folded to 16 bits by XOR.
    ///
    /// Two servers whose names have the same hash are treated as one server with the outcomes of both.
    pub fn from_name(name: &str) -> ServerKey {
        let hash = name
            .bytes()
            .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME));
        let [first, second, third, fourth] = hash.to_be_bytes();
        ServerKey(u16::from_be_bytes([first, second]) ^ u16::from_be_bytes([third, fourth]))
    }
}

/// A server in service and its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLocation {
    /// The server.
    pub server: ServerKey,
    /// Its zone.
    pub zone: ZoneId,
}

/// Timing of zone failover. It must be the same at all fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneConfig {
    /// An INVITE without an answer counts as lost after this time. A later answer counts as late here, even if it still
    /// meets the post-dial target.
    pub loss_timeout: Span,
    /// Factor by which the share of a recovering zone grows if enough INVITEs of the current step were answered in
    /// time.
    pub growth_factor: f64,
}

/// The loss timeout is the shortest post-dial target divided by this number.
const LOSS_TIMEOUT_DIVISOR: u64 = 8;
/// Post-dial target if the configuration has none.
const DEFAULT_POST_DIAL_TARGET: Span = Span::from_secs(1);
/// Overload multiple if the configuration has none (the bench's platform configures 2 or more).
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 2.0;
/// The growth factor is the overload multiple times this fraction, within the limits below.
const MAX_OVERLOAD_SHARE: f64 = 0.8;
const MIN_GROWTH_FACTOR: f64 = 1.25;
const MAX_GROWTH_FACTOR: f64 = 2.0;

const MIN_REPORT_INTERVAL: Span = Span::from_millis(50);
const MAX_REPORT_INTERVAL: Span = Span::from_millis(250);

impl ZoneConfig {
    /// Derives the timing from the controller's configuration.
    ///
    /// The load that a server answers in time is within its capacity, and the server fails at more than the overload
    /// multiple of that load. So [`ZoneConfig::growth_factor`] is this multiple less a safety margin, within fixed
    /// limits.
    pub fn from_controller(controller: &ControllerConfig) -> ZoneConfig {
        let target = controller.services.iter().map(|service| service.post_dial_target).min();
        let target = target.filter(|target| *target > Span::ZERO).unwrap_or(DEFAULT_POST_DIAL_TARGET);
        let multiple = if controller.overload_multiple > 1.0 {
            controller.overload_multiple
        } else {
            DEFAULT_OVERLOAD_MULTIPLE
        };
        ZoneConfig {
            loss_timeout: target / LOSS_TIMEOUT_DIVISOR,
            growth_factor: (multiple * MAX_OVERLOAD_SHARE).clamp(MIN_GROWTH_FACTOR, MAX_GROWTH_FACTOR),
        }
    }

    /// Interval between two reports of a front.
    pub fn report_interval(&self) -> Span {
        self.loss_timeout.min(MAX_REPORT_INTERVAL).max(MIN_REPORT_INTERVAL)
    }

    /// Duration of one step of a recovery.
    pub fn step_duration(&self) -> Span {
        self.loss_timeout * 2
    }

    /// How long verdicts stay in force without an update.
    pub fn verdict_ttl(&self) -> Span {
        self.step_duration() * 4
    }
}
