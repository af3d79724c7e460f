//! `replay`: simulates one scenario again and prints its trace and result.

use std::fs;
use std::path::Path;

use anyhow::Context;

use super::{check, generated_scenario};

/// Maximum number of trace lines that are printed up to a step.
const MAX_TRACE_LINES: usize = 60;

/// Simulates a scenario and prints the result. Returns whether there was no violation.
pub(crate) fn run(source: &str, trace: Option<&Path>, step: Option<u64>) -> anyhow::Result<bool> {
    let scenario = generated_scenario(source)?;
    let outcome = check(&scenario, trace.is_some() || step.is_some())?;
    if let Some(path) = trace {
        fs::write(path, &outcome.trace).with_context(|| path.display().to_string())?;
    }
    if let Some(step) = step {
        print_trace(&outcome.trace, step);
    }
    let service = outcome.service.overall;
    println!("{} events, sum {:08x}, service {service:.3}", outcome.steps, outcome.checksum);
    let Some(violation) = &outcome.violation else {
        println!("all rules kept, all books balance; on simulated servers");
        return Ok(true);
    };
    println!("{violation}");
    outcome.context.iter().for_each(|line| println!("{line}"));
    Ok(false)
}

/// Prints the last lines of a trace up to and including a step.
fn print_trace(trace: &str, last_step: u64) {
    let step_number = |line: &str| line.split(' ').next().and_then(|number| number.parse::<u64>().ok());
    let lines: Vec<&str> =
        trace.lines().filter(|line| step_number(line).is_some_and(|step| step <= last_step)).collect();
    lines[lines.len().saturating_sub(MAX_TRACE_LINES)..].iter().for_each(|line| println!("{line}"));
}
