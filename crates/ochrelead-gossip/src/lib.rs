//! What fronts say to each other.
//!
//! - [`wire`]: datagrams of at most 256 bytes, by the schema in `proto/peers.proto`, with its rules for other versions.
//! - [`members`]: who is there, in which life and version; suspicion comes before death, and a front that stood still
//!   doubts itself first.
//! - [`spread`]: news carried on with what is sent anyway, within a stated budget.
//! - [`engine`]: one front's part: `take`, `turn`, `next`, `wake`.
//!
//! A front that hears nobody goes on alone; nothing here is needed for what one front decides by itself. Nothing that a
//! peer says is trusted further than it can do bounded harm: a datagram counts only from the address that is listed
//! for its sender, its length, ranges and tables are bounded, and what it says of a third front changes only a view.

pub mod engine;
pub mod members;
pub mod spread;
pub mod wire;

/// The schema's own types.
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/ochrelead.peers.rs"));
}

/// The version of the schema that this program speaks.
pub const VERSION: u32 = 2;

/// A front in one of its lives: a front that starts anew is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Who {
    pub front: u32,
    pub life: u32,
}
