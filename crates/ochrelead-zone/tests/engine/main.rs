//! Simulated fleets of engines in several zones: election of the observer, which verdicts the fronts follow, and when
//! verdicts expire.

mod failover;
mod fleet;
mod observers;
mod verdicts;
