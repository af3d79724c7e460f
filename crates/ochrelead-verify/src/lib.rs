//! Verification of what fronts do together. Each kind runs the engines as they ship, and has to find the deliberate
//! mutations of their surroundings.
//!
//! - [`explore`]: a model checker; every order of a few events, complete to a depth.
//! - [`simulation`]: fleets of lease engines on a virtual clock, with faults from seeds.
//! - [`fleet`]: whole fleets of nodes on a virtual clock; what coordination costs, and how soon a lease is held again.
//! - [`cluster`]: several processes of the program, a relay between them, and a server that is acted upon.
//! - [`soak`]: dense trials of several node processes between emulated parties, judged by the platform's rules.
//! - [`zones`]: whole fleets with servers and callers, whose zones fail and return; it has mutations of its own.
//! - [`mutation`]: what is wrong on purpose, around the lease engine and never in it.
//! - [`resource`], [`violation`]: what holders act upon, and what does not hold.
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
