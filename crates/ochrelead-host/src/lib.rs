//! What every host of the decisions needs, whatever its wire.
//!
//! - [`call_policy`]: what an engine asks of whoever decides, so that a rig can put a baseline in the module's place.
//! - [`clock`]: the machine's clock as moments, and timers on it.
//! - [`called_numbers`]: called numbers by index, bounded.
//! - [`recent_ids`]: names that are over, bounded.

pub mod call_policy;
pub mod called_numbers;
pub mod clock;
pub mod recent_ids;

/// The status in a state's folder, as `ochrelead-front status` prints it; its first line says when it was written.
pub const STATUS: &str = "status";
/// The counters there, in the prometheus text form.
pub const COUNTERS: &str = "counters.prom";
