//! Draining a zone and ramping it up again, step by step.

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
    reporting_fronts: 9,
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

    /// A ramp of a zone that has just been drained.
    fn drained() -> RampTest {
        let mut test = RampTest::new();
        test.advance(50, Verdict::Unreachable, &UNREACHABLE);
        test
    }

    /// Advances in steps of 50 ms with the same verdict and statistics, and returns the share then.
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

    /// Waits with healthy statistics for the recovery to begin; returns how long that took.
    fn wait_for_recovery(&mut self) -> u64 {
        let start_ms = self.elapsed_ms;
        while self.share() == 0.0 {
            self.advance(50, Verdict::Unchanged, &HEALTHY);
        }
        self.elapsed_ms - start_ms
    }
}

#[test]
fn a_zone_is_drained_at_once_and_stays_drained_while_it_is_silent() {
    let mut test = RampTest::new();
    assert_eq!(test.advance(50, Verdict::Unreachable, &UNREACHABLE), 0.0);
    assert_eq!(test.advance(60_000, Verdict::Unchanged, &ZoneStats { lost: 0, ..UNREACHABLE }), 0.0);
}

#[test]
fn a_zone_recovers_by_steps_of_at_most_the_growth_factor() {
    let mut test = RampTest::drained();
    assert_eq!(
        test.advance(1_200, Verdict::Unchanged, &HEALTHY),
        0.0,
        "signs of life from before the failure do not count"
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
fn a_step_that_overloads_the_zone_is_taken_back() {
    let mut test = RampTest::drained();
    let raised = test.advance(2_800, Verdict::Unchanged, &HEALTHY);
    let lowered = test.advance(750, Verdict::Unchanged, &OVERLOADED);
    assert!(lowered <= raised / 2.0 && lowered > 0.0, "{lowered} after {raised}");
    // The share never falls to zero: otherwise nothing would show that the zone does better.
    assert!(test.advance(20_000, Verdict::Unchanged, &OVERLOADED) > 0.0);
}

#[test]
fn with_little_traffic_recovery_is_slower_and_stops_on_a_loss() {
    let little_traffic = ZoneStats { recent_in_time: 2, ..HEALTHY };
    let mut test = RampTest::drained();
    assert!(test.advance(1_250 + 9 * 2_250, Verdict::Unchanged, &little_traffic) >= 1.0);
    let mut test = RampTest::drained();
    let first = test.advance(1_400, Verdict::Unchanged, &little_traffic);
    let with_loss = ZoneStats { recent_lost: 1, ..little_traffic };
    assert_eq!(test.advance(20_000, Verdict::Unchanged, &with_loss), first);
}

#[test]
fn a_flapping_zone_stays_drained_longer_each_time_up_to_a_limit() {
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
    let again = test.wait_for_recovery();
    assert!(again <= drain_ms[0], "{again}");
}

/// The zone accepts connections and answers nothing: it is drained before there is enough evidence for a verdict.
#[test]
fn a_recovery_without_answers_ends() {
    let mut test = RampTest::drained();
    assert!(test.advance(1_400, Verdict::Unchanged, &HEALTHY) > 0.0);
    let unanswered = ZoneStats { recent_in_time: 0, recent_lost: 3, ..HEALTHY };
    assert_eq!(test.advance(900, Verdict::Unchanged, &unanswered), 0.0);
}
