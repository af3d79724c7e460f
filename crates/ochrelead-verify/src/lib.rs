//! Verification of how fronts cooperate: leases, gossip and zones. All kinds of verification run the engines as they
//! ship. Deliberate mutations of the engines' environment show that a verification detects faults.
//!
//! - [`explore`]: a model checker; every interleaving of a bounded set of events, exhaustive to a depth.
//! - [`simulation`]: fleets of lease engines on a virtual clock, with faults drawn from seeds.
//! - [`fleet`]: fleets of nodes on a virtual clock; the cost of coordination, and the time without a lease holder.
//! - [`cluster`]: front processes with a relay between them, and a server that checks fencing tokens.
//! - [`soak`]: trials of node processes with many faults, among emulated peers, checked against the platform's rules.
//! - [`zones`]: fleets with servers and callers whose zones fail and return, with a separate set of mutations.
//! - [`mutation`]: mutations of the lease engine's environment, never of the engine itself.
//! - [`resource`], [`violation`]: the resource that leases protect, and violations of the lease invariants.
//!
//! ```
//! use ochrelead_verify::explore::{Model, explore};
//!
//! let model = Model {
//!     voters: 3,
//!     candidates: 2,
//!     fronts: 3,
//!     ticks: 1,
//!     restarts: 0,
//!     duplicates: 0,
//!     leaves: 0,
//!     depth: 3,
//!     mutation: None,
//! };
//! let exploration = explore(&model, u64::MAX, 1);
//! assert!(exploration.states > 0 && exploration.counterexample.is_none());
//! ```

pub mod cluster;
mod event_queue;
pub mod explore;
pub mod fleet;
pub mod mutation;
pub mod resource;
pub mod simulation;
pub mod soak;
pub mod violation;
pub mod zones;
