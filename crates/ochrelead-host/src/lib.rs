//! What every host of the decisions needs, whatever its wire.
//!
//! - [`judge`]: what an engine asks of whoever decides, so that a rig can put a baseline in the module's place.
//! - [`clock`]: the machine's clock as moments, and timers on it.
//! - [`numbers`]: called numbers by index, bounded.
//! - [`gone`]: names that are over, bounded.

pub mod clock;
pub mod gone;
pub mod judge;
pub mod numbers;

/// The status in a state's folder, as `ochrelead-front status` prints it; its first line says when it was written.
pub const STATUS: &str = "status";
/// The counters there, in the prometheus text form.
pub const COUNTERS: &str = "counters.prom";
