//! The same seed gives byte-identical events in this process and in another one; the corpus and a small range of seeds
//! violate no invariant.

use std::fs;
use std::path::Path;
use std::process::Command;

use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::generator::{generate, parse};
use ochrelead_sim::run::{Outcome, run};
use ochrelead_sim::world::RecordingOptions;
use test_case::test_case;

fn simulate(seed: u64, trace: bool) -> Outcome {
    let options = RecordingOptions { datagrams: true, trace, event_logs: trace };
    run(&parse(&generate(seed)).unwrap(), PolicyKind::Controller, options).unwrap()
}

#[test_case(3)]
#[test_case(17)]
#[test_case(40)]
fn replay_in_another_process_gives_the_same_trace(seed: u64) {
    let expected = simulate(seed, true);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("trace-{seed}.txt"));
    let run = Command::new(env!("CARGO_BIN_EXE_ochrelead-sim"))
        .args(["replay", &seed.to_string(), "--trace"])
        .arg(&file)
        .output()
        .unwrap();
    let printed = String::from_utf8(run.stdout).unwrap();
    let summary = format!("{} events, sum {:08x}", expected.steps, expected.checksum);
    assert!(printed.contains(&summary), "{printed}");
    let trace = fs::read_to_string(&file).unwrap();
    let difference = expected.trace.lines().zip(trace.lines()).find(|(expected, line)| expected != line);
    assert_eq!(difference, None);
    assert_eq!(expected.trace.len(), trace.len());
}

#[test]
fn different_seeds_give_different_events() {
    assert_ne!(simulate(3, false).checksum, simulate(4, false).checksum);
}

#[test]
fn first_seeds_violate_no_invariant() {
    for seed in 0..120 {
        let violation = simulate(seed, false).violation;
        assert_eq!(violation, None, "seed {seed}");
    }
}

#[test]
fn corpus_of_fixed_faults_violates_no_invariant() {
    let corpus = Path::new(env!("CARGO_MANIFEST_DIR")).join("corpus");
    let mut files: Vec<_> = fs::read_dir(corpus).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    assert!(!files.is_empty());
    for file in files {
        let run =
            Command::new(env!("CARGO_BIN_EXE_ochrelead-sim")).arg("replay").arg(&file).output().unwrap();
        assert!(run.status.success(), "{}: {}", file.display(), String::from_utf8_lossy(&run.stdout));
    }
}

#[test_case("x..y", "invalid value"; "bounds are not numbers")]
#[test_case("5", "expected two seeds separated by .., such as 0..100"; "single seed")]
fn invalid_seed_range_exits_with_a_usage_error(seeds: &str, message: &str) {
    let run = Command::new(env!("CARGO_BIN_EXE_ochrelead-sim"))
        .args(["explore", "--seeds", seeds])
        .output()
        .unwrap();
    let error = String::from_utf8_lossy(&run.stderr).into_owned();
    assert!(run.status.code() == Some(2) && error.contains(message), "{error}");
}
