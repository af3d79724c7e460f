//! Clock synchronization with clocks that are offset, drift or are stepped, and with missing records.

use ochrelead_diagnosis::clocks::{ClockEstimator, Clocks};
use ochrelead_event_log::reader::{FrontIncarnation, Record};
use ochrelead_event_log::schema::{Event, Told, event::What};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const FRONTS: u64 = 5;
/// The true start of the records, in microseconds since 1970.
const START_US: u64 = 1_700_000_000_000_000;
/// The duration of the records, in microseconds.
const DURATION_US: u64 = 1_800_000_000;
/// The front whose clock is wrong.
const WRONG_FRONT: u64 = 2;

/// Maps the true time to the reading of the wrong clock, both in seconds since the start.
type ClockReading = fn(f64) -> f64;

fn correct(time_s: f64) -> f64 {
    time_s
}

fn incarnation(front: u64) -> FrontIncarnation {
    FrontIncarnation { front: format!("f{front}"), started_us: 1 }
}

/// The records of all fronts with their true times in microseconds since the start. The wrong front records no
/// announcement from `shared_until_us` on. Of the events of every front, one in `cut_one_in` is missing; 0 cuts none.
fn records(reading: ClockReading, shared_until_us: u64, cut_one_in: u32) -> Vec<(u64, Record)> {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut announcements: Vec<(u64, String)> = Vec::new();
    for server in 0..6 {
        let mut true_us = 0;
        loop {
            true_us += rng.random_range(60_000_000..400_000_000);
            if true_us + 10_000_000 >= DURATION_US {
                break;
            }
            announcements.push((true_us, format!("s{server}")));
        }
    }
    let mut records = Vec::new();
    for front in 0..FRONTS {
        let mut events: Vec<(u64, Option<String>)> =
            (0..DURATION_US / 500_000).map(|index| (index * 500_000, None)).collect();
        for (true_us, server) in &announcements {
            let retransmission_us = if rng.random_ratio(1, 50) { 500_000 } else { 0 };
            let true_us = true_us + rng.random_range(2_000..9_000) + retransmission_us;
            if front != WRONG_FRONT || true_us < shared_until_us {
                events.push((true_us, Some(server.clone())));
            }
        }
        events.sort();
        for (index, (true_us, server)) in events.into_iter().enumerate() {
            if cut_one_in > 0 && rng.random_ratio(1, cut_one_in) {
                continue;
            }
            let true_s = true_us as f64 / 1e6;
            let reading_s = if front == WRONG_FRONT { reading(true_s) } else { true_s };
            let what = server.map(|server| What::Told(Told { server, what: "started".to_owned() }));
            let at_us = START_US.saturating_add_signed((reading_s * 1e6) as i64);
            records.push((
                true_us,
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

#[test_case(correct, u64::MAX, 0, 0.1; "correct")]
#[test_case(|time_s| time_s + 40.0, u64::MAX, 0, 0.1; "forty seconds fast")]
#[test_case(|time_s| time_s - 3.0, u64::MAX, 0, 0.1; "three seconds slow")]
#[test_case(|time_s| time_s + 3_600.0, u64::MAX, 0, 0.1; "an hour fast")]
#[test_case(|time_s| time_s * 1.000_2 + 1.0, u64::MAX, 0, 0.1; "drifts ahead by 200 ppm")]
#[test_case(|time_s| time_s * 0.999_7, u64::MAX, 0, 0.1; "drifts behind by 300 ppm")]
#[test_case(|time_s| if time_s < 900.2 { time_s } else { time_s - 5.0 }, u64::MAX, 0, 0.6; "set back by five seconds")]
#[test_case(|time_s| if time_s < 900.2 { time_s } else { time_s - 5.0 }, 900_000_000, 0, 0.6; "set back with no shared event afterwards")]
#[test_case(|time_s| if time_s < 900.2 { time_s } else { time_s + 30.0 }, u64::MAX, 0, 0.1; "set ahead by thirty seconds")]
#[test_case(|time_s| if time_s < 400.2 { time_s + 2.0 } else if time_s < 900.2 { time_s - 6.0 } else { time_s + 9.0 }, u64::MAX, 0, 0.6; "set twice")]
#[test_case(|time_s| time_s + 40.0, u64::MAX, 10, 0.1; "fast with a tenth of the events missing")]
#[test_case(|time_s| time_s * 1.000_2, u64::MAX, 10, 0.1; "drifts ahead with a tenth of the events missing")]
#[test_case(|time_s| if time_s < 900.2 { time_s } else { time_s - 5.0 }, u64::MAX, 10, 1.1; "set back with a tenth of the events missing")]
fn common_time_is_within_the_bound_of_true_time(
    reading: ClockReading,
    shared_until_us: u64,
    cut_one_in: u32,
    bound_s: f64,
) {
    let records = records(reading, shared_until_us, cut_one_in);
    let clocks = Clocks::from_records(records.iter().map(|(_, record)| record));
    let error_us = |(at_us, record): &(u64, Record)| {
        clocks.common_time_us(&record.incarnation, &record.event) as i64 - (START_US + at_us) as i64
    };
    // Any front may be the reference, so errors are measured relative to a front with a correct clock.
    let reference_us =
        records.iter().find(|(_, record)| record.incarnation == incarnation(0)).map(error_us).unwrap();
    let largest_error_s =
        records.iter().map(|record| (error_us(record) - reference_us).abs()).max().unwrap() as f64 / 1e6;
    assert!(largest_error_s <= bound_s, "largest error {largest_error_s} s, allowed {bound_s} s");
    assert!(clocks.unrelated().is_empty());
}

#[test]
fn suspension_is_not_taken_for_a_clock_step() {
    let mut estimator = ClockEstimator::default();
    for (index, (at_us, what)) in
        [(1, None), (2, None), (9_000_000, Some(What::PausedUs(8_900_000)))].into_iter().enumerate()
    {
        estimator.handle_event(&incarnation(0), &Event { at_us: START_US + at_us, nth: index as u64, what });
    }
    assert_eq!(estimator.estimate().step_count(&incarnation(0)), 0);
}
