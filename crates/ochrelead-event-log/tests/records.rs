//! Written logs are read back, also with truncated files, flipped bits, newer schema versions, and a full queue.

use std::fs;
use std::path::{Path, PathBuf};

use ochrelead_event_log::follower::Follower;
use ochrelead_event_log::frame;
use ochrelead_event_log::reader::{Record, read_all};
use ochrelead_event_log::schema::{Event, Head, Told, event::What};
use ochrelead_event_log::writer::{Bounds, Recorder};
use prost::Message;
use test_case::test_case;

fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn server_report(sequence: u64) -> What {
    What::Told(Told { server: format!("s{sequence}"), what: "drains".to_owned() })
}

fn write(folder: &Path, started: u64, events: u64, bounds: Bounds) {
    let mut recorder = Recorder::start(folder, "f1", started, bounds, |error| panic!("{error}")).unwrap();
    (0..events).for_each(|sequence| recorder.record(started + sequence, server_report(sequence)));
}

fn read(folder: &Path) -> Vec<Record> {
    let mut records = Vec::new();
    read_all(&[folder.to_owned()], |record| records.push(record)).unwrap();
    records
}

fn segments(folder: &Path) -> Vec<PathBuf> {
    let mut files: Vec<PathBuf> = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    files
}

#[test]
fn two_incarnations_are_read_in_order() {
    let folder = folder("lives");
    write(&folder, 1_000, 50, Bounds::default());
    write(&folder, 2_000, 50, Bounds::default());
    let records = read(&folder);
    assert_eq!(records.len(), 100);
    assert!(records.windows(2).all(|two| two[0].event.at_us < two[1].event.at_us));
    assert_eq!(records[99].incarnation.started_us, 2_000);
}

#[test]
fn log_size_is_bounded_and_the_oldest_segments_are_deleted() {
    let folder = folder("bounded");
    let bounds = Bounds { max_segment_bytes: 2_000, max_total_bytes: 10_000, ..Bounds::default() };
    for start in 1..=20 {
        write(&folder, start * 1_000, 200, bounds);
    }
    let size: u64 = segments(&folder).iter().map(|file| file.metadata().unwrap().len()).sum();
    // A batch is written to one segment, so that each segment can exceed its limit by one batch.
    assert!(size < 10_000 + 2 * 6_000, "{size}");
    let records = read(&folder);
    assert_eq!(records.last().unwrap().event.at_us, 20_199, "the newest event is kept");
    assert!(
        records[0].incarnation.started_us > 10_000,
        "the segments of the oldest incarnations are deleted"
    );
}

#[test]
fn truncation_at_any_byte_loses_only_incomplete_frames() {
    let folder = folder("torn");
    write(&folder, 1_000, 5, Bounds::default());
    let file = segments(&folder).remove(0);
    let original = fs::read(&file).unwrap();
    let mut frame_ends = Vec::new();
    let mut frames = frame::Frames::new(&original);
    while frames.next().is_some() {
        frame_ends.push(frames.position());
    }
    for length in 0..original.len() {
        fs::write(&file, &original[..length]).unwrap();
        let expected = frame_ends.iter().filter(|end| **end <= length).count().saturating_sub(1);
        assert_eq!(read(&folder).len(), expected, "truncated to {length} bytes");
    }
}

#[test]
fn flipped_bit_is_detected_and_earlier_events_are_read() {
    let folder = folder("flipped");
    write(&folder, 1_000, 5, Bounds::default());
    let file = segments(&folder).remove(0);
    let original = fs::read(&file).unwrap();
    for position in 0..original.len() {
        let mut bytes = original.clone();
        bytes[position] ^= 4;
        fs::write(&file, &bytes).unwrap();
        let records = read(&folder);
        assert!(records.len() < 5, "bit flipped in byte {position}");
        assert!(
            records
                .iter()
                .enumerate()
                .all(|(sequence, record)| record.event.what == Some(server_report(sequence as u64)))
        );
    }
}

/// Reads a segment of a future schema version with two events: one of a known kind that has a new field, and one of an
/// unknown kind.
#[test]
fn events_of_a_newer_version_are_read_as_far_as_known() {
    let folder = folder("newer");
    let head = Head { version: 9, front: "f9".to_owned(), started_us: 5, segment: 0 };
    let mut bytes = Vec::new();
    frame::append(&mut bytes, &head.encode_to_vec());
    let mut known = Event { at_us: 7, nth: 0, what: Some(server_report(0)) }.encode_to_vec();
    // A varint in field 900, whose key is 0xA0 0x38.
    known.extend([0xA0, 0x38, 0x05]);
    frame::append(&mut bytes, &known);
    let mut unknown = Event { at_us: 8, nth: 1, what: None }.encode_to_vec();
    unknown.extend([0xAA, 0x38, 0x01, 0x00]);
    frame::append(&mut bytes, &unknown);
    fs::write(folder.join("f9-0000000000000005-000000.records"), bytes).unwrap();
    let mut records = Vec::new();
    let damage = read_all(&[folder], |record| records.push(record)).unwrap();
    assert_eq!(records[0].event.what, Some(server_report(0)));
    assert_eq!((records[0].unknown_fields, records[1].unknown_fields), (1, 1));
    assert_eq!((damage.newer.len(), damage.unknown_events), (1, 1));
}

#[test]
fn foreign_file_is_reported() {
    let folder = folder("foreign");
    let mut bytes = Vec::new();
    frame::append(&mut bytes, b"");
    fs::write(folder.join("x.records"), bytes).unwrap();
    let damage = read_all(&[folder], |_| panic!()).unwrap();
    assert_eq!(damage.foreign, ["x.records"]);
}

#[test_case(4; "queue too short")]
#[test_case(100_000; "queue long enough")]
fn lost_events_are_counted_and_recorded(max_queued_events: usize) {
    let folder = folder(&format!("queue{max_queued_events}"));
    let bounds = Bounds { max_queued_events, ..Bounds::default() };
    let mut recorder = Recorder::start(&folder, "f1", 1, bounds, |error| panic!("{error}")).unwrap();
    for sequence in 0..50_000 {
        recorder.record(sequence, server_report(sequence));
    }
    // Gives the writer thread time to empty the queue, so that the next call records the number of lost events.
    std::thread::sleep(std::time::Duration::from_millis(300));
    recorder.record(60_000, server_report(1));
    assert_eq!(recorder.unrecorded_losses(), 0);
    drop(recorder);
    let records = read(&folder);
    let lost: u64 =
        records.iter().map(|r| if let Some(What::Lost(lost)) = r.event.what { lost } else { 0 }).sum();
    let written = records.iter().filter(|r| matches!(r.event.what, Some(What::Told(_)))).count() as u64;
    assert_eq!(lost + written, 50_001);
    assert_eq!(lost > 0, max_queued_events == 4);
}

#[test]
fn growing_log_is_followed_through_a_restart() {
    let folder = folder("growing");
    let mut follower = Follower::new(&folder);
    let mut total_records = 0;
    let mut follow = |follower: &mut Follower| {
        while follower.read_new(|_| total_records += 1).unwrap() {}
        total_records
    };
    assert_eq!(follow(&mut follower), 0);
    write(&folder, 1_000, 30, Bounds::default());
    assert_eq!(follow(&mut follower), 30);
    write(&folder, 2_000, 40_000, Bounds { max_segment_bytes: 100_000, ..Bounds::default() });
    assert_eq!(follow(&mut follower), 40_030);
    assert_eq!(follow(&mut follower), 40_030);
}
