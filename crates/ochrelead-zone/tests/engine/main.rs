//! Fronts of several zones on one clock, each with its engine: who is the observer, which verdicts all follow, and when
//! they expire.

mod failover;
mod fleet;
mod observers;
mod verdicts;
