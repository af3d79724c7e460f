//! Live view of the fleet, from event logs that are being written.
//!
//! - [`fleet_view`]: the current state of servers, fronts and sessions. Updated by records; does no I/O, reads no
//!   clock.
//! - [`server_view`]: the current state of one server.
//! - [`record_queue`]: orders the records of all fronts by a common clock.
//! - [`rate_series`]: event counts per second, for the plots; [`session_steps`]: the latest events of sessions.
//! - [`screen`]: draws the fleet on a terminal; [`text`]: renders it as text.

pub mod fleet_view;
pub mod rate_series;
pub mod record_queue;
pub mod screen;
pub mod server_view;
pub mod session_steps;
pub mod text;
