//! Expiry of verdicts, and limits on the effect of wrong ones.

use ochrelead_core::time::Span;
use ochrelead_gossip::MemberId;
use ochrelead_zone::ZoneId;
use ochrelead_zone::codec::encode;
use ochrelead_zone::message::{Message, ZoneShare};
use ochrelead_zone::ramp::ShareReason;

use crate::fleet::{CONFIG, Fleet};

/// Encodes verdicts for the fronts of zone 0 that drain `zones`.
fn drain_verdicts(zones: &[u32], sequence: u32, ttl: Span) -> Vec<u8> {
    let share = |zone: &u32| ZoneShare { zone: ZoneId(*zone), share: 0.0, reason: ShareReason::Drained };
    let shares = zones.iter().map(share).collect();
    encode(&Message::Verdicts { zone: ZoneId(0), sequence, ttl, shares }).remove(0)
}

#[test]
fn verdicts_expire_without_updates_and_duplicates_are_dropped() {
    // One front in each zone: no other front can become the observer.
    let mut fleet = Fleet::new(3);
    let verdicts = |sequence| drain_verdicts(&[1], sequence, Span::from_secs(3_600));
    let observer = MemberId { front: 2, incarnation: 1 };
    let now = fleet.now();
    let front = fleet.engines.get_mut(&0).unwrap();
    front.handle_input(now, observer, &verdicts(1));
    assert_eq!(front.zone_share(now, ZoneId(1)), 0.0);
    let later = now + CONFIG.verdict_ttl() * 3;
    assert_eq!(front.zone_share(later, ZoneId(1)), 1.0, "the time to live of one hour is capped");
    // A late duplicate of the same message has no effect.
    front.handle_input(later, observer, &verdicts(1));
    assert_eq!(front.zone_share(later, ZoneId(1)), 1.0);
    front.handle_input(later, observer, &verdicts(2));
    assert_eq!(front.zone_share(later, ZoneId(1)), 0.0);
}

/// A faulty observer has a bounded effect: fronts that see activity of a zone end its drain after a maximum time, and
/// verdicts that drain all zones are ignored.
#[test]
fn faulty_observer_drains_a_zone_for_a_bounded_time_and_never_all_zones() {
    let mut fleet = Fleet::new(24);
    fleet.advance(1_500);
    // It uses the lowest front number, which takes precedence.
    let faulty_observer = MemberId { front: 0, incarnation: 9 };
    let mut drained_ms = 0;
    for sequence in 1..1_000 {
        let zones: &[u32] = if sequence < 900 { &[1] } else { &[0, 1, 2] };
        let verdicts = drain_verdicts(zones, sequence, Span::from_secs(2));
        let now = fleet.now();
        for front in fleet.engines.values_mut().filter(|front| front.local_zone() == ZoneId(0)) {
            front.handle_input(now, faulty_observer, &verdicts);
        }
        fleet.advance(60);
        let shares = fleet.shares(0, 1);
        drained_ms += u64::from(shares.contains(&0.0)) * 60;
        if sequence >= 900 {
            assert!(shares.iter().all(|share| *share == 1.0), "verdicts that drain all zones are ignored");
        }
    }
    assert!(drained_ms > 0 && drained_ms <= 33 * 750, "{drained_ms} ms");
}
