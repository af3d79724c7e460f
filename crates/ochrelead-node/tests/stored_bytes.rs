//! What a node keeps and shows, as written by an earlier program: a voter's promises under their file name, the status
//! text and the counters, and the numbers of tasks that go over the wire.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use ochrelead_core::time::Moment;
use ochrelead_lease::TaskId;
use ochrelead_lease::electorate::Electorate;
use ochrelead_node::promises::{Job, Promises};
use ochrelead_node::sounding::{self, Quiet};
use ochrelead_node::together::Together;

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn stored(name: &str) -> String {
    let path = fixtures().join(name);
    fs::read_to_string(path).unwrap()
}

#[test]
fn state_folder_has_the_stored_file_names() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stored_promises");
    let _ = fs::remove_dir_all(&folder);
    let (promises, kept) = Promises::open(&folder).unwrap();
    assert_eq!(kept, None);
    promises.out.send(Job::Promises(1, b"promised".to_vec())).unwrap();
    promises
        .out
        .send(Job::Status { status: "status text".to_owned(), counters: "counts".to_owned() })
        .unwrap();
    assert_eq!(promises.written.recv_blocking(), Ok(1));
    let begun = Instant::now();
    while !folder.join("counters.prom").exists() {
        assert!(begun.elapsed() < Duration::from_secs(10), "no counters");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(fs::read_to_string(folder.join("status")).unwrap(), "status text");
    assert_eq!(fs::read_to_string(folder.join("counters.prom")).unwrap(), "counts");
    assert_eq!(fs::read(folder.join("promises")).unwrap(), b"promised");
    let (_, kept) = Promises::open(&folder).unwrap();
    assert_eq!(kept.as_deref(), Some(&b"promised"[..]));
}

#[test]
fn tasks_have_the_numbers_that_go_over_the_wire() {
    let names = ["", "s", "s-0", "s-1", "norte-17", "a-much-longer-name-of-a-signalling-server.example"];
    let written: String =
        names.iter().map(|name| format!("{name} {:016x}\n", sounding::task(name).0)).collect();
    assert_eq!(written, stored("tasks.txt"));
}

#[test]
fn fronts_are_ranked_as_they_were() {
    let fronts: Vec<u32> = (0..40).collect();
    let ranks = |task: u64| -> Vec<(u32, u32)> {
        let ranked = |front: &u32| Some((*front, sounding::rank(TaskId(task), *front, &fronts)?));
        fronts.iter().filter_map(ranked).collect()
    };
    let written: String = [0, 1, u64::MAX, 0x0123_4567_89ab_cdef]
        .iter()
        .map(|task| format!("{task:x} {:?}\n", ranks(*task)))
        .collect();
    assert_eq!(written, stored("ranks.txt"));
}

fn address(front: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, front as u8 + 1], 7946))
}

fn at(ms: u64) -> Moment {
    Moment::from_micros(1_000_000_000_000 + ms * 1_000)
}

/// Three fronts and a silent server for twenty seconds; what each shows then.
#[test]
fn status_and_counters_are_the_stored_text() {
    let addresses: Vec<SocketAddr> = (0..3).map(address).collect();
    let front = |number: u32| {
        let electorate = Electorate::new(1, &[0, 1, 2]);
        Together::new(address(number), addresses.clone(), Some(number), electorate, 7, at(0)).unwrap()
    };
    let mut fronts: Vec<Together> = (0..3).map(front).collect();
    for ms in (20..=20_000).step_by(20) {
        let mut sent = Vec::new();
        for (number, front) in fronts.iter_mut().enumerate() {
            front.turn(at(ms));
            front.look(at(ms), || {
                (vec![Quiet { id: "s-0".to_owned(), spoke: at(0), heard: at(0) }], Vec::new())
            });
            while front.duty().is_some() {}
            while let Some((to, bytes)) = front.next() {
                sent.push((number, to, bytes));
            }
        }
        for (from, to, bytes) in sent {
            let to = addresses.iter().position(|address| *address == to).unwrap();
            fronts[to].take(at(ms), addresses[from], &bytes);
        }
    }
    let mut written = String::new();
    for front in &mut fronts {
        let (status, counters) = front.status(at(20_000)).unwrap();
        written.push_str(&status);
        written.push_str(&counters);
    }
    assert!(written.contains("held here since"), "{written}");
    assert_eq!(written, stored("status.txt"));
}
