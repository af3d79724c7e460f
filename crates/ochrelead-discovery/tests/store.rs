//! Saving and loading of endpoints, also after a crash at any step of a save.

mod common;

use std::collections::BTreeMap;
use std::fs;
use std::io;

use common::{empty_folder, endpoint, moment};
use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_discovery::persistence::{FileGeneration, PersistedEndpoints, RestoreError};
use ochrelead_discovery::server_table::{ListedServer, SelfReport};
use ochrelead_discovery::store::{self, LoadedEndpoints};
use ochrelead_host::state_folder::{Disk, Durability, StateFolder};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn endpoints(generation: u64) -> PersistedEndpoints {
    let draining = ServerEndpoint {
        started: Some(moment(3)),
        lines: 7,
        services: vec!["check".to_owned()],
        ..endpoint("s0", 1)
    };
    let servers = vec![
        ListedServer { endpoint: draining, self_report: SelfReport::Draining },
        ListedServer { endpoint: endpoint("s1", 2), self_report: SelfReport::None },
    ];
    PersistedEndpoints { files: vec![FileGeneration { name: "a".to_owned(), generation }], servers }
}

#[test]
fn encoded_endpoints_round_trip_and_any_flipped_bit_or_newer_version_is_rejected() {
    let text = endpoints(5).encode();
    assert_eq!(PersistedEndpoints::decode("kept", &text), Ok(endpoints(5)));
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] ^= 1;
        let decoded = PersistedEndpoints::decode("kept", &String::from_utf8_lossy(&bytes));
        assert!(decoded.is_err(), "byte {index}");
    }
    let newer = text.replacen("kept 1", "kept 2", 1);
    let error = PersistedEndpoints::decode("kept", &newer).unwrap_err();
    assert!(matches!(error, RestoreError::UnknownHeader(_)), "{error:?}");
    assert!(error.to_string().contains("unknown kind or version: header is 'ochrelead kept 2"), "{error}");
}

/// An in-memory disk that fails after a number of steps, as a crash would. A write that fails leaves a torn file.
struct CrashingDisk {
    files: BTreeMap<String, Vec<u8>>,
    steps_left: u32,
    rng: Pcg64Mcg,
}

impl CrashingDisk {
    fn step(&mut self) -> io::Result<()> {
        self.steps_left =
            self.steps_left.checked_sub(1).ok_or_else(|| io::Error::other("simulated crash"))?;
        Ok(())
    }
}

impl Disk for CrashingDisk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files.get(name).cloned())
    }

    fn write(&mut self, name: &str, contents: &[u8], _: Durability) -> io::Result<()> {
        let torn_length = self.rng.random_range(0..contents.len());
        self.files.insert(name.to_owned(), contents[..torn_length].to_owned());
        self.step()?;
        self.files.insert(name.to_owned(), contents.to_owned());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.step()?;
        let contents = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        self.files.insert(to.to_owned(), contents);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.step()
    }
}

#[test]
fn old_or_new_endpoints_are_loaded_after_each_of_two_hundred_interrupted_saves() {
    let mut disk =
        CrashingDisk { files: BTreeMap::new(), steps_left: u32::MAX, rng: Pcg64Mcg::seed_from_u64(4) };
    store::save(&mut disk, &endpoints(1)).unwrap();
    let mut previous = 1;
    for generation in 2..202 {
        disk.steps_left = disk.rng.random_range(0..5);
        let was_saved = store::save(&mut disk, &endpoints(generation)).is_ok();
        let loaded = store::load(&disk).unwrap();
        let loaded_generation = loaded.endpoints.expect("endpoints can be loaded").files[0].generation;
        assert!(
            loaded_generation == previous || loaded_generation == generation,
            "{loaded_generation} after {previous}"
        );
        assert!(!was_saved || loaded_generation == generation, "a successful save is loaded");
        previous = loaded_generation;
    }
}

#[test]
fn corrupt_current_file_is_reported_and_does_not_replace_the_previous_one() {
    let mut disk =
        CrashingDisk { files: BTreeMap::new(), steps_left: u32::MAX, rng: Pcg64Mcg::seed_from_u64(4) };
    store::save(&mut disk, &endpoints(1)).unwrap();
    store::save(&mut disk, &endpoints(2)).unwrap();
    disk.files.insert("kept".to_owned(), b"foreign".to_vec());
    let loaded = store::load(&disk).unwrap();
    assert_eq!((loaded.endpoints, loaded.rejected.len()), (Some(endpoints(1)), 1));
    disk.steps_left = 1;
    assert!(store::save(&mut disk, &endpoints(3)).is_err());
    assert_eq!(store::load(&disk).unwrap().endpoints, Some(endpoints(1)));
}

#[test]
fn state_folder_loads_the_latest_complete_save() {
    let path = empty_folder("kept");
    let mut disk = StateFolder::open(&path).unwrap();
    assert_eq!(store::load(&disk).unwrap(), LoadedEndpoints { endpoints: None, rejected: vec![] });
    store::save(&mut disk, &endpoints(1)).unwrap();
    store::save(&mut disk, &endpoints(2)).unwrap();
    assert_eq!(store::load(&disk).unwrap().endpoints, Some(endpoints(2)));
    fs::write(path.join("kept"), "torn").unwrap();
    assert_eq!(store::load(&disk).unwrap().endpoints, Some(endpoints(1)));
}
