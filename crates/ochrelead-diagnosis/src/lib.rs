//! Detects incidents from the event logs of all fronts. Does no I/O and reads no clock.
//!
//! - [`clocks`]: estimates the clock offset of each front and converts event times to a common clock.
//! - [`incident`]: the kinds of incident; an incident has an onset, an end, evidence and a confidence.
//! - [`diagnosis`]: turns events into incidents. Gives the same result on a live stream as on a complete log.
//!
//! ```
//! use ochrelead_core::time::Moment;
//! use ochrelead_diagnosis::diagnosis::Diagnosis;
//!
//! let mut diagnosis = Diagnosis::default();
//! diagnosis.advance_to(Moment::from_micros(5_000_000));
//! assert!(diagnosis.incidents().is_empty());
//! ```

pub mod clocks;
pub mod diagnosis;
pub mod incident;
mod statistics;
