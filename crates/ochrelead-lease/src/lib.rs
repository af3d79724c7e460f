//! Leases on the tasks of a fleet. Each task has at most one holder at a time; this needs no central server, no disk
//! and no synchronized clocks.
//!
//! A few fronts, the [`electorate`], are voters. A candidate requests the votes of all voters. A [`voter`] that
//! grants its vote promises the task to that candidate for a duration on the voter's clock, and promises of a
//! majority are a lease. The holder measures the lease from its request, each voter from its promise, and the
//! holder's duration is shorter by the bound on the difference between the rates of two clocks. Therefore a majority
//! of promises is unexpired whenever the holder has a valid permit. A voter that restarts without persisted state
//! does not know its earlier promises, so it abstains until all of them have expired.
//!
//! The holder requests a [`Permit`](lease::Permit) directly before each operation under the lease. The permit
//! contains a [`FencingToken`], and tokens increase from holder to holder. The resource that the operation goes to
//! stores the highest token that it has seen and refuses lower ones. This fences off operations that were delayed in
//! the network, and those of a holder that stalled between permit and operation.
//!
//! Only durations on a single front's clock are used. A clock must not go back while its process runs, and the error
//! of its rate must be at most [`LeaseConfig::clock_drift_ppm`].
//!
//! Modules:
//!
//! - [`engine`]: the state machine of one front, as voter and candidate.
//! - [`electorate`]: the voters, majorities, and changes of the voters.
//! - [`voter`]: promises; [`persistence`]: promises on disk.
//! - [`lease`]: leases and permits; [`token`]: tasks and fencing tokens; [`config`]: durations.
//! - [`message`]: messages between fronts; [`codec`]: their encoding.
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
//! // This front is the only voter, so there is no message to send.
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

/// The generated types of the Protobuf schema.
#[allow(missing_docs, reason = "generated code; the schema file documents it")]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.lease.rs"));
}
