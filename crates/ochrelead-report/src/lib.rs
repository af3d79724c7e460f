//! An incident explained from the fronts' own event logs.
//!
//! - [`incident`]: all records of some folders on one clock, with the diagnosis; [`survey`]: the first reading of them.
//! - [`merged_log`]: all fronts' records in one order, without keeping them.
//! - [`longest_sessions`]: the sessions that waited longest, step by step.
//! - [`time_series`]: what is plotted, in intervals of equal length.
//! - [`export`]: all events as one table.
//! - [`page`]: one file for people; [`json`]: the same for machines.

pub mod error;
pub mod export;
pub mod incident;
pub mod json;
pub mod longest_sessions;
pub mod merged_log;
pub mod page;
pub mod survey;
pub mod time_series;

/// The name of a schema's enum value in plain words.
fn readable_name(name: &str) -> String {
    name.to_lowercase().replace('_', " ")
}
