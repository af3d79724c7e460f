//! The program's subcommands. Each runs one kind of verification and prints the result.

pub(crate) mod cluster;
pub(crate) mod costs;
pub(crate) mod explore;
pub(crate) mod seeds;
pub(crate) mod soak;
pub(crate) mod zones;

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

/// Number of threads to run, one for each available core.
pub(crate) fn thread_count() -> usize {
    thread::available_parallelism().map_or(1, usize::from)
}

/// The result of the run of one seed.
pub(crate) struct Seeded<T> {
    pub(crate) seed: u64,
    pub(crate) result: T,
}

/// Calls `run` for each seed, on all cores. Returns the results in the order of the seeds.
pub(crate) fn run_seeds<T: Send>(seeds: Range<u64>, run: impl Fn(u64) -> T + Sync) -> Vec<Seeded<T>> {
    let (next, results) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end {
                return;
            }
            let result = run(seed);
            results.lock().unwrap_or_else(PoisonError::into_inner).push(Seeded { seed, result });
        }
    };
    thread::scope(|scope| {
        for _ in 0..thread_count() {
            scope.spawn(work);
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_unstable_by_key(|result| result.seed);
    results
}
