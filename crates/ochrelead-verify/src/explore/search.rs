//! The search: breadth first until there are enough paths to share among the threads, then depth first from each path.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

use super::state::State;
use super::{Counterexample, Exploration, Model, Step};

/// Number of separately locked maps that hold the visited states.
const SHARDS: u64 = 256;
/// Minimum number of paths from which the threads start, unless the depth or the state space is too small.
const MIN_INITIAL_PATHS: usize = 300;

/// Ignores poisoning: a panic in one thread ends the whole search, and the guarded data is consistent at every panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The fingerprints of visited states, each with the largest number of steps left on a visit.
struct VisitedStates {
    shards: Vec<Mutex<HashMap<u64, u8>>>,
    count: AtomicU64,
}

impl VisitedStates {
    fn new() -> VisitedStates {
        let shards = (0..SHARDS).map(|_| Mutex::new(HashMap::new())).collect();
        VisitedStates { shards, count: AtomicU64::new(0) }
    }

    fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    /// Records a visit. Returns whether the state has to be expanded: it is new, or all earlier visits had fewer
    /// steps left.
    fn visit(&self, fingerprint: u64, steps_left: u8) -> bool {
        let mut shard = lock(&self.shards[(fingerprint % SHARDS) as usize]);
        match shard.get(&fingerprint) {
            Some(known) if *known >= steps_left => false,
            known => {
                if known.is_none() {
                    self.count.fetch_add(1, Ordering::Relaxed);
                }
                shard.insert(fingerprint, steps_left);
                true
            }
        }
    }
}

/// A state and the steps that lead to it.
struct Path {
    state: State,
    steps: Vec<Step>,
}

struct Search<'a> {
    model: &'a Model,
    visited: VisitedStates,
    max_states: u64,
    is_stopped: AtomicBool,
    counterexample: Mutex<Option<Counterexample>>,
}

impl Search<'_> {
    fn steps_left(&self, steps: &[Step]) -> u8 {
        let taken = u8::try_from(steps.len()).expect("a path is at most as long as the depth");
        self.model.depth - taken
    }

    /// Searches all successors of a state depth first.
    fn search_depth_first(&self, state: &State, steps: &mut Vec<Step>) {
        let steps_left = self.steps_left(steps);
        if steps_left == 0 || self.is_stopped.load(Ordering::Relaxed) {
            return;
        }
        for step in state.enabled_steps(self.model) {
            let mut next = state.clone();
            steps.push(step);
            match next.apply(self.model, step) {
                Err(violation) => self.report(Counterexample { violation, steps: steps.clone() }),
                Ok(()) => {
                    if self.visited.count() >= self.max_states {
                        self.is_stopped.store(true, Ordering::Relaxed);
                    } else if self.visited.visit(next.fingerprint(), steps_left - 1) {
                        self.search_depth_first(&next, steps);
                    }
                }
            }
            steps.pop();
        }
    }

    /// Keeps the counterexample if it is the shortest so far, and stops the search.
    fn report(&self, counterexample: Counterexample) {
        let mut shortest = lock(&self.counterexample);
        if shortest.as_ref().is_none_or(|current| current.steps.len() > counterexample.steps.len()) {
            *shortest = Some(counterexample);
        }
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Extends each path by one step, in all ways that lead to a state to be expanded.
    fn extend(&self, paths: &[Path]) -> Result<Vec<Path>, Exploration> {
        let mut longer = Vec::new();
        for path in paths {
            for step in path.state.enabled_steps(self.model) {
                let (mut state, mut steps) = (path.state.clone(), path.steps.clone());
                steps.push(step);
                if let Err(violation) = state.apply(self.model, step) {
                    let counterexample = Some(Counterexample { violation, steps });
                    return Err(Exploration { states: longer.len() as u64, counterexample });
                }
                if self.visited.visit(state.fingerprint(), self.steps_left(&steps)) {
                    longer.push(Path { state, steps });
                }
            }
        }
        Ok(longer)
    }

    /// Searches breadth first for the paths from which the threads start.
    fn initial_paths(&self) -> Result<Vec<Path>, Exploration> {
        let mut paths = vec![Path { state: State::initial(self.model), steps: Vec::new() }];
        let depth = usize::from(self.model.depth);
        while paths.len() < MIN_INITIAL_PATHS && paths[0].steps.len() + 2 < depth {
            let longer = self.extend(&paths)?;
            if longer.is_empty() {
                break;
            }
            paths = longer;
        }
        Ok(paths)
    }

    fn run(&self, threads: usize) -> Result<(), Exploration> {
        let paths = Mutex::new(self.initial_paths()?);
        let work = || {
            loop {
                let path = lock(&paths).pop();
                let Some(Path { state, mut steps }) = path else { return };
                self.search_depth_first(&state, &mut steps);
            }
        };
        thread::scope(|scope| {
            for _ in 0..threads.max(1) {
                scope.spawn(work);
            }
        });
        Ok(())
    }
}

/// Explores all interleavings to the model's depth. Stops early at a violation or after `max_states` distinct states.
pub fn explore(model: &Model, max_states: u64, threads: usize) -> Exploration {
    let search = Search {
        model,
        visited: VisitedStates::new(),
        max_states,
        is_stopped: AtomicBool::new(false),
        counterexample: Mutex::new(None),
    };
    if let Err(exploration) = search.run(threads) {
        return exploration;
    }
    let counterexample = search.counterexample.into_inner().unwrap_or_else(PoisonError::into_inner);
    Exploration { states: search.visited.count(), counterexample }
}
