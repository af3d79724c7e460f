//! Whole fleets whose districts fail and return, a short set: what must hold does, whatever the seed, and each deliberate
//! mistake is found. `ochrelead-verify districts` plays the long one.

use ochrelead_verify::districts::{Day, Kind, SLIPS, Slip, Trouble, play};
use test_case::test_case;

const FRONTS: u32 = 24;
const SERVERS: u32 = 16;

#[test]
fn no_district_is_left_where_none_fails() {
    for seed in 0..6 {
        let shown = play(&Day::harmless(seed, FRONTS, SERVERS));
        assert_eq!(shown.found, None, "seed {seed}");
    }
}

#[test]
fn a_district_that_fails_is_left_and_returned_to() {
    for seed in 0..6 {
        let day = Day::failing(seed, FRONTS, SERVERS);
        let alone = play(&Day { together: false, ..day.clone() });
        let with = play(&day);
        assert_eq!(with.found, None, "seed {seed}");
        if day.troubles.len() == 1 {
            assert!(with.lost < alone.lost, "seed {seed}: {} INVITEs lost, {} alone", with.lost, alone.lost);
            assert!(with.whole_ms.is_some(), "seed {seed}: it comes back");
        }
    }
}

/// Days on which each mistake can show, the smallest seed first.
fn days(slip: Slip) -> impl Iterator<Item = Day> {
    (0..40).map(move |seed| {
        let mut day = match slip {
            Slip::LossToldEarly => Day::quiet(seed, FRONTS, SERVERS),
            Slip::OneForAll => {
                let mut day = Day::quiet(seed, FRONTS, SERVERS);
                // Of one alone no district is made, whatever is told of the others.
                let kind = Kind::Silent { district: 1, servers: 2 };
                day.troubles.push(Trouble { at_ms: 5_000, length_ms: 10_000, kind });
                day
            }
            Slip::LateNotTold => {
                let mut day = Day::quiet(seed, FRONTS, SERVERS);
                let kind = Kind::Slow { district: Some(1), times: 4.0 };
                day.troubles.push(Trouble { at_ms: 5_000, length_ms: 10_000, kind });
                day
            }
            Slip::OthersWordsHeeded => {
                let mut day = Day::quiet(seed, FRONTS, SERVERS);
                let kind = Kind::Cut { from: 0, to: 1 };
                day.troubles.push(Trouble { at_ms: 5_000, length_ms: 5_000, kind });
                day
            }
            Slip::NoStepBack => {
                // The servers that come back are cold and there is much to do: a step does not bear.
                let mut day = Day::quiet(seed, FRONTS, SERVERS);
                day.load = 0.95;
                let kind = Kind::Dead { district: 1 };
                day.troubles.push(Trouble { at_ms: 5_000, length_ms: 4_000, kind });
                day
            }
            _ => Day::failing(seed, FRONTS, SERVERS),
        };
        day.slip = Some(slip);
        day
    })
}

#[test]
fn each_deliberate_mistake_is_found() {
    for slip in SLIPS {
        let found = days(slip).find_map(|day| Some((day.clone(), play(&day).found?)));
        let (day, what) = found.unwrap_or_else(|| panic!("{slip:?} is not found"));
        println!("{slip:?}: seed {}: {what}", day.seed);
        assert_eq!(play(&Day { slip: None, ..day }).found, None, "without {slip:?}");
    }
}

/// The same day gives the same, to the byte.
#[test_case(1; "one seed")]
#[test_case(2; "another")]
fn the_same_day_again_is_the_same(seed: u64) {
    let day = Day::failing(seed, FRONTS, SERVERS);
    let (first, second) = (play(&day), play(&day));
    assert_eq!(
        (first.served, first.lost, first.datagrams, first.bytes),
        (second.served, second.lost, second.datagrams, second.bytes)
    );
}
