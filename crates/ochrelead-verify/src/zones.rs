//! Simulation, on a virtual clock, of fleets in which whole zones fail and return. The call controller, the gossip
//! engine and the zone engine are the production code; servers and callers are simple models.
//!
//! - [`scenario`]: fleet size, load, faults and the deliberate mutation of a run.
//! - [`outcome`]: the result of a run: the first violation, and measurements of the service that callers got.
//! - `world`: the event loop and all state of a run. `calls`, `network` and `faults` handle its events.
//! - `events`: the types of events. `traffic`: draws the callers' sessions.
//! - `front`, `server`: the simulated processes. `mutation`: changes messages in transit and shares before they are
//!   applied.
//! - `monitor`: checks the invariants ten times per second and measures how zones are drained and recover.
//!
//! Times without a unit in their name are in microseconds since the start of the run.
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

/// Simulates a scenario from start to end.
pub fn simulate(scenario: &Scenario) -> Outcome {
    world::World::new(scenario.clone()).run()
}
