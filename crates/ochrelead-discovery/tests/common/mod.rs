//! Helpers for several test files.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::time::Moment;
use ochrelead_discovery::fleet::{self, FileVersion, Fleet};
use ochrelead_discovery::source_file::SourceFile;

/// The services that must each have a server in a fleet.
pub(crate) fn services() -> Vec<String> {
    vec!["check".to_owned(), "set".to_owned()]
}

pub(crate) fn source_file(name: &str, text: &str) -> SourceFile {
    SourceFile { name: name.to_owned(), text: Ok(text.to_owned()) }
}

/// Joins files to a fleet; errors are returned with one diagnostic on each line.
pub(crate) fn join(files: &[SourceFile]) -> Result<Fleet, String> {
    let in_lines =
        |diagnostics: Vec<_>| diagnostics.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n");
    fleet::join(files, &services()).map_err(in_lines)
}

pub(crate) fn moment(ms: u64) -> Moment {
    Moment::from_micros(1_000_000_000 + ms * 1_000)
}

pub(crate) fn endpoint(name: &str, port: u16) -> ServerEndpoint {
    ServerEndpoint {
        name: name.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        number: i64::from(port),
        dialled: String::new(),
        trunk: "trunk".to_owned(),
        lines: 0,
        services: Vec::new(),
        started: None,
        draining: false,
        weight: 1.0,
    }
}

/// A fleet of one file.
pub(crate) fn fleet_of(generation: u64, servers: &[ServerEndpoint]) -> Fleet {
    let files = BTreeMap::from([("a".to_owned(), FileVersion { generation, returns_from: None })]);
    Fleet { files, confirmed: Vec::new(), servers: servers.to_vec() }
}

pub(crate) fn four_servers() -> Vec<ServerEndpoint> {
    (1..=4).map(|port| endpoint(&format!("s{port}"), port)).collect()
}

/// The text of a fleet file with two servers; a truncated one lacks the `end` field.
pub(crate) fn fleet_text(generation: u64, weight: f64, is_truncated: bool) -> String {
    let server = |index: u64| {
        format!(
            "server {{ name: \"s{index}\" address: \"127.0.0.1:{}\" number: {index} weight: {weight} }}\n",
            10 + index
        )
    };
    let end = if is_truncated { String::new() } else { format!("end: {generation}\n") };
    format!("generation: {generation}\n{}{}{end}", server(0), server(1))
}

/// Creates an empty folder for one test.
pub(crate) fn empty_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    folder
}
