//! From readings of the files to what is in force.

mod common;

use std::fs;
use std::time::{Duration, Instant};

use common::{empty_folder, fleet_text, join, moment, services, source_file};
use ochrelead_core::time::Moment;
use ochrelead_discovery::reloader::{EndpointReloader, ReloadOutcome};
use ochrelead_discovery::source_file::SourceFile;
use ochrelead_discovery::watch;

#[test]
fn a_reading_is_adopted_once_and_a_broken_one_told_once_it_stands() {
    let mut reloader = EndpointReloader::new(services(), None);
    let read = |reloader: &mut EndpointReloader, ms, text: &str| {
        reloader.handle_files(moment(ms), vec![source_file("a", text)])
    };
    assert!(matches!(
        read(&mut reloader, 0, &fleet_text(1, 1.0, false)),
        Some(ReloadOutcome::Adopted { generation: 1, .. })
    ));
    assert_eq!(read(&mut reloader, 10, &fleet_text(1, 1.0, false)), None, "nothing new");
    assert_eq!(read(&mut reloader, 20, &fleet_text(2, 2.0, true)), None, "half written");
    assert!(
        matches!(read(&mut reloader, 30, &fleet_text(2, 2.0, false)), Some(ReloadOutcome::Adopted { .. })),
        "finished"
    );
    assert_eq!(reloader.poll_timeout(), None, "nothing to tell");
    assert_eq!(read(&mut reloader, 40, &fleet_text(3, 0.0, false)), None);
    assert_eq!(read(&mut reloader, 100, &fleet_text(3, 0.0, false)), None, "not yet");
    let Some(ReloadOutcome::Rejected(error)) = reloader.poll_report(moment(200)) else { panic!() };
    assert!(error.to_string().contains("weight is 0"), "{error}");
    assert_eq!(reloader.poll_report(moment(400)), None, "told once");
    assert_eq!(reloader.handle_files(moment(500), Vec::new()), None, "the folder is gone");
    assert_eq!(reloader.in_force().generation(), 2);
    let counters = reloader.counters();
    assert_eq!((counters.adoptions, counters.refusals["unsound"]), (2, 3));
    let text = counters.to_prometheus(2, reloader.age(moment(2_030)));
    assert!(text.contains("ochrelead_fleet_refusals_total{reason=\"unsound\"} 3"), "{text}");
    assert!(text.contains("ochrelead_fleet_age_seconds 2"), "{text}");
}

#[test]
fn a_start_takes_the_newer_of_file_and_store() {
    for (file, generation) in [(11, 12), (12, 12), (13, 13)] {
        let persisted = join(&[source_file("a", &fleet_text(12, 1.0, false))]).unwrap();
        let mut reloader = EndpointReloader::new(services(), Some(persisted));
        reloader.handle_files(
            moment(0),
            vec![source_file("a", &fleet_text(file, if file == 12 { 1.0 } else { 3.0 }, false))],
        );
        assert_eq!(reloader.in_force().generation(), generation, "file {file}");
    }
}

/// Waits for the reading that a reloader adopts as this generation.
fn adopted(
    reloader: &mut EndpointReloader,
    readings: &async_channel::Receiver<Vec<SourceFile>>,
    generation: u64,
) -> bool {
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(10) {
        if reloader.in_force().generation() == generation {
            return true;
        }
        match readings.try_recv() {
            Ok(files) => {
                let now = Moment::from_micros(begun.elapsed().as_micros() as u64);
                drop(reloader.handle_files(now, files));
            }
            Err(_) => std::thread::sleep(Duration::from_millis(1)),
        }
    }
    false
}

#[test]
fn all_ways_of_writing_reach_the_keeper() {
    let folder = empty_folder("watched");
    let watched = folder.join("current");
    fs::create_dir(&watched).unwrap();
    let file = watched.join("a.textproto");
    fs::write(&file, fleet_text(1, 1.0, false)).unwrap();
    let readings = watch::start(watched.clone()).unwrap();
    let mut reloader = EndpointReloader::new(services(), None);
    assert!(adopted(&mut reloader, &readings, 1));
    fs::write(&file, fleet_text(2, 1.0, false)).unwrap();
    assert!(adopted(&mut reloader, &readings, 2), "in place");
    fs::write(watched.join(".a.next"), fleet_text(3, 1.0, false)).unwrap();
    fs::rename(watched.join(".a.next"), &file).unwrap();
    assert!(adopted(&mut reloader, &readings, 3), "written beside and renamed");
    fs::remove_file(&file).unwrap();
    std::thread::sleep(Duration::from_millis(20));
    fs::write(&file, fleet_text(4, 1.0, false)).unwrap();
    assert!(adopted(&mut reloader, &readings, 4), "deleted and made again");
    fs::write(&file, fleet_text(5, 1.0, true)).unwrap();
    std::thread::sleep(Duration::from_millis(20));
    fs::write(&file, fleet_text(5, 1.0, false)).unwrap();
    assert!(adopted(&mut reloader, &readings, 5), "half written and finished later");
    fs::remove_dir_all(&watched).unwrap();
    std::thread::sleep(Duration::from_millis(150));
    fs::create_dir(&watched).unwrap();
    fs::write(&file, fleet_text(6, 1.0, false)).unwrap();
    assert!(adopted(&mut reloader, &readings, 6), "the folder deleted and made again");
    let other = folder.join("other");
    fs::create_dir(&other).unwrap();
    fs::write(other.join("a.textproto"), fleet_text(7, 1.0, false)).unwrap();
    fs::rename(&watched, folder.join("former")).unwrap();
    std::os::unix::fs::symlink(&other, &watched).unwrap();
    assert!(adopted(&mut reloader, &readings, 7), "a link in place of the folder");
    for generation in 8..60 {
        fs::write(&file, fleet_text(generation, 1.0, generation % 3 == 0)).unwrap();
    }
    assert!(adopted(&mut reloader, &readings, 59), "a burst, one in three broken");
    // The clock steps back between two writes: times of files are not looked at.
    fs::write(&file, fleet_text(60, 1.0, false)).unwrap();
    let old = fs::File::options().write(true).open(&file).unwrap();
    old.set_modified(std::time::SystemTime::UNIX_EPOCH + Duration::from_secs(9)).unwrap();
    assert!(adopted(&mut reloader, &readings, 60));
}
