//! Finds the smallest scenario that still violates the same invariant.

use crate::generator::{ScenarioFile, parse};

/// No scenario is shortened below this.
const MIN_LENGTH_MS: u32 = 500;

/// What shrinking came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Shrunk {
    /// The smallest scenario that still reproduces the violation.
    pub scenario: ScenarioFile,
    /// How many scenarios were tried.
    pub tries: usize,
}

/// Tries ever smaller scenarios, at most `max_tries` of them, and keeps those that reproduce the violation.
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
            search.attempt(candidate);
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
    /// Keeps the candidate if it reproduces the violation, and says whether it does.
    fn attempt(&mut self, candidate: ScenarioFile) -> bool {
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

    /// Removes faults: by halves, then one by one.
    fn remove_faults(&mut self) {
        let mut size = self.smallest.scenario.trouble.len().div_ceil(2);
        while size > 0 {
            self.remove_runs_of(size);
            size = if size == 1 { 0 } else { size.div_ceil(2) };
        }
    }

    fn remove_runs_of(&mut self, size: usize) {
        let mut first = 0;
        while first < self.smallest.scenario.trouble.len() {
            let mut candidate = self.smallest.scenario.clone();
            let end = (first + size).min(candidate.trouble.len());
            candidate.trouble.drain(first..end);
            if !self.attempt(candidate) {
                first += size;
            }
        }
    }
}

/// The same scenario with one thing less to explain the violation.
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
