//! The operators' platform in its own words, without I/O: what its callers, its coordinator and its configuration
//! say, read into what a front acts on, and what a front says to callers, written.
//!
//! - [`facts`]: the settings object, the same that the simulator hands out; one reader for adapter and node.
//! - [`configuration`]: the configuration of a node.
//! - [`events`]: the numbered events of the coordinator, and where to resume them.
//! - [`lines`]: a stream cut into lines of bounded length.
//! - [`callers`]: what a caller's line says, and the lines that answer it.

pub mod callers;
pub mod configuration;
pub mod events;
pub mod facts;
pub mod lines;

/// No message holds more than this.
pub const LONGEST: usize = 16 * 1024;
