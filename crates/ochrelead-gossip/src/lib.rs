//! Gossip among the fronts of a fleet: membership, rumors to all fronts, and transport for messages of higher layers.
//!
//! Membership follows SWIM with Lifeguard's extensions. Each front pings another one in each protocol period, and
//! requests other fronts to ping on its behalf if no answer arrives. A front that does not answer is suspected before
//! it is declared dead, and can refute the suspicion. A front that stalled or misses many answers lengthens its own
//! timeouts.
//!
//! A front that receives nothing from others keeps working: decisions that a front makes by itself do not depend on
//! gossip. The effect of a faulty peer is bounded: a datagram is accepted only from the address listed for its sender;
//! lengths, ranges and tables are bounded; and an update about a third front changes only this front's view of it.
//!
//! Modules:
//!
//! - [`engine`]: the state machine of one front, without I/O.
//! - [`members`]: the fronts and their states; `failure_detector`: direct and indirect pings.
//! - `dissemination`: rumors and member updates, added to datagrams that are sent for other reasons.
//! - `outbox`: queued messages, and the budget of datagrams.
//! - [`wire`]: datagrams of at most 256 bytes; `proto/gossip.proto` defines the schema and the rules for other
//!   versions.
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
//! let (mut sender, mut receiver) = (Engine::new(config(0), now), Engine::new(config(1), now));
//! sender.send_lease_message(1, b"a message".to_vec());
//! sender.process(now);
//! let transmit = sender.poll_output().unwrap();
//! assert_eq!(transmit.recipient, Recipient::Front(1));
//! receiver.handle_input(now, 0, &transmit.datagram);
//! assert_eq!(receiver.poll_lease_message().unwrap().payload, b"a message");
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

/// The generated types of the Protobuf schema.
#[allow(missing_docs, reason = "generated code; the schema file documents it")]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.gossip.rs"));
}
