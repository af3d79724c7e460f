//! Seeded fleets: what must hold does, and each deliberate mistake is found within so many seeds.

use ochrelead_verify::emulate::{Day, Shown, play};
use ochrelead_verify::mistake::Mistake;
use test_case::test_case;

fn day(seed: u64, mistake: Option<Mistake>) -> Day {
    let fronts = if seed % 10 == 0 { 300 } else { 7 + seed as u32 % 13 };
    Day { seed, fronts, tasks: 2, secs: 60, calm: false, mistake }
}

#[test]
fn two_never_act_whatever_the_seed() {
    let mut sum = Shown::default();
    for seed in 0..300 {
        let shown = play(day(seed, None));
        assert!(shown.found.is_none(), "seed {seed}: {:?}", shown.found);
        sum.acts += shown.acts;
        sum.leases += shown.leases;
        sum.refused += shown.refused;
    }
    println!("{sum:?}");
    assert!(sum.acts > 10_000 && sum.leases > 1_000 && sum.refused > 0, "the days show nothing: {sum:?}");
}

#[test]
fn a_calm_fleet_is_held_all_the_time() {
    let shown = play(Day { calm: true, ..day(7, None) });
    assert!(shown.held > 0.95, "{shown:?}");
}

#[test]
fn a_seed_plays_the_same_day_each_time() {
    let [one, other] = [play(day(3, None)), play(day(3, None))];
    assert_eq!((one.events, one.words, one.acts), (other.events, other.words, other.acts));
}

/// How many seeds it takes differs: clocks far off and words a minute late are rare.
#[test_case(Mistake::AbstentionSkipped)]
#[test_case(Mistake::RateLeftOut)]
#[test_case(Mistake::MinorityGrants)]
#[test_case(Mistake::SwitchedAtOnce)]
#[test_case(Mistake::NumberNotChecked)]
#[test_case(Mistake::NumberNotRaised)]
#[test_case(Mistake::WithdrawnOutOfOrder)]
#[test_case(Mistake::LateGrantCounted)]
#[test_case(Mistake::PromiseCutShort)]
#[test_case(Mistake::LivesConfused)]
#[test_case(Mistake::CountedFromAnswer)]
#[test_case(Mistake::ClockSetBack)]
#[test_case(Mistake::VoteCountedTwice)]
#[test_case(Mistake::ActsAfterHandBack)]
#[test_case(Mistake::SaidBeforeKept)]
fn a_deliberate_mistake_is_found(mistake: Mistake) {
    let small = |seed: u64| Day { fronts: 7 + seed as u32 % 7, ..day(seed, Some(mistake)) };
    let found = (0..3_000).find_map(|seed| Some((seed, play(small(seed)).found?)));
    println!("{mistake:?}: {found:?}");
    assert!(found.is_some(), "{mistake:?} is not found within 3,000 seeds");
}

#[test_case(0.5; "half")]
fn a_fleet_with_faults_holds_its_tasks_most_of_the_time(share: f64) {
    let held: f64 = (0..40).map(|seed| play(day(seed * 7 + 1, None)).held).sum();
    assert!(held / 40.0 > share, "{}", held / 40.0);
}
