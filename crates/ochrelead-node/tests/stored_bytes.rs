//! Compatibility with earlier versions: the file names of the state folder, and, compared with fixtures that an earlier
//! version wrote, the status text, the metrics, the task numbers and the candidate ranks.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use ochrelead_core::time::Moment;
use ochrelead_lease::TaskId;
use ochrelead_lease::electorate::Electorate;
use ochrelead_node::coordination::{CoordinationConfig, FleetCoordination};
use ochrelead_node::health_check::{candidate_rank, task_id};
use ochrelead_node::observation::{ServerActivity, ServerReport};
use ochrelead_node::persistence::{PersistenceWriter, StatusReport, VoterState, WriteJob};

fn fixture(name: &str) -> String {
    let folder: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    fs::read_to_string(folder.join(name)).unwrap()
}

#[test]
fn writer_uses_the_file_names_of_earlier_versions() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stored_promises");
    let _ = fs::remove_dir_all(&folder);
    let opened = PersistenceWriter::open(&folder).unwrap();
    assert_eq!(opened.stored, None);
    let state = VoterState { sequence: 1, bytes: b"promised".to_vec() };
    opened.writer.jobs.send(WriteJob::VoterState(state)).unwrap();
    let report = StatusReport { status: "status text".to_owned(), counters: "counts".to_owned() };
    opened.writer.jobs.send(WriteJob::Status(report)).unwrap();
    assert_eq!(opened.writer.persisted.recv_blocking(), Ok(1));
    let started = Instant::now();
    while !folder.join("counters.prom").exists() {
        assert!(started.elapsed() < Duration::from_secs(10), "counters.prom not written within 10 s");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(fs::read_to_string(folder.join("status")).unwrap(), "status text");
    assert_eq!(fs::read_to_string(folder.join("counters.prom")).unwrap(), "counts");
    assert_eq!(fs::read(folder.join("promises")).unwrap(), b"promised");
    let reopened = PersistenceWriter::open(&folder).unwrap();
    assert_eq!(reopened.stored.as_deref(), Some(&b"promised"[..]));
}

#[test]
fn task_ids_match_those_of_earlier_versions() {
    let names = ["", "s", "s-0", "s-1", "norte-17", "a-much-longer-name-of-a-signalling-server.example"];
    let written: String = names.iter().map(|name| format!("{name} {:016x}\n", task_id(name).0)).collect();
    assert_eq!(written, fixture("tasks.txt"));
}

#[test]
fn candidate_ranks_match_those_of_earlier_versions() {
    let fronts: Vec<u32> = (0..40).collect();
    let ranks = |task: u64| -> Vec<(u32, u32)> {
        let ranked = |front: &u32| Some((*front, candidate_rank(TaskId(task), *front, &fronts)?));
        fronts.iter().filter_map(ranked).collect()
    };
    let written: String = [0, 1, u64::MAX, 0x0123_4567_89ab_cdef]
        .iter()
        .map(|task| format!("{task:x} {:?}\n", ranks(*task)))
        .collect();
    assert_eq!(written, fixture("ranks.txt"));
}

fn address(front: u32) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, u8::try_from(front).unwrap() + 1], 7946))
}

fn moment(ms: u64) -> Moment {
    Moment::from_micros(1_000_000_000_000 + ms * 1_000)
}

fn coordination(front: u32, addresses: &[SocketAddr]) -> FleetCoordination {
    let config = CoordinationConfig {
        local_address: address(front),
        addresses: addresses.to_vec(),
        front: Some(front),
        electorate: Electorate::new(1, &[0, 1, 2]),
        seed: 7,
    };
    FleetCoordination::new(config, moment(0)).unwrap()
}

fn silent_server() -> ServerReport {
    let server = "s-0".to_owned();
    let activity = ServerActivity { server, last_unprompted: moment(0), last_heard: moment(0) };
    ServerReport { activity: vec![activity], locations: Vec::new() }
}

/// Compares what three fronts write after 20 s with a silent server.
#[test]
fn status_and_metrics_match_those_of_earlier_versions() {
    let addresses: Vec<SocketAddr> = (0..3).map(address).collect();
    let mut fronts: Vec<FleetCoordination> = (0..3).map(|front| coordination(front, &addresses)).collect();
    for ms in (20..=20_000).step_by(20) {
        let now = moment(ms);
        let mut sent = Vec::new();
        for (sender, front) in fronts.iter_mut().enumerate() {
            front.process(now);
            front.update_servers(now, silent_server);
            while front.poll_action().is_some() {}
            while let Some(datagram) = front.poll_output() {
                sent.push((sender, datagram));
            }
        }
        for (sender, datagram) in sent {
            let recipient = addresses.iter().position(|address| *address == datagram.destination).unwrap();
            fronts[recipient].handle_input(now, addresses[sender], &datagram.bytes);
        }
    }
    let mut written = String::new();
    for front in &mut fronts {
        let StatusReport { status, counters } = front.poll_status(moment(20_000)).unwrap();
        written.push_str(&status);
        written.push_str(&counters);
    }
    assert!(written.contains("held here since"), "{written}");
    assert_eq!(written, fixture("status.txt"));
}
