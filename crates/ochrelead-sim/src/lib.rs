//! The network code on a virtual clock.
//!
//! The engines of fronts, servers and callers run as they are, in one thread, on one queue of events. Nothing here
//! reads a clock or takes randomness from elsewhere than the seed: the same scenario gives the same events to the byte.
//!
//! - [`world`]: parties, network, clocks and disks on one queue; [`world::World::step`] does the next thing.
//! - [`front`]: a front's machine and process: engine, clock, disk, and what a kill leaves of them.
//! - [`disk`]: a disk in memory that fills up and tears; [`clock`]: a system clock that is off, drifts and is set.
//! - [`session_tracker`]: follows a front's sessions by its events; [`violation`]: invariants that do not hold.
//! - [`mod@run`]: a whole scenario, and what came of it; [`mutation`]: what is wrong on purpose, to see that it is found.
//! - [`generator`]: scenarios with faults from a seed; [`mod@shrink`]: the smallest one that still shows a violation.
//! - [`experiment`]: grids of scenarios, their table and their plots.
//! - [`error`]: why a scenario can't be simulated.
//!
//! ```
//! use ochrelead_scenario::policy::PolicyKind;
//! use ochrelead_sim::generator;
//! use ochrelead_sim::run::run;
//! use ochrelead_sim::world::RecordingOptions;
//!
//! let scenario = generator::parse(&generator::generate(1))?;
//! let options = RecordingOptions { datagrams: true, ..RecordingOptions::default() };
//! let outcome = run(&scenario, PolicyKind::Controller, options)?;
//! assert_eq!(outcome.violation, None);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod clock;
pub mod disk;
pub mod error;
pub mod experiment;
pub mod front;
pub mod generator;
pub mod mutation;
pub mod run;
pub mod session_tracker;
pub mod shrink;
pub mod violation;
pub mod world;
