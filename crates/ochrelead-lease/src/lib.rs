//! Leases: tasks of a fleet, each with at most one holder, without a central server, a disk or synchronized clocks.
//!
//! A few fronts, the [`electorate`], vote. A candidate asks all of them; a [`voter`] promises a task to one candidate
//! for a duration on its own clock; promises of a majority are a lease. The holder counts from when it asked, a voter
//! from when it promised, and the holder stops earlier by the bound on how far the rates of two clocks differ. So
//! whenever a holder's permit is valid, a majority's promises run. A voter that restarts without persisted state
//! remembers no promise: it abstains until none that it may have made can still run.
//!
//! Acting takes a [`Permit`](lease::Permit), asked for right before each act, that carries a [`FencingToken`]. Tokens
//! rise from holder to holder; whoever is acted upon remembers the highest and refuses lower ones. That covers an act
//! that was delayed on its way, and a holder that stalled between its permit and its act.
//!
//! Only durations on one front's own clock are used. A clock must not go back while its process runs, and its rate must
//! be off by no more than [`LeaseConfig::clock_drift_ppm`].
//!
//! Parts:
//!
//! - [`engine`]: one front's part in all leases, as voter and candidate.
//! - [`electorate`]: who votes, how many are a majority, and how that changes.
//! - [`voter`]: promises; [`persistence`]: promises on disk.
//! - [`lease`]: what a holder has; [`token`]: tasks and fencing tokens; [`config`]: durations.
//! - [`message`]: what fronts send each other; [`codec`]: the same as bytes.
//!
//! ```
//! use ochrelead_core::time::{Moment, Span};
//! use ochrelead_lease::electorate::Electorate;
//! use ochrelead_lease::engine::{Engine, EngineConfig};
//! use ochrelead_lease::persistence::PersistedState;
//! use ochrelead_lease::{LeaseConfig, MemberId, TaskId};
//!
//! let config = EngineConfig {
//!     local: MemberId { front: 0, incarnation: 1 },
//!     electorate: Electorate::new(1, &[0]),
//!     lease: LeaseConfig::with_duration(Span::from_secs(4)),
//!     seed: 7,
//! };
//! let now = Moment::from_micros(1_000_000);
//! let mut engine = Engine::new(config, Some(&PersistedState::default()), now);
//! engine.set_candidacy(now, TaskId(1), Some(0));
//! engine.process(now);
//! // The only voter is this front itself, so that there is nothing to send.
//! assert_eq!(engine.poll_output(), None);
//! assert_eq!(engine.permit(now, TaskId(1)).unwrap().token.counter, 1);
//! ```

#![warn(missing_docs)]

mod candidate;
pub mod codec;
pub mod config;
pub mod electorate;
pub mod engine;
pub mod lease;
pub mod message;
pub mod persistence;
pub mod token;
pub mod voter;

pub use config::LeaseConfig;
pub use ochrelead_gossip::MemberId;
pub use token::{FencingToken, TaskId};

/// The schema's own types, as generated.
#[allow(missing_docs, reason = "generated code; the schema file documents it")]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.lease.rs"));
}
