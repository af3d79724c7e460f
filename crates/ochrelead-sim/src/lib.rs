//! The network code on a virtual clock.
//!
//! The engines of front, servers and callers run as they are, in one thread, on one queue of events. Nothing here
//! reads a clock or takes chance from elsewhere than the seed: the same day gives the same events to the byte.
//!
//! - [`world`]: parties, network, clocks and disks on one queue; [`world::World::step`] does the next thing.
//! - [`front`]: a front's process: engine, clock, disk, and what a kill leaves of them.
//! - [`disk`]: a disk in memory that fills up and tears.
//! - [`clock`]: a system clock that is off, runs fast and is set.
//! - [`books`]: what must balance after every step, and at the end.
//! - [`schedule`]: days with faults drawn from a seed.
//! - [`experiment`]: grids of days, their table and their plots.
//! - [`play`]: a whole day and what it came to; [`shrink`]: the fewest faults that still break something.

pub mod books;
pub mod clock;
pub mod disk;
pub mod experiment;
pub mod front;
pub mod play;
pub mod schedule;
pub mod shrink;
pub mod world;
