//! What survives a restart, as text: the endpoints in force and what their servers reported of themselves.
//!
//! The first line says what the file is, its version, and the CRC-32 checksum of all that follows; a message in
//! protobuf text format follows.

use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::document::{Document, to_text};
use ochrelead_config::schema;
use ochrelead_config::server_endpoint::{self, ServerEndpoint};
use ochrelead_core::time::Moment;
use thiserror::Error;

use crate::fleet::{FileVersion, Fleet};
use crate::in_one_line;
use crate::server_table::{ListedServer, SelfReport};

/// What the file is, and its version; the checksum follows in the same line.
const HEADER: &str = "ochrelead kept 1";
/// The message of the schemas that is stored.
const MESSAGE: &str = "Kept";
/// How a report of a drain is stored.
const DRAINING: &str = "drains";
/// How a report of a server's end is stored.
const GONE: &str = "gone";

/// Why stored text can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum RestoreError {
    /// It has not even one whole line.
    #[error("torn: no first line")]
    NoHeader,
    /// Its first line, given here, is of another kind or version.
    #[error("no file of this kind and version: {0:.40}")]
    UnknownHeader(String),
    /// The checksum does not match.
    #[error("torn: its checksum does not fit")]
    ChecksumMismatch,
    /// It holds no valid list.
    #[error("{}", in_one_line(.0))]
    Invalid(Vec<Diagnostic>),
}

/// The generation of a file in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileGeneration {
    /// The name of the file.
    pub name: String,
    /// Its generation.
    pub generation: u64,
}

/// The endpoints in force, as stored.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistedEndpoints {
    /// The generations of the files; none where the list did not come from files.
    pub files: Vec<FileGeneration>,
    /// The servers, with what they reported of themselves.
    pub servers: Vec<ListedServer>,
}

impl PersistedEndpoints {
    /// The fleet that was in force; none where the list did not come from files.
    pub fn fleet(&self) -> Option<Fleet> {
        let version = |file: &FileGeneration| FileVersion { generation: file.generation, returns_from: None };
        let files = self.files.iter().map(|file| (file.name.clone(), version(file))).collect();
        let servers = self.servers.iter().map(|server| server.endpoint.clone()).collect();
        (!self.files.is_empty()).then_some(Fleet { files, confirmed: Vec::new(), servers })
    }

    /// The text to store, checksum and all.
    pub fn encode(&self) -> String {
        let message = schema::Kept {
            file: self.files.iter().map(encode_file).collect(),
            server: self.servers.iter().map(encode_server).collect(),
        };
        let body = to_text(&message, MESSAGE);
        format!("{HEADER} {:08x}\n{body}", crc32fast::hash(body.as_bytes()))
    }

    /// Reads what [`PersistedEndpoints::encode`] wrote. `file`: the name of the file, for diagnostics.
    ///
    /// # Errors
    ///
    /// Where the text is torn, of another kind or version, or no valid list.
    pub fn decode(file: &str, text: &str) -> Result<PersistedEndpoints, RestoreError> {
        let (header, body) = text.split_once('\n').ok_or(RestoreError::NoHeader)?;
        let checksum =
            header.strip_prefix(HEADER).ok_or_else(|| RestoreError::UnknownHeader(header.to_owned()))?;
        if u32::from_str_radix(checksum.trim(), 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err(RestoreError::ChecksumMismatch);
        }
        let (message, mut document) =
            Document::parse::<schema::Kept>(file, body, MESSAGE).map_err(RestoreError::Invalid)?;
        let endpoints = server_endpoint::check_servers(&message.server, "", &mut document);
        let self_reports = message.server.iter().map(decode_self_report);
        let servers = endpoints
            .into_iter()
            .zip(self_reports)
            .map(|(endpoint, self_report)| ListedServer { endpoint, self_report })
            .collect();
        let files = message.file.into_iter().map(decode_file).collect();
        document.finish(PersistedEndpoints { files, servers }).map_err(RestoreError::Invalid)
    }
}

fn encode_file(file: &FileGeneration) -> schema::KeptFile {
    schema::KeptFile { name: Some(file.name.clone()), generation: Some(file.generation) }
}

fn decode_file(file: schema::KeptFile) -> FileGeneration {
    FileGeneration { name: file.name.unwrap_or_default(), generation: file.generation.unwrap_or(0) }
}

fn encode_server(server: &ListedServer) -> schema::Server {
    let ServerEndpoint { name, address, number, dialled, trunk, lines, services, started, draining, weight } =
        server.endpoint.clone();
    schema::Server {
        name: Some(name),
        address: Some(address.to_string()),
        number: Some(number as u32),
        dialled: Some(dialled),
        started_us: started.map(Moment::micros),
        draining: Some(draining),
        weight: Some(weight),
        trunk: Some(trunk),
        lines: Some(lines),
        service: services,
        told: encode_self_report(server.self_report).map(str::to_owned),
    }
}

fn encode_self_report(self_report: SelfReport) -> Option<&'static str> {
    match self_report {
        SelfReport::None => None,
        SelfReport::Draining => Some(DRAINING),
        SelfReport::Gone => Some(GONE),
    }
}

fn decode_self_report(server: &schema::Server) -> SelfReport {
    match server.told.as_deref() {
        Some(DRAINING) => SelfReport::Draining,
        Some(GONE) => SelfReport::Gone,
        _ => SelfReport::None,
    }
}
