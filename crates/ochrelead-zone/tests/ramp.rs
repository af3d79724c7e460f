//! Leaving and coming back, step by step.

use ochrelead_core::time::{Moment, Span};
use ochrelead_zone::ZoneConfig;
use ochrelead_zone::ramp::ZoneRamp;
use ochrelead_zone::verdict::{Verdict, ZoneStats};

const TERMS: ZoneConfig = ZoneConfig { loss_timeout: Span::from_millis(375), growth_factor: 2.0 };
const DEAD: ZoneStats = ZoneStats {
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
const BACK: ZoneStats =
    ZoneStats { alive: 6, silent: 0, lost: 0, recent_in_time: 20, recent_lost: 0, ..DEAD };
const SHORT: ZoneStats = ZoneStats { recent_in_time: 8, recent_late: 4, recent_lost: 12, ..BACK };

struct Rig {
    course: ZoneRamp,
    ms: u64,
}

impl Rig {
    fn new() -> Rig {
        Rig { course: ZoneRamp::default(), ms: 0 }
    }

    /// The share after so long with the same verdict and counts, 50 ms at a time.
    fn pass(&mut self, ms: u64, verdict: Verdict, count: &ZoneStats) -> f64 {
        let until = self.ms + ms;
        while self.ms < until {
            self.ms += 50;
            let now = Moment::from_micros(1_000_000 + self.ms * 1_000);
            self.course.process(now, verdict, count, &TERMS);
        }
        self.share()
    }

    fn share(&self) -> f64 {
        self.course.share().map_or(1.0, |(share, _)| share)
    }
}

#[test]
fn it_is_left_at_once_and_stays_left_while_it_is_silent() {
    let mut rig = Rig::new();
    assert_eq!(rig.pass(50, Verdict::Unreachable, &DEAD), 0.0);
    assert_eq!(rig.pass(60_000, Verdict::Unchanged, &ZoneStats { lost: 0, ..DEAD }), 0.0);
}

#[test]
fn it_comes_back_by_steps_each_at_most_twice_the_former() {
    let mut rig = Rig::new();
    rig.pass(50, Verdict::Unreachable, &DEAD);
    assert_eq!(rig.pass(1_200, Verdict::Unchanged, &BACK), 0.0, "what was on its way says nothing");
    let mut before = rig.pass(100, Verdict::Unchanged, &BACK);
    assert!(before > 0.0 && before <= 0.125);
    let mut steps = 0;
    while before < 1.0 {
        let share = rig.pass(750, Verdict::Unchanged, &BACK);
        assert!(share <= before * TERMS.growth_factor && share > before, "{share} after {before}");
        (before, steps) = (share, steps + 1);
    }
    assert!(steps <= 4, "{steps}");
}

#[test]
fn a_step_that_does_not_bear_is_taken_back() {
    let mut rig = Rig::new();
    rig.pass(50, Verdict::Unreachable, &DEAD);
    let raised = rig.pass(2_800, Verdict::Unchanged, &BACK);
    let lowered = rig.pass(750, Verdict::Unchanged, &SHORT);
    assert!(lowered <= raised / 2.0 && lowered > 0.0, "{lowered} after {raised}");
    // However bad it is, something goes there: else nothing would show that it is better.
    assert!(rig.pass(20_000, Verdict::Unchanged, &SHORT) > 0.0);
}

#[test]
fn with_little_traffic_it_comes_back_more_slowly_and_never_on_a_loss() {
    let few = ZoneStats { recent_in_time: 2, ..BACK };
    let mut rig = Rig::new();
    rig.pass(50, Verdict::Unreachable, &DEAD);
    assert!(rig.pass(1_250 + 9 * 2_250, Verdict::Unchanged, &few) >= 1.0);
    let mut rig = Rig::new();
    rig.pass(50, Verdict::Unreachable, &DEAD);
    let first = rig.pass(1_400, Verdict::Unchanged, &few);
    assert_eq!(rig.pass(20_000, Verdict::Unchanged, &ZoneStats { recent_lost: 1, ..few }), first);
}

#[test]
fn one_that_flaps_is_left_longer_each_time_and_not_for_ever() {
    let mut rig = Rig::new();
    let mut holds = Vec::new();
    for _ in 0..8 {
        rig.pass(50, Verdict::Unreachable, &DEAD);
        let left = rig.ms;
        while rig.share() == 0.0 {
            rig.pass(50, Verdict::Unchanged, &BACK);
        }
        holds.push(rig.ms - left);
        rig.pass(800, Verdict::Unchanged, &BACK);
    }
    assert!(holds.windows(2).all(|pair| pair[0] <= pair[1]), "{holds:?}");
    assert!(holds[1] > holds[0] && holds[7] <= 16 * 750 + 50, "{holds:?}");
    // After a quiet minute the first time is the first again.
    rig.pass(120_000, Verdict::Unchanged, &BACK);
    rig.pass(50, Verdict::Unreachable, &DEAD);
    let left = rig.ms;
    while rig.share() == 0.0 {
        rig.pass(50, Verdict::Unchanged, &BACK);
    }
    assert!(rig.ms - left <= holds[0], "{}", rig.ms - left);
}

/// It takes connections and answers nothing: it is left again before there is enough to call it gone once more.
#[test]
fn a_return_that_nobody_answers_is_over() {
    let mut rig = Rig::new();
    rig.pass(50, Verdict::Unreachable, &DEAD);
    assert!(rig.pass(1_400, Verdict::Unchanged, &BACK) > 0.0);
    let hung = ZoneStats { recent_in_time: 0, recent_lost: 3, ..BACK };
    assert_eq!(rig.pass(900, Verdict::Unchanged, &hung), 0.0);
}
