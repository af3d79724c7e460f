//! Deterministic simulation of fronts, servers and callers on a virtual clock.
//!
//! The unmodified engines of fronts, servers and callers run in one thread on one event queue. Nothing here reads a real
//! clock or takes randomness from anything but the seed: the same scenario gives byte-identical events.
//!
//! - [`world`]: participants, network, clocks and disks on one event queue; [`world::World::step`] handles the next
//!   event.
//! - [`front`]: a front's machine and process: engine, clock, disk, and the state that survives a kill.
//! - [`disk`]: an in-memory disk that fills up and tears writes; [`clock`]: a system clock with offset, drift and steps.
//! - [`session_tracker`]: tracks a front's sessions by its events; [`violation`]: violated invariants.
//! - [`mod@run`]: simulates and audits a scenario; [`mutation`]: deliberate faults that the simulation must detect.
//! - [`generator`]: generates scenarios with faults from a seed; [`mod@shrink`]: reduces a scenario that violates an
//!   invariant.
//! - [`experiment`]: grids of scenarios, with result table and plot.
//! - [`error`]: errors that prevent a simulation.
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
