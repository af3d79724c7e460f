//! Several real processes between emulated parties, with faults, judged by the platform's rules. Longer:
//! `ochrelead-verify soak 0..50`.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use ochrelead_verify::soak::coordinator::{NumberForm, WriteFaults};
use ochrelead_verify::soak::history::DiscoveryFault;
use ochrelead_verify::soak::scenario::{Scenario, Scheduled, Step};
use ochrelead_verify::soak::server::Behaviour;
use ochrelead_verify::soak::trial;
use ochrelead_verify::soak::trial_setup::TrialConfig;

const SEEDS: u64 = 16;
/// Trials at a time: more would be late for want of processors.
const PARALLEL: u8 = 6;

/// Tells the trials of this process apart.
static SLOTS: AtomicU8 = AtomicU8::new(0);
/// Trials measure time: one test at a time.
static MACHINE: Mutex<()> = Mutex::new(());

/// Runs a scenario; what it broke, with the evidence.
fn broken_rules(name: &str, scenario: &Scenario) -> String {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak").join(name);
    let program = Path::new(env!("CARGO_BIN_EXE_ochrelead-front"));
    let slot = SLOTS.fetch_add(1, Ordering::Relaxed);
    let config = TrialConfig::new(program, &folder, scenario.seed, slot);
    let report = trial::run(scenario, &config).expect("the parties start");
    assert!(report.set_ups > 50, "the callers sent {} set-ups", report.set_ups);
    report.violations.iter().map(ToString::to_string).collect()
}

/// A trial of which only the steps are given.
fn scenario(deadline: Duration, length: Duration, steps: &[(u64, Step)]) -> Scenario {
    let scheduled =
        |(at_ms, step): &(u64, Step)| Scheduled { at: Duration::from_millis(*at_ms), step: *step };
    Scenario {
        deadline,
        length,
        rate: 30.0,
        silent_connections: 0,
        irregular_share: 0.0,
        steps: steps.iter().map(scheduled).collect(),
        ..Scenario::draw(0, Some(4))
    }
}

#[test]
fn drain_at_the_end_of_a_silence_of_discovery_is_followed_within_the_grace() {
    let _machine = MACHINE.lock();
    let length = Duration::from_millis(2_800);
    let silence = Step::FailDiscovery { node: None, fault: DiscoveryFault::Silent, length };
    let drain = Step::Replace { server: 0, drain_time: Duration::from_secs(3) };
    let steps = [(1_500, silence), (4_200, drain)];
    let broken =
        broken_rules("silence", &scenario(Duration::from_secs(3), Duration::from_millis(6_500), &steps));
    assert!(broken.is_empty(), "{broken}");
}

/// Drains, one after another, while the coordinators write the last number in this form, a second after each request.
fn drains_with_numbers(number_form: NumberForm) -> String {
    let faults = WriteFaults { number_form, late_first_number: true, ..Default::default() };
    let mut steps = vec![(0, Step::SetWriteFaults { node: None, faults })];
    for (server, at_ms) in [(0, 6_000), (1, 10_500), (2, 15_000)] {
        steps.push((at_ms, Step::Replace { server, drain_time: Duration::from_secs(3) }));
    }
    let scenario = scenario(Duration::from_secs(3), Duration::from_secs(17), &steps);
    broken_rules(&format!("{number_form:?}"), &scenario)
}

#[test]
fn unreadable_numbers_of_the_coordinator_delay_no_drain() {
    let _machine = MACHINE.lock();
    let broken = drains_with_numbers(NumberForm::Unreadable);
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn bare_numbers_of_the_coordinator_are_read() {
    let _machine = MACHINE.lock();
    let broken = drains_with_numbers(NumberForm::Bare);
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn set_ups_that_arrive_late_in_a_shutdown_are_answered_before_the_kill() {
    let _machine = MACHINE.lock();
    let hang =
        |server| Step::Behave { server, behaviour: Behaviour::Hanging, length: Duration::from_secs(9) };
    // A node soon leaves a server alone that hangs: not all hang at once, so that calls are on their way to one.
    let steps = [
        (1_400, hang(0)),
        (1_500, Step::Terminate(0)),
        (2_000, Step::Terminate(1)),
        (2_400, hang(1)),
        (2_500, Step::Terminate(2)),
        (3_200, hang(2)),
    ];
    let broken = broken_rules("late", &scenario(Duration::from_secs(9), Duration::from_secs(8), &steps));
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn drain_announced_while_a_node_stands_still_is_followed_at_once() {
    let _machine = MACHINE.lock();
    let mut steps = Vec::new();
    for (server, at_ms) in [(0, 1_500), (1, 3_500), (2, 5_500), (0, 7_500)] {
        let stall = |node| Step::Stall { node, length: Duration::from_millis(700) };
        steps.extend((0..4).map(|node| (at_ms, stall(node))));
        steps.push((at_ms + 50, Step::Replace { server, drain_time: Duration::from_secs(3) }));
    }
    let scenario = scenario(Duration::from_secs(3), Duration::from_secs(10), &steps);
    let broken = broken_rules("stall", &Scenario { rate: 60.0, ..scenario });
    assert!(broken.is_empty(), "{broken}");
}

#[test]
fn every_rule_holds_in_seeded_trials() {
    let _machine = MACHINE.lock();
    let run = |first: u64| {
        let seeds = (first..SEEDS).step_by(usize::from(PARALLEL));
        let broken = seeds.map(|seed| (seed, broken_rules("seeded", &Scenario::draw(seed, None))));
        broken.filter(|(_, broken)| !broken.is_empty()).collect::<Vec<_>>()
    };
    let broken: Vec<(u64, String)> = thread::scope(|scope| {
        let trials: Vec<_> = (0..u64::from(PARALLEL)).map(|first| scope.spawn(move || run(first))).collect();
        trials.into_iter().flat_map(|trial| trial.join().unwrap()).collect()
    });
    let report = |(seed, broken): &(u64, String)| format!("seed {seed}:\n{broken}");
    assert!(broken.is_empty(), "{}", broken.iter().map(report).collect::<String>());
}
