//! Fleets whose zones fail and return, a short set: the invariants hold whatever the seed, and each deliberate mutation is
//! found. `ochrelead-verify districts` runs the long set.

use ochrelead_verify::zones::scenario::{Fault, MUTATIONS, Mutation, Scenario, ScheduledFault};
use ochrelead_verify::zones::simulate;
use test_case::test_case;

const FRONTS: u32 = 24;
const SERVERS: u32 = 16;

#[test]
fn no_zone_is_drained_where_none_fails() {
    for seed in 0..6 {
        let outcome = simulate(&Scenario::harmless(seed, FRONTS, SERVERS));
        assert_eq!(outcome.violation, None, "seed {seed}");
    }
}

#[test]
fn a_zone_that_fails_is_drained_and_recovers() {
    for seed in 0..6 {
        let scenario = Scenario::failing(seed, FRONTS, SERVERS);
        let alone = simulate(&Scenario { is_coordinated: false, ..scenario.clone() });
        let coordinated = simulate(&scenario);
        assert_eq!(coordinated.violation, None, "seed {seed}");
        if scenario.faults.len() == 1 {
            let (lost, lost_alone) = (coordinated.lost_invites, alone.lost_invites);
            assert!(lost < lost_alone, "seed {seed}: {lost} INVITEs lost, {lost_alone} alone");
            assert!(coordinated.full_use_ms.is_some(), "seed {seed}: it recovers");
        }
    }
}

fn scenario_with(seed: u64, duration_ms: u64, fault: Fault) -> Scenario {
    let faults = vec![ScheduledFault { start_ms: 5_000, duration_ms, fault }];
    Scenario { faults, ..Scenario::quiet(seed, FRONTS, SERVERS) }
}

/// Scenarios in which a mutation can show, the smallest seed first.
fn scenarios(mutation: Mutation) -> impl Iterator<Item = Scenario> {
    (0..40).map(move |seed| {
        let scenario = match mutation {
            Mutation::LossReportedEarly => Scenario::quiet(seed, FRONTS, SERVERS),
            // With one silent server alone no zone is drained, whatever is reported of the others.
            Mutation::LossReportedForZone => {
                scenario_with(seed, 10_000, Fault::SilentServers { zone: 1, servers: 2 })
            }
            Mutation::LateAnswersOmitted => {
                scenario_with(seed, 10_000, Fault::SlowServers { zone: Some(1), factor: 4.0 })
            }
            Mutation::ForeignVerdictsFollowed => {
                scenario_with(seed, 5_000, Fault::Partition { from: 0, to: 1 })
            }
            // The servers that come back are cold and the load is high: they cannot bear a step.
            Mutation::StepBackIgnored => {
                let scenario = scenario_with(seed, 4_000, Fault::ZoneDown { zone: 1 });
                Scenario { load: 0.95, ..scenario }
            }
            _ => Scenario::failing(seed, FRONTS, SERVERS),
        };
        Scenario { mutation: Some(mutation), ..scenario }
    })
}

#[test]
fn each_deliberate_mutation_is_found() {
    for mutation in MUTATIONS {
        let found =
            scenarios(mutation).find_map(|scenario| Some((scenario.clone(), simulate(&scenario).violation?)));
        let (scenario, violation) = found.unwrap_or_else(|| panic!("{mutation:?} is not found"));
        println!("{mutation:?}: seed {}: {violation}", scenario.seed);
        let unmutated = Scenario { mutation: None, ..scenario };
        assert_eq!(simulate(&unmutated).violation, None, "without {mutation:?}");
    }
}

#[test_case(1; "one seed")]
#[test_case(2; "another")]
fn the_same_scenario_has_the_same_outcome_to_the_byte(seed: u64) {
    let scenario = Scenario::failing(seed, FRONTS, SERVERS);
    let (first, second) = (simulate(&scenario), simulate(&scenario));
    assert_eq!(
        (first.served_share, first.lost_invites, first.datagrams, first.datagram_bytes),
        (second.served_share, second.lost_invites, second.datagrams, second.datagram_bytes)
    );
}
