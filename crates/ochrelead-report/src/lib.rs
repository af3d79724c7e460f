//! Reports on incidents from the event logs of all fronts.
//!
//! - [`incident_report`]: reads the logs and gathers the contents of a report.
//! - [`survey`]: the first pass over the logs: clock offsets, and the coverage of each front's log.
//! - [`merged_log`]: merges the logs of all fronts into one stream in the order of the common clock.
//! - [`longest_sessions`]: the sessions whose callers waited longest, step by step.
//! - [`time_series`]: counts and answer times per interval, for the plots.
//! - [`export`]: writes all events as a Parquet table.
//! - [`page`]: renders the report as a page; [`json`]: renders it as JSON.

pub mod error;
pub mod export;
pub mod incident_report;
pub mod json;
pub mod longest_sessions;
pub mod merged_log;
pub mod page;
pub mod survey;
pub mod time_series;

/// Converts the name of an enum value of the schema to lower-case words: `NO_TOKEN` becomes `no token`.
fn readable_name(name: &str) -> String {
    name.to_lowercase().replace('_', " ")
}
