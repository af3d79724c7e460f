//! Every order of a few events, complete to a depth that takes seconds; and each deliberate mistake is found.

use ochrelead_verify::explore::{Scene, explore, replay};
use ochrelead_verify::mistake::Mistake;
use test_case::test_case;

fn scene(mistake: Option<Mistake>) -> Scene {
    Scene {
        voters: 3,
        candidates: 2,
        fronts: 3,
        ticks: 6,
        restarts: 1,
        doubles: 1,
        leaves: 1,
        depth: 9,
        mistake,
    }
}

#[test]
fn no_order_of_a_few_events_lets_two_act() {
    let outcome = explore(&scene(None), u64::MAX, 4);
    println!("{} states", outcome.states);
    assert!(outcome.found.is_none(), "{:?}", outcome.found);
    assert!(outcome.states > 10_000);
}

/// Each with as few kinds of events as show it. `WithdrawnOutOfOrder`, `LateGrantCounted` and `LivesConfused` take more
/// steps than can be gone through here: seeded fleets find them.
#[test_case(Mistake::AbstentionSkipped, 3, [0, 1, 0]; "abstention skipped")]
#[test_case(Mistake::RateLeftOut, 3, [5, 0, 0]; "rate left out")]
#[test_case(Mistake::MinorityGrants, 3, [0, 0, 0]; "minority grants")]
#[test_case(Mistake::SwitchedAtOnce, 4, [0, 0, 0]; "switched at once")]
#[test_case(Mistake::NumberNotChecked, 3, [0, 0, 1]; "number not checked")]
#[test_case(Mistake::NumberNotRaised, 3, [0, 0, 1]; "number not raised")]
#[test_case(Mistake::PromiseCutShort, 3, [5, 0, 0]; "promise cut short")]
#[test_case(Mistake::CountedFromAnswer, 3, [5, 0, 0]; "counted from answer")]
#[test_case(Mistake::ClockSetBack, 3, [5, 0, 0]; "clock set back")]
#[test_case(Mistake::VoteCountedTwice, 3, [5, 0, 0]; "vote counted twice")]
#[test_case(Mistake::ActsAfterHandBack, 3, [0, 0, 1]; "acts after hand-back")]
fn a_deliberate_mistake_is_found(mistake: Mistake, fronts: u32, [ticks, restarts, leaves]: [u8; 3]) {
    let mut states = 0;
    for depth in 4..=14 {
        let scene = Scene { fronts, ticks, restarts, doubles: 0, leaves, depth, ..scene(Some(mistake)) };
        let outcome = explore(&scene, 3_000_000, 4);
        states += outcome.states;
        if let Some(found) = outcome.found {
            println!("{mistake:?}: {states} states, {found:?}");
            assert_eq!(replay(&scene, &found.steps).unwrap_err(), found.what, "the steps show it again");
            return;
        }
        let right = explore(&Scene { mistake: None, depth: depth.min(8), ..scene }, u64::MAX, 4);
        assert!(right.found.is_none(), "{:?}", right.found);
    }
    panic!("not found in {states} states");
}
