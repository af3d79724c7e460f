//! How long a front follows verdicts, and how far it trusts them.

use ochrelead_core::time::Span;
use ochrelead_gossip::MemberId;
use ochrelead_zone::ZoneId;
use ochrelead_zone::codec::encode;
use ochrelead_zone::message::{Message, ZoneShare};
use ochrelead_zone::ramp::ShareReason;

use crate::fleet::{CONFIG, Fleet};

/// Verdicts for the fronts of zone 0 that drain some zones.
fn drain(zones: &[u32], sequence: u32, ttl: Span) -> Vec<u8> {
    let share = |zone: &u32| ZoneShare { zone: ZoneId(*zone), share: 0.0, reason: ShareReason::Drained };
    let shares = zones.iter().map(share).collect();
    encode(&Message::Verdicts { zone: ZoneId(0), sequence, ttl, shares }).remove(0)
}

#[test]
fn verdicts_expire_where_the_observer_falls_silent_and_count_once() {
    // One front in each zone: nobody takes over.
    let mut fleet = Fleet::new(3);
    let verdicts = |sequence| drain(&[1], sequence, Span::from_secs(3_600));
    let observer = MemberId { front: 2, incarnation: 1 };
    let now = fleet.now();
    let front = fleet.engines.get_mut(&0).unwrap();
    front.handle_input(now, observer, &verdicts(1));
    assert_eq!(front.zone_share(now, ZoneId(1)), 0.0);
    let later = now + CONFIG.verdict_ttl() * 3;
    assert_eq!(front.zone_share(later, ZoneId(1)), 1.0, "an hour is not believed");
    // The same message again, late: it has been counted.
    front.handle_input(later, observer, &verdicts(1));
    assert_eq!(front.zone_share(later, ZoneId(1)), 1.0);
    front.handle_input(later, observer, &verdicts(2));
    assert_eq!(front.zone_share(later, ZoneId(1)), 0.0);
}

/// A false observer costs a bounded time: a zone that a front hears is not drained for longer, and never all zones.
#[test]
fn a_false_observer_drains_a_zone_for_a_bounded_time_and_never_all() {
    let mut fleet = Fleet::new(24);
    fleet.advance(1_500);
    // It claims to be the front with the lowest number.
    let false_observer = MemberId { front: 0, incarnation: 9 };
    let mut drained_ms = 0;
    for sequence in 1..1_000 {
        let zones: &[u32] = if sequence < 900 { &[1] } else { &[0, 1, 2] };
        let verdicts = drain(zones, sequence, Span::from_secs(2));
        let now = fleet.now();
        for front in fleet.engines.values_mut().filter(|front| front.local_zone() == ZoneId(0)) {
            front.handle_input(now, false_observer, &verdicts);
        }
        fleet.advance(60);
        let shares = fleet.shares(0, 1);
        drained_ms += u64::from(shares.contains(&0.0)) * 60;
        if sequence >= 900 {
            assert!(shares.iter().all(|share| *share == 1.0), "all zones are never drained");
        }
    }
    assert!(drained_ms > 0 && drained_ms <= 33 * 750, "{drained_ms} ms");
}
