//! The text format in which a front persists the endpoints in force and the reports of their servers about themselves.
//!
//! The header line contains the kind of file, its version and the CRC-32 checksum of the body. The body is a message in
//! protobuf text format.

use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::document::{Document, to_text};
use ochrelead_config::schema;
use ochrelead_config::server_endpoint::{self, ServerEndpoint};
use ochrelead_core::time::Moment;
use thiserror::Error;

use crate::fleet::{FileVersion, Fleet};
use crate::join_diagnostics;
use crate::server_table::{ListedServer, SelfReport};

/// Kind and version of the file; the checksum follows on the same line.
const HEADER: &str = "ochrelead kept 1";
/// Name of the stored message in the schemas.
const MESSAGE_NAME: &str = "Kept";
/// Stored value of [`SelfReport::Draining`].
const DRAINING: &str = "drains";
/// Stored value of [`SelfReport::Gone`].
const GONE: &str = "gone";

/// Why stored text cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum RestoreError {
    /// The text has no complete header line.
    #[error("truncated: no complete header line")]
    NoHeader,
    /// The header line, given here, is of another kind or version.
    #[error("unknown kind or version: header is '{0:.40}', expected '{HEADER}' and a checksum")]
    UnknownHeader(String),
    /// The checksum in the header does not match the body.
    #[error("truncated or corrupt: the checksum in the header does not match the body")]
    ChecksumMismatch,
    /// The body is not a valid list.
    #[error("{}", join_diagnostics(.0))]
    Invalid(Vec<Diagnostic>),
}

/// The generation of a file in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FileGeneration {
    /// The name of the file.
    pub name: String,
    /// The generation of the file.
    pub generation: u64,
}

/// The endpoints in force, in the form that is stored.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistedEndpoints {
    /// The generations of the files; empty if the list did not come from files.
    pub files: Vec<FileGeneration>,
    /// The listed servers, each with its own last report.
    pub servers: Vec<ListedServer>,
}

impl PersistedEndpoints {
    /// The fleet that was in force. `None` if the list did not come from files.
    pub fn fleet(&self) -> Option<Fleet> {
        let version = |file: &FileGeneration| FileVersion { generation: file.generation, returns_from: None };
        let files = self.files.iter().map(|file| (file.name.clone(), version(file))).collect();
        let servers = self.servers.iter().map(|server| server.endpoint.clone()).collect();
        (!self.files.is_empty()).then_some(Fleet { files, confirmed: Vec::new(), servers })
    }

    /// Encodes the header line with the checksum, and the body.
    pub fn encode(&self) -> String {
        let message = schema::Kept {
            file: self.files.iter().map(encode_file).collect(),
            server: self.servers.iter().map(encode_server).collect(),
        };
        let body = to_text(&message, MESSAGE_NAME);
        format!("{HEADER} {:08x}\n{body}", crc32fast::hash(body.as_bytes()))
    }

    /// Decodes the text of [`PersistedEndpoints::encode`]. `file` is the name of the file, for diagnostics.
    ///
    /// # Errors
    ///
    /// If the text is truncated or corrupt, of another kind or version, or not a valid list.
    pub fn decode(file: &str, text: &str) -> Result<PersistedEndpoints, RestoreError> {
        let (header, body) = text.split_once('\n').ok_or(RestoreError::NoHeader)?;
        let checksum =
            header.strip_prefix(HEADER).ok_or_else(|| RestoreError::UnknownHeader(header.to_owned()))?;
        if u32::from_str_radix(checksum.trim(), 16) != Ok(crc32fast::hash(body.as_bytes())) {
            return Err(RestoreError::ChecksumMismatch);
        }
        let (message, mut document) =
            Document::parse::<schema::Kept>(file, body, MESSAGE_NAME).map_err(RestoreError::Invalid)?;
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
