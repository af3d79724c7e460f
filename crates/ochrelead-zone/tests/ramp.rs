//! Drain and stepwise recovery of one zone.

use ochrelead_core::time::{Moment, Span};
use ochrelead_zone::ZoneConfig;
use ochrelead_zone::ramp::ZoneRamp;
use ochrelead_zone::verdict::{Verdict, ZoneStats};

const CONFIG: ZoneConfig = ZoneConfig { loss_timeout: Span::from_millis(375), growth_factor: 2.0 };
const UNREACHABLE: ZoneStats = ZoneStats {
    servers: 6,
    contacted: 6,
    silent: 6,
    lost: 40,
    fronts_with_loss: 9,
    missed_answers: 60.0,
    alive: 0,
    recent_in_time: 0,
    recent_late: 0,
    recent_lost: 40,
};
const HEALTHY: ZoneStats =
    ZoneStats { alive: 6, silent: 0, lost: 0, recent_in_time: 20, recent_lost: 0, ..UNREACHABLE };
const OVERLOADED: ZoneStats = ZoneStats { recent_in_time: 8, recent_late: 4, recent_lost: 12, ..HEALTHY };

struct RampTest {
    ramp: ZoneRamp,
    elapsed_ms: u64,
}

impl RampTest {
    fn new() -> RampTest {
        RampTest { ramp: ZoneRamp::default(), elapsed_ms: 0 }
    }

    /// Creates a test with a zone that has just been drained.
    fn drained() -> RampTest {
        let mut test = RampTest::new();
        test.advance(50, Verdict::Unreachable, &UNREACHABLE);
        test
    }

    /// Advances by `ms` in increments of 50 ms with constant verdict and statistics, and returns the resulting share.
    fn advance(&mut self, ms: u64, verdict: Verdict, stats: &ZoneStats) -> f64 {
        let end_ms = self.elapsed_ms + ms;
        while self.elapsed_ms < end_ms {
            self.elapsed_ms += 50;
            let now = Moment::from_micros(1_000_000 + self.elapsed_ms * 1_000);
            self.ramp.process(now, verdict, stats, &CONFIG);
        }
        self.share()
    }

    fn share(&self) -> f64 {
        self.ramp.share().map_or(1.0, |(share, _)| share)
    }

    /// Advances with healthy statistics until the recovery begins, and returns the elapsed milliseconds.
    fn wait_for_recovery(&mut self) -> u64 {
        let start_ms = self.elapsed_ms;
        while self.share() == 0.0 {
            self.advance(50, Verdict::Unchanged, &HEALTHY);
        }
        self.elapsed_ms - start_ms
    }
}

#[test]
fn unreachable_zone_is_drained_at_once_and_stays_drained_while_silent() {
    let mut test = RampTest::new();
    assert_eq!(test.advance(50, Verdict::Unreachable, &UNREACHABLE), 0.0);
    assert_eq!(test.advance(60_000, Verdict::Unchanged, &ZoneStats { lost: 0, ..UNREACHABLE }), 0.0);
}

#[test]
fn zone_recovers_in_steps_of_at_most_the_growth_factor() {
    let mut test = RampTest::drained();
    assert_eq!(
        test.advance(1_200, Verdict::Unchanged, &HEALTHY),
        0.0,
        "activity reported from before the failure does not count"
    );
    let mut previous = test.advance(100, Verdict::Unchanged, &HEALTHY);
    assert!(previous > 0.0 && previous <= 0.125);
    let mut steps = 0;
    while previous < 1.0 {
        let share = test.advance(750, Verdict::Unchanged, &HEALTHY);
        assert!(share <= previous * CONFIG.growth_factor && share > previous, "{share} after {previous}");
        (previous, steps) = (share, steps + 1);
    }
    assert!(steps <= 4, "{steps}");
}

#[test]
fn share_is_halved_after_a_step_that_overloads_the_zone() {
    let mut test = RampTest::drained();
    let raised_share = test.advance(2_800, Verdict::Unchanged, &HEALTHY);
    let lowered_share = test.advance(750, Verdict::Unchanged, &OVERLOADED);
    assert!(
        lowered_share <= raised_share / 2.0 && lowered_share > 0.0,
        "{lowered_share} after {raised_share}"
    );
    // The share stays above zero; with no INVITEs an improvement of the zone could not be detected.
    assert!(test.advance(20_000, Verdict::Unchanged, &OVERLOADED) > 0.0);
}

#[test]
fn recovery_with_low_traffic_is_slower_and_pauses_on_a_loss() {
    let low_traffic = ZoneStats { recent_in_time: 2, ..HEALTHY };
    let mut test = RampTest::drained();
    assert!(test.advance(1_250 + 9 * 2_250, Verdict::Unchanged, &low_traffic) >= 1.0);
    let mut test = RampTest::drained();
    let first_share = test.advance(1_400, Verdict::Unchanged, &low_traffic);
    let with_loss = ZoneStats { recent_lost: 1, ..low_traffic };
    assert_eq!(test.advance(20_000, Verdict::Unchanged, &with_loss), first_share);
}

#[test]
fn repeated_drains_last_longer_up_to_a_limit() {
    let mut test = RampTest::new();
    let mut drain_ms = Vec::new();
    for _ in 0..8 {
        test.advance(50, Verdict::Unreachable, &UNREACHABLE);
        drain_ms.push(test.wait_for_recovery());
        test.advance(800, Verdict::Unchanged, &HEALTHY);
    }
    assert!(drain_ms.windows(2).all(|pair| pair[0] <= pair[1]), "{drain_ms:?}");
    assert!(drain_ms[1] > drain_ms[0] && drain_ms[7] <= 16 * 750 + 50, "{drain_ms:?}");
    // After two minutes in use, the next drain is as short as the first.
    test.advance(120_000, Verdict::Unchanged, &HEALTHY);
    test.advance(50, Verdict::Unreachable, &UNREACHABLE);
    let drain_after_reset_ms = test.wait_for_recovery();
    assert!(drain_after_reset_ms <= drain_ms[0], "{drain_after_reset_ms}");
}

/// The zone accepts connections but answers no INVITE. It is drained before there is enough evidence for a verdict.
#[test]
fn recovery_without_answers_ends_in_a_drain() {
    let mut test = RampTest::drained();
    assert!(test.advance(1_400, Verdict::Unchanged, &HEALTHY) > 0.0);
    let unanswered = ZoneStats { recent_in_time: 0, recent_lost: 3, ..HEALTHY };
    assert_eq!(test.advance(900, Verdict::Unchanged, &unanswered), 0.0);
}
