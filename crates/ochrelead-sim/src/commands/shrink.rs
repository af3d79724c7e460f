//! `shrink`: the smallest scenario that still violates the same invariant.

use std::fs;
use std::path::Path;

use anyhow::{Context, bail};
use ochrelead_sim::generator::{self, ScenarioFile};
use ochrelead_sim::shrink::shrink;

use super::{check, generated_scenario};

/// The most scenarios that are tried.
const MAX_TRIES: usize = 400;

/// Shrinks a scenario that violates something, and writes what is left to `out`.
pub(crate) fn run(source: &str, out: &Path) -> anyhow::Result<bool> {
    let scenario = generated_scenario(source)?;
    let Some(violation) = check(&scenario, false)?.violation else { bail!("{source}: nothing is broken") };
    let reproduces = |candidate: &ScenarioFile| {
        let found = check(candidate, false).ok().and_then(|outcome| outcome.violation);
        found.is_some_and(|found| found.kind() == violation.kind())
    };
    let shrunk = shrink(&scenario, MAX_TRIES, reproduces);
    let text = generator::to_text(&shrunk.scenario);
    fs::write(out, format!("# {violation}\n{text}")).with_context(|| out.display().to_string())?;
    let (left, before) = (shrunk.scenario.trouble.len(), scenario.trouble.len());
    println!("{violation}\n{left} faults left of {before}, after {} days", shrunk.tries);
    Ok(true)
}
