//! `shrink`: reduces a scenario to a smaller one that violates the same invariant.

use std::fs;
use std::path::Path;

use anyhow::{Context, bail};
use ochrelead_sim::generator::{self, ScenarioFile};
use ochrelead_sim::shrink::shrink;

use super::{check, generated_scenario};

/// Maximum number of candidate scenarios that are simulated.
const MAX_TRIES: usize = 400;

/// Shrinks a scenario that violates an invariant, and writes the result to `out`.
pub(crate) fn run(source: &str, out: &Path) -> anyhow::Result<bool> {
    let scenario = generated_scenario(source)?;
    let Some(violation) = check(&scenario, false)?.violation else {
        bail!("{source}: the scenario violates no invariant, so there is nothing to shrink")
    };
    let reproduces = |candidate: &ScenarioFile| {
        let reproduced = check(candidate, false).ok().and_then(|outcome| outcome.violation);
        reproduced.is_some_and(|reproduced| reproduced.kind() == violation.kind())
    };
    let shrunk = shrink(&scenario, MAX_TRIES, reproduces);
    let text = generator::to_text(&shrunk.scenario);
    fs::write(out, format!("# {violation}\n{text}")).with_context(|| out.display().to_string())?;
    let (remaining, original) = (shrunk.scenario.trouble.len(), scenario.trouble.len());
    println!("{violation}\n{remaining} faults left of {original}, after {} days", shrunk.tries);
    Ok(true)
}
