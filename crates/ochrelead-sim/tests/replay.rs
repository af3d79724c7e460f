//! The same seed gives the same events to the byte, in this and in another process; the corpus and a small range
//! of seeds break nothing.

use std::fs;
use std::path::Path;
use std::process::Command;

use ochrelead_scenario::policy::PolicyKind;
use ochrelead_sim::play::{Outcome, play};
use ochrelead_sim::schedule::{drawn, read};
use ochrelead_sim::world::Keep;
use test_case::test_case;

fn outcome(seed: u64, trace: bool) -> Outcome {
    let keep = Keep { sights: true, trace, records: trace };
    play(&read(&drawn(seed)).unwrap(), PolicyKind::Controller, keep).unwrap()
}

#[test_case(3)]
#[test_case(17)]
#[test_case(40)]
fn two_processes_see_the_same_events(seed: u64) {
    let own = outcome(seed, true);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("trace-{seed}.txt"));
    let run = Command::new(env!("CARGO_BIN_EXE_ochrelead-sim"))
        .args(["replay", &seed.to_string(), "--trace"])
        .arg(&file)
        .output()
        .unwrap();
    let said = String::from_utf8(run.stdout).unwrap();
    assert!(said.contains(&format!("{} events, sum {:08x}", own.steps, own.sum)), "{said}");
    let other = fs::read_to_string(&file).unwrap();
    let differs = own.trace.lines().zip(other.lines()).find(|(own, other)| own != other);
    assert_eq!(differs, None);
    assert_eq!(own.trace.len(), other.len());
}

#[test]
fn two_seeds_differ() {
    assert_ne!(outcome(3, false).sum, outcome(4, false).sum);
}

#[test]
fn the_first_seeds_break_nothing() {
    for seed in 0..120 {
        let wrong = outcome(seed, false).violation;
        assert_eq!(wrong, None, "seed {seed}");
    }
}

#[test]
fn what_was_found_once_stays_mended() {
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

#[test_case("x..y", "invalid value"; "no seeds")]
#[test_case("5", "two seeds with .. between"; "one seed")]
fn a_range_that_is_none(seeds: &str, said: &str) {
    let run = Command::new(env!("CARGO_BIN_EXE_ochrelead-sim"))
        .args(["explore", "--seeds", seeds])
        .output()
        .unwrap();
    let error = String::from_utf8_lossy(&run.stderr).into_owned();
    assert!(run.status.code() == Some(2) && error.contains(said), "{error}");
}
