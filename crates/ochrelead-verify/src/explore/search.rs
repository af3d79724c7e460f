//! The search: breadth first until there is work for all threads, then depth first on each of them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;

use super::state::State;
use super::{Counterexample, Exploration, Model, Step};

/// The visited states are split into so many locked maps.
const SHARDS: u64 = 256;
/// So many beginnings are shared among the threads.
const MIN_BEGINNINGS: usize = 300;

/// Threads that panic end the whole search; what they leave behind is consistent.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The fingerprints of visited states, and how many steps were left then.
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

    /// Whether the state has to be gone through: it is new, or there are more steps left than before.
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

/// A state and the steps to it.
struct Path {
    state: State,
    steps: Vec<Step>,
}

struct Search<'a> {
    model: &'a Model,
    visited: VisitedStates,
    max_states: u64,
    is_over: AtomicBool,
    counterexample: Mutex<Option<Counterexample>>,
}

impl Search<'_> {
    fn steps_left(&self, steps: &[Step]) -> u8 {
        let taken = u8::try_from(steps.len()).expect("no more than the depth");
        self.model.depth - taken
    }

    /// Goes through all states that follow.
    fn descend(&self, state: &State, steps: &mut Vec<Step>) {
        let steps_left = self.steps_left(steps);
        if steps_left == 0 || self.is_over.load(Ordering::Relaxed) {
            return;
        }
        for step in state.possible_steps(self.model) {
            let mut next = state.clone();
            steps.push(step);
            match next.step(self.model, step) {
                Err(violation) => self.report(Counterexample { violation, steps: steps.clone() }),
                Ok(()) => {
                    if self.visited.count() >= self.max_states {
                        self.is_over.store(true, Ordering::Relaxed);
                    } else if self.visited.visit(next.fingerprint(), steps_left - 1) {
                        self.descend(&next, steps);
                    }
                }
            }
            steps.pop();
        }
    }

    fn report(&self, found: Counterexample) {
        let mut shortest = lock(&self.counterexample);
        if shortest.as_ref().is_none_or(|known| known.steps.len() > found.steps.len()) {
            *shortest = Some(found);
        }
        self.is_over.store(true, Ordering::Relaxed);
    }

    /// The states one step further.
    fn widen(&self, paths: &[Path]) -> Result<Vec<Path>, Exploration> {
        let mut longer = Vec::new();
        for path in paths {
            for step in path.state.possible_steps(self.model) {
                let (mut state, mut steps) = (path.state.clone(), path.steps.clone());
                steps.push(step);
                if let Err(violation) = state.step(self.model, step) {
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

    fn beginnings(&self) -> Result<Vec<Path>, Exploration> {
        let mut beginnings = vec![Path { state: State::start(self.model), steps: Vec::new() }];
        let depth = usize::from(self.model.depth);
        while beginnings.len() < MIN_BEGINNINGS && beginnings[0].steps.len() + 2 < depth {
            let longer = self.widen(&beginnings)?;
            if longer.is_empty() {
                break;
            }
            beginnings = longer;
        }
        Ok(beginnings)
    }

    fn run(&self, threads: usize) -> Result<(), Exploration> {
        let beginnings = Mutex::new(self.beginnings()?);
        let work = || {
            loop {
                let beginning = lock(&beginnings).pop();
                let Some(Path { state, mut steps }) = beginning else { return };
                self.descend(&state, &mut steps);
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

/// Goes through all orders of events to the model's depth, or until something does not hold, or through `max_states`.
pub fn explore(model: &Model, max_states: u64, threads: usize) -> Exploration {
    let search = Search {
        model,
        visited: VisitedStates::new(),
        max_states,
        is_over: AtomicBool::new(false),
        counterexample: Mutex::new(None),
    };
    if let Err(early) = search.run(threads) {
        return early;
    }
    let counterexample = search.counterexample.into_inner().unwrap_or_else(PoisonError::into_inner);
    Exploration { states: search.visited.count(), counterexample }
}
