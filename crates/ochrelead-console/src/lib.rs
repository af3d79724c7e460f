//! The fleet as it is now, from event logs that grow.
//!
//! - [`fleet_view`]: what is known of servers, fronts and sessions, fed with records; free of I/O and clocks.
//! - [`server_view`]: what is known of one server, and its state.
//! - [`record_queue`]: puts the fronts' records into one order on a common clock.
//! - [`rate_series`]: counts by second, for the plots; [`session_steps`]: the latest steps of sessions.
//! - [`screen`]: the fleet on a terminal; [`text`]: the same as text.

pub mod fleet_view;
pub mod rate_series;
pub mod record_queue;
pub mod screen;
pub mod server_view;
pub mod session_steps;
pub mod text;
