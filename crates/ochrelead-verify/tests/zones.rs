//! Simulated fleets in which zones fail and return, with a few seeds: no invariant is violated for any seed, and
//! each deliberate mutation violates one. `ochrelead-verify districts` runs more seeds.

use ochrelead_verify::zones::scenario::{Fault, MUTATIONS, Mutation, Scenario, ScheduledFault};
use ochrelead_verify::zones::simulate;
use test_case::test_case;

const FRONTS: u32 = 24;
const SERVERS: u32 = 16;

#[test]
fn harmless_faults_drain_no_zone() {
    for seed in 0..6 {
        let outcome = simulate(&Scenario::harmless(seed, FRONTS, SERVERS));
        assert_eq!(outcome.violation, None, "seed {seed}");
    }
}

#[test]
fn a_failed_zone_is_drained_and_returns_to_full_use() {
    for seed in 0..6 {
        let scenario = Scenario::failing(seed, FRONTS, SERVERS);
        let alone = simulate(&Scenario { is_coordinated: false, ..scenario.clone() });
        let coordinated = simulate(&scenario);
        assert_eq!(coordinated.violation, None, "seed {seed}");
        if scenario.faults.len() == 1 {
            let (lost, lost_alone) = (coordinated.lost_invites, alone.lost_invites);
            assert!(
                lost < lost_alone,
                "seed {seed}: {lost} INVITEs lost with coordination, {lost_alone} without"
            );
            assert!(coordinated.full_use_ms.is_some(), "seed {seed}: the zone did not return to full use");
        }
    }
}

/// A scenario with one fault that begins at 5 s.
fn scenario_with_fault(seed: u64, duration_ms: u64, fault: Fault) -> Scenario {
    let faults = vec![ScheduledFault { start_ms: 5_000, duration_ms, fault }];
    Scenario { faults, ..Scenario::quiet(seed, FRONTS, SERVERS) }
}

/// Scenarios in which a mutation can violate an invariant, in the order of their seeds.
fn scenarios(mutation: Mutation) -> impl Iterator<Item = Scenario> {
    (0..40).map(move |seed| {
        let scenario = match mutation {
            Mutation::LossReportedEarly => Scenario::quiet(seed, FRONTS, SERVERS),
            // With a single silent server no zone is drained, even if its losses are reported for the whole zone.
            Mutation::LossReportedForZone => {
                scenario_with_fault(seed, 10_000, Fault::SilentServers { zone: 1, servers: 2 })
            }
            Mutation::LateAnswersOmitted => {
                scenario_with_fault(seed, 10_000, Fault::SlowServers { zone: Some(1), factor: 4.0 })
            }
            Mutation::ForeignVerdictsFollowed => {
                scenario_with_fault(seed, 5_000, Fault::Partition { from: 0, to: 1 })
            }
            // Under this load the returning cold servers cannot carry a step of the recovery, so their share is
            // lowered again.
            Mutation::StepBackIgnored => {
                let scenario = scenario_with_fault(seed, 4_000, Fault::ZoneDown { zone: 1 });
                Scenario { load: 0.95, ..scenario }
            }
            _ => Scenario::failing(seed, FRONTS, SERVERS),
        };
        Scenario { mutation: Some(mutation), ..scenario }
    })
}

#[test]
fn each_mutation_violates_an_invariant() {
    for mutation in MUTATIONS {
        let detected =
            scenarios(mutation).find_map(|scenario| Some((scenario.clone(), simulate(&scenario).violation?)));
        let (scenario, violation) =
            detected.unwrap_or_else(|| panic!("{mutation:?} violated no invariant with 40 seeds"));
        println!("{mutation:?}: seed {}: {violation}", scenario.seed);
        let unmutated = Scenario { mutation: None, ..scenario };
        assert_eq!(simulate(&unmutated).violation, None, "violated even without {mutation:?}");
    }
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn repeated_runs_of_a_scenario_have_equal_outcomes(seed: u64) {
    let scenario = Scenario::failing(seed, FRONTS, SERVERS);
    let (first, second) = (simulate(&scenario), simulate(&scenario));
    assert_eq!(
        (first.served_share, first.lost_invites, first.datagrams, first.datagram_bytes),
        (second.served_share, second.lost_invites, second.datagrams, second.datagram_bytes)
    );
}
