//! Which failures drain a zone, and at which fronts.

use test_case::test_case;

use crate::fleet::{Fleet, Server, ZONES};

#[test]
fn failed_zone_is_drained_by_all_fronts_and_recovers_in_steps() {
    let mut fleet = Fleet::new(24);
    fleet.reaches_server = |ms, _, server| server.zone != 1 || !(4_000..9_000).contains(&ms);
    fleet.advance(4_000);
    assert!(fleet.all_have_share(1, 1.0));
    fleet.advance(2_600);
    assert!(fleet.all_have_share(1, 0.0), "{:?}", fleet.shares(0, 1));
    assert!(fleet.all_have_share(0, 1.0) && fleet.all_have_share(2, 1.0));
    fleet.advance(2_300);
    assert!(fleet.all_have_share(1, 0.0));
    let mut observed_shares = Vec::new();
    for _ in 0..100 {
        fleet.advance(100);
        observed_shares.extend(fleet.shares(0, 1));
        // After the delivery of the last message the shares are the same at all fronts.
        let agree = |fleet: &Fleet| fleet.shares(2, 1).windows(2).all(|pair| pair[0] == pair[1]);
        if !agree(&fleet) {
            fleet.advance(40);
        }
        assert!(agree(&fleet), "shares differ between fronts: {:?}", fleet.shares(2, 1));
    }
    assert!(observed_shares.contains(&0.125) && fleet.all_have_share(1, 1.0), "{:?}", fleet.shares(0, 1));
}

#[test]
fn partition_between_two_zones_affects_only_the_partitioned_fronts() {
    let mut fleet = Fleet::new(24);
    fleet.reaches_server = |ms, front, server| ms < 3_000 || front % ZONES != 0 || server.zone != 1;
    fleet.advance(6_500);
    assert!(fleet.shares(0, 1).iter().all(|share| *share == 0.0));
    assert!(fleet.shares(2, 1).iter().all(|share| *share == 1.0));
    assert!(fleet.shares(1, 1).iter().all(|share| *share == 1.0));
}

#[test_case(|ms, front, _| ms < 3_000 || front != 5; "one front is cut off from all servers")]
#[test_case(|ms, _, server| ms < 3_000 || server.index > 1; "two servers of each zone are silent")]
#[test_case(|ms, _, server| ms < 3_000 || server.zone != 1 || server.index > 0; "one server of a zone is silent")]
#[test_case(|ms, _, _| ms < 3_000; "no front reaches any server")]
fn failures_other_than_of_one_whole_zone_drain_none(reaches_server: fn(u64, u32, Server) -> bool) {
    let mut fleet = Fleet::new(24);
    fleet.reaches_server = reaches_server;
    for _ in 0..200 {
        fleet.advance(50);
        fleet.assert_full_use();
    }
}

#[test]
fn fronts_resumed_after_a_halt_drain_no_zone() {
    let mut fleet = Fleet::new(24);
    fleet.advance(2_000);
    let observer = fleet.observers(0)[0];
    fleet.halted = vec![observer, 3, 7];
    fleet.advance(2_000);
    fleet.halted.clear();
    for _ in 0..100 {
        fleet.advance(50);
        fleet.assert_full_use();
    }
}

#[test]
fn failed_zone_is_drained_by_all_fronts_despite_message_loss() {
    let mut fleet = Fleet::new(24);
    fleet.message_loss = 0.3;
    fleet.reaches_server = |ms, _, server| server.zone != 1 || !(4_000..12_000).contains(&ms);
    let mut has_drained = vec![false; 24];
    while fleet.elapsed_ms < 12_000 {
        fleet.advance(100);
        let shares = (0..ZONES).flat_map(|front_zone| fleet.shares(front_zone, 1));
        has_drained.iter_mut().zip(shares).for_each(|(drained, share)| *drained |= share == 0.0);
    }
    assert!(has_drained.iter().all(|drained| *drained), "{has_drained:?}");
    fleet.advance(15_000);
    assert!(fleet.all_have_share(1, 1.0));
}

#[test]
fn without_messages_only_the_failed_zone_may_be_drained() {
    let mut fleet = Fleet::new(24);
    fleet.reaches_front = |_, _, _| false;
    fleet.reaches_server = |ms, _, server| server.zone != 1 || ms < 2_000;
    fleet.advance(2_000);
    // Each front is its own observer. From its few INVITEs it may find the failed zone unreachable, but no other zone.
    fleet.advance(8_000);
    assert!(fleet.all_have_share(0, 1.0) && fleet.all_have_share(2, 1.0));
}
