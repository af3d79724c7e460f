//! Which front is the observer of a zone.

use crate::fleet::{Fleet, ZONES};

#[test]
fn each_zone_elects_one_observer_and_replaces_it_after_a_crash() {
    let mut fleet = Fleet::new(24);
    fleet.advance(1_500);
    for zone in 0..ZONES {
        let observers = fleet.observers(zone);
        assert_eq!(observers.len(), 1, "{observers:?}");
        fleet.engines.remove(&observers[0]);
    }
    fleet.advance(5_000);
    for zone in 0..ZONES {
        assert_eq!(fleet.observers(zone).len(), 1);
    }
}

#[test]
fn observer_that_leaves_is_replaced_before_its_verdicts_expire() {
    let mut fleet = Fleet::new(24);
    fleet.advance(1_500);
    let first = fleet.observers(0)[0];
    let now = fleet.now();
    fleet.engines.get_mut(&first).unwrap().leave(now);
    fleet.advance(900);
    let next = fleet.observers(0);
    assert!(next.len() == 1 && next[0] != first, "{next:?} after {first}");
}

#[test]
fn observer_with_the_lower_front_number_remains_after_a_partition() {
    let mut fleet = Fleet::new(24);
    fleet.reaches_front = |_, from, to| (from < 12) == (to < 12);
    fleet.advance(3_000);
    assert_eq!(fleet.observers(0).len(), 2);
    let lower = fleet.observers(0)[0];
    fleet.reaches_front = |_, _, _| true;
    fleet.advance(2_000);
    assert_eq!(fleet.observers(0), vec![lower]);
}
