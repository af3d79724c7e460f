//! Fleets of nodes: coordination has a bounded cost, and it saves tests.

use ochrelead_verify::fleet::{Fault, Scenario, run};
use test_case::test_case;

fn scenario(fronts: u32, is_coordinated: bool, fault: Option<Fault>) -> Scenario {
    Scenario { fronts, servers: 2, duration_secs: 30, seed: 3, servers_answer: true, is_coordinated, fault }
}

#[test]
fn one_front_tests_for_all() {
    let (alone, together) = (run(scenario(60, false, None)), run(scenario(60, true, None)));
    assert!(together.leased_tests > 0);
    assert!(
        together.own_tests * 2 < alone.own_tests,
        "{} tests alone, {} together",
        alone.own_tests,
        together.own_tests
    );
}

/// Two datagrams of each front for membership; what leases cost is the fleet's, and weighs more on few fronts.
#[test_case(10, 6.0; "10")]
#[test_case(100, 3.0; "100")]
fn what_a_front_sends_does_not_grow_with_the_fleet(fronts: u32, most: f64) {
    let costs = run(scenario(fronts, true, None));
    let each = costs.datagrams as f64 / costs.secs / f64::from(fronts);
    assert!(each <= most, "{each} datagrams a second");
    assert!(costs.bytes <= costs.datagrams * 256);
}

#[test_case(Fault::HolderKilled)]
#[test_case(Fault::HolderPaused)]
#[test_case(Fault::HolderLeaves)]
#[test_case(Fault::MajorityReturns)]
fn another_front_holds_after_a_fault(fault: Fault) {
    let costs = run(Scenario { servers_answer: false, ..scenario(20, true, Some(fault)) });
    assert!(costs.gap_ms.is_some_and(|gap| gap < 30_000), "{:?}", costs.gap_ms);
}
