//! Zone failover for a fleet of fronts: draining a failed zone together, and returning to it no faster than its servers
//! can bear.
//!
//! A single front sees a few sessions per second spread over tens of servers. On its own it notices the failure of a zone
//! late, and it notices the recovery when all other fronts do, which would overload servers that start cold. So the fronts
//! of a zone report the outcomes of their INVITEs to one of them, the observer. The observer decides for all of them which
//! share of their sessions the servers of each zone take.
//!
//! - [`outcome_reporter`]: counts what one front sees at each server: INVITEs answered in time, late, or lost.
//! - [`outcome_aggregate`]: adds up the reports of all fronts of a zone, at its observer.
//! - [`verdict`]: decides from these statistics whether a zone is unreachable, with a bound on false positives.
//! - [`ramp`]: turns verdicts into shares over time: drain at once, recover step by step.
//! - [`message`], [`codec`]: what fronts send each other, and its wire format.
//! - [`engine`]: one front's part in all of this, without I/O.
//!
//! A share never makes a decision legal or illegal: it only limits how often a server is eligible, at all fronts alike.
//! Verdicts expire when the observer falls silent; each front then continues as it would alone.
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
//! // Nobody else announces itself as the observer, so this front takes the role and informs all others.
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

/// A zone, by its index in the list of zones that all fronts are configured with alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// Number of zones that are tracked; a zone with a higher index is treated as no zone at all.
pub const MAX_ZONES: u32 = 16;

/// A server, by a hash of its name that is the same at all fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u16);

const FNV_OFFSET_BASIS: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

impl ServerKey {
    /// Hashes a server's name: 32-bit FNV-1a, folded to 16 bits by XOR.
    ///
    /// Two servers of a fleet whose names share a key are treated as one: their outcomes add up.
    pub fn from_name(name: &str) -> ServerKey {
        let hash = name
            .bytes()
            .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME));
        let [first, second, third, fourth] = hash.to_be_bytes();
        ServerKey(u16::from_be_bytes([first, second]) ^ u16::from_be_bytes([third, fourth]))
    }
}

/// A server in service and the zone that it is in.
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
    /// An INVITE without an answer counts as lost after this time. An answer after it counts as late, though it may still
    /// be in time for its caller.
    pub loss_timeout: Span,
    /// Factor by which the share of a recovering zone grows when the previous step was answered in time.
    pub growth_factor: f64,
}

/// Part of the shortest post-dial target after which an INVITE counts as lost.
const LOSS_TIMEOUT_DIVISOR: u64 = 8;
/// Post-dial target where the configuration has none.
const DEFAULT_POST_DIAL_TARGET: Span = Span::from_secs(1);
/// Overload multiple where the configuration has none (the bench's platform configures 2 and more).
const DEFAULT_OVERLOAD_MULTIPLE: f64 = 2.0;
/// Share of the overload multiple that one step of a recovery may use.
const OVERLOAD_SAFETY_MARGIN: f64 = 0.8;
const MIN_GROWTH_FACTOR: f64 = 1.25;
const MAX_GROWTH_FACTOR: f64 = 2.0;

const MIN_REPORT_INTERVAL: Span = Span::from_millis(50);
const MAX_REPORT_INTERVAL: Span = Span::from_millis(250);

impl ZoneConfig {
    /// Derives the timing from the controller's configuration.
    ///
    /// What a server answers in time is within its capacity, and it fails when it is sent more than the overload multiple of
    /// that, so a step grows by [`ZoneConfig::growth_factor`], somewhat less than this multiple.
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
            growth_factor: (multiple * OVERLOAD_SAFETY_MARGIN).clamp(MIN_GROWTH_FACTOR, MAX_GROWTH_FACTOR),
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
