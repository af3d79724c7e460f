//! Gossip among the fronts of a fleet: who is alive, rumors for everybody, and a way for messages of other layers.
//!
//! Membership follows SWIM with Lifeguard's extensions: each front pings one other in each protocol period, has others
//! ping on its behalf where no answer comes, suspects before it declares dead, and lets a suspected front refute that.
//! A front that stalled, or misses many answers, doubts itself before others.
//!
//! A front that hears nobody goes on alone: nothing here is needed for what one front decides by itself. No peer is
//! trusted beyond bounded harm: a datagram counts only from the address that is listed for its sender; lengths, ranges
//! and tables are bounded; and what it says of a third front changes only this front's view of that.
//!
//! Parts:
//!
//! - [`engine`]: one front's part, without I/O.
//! - [`members`]: the fronts and their states; `failure_detector`: pings, direct and indirect.
//! - `dissemination`: rumors and member updates, added to datagrams that are sent anyway.
//! - `outbox`: what waits to be sent, within a budget of datagrams.
//! - [`wire`]: datagrams of at most 256 bytes, by the schema in `proto/gossip.proto`, with its rules for other versions.
//!
//! ```
//! use ochrelead_core::time::Moment;
//! use ochrelead_gossip::engine::{Engine, EngineConfig, Recipient};
//! use ochrelead_gossip::{GossipConfig, MemberId};
//!
//! let config = |front| EngineConfig {
//!     local: MemberId { front, incarnation: 1 },
//!     fleet_size: 2,
//!     zone: None,
//!     gossip: GossipConfig::DEFAULT,
//!     seed: 7,
//! };
//! let now = Moment::from_micros(1_000_000);
//! let (mut one, mut other) = (Engine::new(config(0), now), Engine::new(config(1), now));
//! one.send_lease_message(1, b"a message".to_vec());
//! one.process(now);
//! let transmit = one.poll_output().unwrap();
//! assert_eq!(transmit.recipient, Recipient::Front(1));
//! other.handle_input(now, 0, &transmit.datagram);
//! assert_eq!(other.poll_lease_message().unwrap().payload, b"a message");
//! ```

#![warn(missing_docs)]

pub mod config;
mod dissemination;
pub mod engine;
mod failure_detector;
pub mod members;
mod outbox;
pub mod stats;
pub mod wire;

pub use config::GossipConfig;
pub use dissemination::{MAX_RUMOR_SIZE, RumorId};
pub use members::MemberId;
pub use stats::GossipStats;
pub use wire::VERSION;

/// The schema's own types, as generated.
#[allow(missing_docs, reason = "generated code; the schema file documents it")]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.gossip.rs"));
}
