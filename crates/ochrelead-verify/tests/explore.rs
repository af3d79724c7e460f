//! The model checker: the unmutated engines have no violation to a depth that takes seconds, and mutations are
//! detected.

use ochrelead_verify::explore::{Model, explore, replay};
use ochrelead_verify::mutation::Mutation;
use test_case::test_case;

fn model(mutation: Option<Mutation>) -> Model {
    Model {
        voters: 3,
        candidates: 2,
        fronts: 3,
        ticks: 6,
        restarts: 1,
        duplicates: 1,
        leaves: 1,
        depth: 9,
        mutation,
    }
}

#[test]
fn no_interleaving_has_two_holders() {
    let exploration = explore(&model(None), u64::MAX, 4);
    println!("{} states", exploration.states);
    assert!(exploration.counterexample.is_none(), "{:?}", exploration.counterexample);
    assert!(exploration.states > 10_000);
}

/// Each mutation with the fewest kinds of events that reveal it. Counterexamples for `WithdrawalOutOfOrder`,
/// `LateGrantCounted` and `IncarnationsConfused` are deeper than a search can go here: the tests of the seeded
/// simulation detect these mutations.
#[test_case(Mutation::AbstentionSkipped, 3, [0, 1, 0]; "abstention skipped")]
#[test_case(Mutation::ClockDriftIgnored, 3, [5, 0, 0]; "clock drift ignored")]
#[test_case(Mutation::MinorityGrants, 3, [0, 0, 0]; "minority grants")]
#[test_case(Mutation::ElectorateSwitchedAtOnce, 4, [0, 0, 0]; "electorate switched at once")]
#[test_case(Mutation::TokenNotChecked, 3, [0, 0, 1]; "token not checked")]
#[test_case(Mutation::TokenNotRaised, 3, [0, 0, 1]; "token not raised")]
#[test_case(Mutation::PromiseCutShort, 3, [5, 0, 0]; "promise cut short")]
#[test_case(Mutation::CountedFromAnswer, 3, [5, 0, 0]; "counted from answer")]
#[test_case(Mutation::ClockSetBack, 3, [5, 0, 0]; "clock set back")]
#[test_case(Mutation::VoteCountedTwice, 3, [5, 0, 0]; "vote counted twice")]
#[test_case(Mutation::ActsAfterRelease, 3, [0, 0, 1]; "acts after release")]
fn mutation_has_a_counterexample(mutation: Mutation, fronts: u32, [ticks, restarts, leaves]: [u8; 3]) {
    let mut states = 0;
    for depth in 4..=14 {
        let mutated =
            Model { fronts, ticks, restarts, duplicates: 0, leaves, depth, ..model(Some(mutation)) };
        let exploration = explore(&mutated, 3_000_000, 4);
        states += exploration.states;
        if let Some(counterexample) = exploration.counterexample {
            println!("{mutation:?}: {states} states, {counterexample:?}");
            let replayed = replay(&mutated, &counterexample.steps).unwrap_err();
            assert_eq!(
                replayed, counterexample.violation,
                "a replay of the steps ends in the same violation"
            );
            return;
        }
        let correct = explore(&Model { mutation: None, depth: depth.min(8), ..mutated }, u64::MAX, 4);
        assert!(correct.counterexample.is_none(), "{:?}", correct.counterexample);
    }
    panic!("no counterexample for {mutation:?} in {states} states");
}
