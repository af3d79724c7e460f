//! What a node does with its peers, as it ships, in fleets: its cost is bounded, and it spares tests.

use ochrelead_verify::fleet::{Blow, Course, play};
use test_case::test_case;

fn course(fronts: u32, together: bool, blow: Blow) -> Course {
    Course { fronts, servers: 2, secs: 30, seed: 3, answers: true, together, blow }
}

#[test]
fn one_front_tests_for_all() {
    let (alone, together) = (play(course(60, false, Blow::None)), play(course(60, true, Blow::None)));
    assert!(together.sounded > 0);
    assert!(
        together.own_tests * 2 < alone.own_tests,
        "{} tests alone, {} together",
        alone.own_tests,
        together.own_tests
    );
}

/// Two datagrams of each for who is there; what leases take is the fleet's, and weighs more on few fronts.
#[test_case(10, 6.0; "10")]
#[test_case(100, 3.0; "100")]
fn what_a_front_sends_does_not_grow_with_the_fleet(fronts: u32, most: f64) {
    let costs = play(course(fronts, true, Blow::None));
    let each = costs.datagrams as f64 / costs.secs / f64::from(fronts);
    assert!(each <= most, "{each} datagrams a second");
    assert!(costs.bytes <= costs.datagrams * 256);
}

#[test_case(Blow::Killed)]
#[test_case(Blow::Halted)]
#[test_case(Blow::HandsBack)]
#[test_case(Blow::MajorityBack)]
fn another_holds_after_a_blow(blow: Blow) {
    let costs = play(Course { answers: false, ..course(20, true, blow) });
    assert!(costs.gap.is_some_and(|gap| gap < 30_000), "{:?}", costs.gap);
}
