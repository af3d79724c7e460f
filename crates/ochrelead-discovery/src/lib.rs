//! Which servers there are: read from watched files, adopted whole or not at all, remembered through a kill.
//!
//! - [`sheet`]: from files to one candidate, or to all that is wrong with them.
//! - [`adopt`]: whether a candidate takes the place of the fleet in force. Policy, free of I/O.
//! - [`roster`]: the servers by index, and who wins where the file, the server's own word and what was kept
//!   disagree. Policy, free of I/O.
//! - [`keeper`]: the course from what was read to what is in force, with counters and reasons.
//! - [`store`]: what a front keeps between two lives.
//! - [`watch`]: files and notifications; it decides nothing.

pub mod adopt;
pub mod counters;
pub mod keeper;
pub mod roster;
pub mod sheet;
pub mod store;
pub mod watch;
