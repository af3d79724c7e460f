//! Runs the short scenarios with real fronts on loopback. Neither the run nor a separate audit of its capture may
//! report a violation.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::thread;

/// The number of scenarios that run concurrently; each has about a dozen mostly idle processes.
const PARALLEL_RUNS: usize = 5;

fn short_scenarios() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/short");
    let mut scenarios: Vec<PathBuf> =
        fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    scenarios.sort();
    scenarios
}

fn run_program(arguments: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_ochrelead-scenario")).args(arguments).output().unwrap();
    let printed = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8_lossy(&printed).into_owned())
}

#[test]
fn every_short_scenario_keeps_every_rule() {
    let scenarios = Mutex::new(short_scenarios());
    let failed = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                loop {
                    let Some(scenario) = scenarios.lock().unwrap().pop() else { return };
                    let name = scenario.file_stem().unwrap().to_str().unwrap();
                    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
                    let (scenario, out) = (scenario.to_str().unwrap(), out.to_str().unwrap());
                    let run = run_program(&["run", scenario, "--out", out, "--alone"]);
                    let audit = run_program(&["audit", &format!("{out}/capture.pcap"), "--day", scenario]);
                    if run.0 != Some(0) || audit.0 != Some(0) {
                        failed.lock().unwrap().push(format!("{name}: {run:?} {audit:?}"));
                    }
                }
            });
        }
    });
    let failed = failed.into_inner().unwrap();
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn an_invalid_scenario_is_rejected_with_file_line_and_reason() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("wrong.textproto");
    fs::write(&file, "seed: 1\nlength_ms: 5\n").unwrap();
    let (code, printed) = run_program(&["run", file.to_str().unwrap(), "--out", "nowhere"]);
    assert_eq!(code, Some(2));
    assert!(printed.contains("wrong.textproto:2:1: length_ms is 5; it must be from 500"), "{printed}");
}
