//! Shrinks a scenario to a smaller one that still violates the same invariant.

use crate::generator::{ScenarioFile, parse};

/// The shortest duration that shrinking tries.
const MIN_LENGTH_MS: u32 = 500;

/// The result of shrinking.
#[derive(Clone, Debug, PartialEq)]
pub struct Shrunk {
    /// The smallest scenario found that reproduces the violation.
    pub scenario: ScenarioFile,
    /// The number of candidates that were simulated.
    pub tries: usize,
}

/// Tries up to `max_tries` successively smaller scenarios, and keeps each one that reproduces the violation.
pub fn shrink(
    scenario: &ScenarioFile,
    max_tries: usize,
    reproduces: impl FnMut(&ScenarioFile) -> bool,
) -> Shrunk {
    let smallest = Shrunk { scenario: scenario.clone(), tries: 0 };
    let mut search = Search { smallest, max_tries, reproduces };
    loop {
        let before = search.smallest.scenario.clone();
        search.remove_faults();
        for candidate in simplifications(&search.smallest.scenario) {
            search.try_candidate(candidate);
        }
        if search.smallest.scenario == before || search.smallest.tries >= max_tries {
            return search.smallest;
        }
    }
}

struct Search<F> {
    smallest: Shrunk,
    max_tries: usize,
    reproduces: F,
}

impl<F: FnMut(&ScenarioFile) -> bool> Search<F> {
    /// Keeps the candidate if it reproduces the violation, and returns whether it does. Skips candidates that are
    /// unchanged or invalid.
    fn try_candidate(&mut self, candidate: ScenarioFile) -> bool {
        let Shrunk { scenario, tries } = &mut self.smallest;
        if *tries >= self.max_tries || candidate == *scenario || parse(&candidate).is_err() {
            return false;
        }
        *tries += 1;
        let reproduced = (self.reproduces)(&candidate);
        if reproduced {
            *scenario = candidate;
        }
        reproduced
    }

    /// Removes runs of consecutive faults, beginning with half of them and halving the run length down to one.
    fn remove_faults(&mut self) {
        let mut run_length = self.smallest.scenario.trouble.len().div_ceil(2);
        while run_length > 0 {
            self.remove_runs_of(run_length);
            run_length = if run_length == 1 { 0 } else { run_length.div_ceil(2) };
        }
    }

    /// Tries to remove each run of `run_length` consecutive faults.
    fn remove_runs_of(&mut self, run_length: usize) {
        let mut first = 0;
        while first < self.smallest.scenario.trouble.len() {
            let mut candidate = self.smallest.scenario.clone();
            let end = (first + run_length).min(candidate.trouble.len());
            candidate.trouble.drain(first..end);
            if !self.try_candidate(candidate) {
                first += run_length;
            }
        }
    }
}

/// Returns variants of the scenario, each with one simplification.
fn simplifications(scenario: &ScenarioFile) -> Vec<ScenarioFile> {
    let network = scenario.network.unwrap_or_default();
    let changes: [&dyn Fn(&mut ScenarioFile); 9] = [
        &|file| file.network.get_or_insert(network).loss = Some(0.0),
        &|file| file.network.get_or_insert(network).doubled = Some(0.0),
        &|file| file.network.get_or_insert(network).reordered = Some(0.0),
        &|file| file.network.get_or_insert(network).jitter = Some(0.0),
        &|file| file.length_ms = Some((file.length_ms() / 2).max(MIN_LENGTH_MS)),
        &remove_a_front,
        &remove_a_server,
        &remove_redials,
        &halve_the_load,
    ];
    let changed = changes.into_iter().map(|change| {
        let mut candidate = scenario.clone();
        change(&mut candidate);
        candidate
    });
    changed.collect()
}

fn remove_a_front(file: &mut ScenarioFile) {
    let fronts = (file.fronts() - 1).max(1);
    file.fronts = Some(fronts);
    file.trouble.retain(|fault| fault.which.iter().all(|target| *target < fronts));
}

fn remove_a_server(file: &mut ScenarioFile) {
    if file.stand_in.len() > 1 {
        file.stand_in.pop();
    }
}

fn remove_redials(file: &mut ScenarioFile) {
    if let Some(callers) = &mut file.callers {
        callers.redials = Some(0);
    }
}

fn halve_the_load(file: &mut ScenarioFile) {
    if let Some(callers) = &mut file.callers {
        callers.sessions_per_s = Some((callers.sessions_per_s() / 2.0).max(1.0));
    }
}
