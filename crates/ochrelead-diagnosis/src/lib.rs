//! What went wrong, when and where, from the records of all fronts. Free of I/O and clocks.
//!
//! - [`clocks`]: one time for all fronts, as far as their records tell it.
//! - [`trouble`]: the kinds of trouble, with onset, end, evidence and confidence.
//! - [`course`]: what is known of servers, members and fronts over the last seconds.
//! - [`diagnosis`]: from events, second by second, to troubles. Live and over a whole log it comes to the same.

pub mod clocks;
pub mod course;
pub mod diagnosis;
pub mod trouble;
