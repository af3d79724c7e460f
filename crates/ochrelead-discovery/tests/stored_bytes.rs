//! Compatibility with earlier versions: a stored state folder, status and metrics text are read, and written again byte
//! for byte.

use std::fs;
use std::path::{Path, PathBuf};

use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::time::{Moment, Span};
use ochrelead_discovery::counters::Counters;
use ochrelead_discovery::persistence::{FileGeneration, PersistedEndpoints};
use ochrelead_discovery::server_table::{ListedServer, SelfReport, ServerTable};
use ochrelead_discovery::store::{self, LoadedEndpoints};
use ochrelead_host::state_folder::StateFolder;

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn endpoint(number: u16) -> ServerEndpoint {
    ServerEndpoint {
        name: format!("s{number}"),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        number: i64::from(number),
        dialled: format!("0{number}"),
        trunk: "trunk".to_owned(),
        lines: 100,
        services: vec!["check".to_owned(), "set".to_owned()],
        started: (number > 0).then(|| Moment::from_micros(1_700_000_000_000_000)),
        draining: number == 3,
        weight: 2.5,
    }
}

fn servers() -> Vec<ListedServer> {
    let self_reports = [SelfReport::None, SelfReport::Draining, SelfReport::Gone, SelfReport::None];
    let server = |(number, self_report)| ListedServer { endpoint: endpoint(number as u16), self_report };
    self_reports.into_iter().enumerate().map(server).collect()
}

fn persisted_endpoints(generation: u64) -> PersistedEndpoints {
    let file = FileGeneration { name: "fleet.d/a.textproto".to_owned(), generation };
    PersistedEndpoints { files: vec![file], servers: servers() }
}

/// Asserts that a file in `folder` equals the fixture of the same name.
fn assert_equals_fixture(folder: &Path, name: &str) {
    let written = fs::read(folder.join(name)).unwrap();
    let stored = fixtures().join(name);
    let (written, stored) = (String::from_utf8(written).unwrap(), fs::read_to_string(stored).unwrap());
    assert_eq!(written, stored, "{name}");
}

#[test]
fn state_folder_is_written_as_by_an_earlier_version() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stored_state");
    let _ = fs::remove_dir_all(&path);
    let mut folder = StateFolder::open(&path).unwrap();
    store::save(&mut folder, &persisted_endpoints(12)).unwrap();
    store::save(&mut folder, &persisted_endpoints(13)).unwrap();
    assert_equals_fixture(&path, "kept");
    assert_equals_fixture(&path, "kept.former");
    assert!(!path.join("kept.next").exists());
}

#[test]
fn state_folder_of_an_earlier_version_is_loaded() {
    let loaded = store::load(&StateFolder::open(&fixtures()).unwrap()).unwrap();
    assert_eq!(loaded, LoadedEndpoints { endpoints: Some(persisted_endpoints(13)), rejected: Vec::new() });
    let previous = fs::read_to_string(fixtures().join("kept.former")).unwrap();
    assert_eq!(PersistedEndpoints::decode("kept.former", &previous), Ok(persisted_endpoints(12)));
}

#[test]
fn status_and_metrics_text_equal_those_of_an_earlier_version() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("stored_text");
    fs::create_dir_all(&path).unwrap();
    let mut table = ServerTable::default();
    let endpoints: Vec<ServerEndpoint> = servers().into_iter().map(|server| server.endpoint).collect();
    table.replace_list(&endpoints, Moment::from_micros(1_700_000_000_000_000));
    table.restore_self_reports(&servers());
    table.replace_list(&endpoints[1..], Moment::from_micros(1_700_000_001_000_000));
    fs::write(path.join("status.txt"), table.status().join("\n") + "\n").unwrap();
    assert_equals_fixture(&path, "status.txt");
    let counters = Counters {
        readings: 9,
        adoptions: 4,
        changes: [("added", 3), ("moved", 2)].into(),
        refusals: [("torn", 1)].into(),
    };
    // The order of the lines of one metric family is not defined.
    let sorted = |text: &str| {
        let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
        lines.sort();
        lines
    };
    let stored = fs::read_to_string(fixtures().join("counters.prom")).unwrap();
    assert_eq!(sorted(&counters.to_prometheus(13, Some(Span::from_secs(7)))), sorted(&stored));
}
