//! Seeded simulations: nothing is found without a mutation, and each mutation is found within so many seeds.

use ochrelead_verify::mutation::Mutation;
use ochrelead_verify::simulation::{Report, Scenario, run};
use test_case::test_case;

fn scenario(seed: u64, mutation: Option<Mutation>) -> Scenario {
    let fronts = if seed % 10 == 0 { 300 } else { 7 + seed as u32 % 13 };
    Scenario { seed, fronts, tasks: 2, duration_secs: 60, without_faults: false, mutation }
}

#[test]
fn two_fronts_never_hold_a_lease_whatever_the_seed() {
    let mut sum = Report::default();
    for seed in 0..300 {
        let report = run(scenario(seed, None));
        assert!(report.finding.is_none(), "seed {seed}: {:?}", report.finding);
        sum.acts += report.acts;
        sum.leases += report.leases;
        sum.refused_acts += report.refused_acts;
    }
    println!("{sum:?}");
    assert!(sum.acts > 10_000 && sum.leases > 1_000 && sum.refused_acts > 0, "too little happens: {sum:?}");
}

#[test]
fn without_faults_leases_are_held_all_the_time() {
    let report = run(Scenario { without_faults: true, ..scenario(7, None) });
    assert!(report.held_share > 0.95, "{report:?}");
}

#[test]
fn a_seed_gives_the_same_report_each_time() {
    let [one, other] = [run(scenario(3, None)), run(scenario(3, None))];
    assert_eq!((one.events, one.messages, one.acts), (other.events, other.messages, other.acts));
}

/// How many seeds it takes differs: clocks that are far off and messages that are a minute late are rare.
#[test_case(Mutation::AbstentionSkipped)]
#[test_case(Mutation::ClockDriftIgnored)]
#[test_case(Mutation::MinorityGrants)]
#[test_case(Mutation::ElectorateSwitchedAtOnce)]
#[test_case(Mutation::TokenNotChecked)]
#[test_case(Mutation::TokenNotRaised)]
#[test_case(Mutation::WithdrawalOutOfOrder)]
#[test_case(Mutation::LateGrantCounted)]
#[test_case(Mutation::PromiseCutShort)]
#[test_case(Mutation::IncarnationsConfused)]
#[test_case(Mutation::CountedFromAnswer)]
#[test_case(Mutation::ClockSetBack)]
#[test_case(Mutation::VoteCountedTwice)]
#[test_case(Mutation::ActsAfterRelease)]
#[test_case(Mutation::SentBeforePersisted)]
fn a_mutation_is_found(mutation: Mutation) {
    let small = |seed: u64| Scenario { fronts: 7 + seed as u32 % 7, ..scenario(seed, Some(mutation)) };
    let found = (0..3_000).find_map(|seed| Some((seed, run(small(seed)).finding?)));
    println!("{mutation:?}: {found:?}");
    assert!(found.is_some(), "{mutation:?} is not found within 3,000 seeds");
}

#[test_case(0.5; "half")]
fn with_faults_leases_are_held_most_of_the_time(share: f64) {
    let held: f64 = (0..40).map(|seed| run(scenario(seed * 7 + 1, None)).held_share).sum();
    assert!(held / 40.0 > share, "{}", held / 40.0);
}
