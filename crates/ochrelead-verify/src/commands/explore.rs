//! `explore`: the model checker.

use std::process::ExitCode;
use std::time::Instant;

use ochrelead_verify::explore::{Model, explore};

use super::thread_count;

pub(crate) fn run(model: &Model, max_states: u64) -> ExitCode {
    let started = Instant::now();
    let exploration = explore(model, max_states, thread_count());
    let extent = if exploration.states >= max_states { "stopped there" } else { "complete" };
    println!(
        "{} states to depth {}, {extent}, {:.1} s",
        exploration.states,
        model.depth,
        started.elapsed().as_secs_f64()
    );
    match exploration.counterexample {
        None => ExitCode::SUCCESS,
        Some(counterexample) => {
            println!("found: {}\n{:?}", counterexample.violation, counterexample.steps);
            ExitCode::FAILURE
        }
    }
}
