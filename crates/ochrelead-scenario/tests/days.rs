//! The short days through real fronts on loopback: no rule is broken, and the capture alone says the same.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Mutex;
use std::thread;

/// So many days at once: each is a dozen processes that mostly wait.
const AT_ONCE: usize = 5;

fn short_days() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios/short");
    let mut days: Vec<PathBuf> = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    days.sort();
    days
}

fn program(arguments: &[&str]) -> (Option<i32>, String) {
    let run = Command::new(env!("CARGO_BIN_EXE_ochrelead-scenario")).args(arguments).output().unwrap();
    let said = [run.stdout, run.stderr].concat();
    (run.status.code(), String::from_utf8_lossy(&said).into_owned())
}

#[test]
fn every_short_day_keeps_every_rule() {
    let days = Mutex::new(short_days());
    let broken = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..AT_ONCE {
            scope.spawn(|| {
                loop {
                    let Some(day) = days.lock().unwrap().pop() else { return };
                    let name = day.file_stem().unwrap().to_str().unwrap();
                    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
                    let (day, out) = (day.to_str().unwrap(), out.to_str().unwrap());
                    let played = program(&["run", day, "--out", out, "--alone"]);
                    let judged = program(&["audit", &format!("{out}/capture.pcap"), "--day", day]);
                    if played.0 != Some(0) || judged.0 != Some(0) {
                        broken.lock().unwrap().push(format!("{name}: {played:?} {judged:?}"));
                    }
                }
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn a_day_that_is_none_is_refused_with_file_line_and_what() {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("wrong.textproto");
    fs::write(&file, "seed: 1\nlength_ms: 5\n").unwrap();
    let (code, said) = program(&["run", file.to_str().unwrap(), "--out", "nowhere"]);
    assert_eq!(code, Some(2));
    assert!(said.contains("wrong.textproto:2:1: length_ms is 5; it must be from 500"), "{said}");
}
