//! Corrupts event logs as in production incidents: some clocks are wrong, and a tenth of the records is lost.

use ochrelead_event_log::reader::{Log, Record};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The number of consecutive records that are removed together.
const RUN_LENGTH: usize = 25;
/// One of this number of runs is removed, on average.
const REMOVED_ONE_IN: u32 = 10;

/// Maps the true time in seconds from the log's start to the time that a front's clock shows; `middle` is the middle
/// of the log.
type WrongClock = fn(seconds: f64, middle: f64) -> f64;

/// The clocks of the first four fronts: 40 s ahead, 3 s behind, 0.02 % too fast, and set back by 5 s in the middle.
/// The clocks of other fronts are correct.
const WRONG_CLOCKS: [WrongClock; 4] = [
    |seconds, _| seconds + 40.0,
    |seconds, _| seconds - 3.0,
    |seconds, _| seconds * 1.000_2,
    |seconds, middle| if seconds < middle { seconds } else { seconds - 5.0 },
];

/// Sets clocks wrong and removes about a tenth of the records; the same seed gives the same result.
pub(super) fn corrupt_logs(logs: Vec<Log>, seed: u64) -> Vec<Log> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut fronts: Vec<String> = logs.iter().map(|log| log.incarnation.front.clone()).collect();
    fronts.dedup();
    let corrupt = |log: Log| {
        let front = fronts.iter().position(|front| *front == log.incarnation.front).unwrap_or(0);
        // The clock of the last front stays correct if there is more than one front.
        let has_wrong_clock = front + 1 < fronts.len() || fronts.len() == 1;
        let wrong_clock = WRONG_CLOCKS.get(front).filter(|_| has_wrong_clock);
        corrupt_log(log, wrong_clock, &mut rng)
    };
    logs.into_iter().map(corrupt).collect()
}

fn corrupt_log(log: Log, wrong_clock: Option<&WrongClock>, rng: &mut Pcg64Mcg) -> Log {
    let incarnation = log.incarnation.clone();
    let records: Vec<Record> = log.collect();
    let first_us = records.first().map_or(0, |record| record.event.at_us);
    let last_us = records.last().map_or(first_us, |record| record.event.at_us);
    let middle = (last_us - first_us) as f64 / 2e6;
    let shown_us = |at_us: u64| {
        let seconds = (at_us - first_us) as f64 / 1e6;
        let shown = wrong_clock.map_or(seconds, |clock| clock(seconds, middle));
        first_us.saturating_add_signed((shown * 1e6) as i64)
    };
    let mut remaining = Vec::new();
    for run in records.chunks(RUN_LENGTH) {
        if rng.random_ratio(1, REMOVED_ONE_IN) {
            continue;
        }
        remaining.extend(run.iter().cloned().map(|mut record| {
            record.event.at_us = shown_us(record.event.at_us);
            record
        }));
    }
    Log::from_records(incarnation, remaining)
}
