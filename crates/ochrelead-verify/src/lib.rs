//! Proof of what fronts do together, in rings that share the engine as it ships and the deliberate mistakes.
//!
//! - [`explore`]: every order of a few events, complete to a stated depth.
//! - [`emulate`]: fleets on a virtual clock, faults from seeds.
//! - [`processes`]: several processes of the program, a relay between them, and a server that is acted upon.
//! - [`fleet`]: what a node does with its peers, whole, at any size: what it costs and how soon a lease is held again.
//! - [`districts`]: whole fleets with servers and callers, districts that fail and return; its own deliberate mistakes.
//! - [`mistake`]: what is done wrong on purpose, around the engine and never in it; each ring has to find it.
//! - [`resource`]: whoever is acted upon, and the verdict on the acts that reached it.

pub mod districts;
pub mod emulate;
pub mod explore;
pub mod fleet;
pub mod mistake;
pub mod processes;
pub mod resource;
