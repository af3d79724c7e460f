//! Fronts whose clocks are off, run fast, are set in mid-run, and whose records have holes.

use ochrelead_diagnosis::clocks::{ClockEstimator, Clocks};
use ochrelead_event_log::reader::{FrontIncarnation, Record};
use ochrelead_event_log::schema::{Event, Told, event::What};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const FRONTS: u64 = 5;
/// The day's true start, far from 0, and its length, in microseconds.
const START: u64 = 1_700_000_000_000_000;
const LENGTH: u64 = 1_800_000_000;
/// The front whose clock is wrong.
const WRONG: u64 = 2;

/// What its clock reads at a true time since the start.
type ClockReading = fn(f64) -> f64;

fn right(at: f64) -> f64 {
    at
}

fn incarnation(front: u64) -> FrontIncarnation {
    FrontIncarnation { front: format!("f{front}"), started_us: 1 }
}

/// True times with the events that each front wrote; of the wrong front all after `silent_from` that would relate
/// its clock is left out, and one in `cut` events of all is missing.
fn course(reading: ClockReading, silent_from: u64, cut: u32) -> Vec<(u64, Record)> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut announcements: Vec<(u64, String)> = Vec::new();
    for server in 0..6 {
        let mut at = 0;
        loop {
            at += rng.random_range(60_000_000..400_000_000);
            if at + 10_000_000 >= LENGTH {
                break;
            }
            announcements.push((at, format!("s{server}")));
        }
    }
    let mut records = Vec::new();
    for front in 0..FRONTS {
        let mut events: Vec<(u64, Option<String>)> =
            (0..LENGTH / 500_000).map(|index| (index * 500_000, None)).collect();
        for (at, server) in &announcements {
            let repeat = if rng.random_ratio(1, 50) { 500_000 } else { 0 };
            let at = at + rng.random_range(2_000..9_000) + repeat;
            if front != WRONG || at < silent_from {
                events.push((at, Some(server.clone())));
            }
        }
        events.sort();
        for (index, (at, server)) in events.into_iter().enumerate() {
            if cut > 0 && rng.random_ratio(1, cut) {
                continue;
            }
            let shown = if front == WRONG { reading(at as f64 / 1e6) } else { at as f64 / 1e6 };
            let what = server.map(|server| What::Told(Told { server, what: "started".to_owned() }));
            let at_us = START.saturating_add_signed((shown * 1e6) as i64);
            records.push((
                at,
                Record {
                    incarnation: incarnation(front),
                    event: Event { at_us, nth: index as u64, what },
                    unknown_fields: 0,
                },
            ));
        }
    }
    records
}

#[test_case(right, u64::MAX, 0, 0.1; "right")]
#[test_case(|at| at + 40.0, u64::MAX, 0, 0.1; "forty seconds fast")]
#[test_case(|at| at - 3.0, u64::MAX, 0, 0.1; "three seconds slow")]
#[test_case(|at| at + 3_600.0, u64::MAX, 0, 0.1; "an hour off")]
#[test_case(|at| at * 1.000_2 + 1.0, u64::MAX, 0, 0.1; "runs fast by 200 in a million")]
#[test_case(|at| at * 0.999_7, u64::MAX, 0, 0.1; "runs slow by 300 in a million")]
#[test_case(|at| if at < 900.2 { at } else { at - 5.0 }, u64::MAX, 0, 0.6; "set back by five seconds in mid run")]
#[test_case(|at| if at < 900.2 { at } else { at - 5.0 }, 900_000_000, 0, 0.6; "set back and nothing ties it after that")]
#[test_case(|at| if at < 900.2 { at } else { at + 30.0 }, u64::MAX, 0, 0.1; "set ahead in mid run")]
#[test_case(|at| if at < 400.2 { at + 2.0 } else if at < 900.2 { at - 6.0 } else { at + 9.0 }, u64::MAX, 0, 0.6; "set twice")]
#[test_case(|at| at + 40.0, u64::MAX, 10, 0.1; "fast with a tenth cut out")]
#[test_case(|at| at * 1.000_2, u64::MAX, 10, 0.1; "runs fast with a tenth cut out")]
#[test_case(|at| if at < 900.2 { at } else { at - 5.0 }, u64::MAX, 10, 1.1; "set back with a tenth cut out")]
fn every_event_comes_to_its_true_moment(reading: ClockReading, silent_from: u64, cut: u32, within_s: f64) {
    let records = course(reading, silent_from, cut);
    let clocks = Clocks::from_records(records.iter().map(|(_, record)| record));
    let off = |(at, record): &(u64, Record)| {
        clocks.common_time_us(&record.incarnation, &record.event) as i64 - (START + at) as i64
    };
    // Whose clock is the reference is free: all are measured against one that is right.
    let reference = records.iter().find(|(_, record)| record.incarnation == incarnation(0)).map(off).unwrap();
    let furthest = records.iter().map(|record| (off(record) - reference).abs()).max().unwrap() as f64 / 1e6;
    assert!(furthest <= within_s, "{furthest} s off");
    assert!(clocks.unrelated().is_empty());
}

#[test]
fn a_stall_is_no_set_clock() {
    let mut estimator = ClockEstimator::default();
    for (index, (at_us, what)) in
        [(1, None), (2, None), (9_000_000, Some(What::PausedUs(8_900_000)))].into_iter().enumerate()
    {
        estimator.handle_event(&incarnation(0), &Event { at_us: START + at_us, nth: index as u64, what });
    }
    assert_eq!(estimator.estimate().step_count(&incarnation(0)), 0);
}
