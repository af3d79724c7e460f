//! An incident explained from the fronts' own records.
//!
//! - [`incident`]: all records of some folders on one clock, with the diagnosis.
//! - [`merged`]: all fronts' records in one order, without holding them.
//! - [`story`]: the sessions that waited longest, step by step.
//! - [`series`]: what is plotted, in fixed stretches of time.
//! - [`export`]: all events as one table.
//! - [`page`]: one file for people; [`json`]: the same for machines.

pub mod export;
pub mod incident;
pub mod json;
pub mod merged;
pub mod page;
pub mod series;
pub mod story;
