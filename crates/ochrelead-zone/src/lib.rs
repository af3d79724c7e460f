//! Leaving a district that fails as one fleet, and returning to it at a pace that its signalling servers bear.
//!
//! A front alone sees a few sessions a second and tens of servers: it learns of a district's end late, and of its
//! return as all others do, at once. Here the fronts of a district tell one of them, its observer, what they met; the
//! observer says to all what share of their sessions the servers of each district take now.
//!
//! - [`outcome_reporter`]: what one front met at each server: INVITEs answered in time, late, or lost.
//! - [`outcome_aggregate`]: what all fronts of a district met, at its observer.
//! - [`verdict`]: what that says of each district, by counts and a stated bound on being wrong.
//! - [`ramp`]: leaving and returning: from verdicts to shares.
//! - [`message`]: what fronts say to each other about it. [`engine`]: one front's part: `handle_input`, `process`, `poll_output`, `poll_timeout`.
//!
//! Nothing here makes a decision legal or illegal: a share is chance's part in whether a server has room, at every front
//! alike. What is in force lapses where the observer falls silent; then each front goes on as it would alone.

pub mod codec;
pub mod engine;
pub mod message;
pub mod outcome_aggregate;
pub mod outcome_reporter;
pub mod ramp;
pub mod verdict;

use ochrelead_core::config::ControllerConfig;
use ochrelead_core::time::Span;

/// The schema's own types.
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.zone.rs"));
}

/// A district, by its place in the list that all fronts are told alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// Districts that are told apart; what is beyond is in none.
pub const MAX_ZONES: u32 = 16;

/// A server, by a hash of its name: the same at all fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerKey(pub u16);

impl ServerKey {
    /// FNV-1a, folded. Two servers of a fleet that share a key are taken for one: their evidence adds up.
    pub fn from_name(name: &str) -> ServerKey {
        let hash = name
            .bytes()
            .fold(0x811c_9dc5_u32, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193));
        ServerKey((hash >> 16) as u16 ^ hash as u16)
    }
}

/// What a front is told of a server's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLocation {
    pub server: ServerKey,
    pub zone: ZoneId,
}

/// The pace of it all, from what a front is set to; the same at all fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneConfig {
    /// An INVITE that has no answer after this counts as lost until it has one: an eighth of the shortest post-dial
    /// target. An answer beyond it is late, though it may still be in time for its caller.
    pub loss_timeout: Span,
    /// A share may be raised by this factor where what was sent at the former one was answered in time. What a server
    /// answers in time it can do; it falls when sent more than a multiple of that, and this is four fifths of it.
    pub growth_factor: f64,
}

/// Where settings name none (the bench's platform names 2 and more).
const USUAL_MULTIPLE: f64 = 2.0;

impl ZoneConfig {
    pub fn from_controller(controller: &ControllerConfig) -> ZoneConfig {
        let target = controller.services.iter().map(|service| service.post_dial_target).min();
        let target = target.filter(|target| *target > Span::ZERO).unwrap_or(Span::from_secs(1));
        let multiple =
            if controller.overload_multiple > 1.0 { controller.overload_multiple } else { USUAL_MULTIPLE };
        ZoneConfig { loss_timeout: target / 8, growth_factor: (multiple * 0.8).clamp(1.25, 2.0) }
    }

    /// Reports are made so often.
    pub fn report_interval(&self) -> Span {
        self.loss_timeout.min(Span::from_millis(250)).max(Span::from_millis(50))
    }

    /// A step of the return.
    pub fn step_duration(&self) -> Span {
        self.loss_timeout * 2
    }

    /// How long a word of the observer is in force, and after what silence another is wanted.
    pub fn verdict_ttl(&self) -> Span {
        self.step_duration() * 4
    }
}
