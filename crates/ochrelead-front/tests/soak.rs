//! Trials of several real node processes among emulated servers, coordinators and callers, with faults. Each trial is
//! checked against the platform's rules. `ochrelead-verify soak 0..50` runs more trials.

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
/// The number of concurrent trials. With more, processes miss deadlines for lack of processor time.
const PARALLEL_TRIALS: u8 = 6;

/// The number of trials that this process has started, from which each gets its own slot.
static TRIALS_STARTED: AtomicU8 = AtomicU8::new(0);
/// Locked by each test while it runs: trials measure time, so tests must not run concurrently.
static TEST_LOCK: Mutex<()> = Mutex::new(());

/// Runs a trial of a scenario and returns the violated rules with their evidence.
fn run_trial(name: &str, scenario: &Scenario) -> String {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak").join(name);
    let program = Path::new(env!("CARGO_BIN_EXE_ochrelead-front"));
    let slot = TRIALS_STARTED.fetch_add(1, Ordering::Relaxed);
    let config = TrialConfig::new(program, &folder, scenario.seed, slot);
    let report = trial::run(scenario, &config).expect("the trial starts");
    assert!(report.set_ups > 50, "the callers sent only {} set-ups", report.set_ups);
    report.violations.iter().map(ToString::to_string).collect()
}

/// A scenario of four nodes with these steps, without idle connections and impatient callers. What is not given here is
/// drawn with seed 0.
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
fn drain_after_discovery_was_silent_is_applied_within_the_grace_period() {
    let _lock = TEST_LOCK.lock();
    let length = Duration::from_millis(2_800);
    let silent_discovery = Step::FailDiscovery { node: None, fault: DiscoveryFault::Silent, length };
    let drain = Step::Replace { server: 0, drain_time: Duration::from_secs(3) };
    let steps = [(1_500, silent_discovery), (4_200, drain)];
    let violations =
        run_trial("silence", &scenario(Duration::from_secs(3), Duration::from_millis(6_500), &steps));
    assert!(violations.is_empty(), "{violations}");
}

/// Drains three servers in turn while the coordinators write the last event index in this form, a second after each
/// request. Returns the violated rules.
fn run_drains_with_index_form(number_form: NumberForm) -> String {
    let faults = WriteFaults { number_form, late_first_number: true, ..Default::default() };
    let mut steps = vec![(0, Step::SetWriteFaults { node: None, faults })];
    for (server, at_ms) in [(0, 6_000), (1, 10_500), (2, 15_000)] {
        steps.push((at_ms, Step::Replace { server, drain_time: Duration::from_secs(3) }));
    }
    let scenario = scenario(Duration::from_secs(3), Duration::from_secs(17), &steps);
    run_trial(&format!("{number_form:?}"), &scenario)
}

#[test]
fn unreadable_last_index_of_the_coordinator_delays_no_drain() {
    let _lock = TEST_LOCK.lock();
    let violations = run_drains_with_index_form(NumberForm::Unreadable);
    assert!(violations.is_empty(), "{violations}");
}

#[test]
fn last_index_written_as_a_bare_number_delays_no_drain() {
    let _lock = TEST_LOCK.lock();
    let violations = run_drains_with_index_form(NumberForm::Bare);
    assert!(violations.is_empty(), "{violations}");
}

#[test]
fn set_ups_received_late_in_a_shutdown_are_answered_before_the_kill() {
    let _lock = TEST_LOCK.lock();
    let hang =
        |server| Step::Behave { server, behaviour: Behaviour::Hanging, length: Duration::from_secs(9) };
    // Nodes soon stop sending to a server that hangs. The servers hang one after another, so that at each termination
    // some calls are in flight to a hanging server.
    let steps = [
        (1_400, hang(0)),
        (1_500, Step::Terminate(0)),
        (2_000, Step::Terminate(1)),
        (2_400, hang(1)),
        (2_500, Step::Terminate(2)),
        (3_200, hang(2)),
    ];
    let violations = run_trial("late", &scenario(Duration::from_secs(9), Duration::from_secs(8), &steps));
    assert!(violations.is_empty(), "{violations}");
}

#[test]
fn drain_announced_while_the_nodes_are_paused_is_applied_as_they_resume() {
    let _lock = TEST_LOCK.lock();
    let mut steps = Vec::new();
    for (server, at_ms) in [(0, 1_500), (1, 3_500), (2, 5_500), (0, 7_500)] {
        let stall = |node| Step::Stall { node, length: Duration::from_millis(700) };
        steps.extend((0..4).map(|node| (at_ms, stall(node))));
        steps.push((at_ms + 50, Step::Replace { server, drain_time: Duration::from_secs(3) }));
    }
    let scenario = scenario(Duration::from_secs(3), Duration::from_secs(10), &steps);
    let violations = run_trial("stall", &Scenario { rate: 60.0, ..scenario });
    assert!(violations.is_empty(), "{violations}");
}

#[test]
fn no_rule_is_violated_in_seeded_trials() {
    let _lock = TEST_LOCK.lock();
    let run = |first: u64| {
        let seeds = (first..SEEDS).step_by(usize::from(PARALLEL_TRIALS));
        let outcomes = seeds.map(|seed| (seed, run_trial("seeded", &Scenario::draw(seed, None))));
        outcomes.filter(|(_, violations)| !violations.is_empty()).collect::<Vec<_>>()
    };
    let failed: Vec<(u64, String)> = thread::scope(|scope| {
        let trials: Vec<_> =
            (0..u64::from(PARALLEL_TRIALS)).map(|first| scope.spawn(move || run(first))).collect();
        trials.into_iter().flat_map(|trial| trial.join().unwrap()).collect()
    });
    let report = |(seed, violations): &(u64, String)| format!("seed {seed}:\n{violations}");
    assert!(failed.is_empty(), "{}", failed.iter().map(report).collect::<String>());
}
