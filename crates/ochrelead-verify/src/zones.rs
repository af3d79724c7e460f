//! Simulation of whole fleets whose zones fail and return, on a virtual clock. The call controller, the gossip engine and the
//! zone engine run as they ship; servers and callers are simple models.
//!
//! - [`scenario`]: the size of a fleet, its load, and the faults and deliberate mutations of a run.
//! - [`outcome`]: what a run has shown: violations, and what callers got.
//! - `world`: the event loop; `calls`, `network` and `faults` handle its events, `traffic` draws the callers' sessions.
//! - `events`: what happens. `front`, `server`: the parties. `mutation`: messages that are changed on their way.
//! - `monitor`: checks the invariants ten times per second and measures drains and recoveries.
//!
//! ```
//! use ochrelead_verify::zones::scenario::Scenario;
//! use ochrelead_verify::zones::simulate;
//!
//! let scenario = Scenario { seconds: 1, ..Scenario::quiet(1, 4, 4) };
//! assert_eq!(simulate(&scenario).violation, None);
//! ```

mod calls;
mod events;
mod faults;
mod front;
mod monitor;
mod mutation;
mod network;
pub mod outcome;
pub mod scenario;
mod server;
mod traffic;
mod world;

use self::outcome::Outcome;
use self::scenario::Scenario;

/// Runs a scenario to its end.
pub fn simulate(scenario: &Scenario) -> Outcome {
    world::World::new(scenario.clone()).run()
}
