//! What went wrong, when and where, from the event logs of all fronts. Free of I/O and clocks.
//!
//! - [`clocks`]: one time for all fronts, as far as their logs determine it.
//! - [`trouble`]: the kinds of trouble, with onset, end, evidence and confidence.
//! - [`diagnosis`]: from events to troubles, the same live and over a whole log.
//!
//! ```
//! use ochrelead_core::time::Moment;
//! use ochrelead_diagnosis::diagnosis::Diagnosis;
//!
//! let mut diagnosis = Diagnosis::default();
//! diagnosis.advance_to(Moment::from_micros(5_000_000));
//! assert!(diagnosis.troubles().is_empty());
//! ```

pub mod clocks;
pub mod diagnosis;
mod statistics;
pub mod trouble;
