//! Simulated fleets of nodes: coordination saves health checks, its cost is bounded, and a lease is held again soon
//! after a fault.

use ochrelead_verify::fleet::{Fault, Scenario, run};
use test_case::test_case;

/// A scenario of 30 s with two servers that answer health checks.
fn scenario(fronts: u32, is_coordinated: bool, fault: Option<Fault>) -> Scenario {
    Scenario { fronts, servers: 2, duration_secs: 30, seed: 3, servers_answer: true, is_coordinated, fault }
}

#[test]
fn coordination_halves_the_health_checks_of_fronts_without_a_lease() {
    let (uncoordinated, coordinated) = (run(scenario(60, false, None)), run(scenario(60, true, None)));
    assert!(coordinated.leased_health_checks > 0);
    assert!(
        coordinated.unleased_health_checks * 2 < uncoordinated.unleased_health_checks,
        "{} health checks without coordination, {} with it",
        uncoordinated.unleased_health_checks,
        coordinated.unleased_health_checks
    );
}

/// Each front sends two datagrams per second for membership. The cost of leases is per fleet, so each front
/// of a small fleet bears more of it.
#[test_case(10, 6.0; "10")]
#[test_case(100, 3.0; "100")]
fn datagram_rate_per_front_is_bounded_for_any_fleet_size(fronts: u32, max_rate: f64) {
    let costs = run(scenario(fronts, true, None));
    let rate = costs.datagrams as f64 / costs.counted_secs / f64::from(fronts);
    assert!(rate <= max_rate, "{rate} datagrams per second and front, more than {max_rate}");
    assert!(costs.bytes <= costs.datagrams * 256);
}

#[test_case(Fault::HolderKilled)]
#[test_case(Fault::HolderPaused)]
#[test_case(Fault::HolderLeaves)]
#[test_case(Fault::MajorityReturns)]
fn a_lease_is_held_again_within_30_s_of_a_fault(fault: Fault) {
    let costs = run(Scenario { servers_answer: false, ..scenario(20, true, Some(fault)) });
    assert!(costs.gap_ms.is_some_and(|gap| gap < 30_000), "{:?}", costs.gap_ms);
}
