//! Readings of the fleet files: adoption, delayed reports of rejections, and watching of the file system.

mod common;

use std::fs;
use std::time::{Duration, Instant};

use common::{empty_folder, fleet_text, join, moment, services, source_file};
use ochrelead_core::time::Moment;
use ochrelead_discovery::reloader::{EndpointReloader, ReloadOutcome};
use ochrelead_discovery::source_file::SourceFile;
use ochrelead_discovery::watch;

#[test]
fn reading_is_adopted_once_and_a_rejection_is_reported_once_after_a_delay() {
    let mut reloader = EndpointReloader::new(services(), None);
    let read = |reloader: &mut EndpointReloader, ms, text: &str| {
        reloader.handle_files(moment(ms), vec![source_file("a", text)])
    };
    assert!(matches!(
        read(&mut reloader, 0, &fleet_text(1, 1.0, false)),
        Some(ReloadOutcome::Adopted { generation: 1, .. })
    ));
    assert_eq!(read(&mut reloader, 10, &fleet_text(1, 1.0, false)), None, "unchanged");
    assert_eq!(read(&mut reloader, 20, &fleet_text(2, 2.0, true)), None, "partly written");
    assert!(
        matches!(read(&mut reloader, 30, &fleet_text(2, 2.0, false)), Some(ReloadOutcome::Adopted { .. })),
        "completed"
    );
    assert_eq!(reloader.poll_timeout(), None, "no pending report");
    assert_eq!(read(&mut reloader, 40, &fleet_text(3, 0.0, false)), None);
    assert_eq!(read(&mut reloader, 100, &fleet_text(3, 0.0, false)), None, "before the report delay");
    let Some(ReloadOutcome::Rejected(error)) = reloader.poll_report(moment(200)) else { panic!() };
    assert!(error.to_string().contains("weight is 0"), "{error}");
    assert_eq!(reloader.poll_report(moment(400)), None, "reported once");
    assert_eq!(reloader.handle_files(moment(500), Vec::new()), None, "the folder was removed");
    assert_eq!(reloader.in_force().generation(), 2);
    let counters = reloader.counters();
    assert_eq!((counters.adoptions, counters.refusals["unsound"]), (2, 3));
    let text = counters.to_prometheus(2, reloader.age(moment(2_030)));
    assert!(text.contains("ochrelead_fleet_refusals_total{reason=\"unsound\"} 3"), "{text}");
    assert!(text.contains("ochrelead_fleet_age_seconds 2"), "{text}");
}

#[test]
fn newer_of_file_and_persisted_fleet_is_in_force_after_a_start() {
    for (file_generation, expected) in [(11, 12), (12, 12), (13, 13)] {
        let persisted = join(&[source_file("a", &fleet_text(12, 1.0, false))]).unwrap();
        let mut reloader = EndpointReloader::new(services(), Some(persisted));
        reloader.handle_files(
            moment(0),
            vec![source_file(
                "a",
                &fleet_text(file_generation, if file_generation == 12 { 1.0 } else { 3.0 }, false),
            )],
        );
        assert_eq!(reloader.in_force().generation(), expected, "file {file_generation}");
    }
}

/// Handles readings until the reloader adopts this generation. Returns false after 10 s without it.
fn is_adopted(
    reloader: &mut EndpointReloader,
    readings: &async_channel::Receiver<Vec<SourceFile>>,
    generation: u64,
) -> bool {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(10) {
        if reloader.in_force().generation() == generation {
            return true;
        }
        match readings.try_recv() {
            Ok(files) => {
                let now = Moment::from_micros(started.elapsed().as_micros() as u64);
                drop(reloader.handle_files(now, files));
            }
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
    }
    false
}

#[test]
fn changes_by_all_ways_of_writing_are_adopted() {
    let folder = empty_folder("watched");
    let watched = folder.join("current");
    fs::create_dir(&watched).unwrap();
    let file = watched.join("a.textproto");
    fs::write(&file, fleet_text(1, 1.0, false)).unwrap();
    let readings = watch::start(watched.clone()).unwrap();
    let mut reloader = EndpointReloader::new(services(), None);
    assert!(is_adopted(&mut reloader, &readings, 1));
    fs::write(&file, fleet_text(2, 1.0, false)).unwrap();
    assert!(is_adopted(&mut reloader, &readings, 2), "written in place");
    fs::write(watched.join(".a.next"), fleet_text(3, 1.0, false)).unwrap();
    fs::rename(watched.join(".a.next"), &file).unwrap();
    assert!(is_adopted(&mut reloader, &readings, 3), "written to another file and renamed");
    fs::remove_file(&file).unwrap();
    std::thread::sleep(Duration::from_millis(20));
    fs::write(&file, fleet_text(4, 1.0, false)).unwrap();
    assert!(is_adopted(&mut reloader, &readings, 4), "file deleted and created again");
    fs::write(&file, fleet_text(5, 1.0, true)).unwrap();
    std::thread::sleep(Duration::from_millis(20));
    fs::write(&file, fleet_text(5, 1.0, false)).unwrap();
    assert!(is_adopted(&mut reloader, &readings, 5), "partly written and completed later");
    fs::remove_dir_all(&watched).unwrap();
    std::thread::sleep(Duration::from_millis(150));
    fs::create_dir(&watched).unwrap();
    fs::write(&file, fleet_text(6, 1.0, false)).unwrap();
    assert!(is_adopted(&mut reloader, &readings, 6), "folder deleted and created again");
    let other = folder.join("other");
    fs::create_dir(&other).unwrap();
    fs::write(other.join("a.textproto"), fleet_text(7, 1.0, false)).unwrap();
    fs::rename(&watched, folder.join("former")).unwrap();
    std::os::unix::fs::symlink(&other, &watched).unwrap();
    assert!(is_adopted(&mut reloader, &readings, 7), "folder replaced by a symbolic link");
    for generation in 8..60 {
        fs::write(&file, fleet_text(generation, 1.0, generation % 3 == 0)).unwrap();
    }
    assert!(is_adopted(&mut reloader, &readings, 59), "burst of writes, one in three truncated");
    // A modification time in the past, as after a clock step, does not prevent adoption.
    fs::write(&file, fleet_text(60, 1.0, false)).unwrap();
    let old = fs::File::options().write(true).open(&file).unwrap();
    old.set_modified(std::time::SystemTime::UNIX_EPOCH + Duration::from_secs(9)).unwrap();
    assert!(is_adopted(&mut reloader, &readings, 60));
}
