//! The fleet now, from records that grow.
//!
//! - [`watch`]: what is known, fed with records as they come; free of I/O and clocks.
//! - [`screen`]: that on a terminal; [`plain`]: the same as text.

pub mod plain;
pub mod screen;
pub mod watch;
