//! Joins the fleet files into one candidate fleet, or reports all errors in them.

use std::collections::BTreeMap;
use std::fmt;

use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::document::Document;
use ochrelead_config::schema;
use ochrelead_config::server_endpoint::{self, ServerEndpoint};

use crate::source_file::SourceFile;

/// Maximum number of servers in a fleet.
const MAX_SERVERS: usize = 10_000;

/// The version of one file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FileVersion {
    /// The generation of the file; each change of the file increases it.
    pub generation: u64,
    /// The generation in force that an intended return to an older generation replaces.
    pub returns_from: Option<u64>,
}

/// The contents of all files of a fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The version of each file, by its name.
    pub files: BTreeMap<String, FileVersion>,
    /// The names of servers whose removal or drain is confirmed.
    pub confirmed: Vec<String>,
    /// The servers.
    pub servers: Vec<ServerEndpoint>,
}

impl Fleet {
    /// The highest generation of the files.
    pub fn generation(&self) -> u64 {
        self.files.values().map(|version| version.generation).max().unwrap_or(0)
    }
}

/// Joins all files into one candidate. `services` are the names of the services that must each have a ready server.
///
/// # Errors
///
/// Returns a diagnostic with file, line and column for each error found.
pub fn join(files: &[SourceFile], services: &[String]) -> Result<Fleet, Vec<Diagnostic>> {
    let mut joiner =
        Joiner { services, fleet: Fleet::default(), locations: Vec::new(), diagnostics: Vec::new() };
    for file in files {
        joiner.add_file(file);
    }
    if joiner.diagnostics.is_empty() {
        joiner.check_joined_fleet(files.first().map_or("", |file| &file.name));
    }
    joiner.fleet.confirmed.sort();
    if joiner.diagnostics.is_empty() { Ok(joiner.fleet) } else { Err(joiner.diagnostics) }
}

struct Joiner<'a> {
    services: &'a [String],
    fleet: Fleet,
    /// Where each server of the fleet was first listed, as file, line and column.
    locations: Vec<String>,
    diagnostics: Vec<Diagnostic>,
}

impl Joiner<'_> {
    fn add_file(&mut self, file: &SourceFile) {
        match parse(file) {
            Ok((message, document)) => self.add_message(&file.name, &message, document),
            Err(mut diagnostics) => self.diagnostics.append(&mut diagnostics),
        }
    }

    fn add_message(&mut self, file: &str, message: &schema::Fleet, mut document: Document) {
        let version =
            FileVersion { generation: message.generation.unwrap_or(0), returns_from: message.returns_from };
        self.fleet.files.insert(file.to_owned(), version);
        self.fleet.confirmed.extend(message.confirm.iter().map(|name| name.to_ascii_lowercase()));
        let servers = server_endpoint::check_servers(&message.server, "", &mut document);
        for (index, server) in servers.into_iter().enumerate() {
            self.add_server(server, &format!("server[{index}]"), &mut document);
        }
        self.diagnostics.append(&mut document.diagnostics);
    }

    /// Adds a server to those listed before. An identical entry for the same name is ignored. A different entry for the
    /// same name, or a number or address that another server has, is an error that names both locations.
    fn add_server(&mut self, server: ServerEndpoint, path: &str, document: &mut Document) {
        for name in &server.services {
            if !self.services.contains(name) {
                let configured = self.services.join(", ");
                let message = format!("unknown service {name:?}; the configured services are: {configured}");
                document.report(&format!("{path}.service"), message);
            }
        }
        for (other, location) in self.fleet.servers.iter().zip(&self.locations) {
            if other.name == server.name {
                if *other != server {
                    let message = format!("{} is listed with different values at {location}", server.name);
                    document.report(path, message);
                }
                return;
            }
            if other.number == server.number {
                let message =
                    format!("number {} is already used by {} at {location}", server.number, other.name);
                document.report(path, message);
            }
            if other.address == server.address {
                let message =
                    format!("address {} is already used by {} at {location}", server.address, other.name);
                document.report(path, message);
            }
        }
        self.fleet.servers.push(server);
        self.locations.push(document.location(path));
    }

    /// Checks the joined fleet. Errors are reported at the start of the first file.
    fn check_joined_fleet(&mut self, file: &str) {
        let servers = &self.fleet.servers;
        let mut report = |message: &str| self.diagnostics.push(file_diagnostic(file, message));
        if servers.is_empty() {
            return report("no server listed; a fleet needs at least one");
        }
        if servers.len() > MAX_SERVERS {
            report(&format!("{} servers listed; the maximum is {MAX_SERVERS}", servers.len()));
        }
        for service in self.services {
            let serves = |server: &ServerEndpoint| {
                !server.draining && (server.services.is_empty() || server.services.contains(service))
            };
            if !servers.iter().any(serves) {
                report(&format!("service {service:?} has no ready server"));
            }
        }
    }
}

fn parse(file: &SourceFile) -> Result<(schema::Fleet, Document), Vec<Diagnostic>> {
    let file_error = |message: &str| vec![file_diagnostic(&file.name, message)];
    let text = file.text.as_ref().map_err(|error| file_error(&format!("cannot be read: {error}")))?;
    if text.trim().is_empty() {
        return Err(file_error("empty file; a fleet file has a generation, servers and an end"));
    }
    let (message, mut document) = Document::parse::<schema::Fleet>(&file.name, text, "Fleet")?;
    let generation = document.required("generation", message.generation);
    if generation == 0 && message.generation.is_some() {
        document.report("generation", "generation is 0; it must be 1 or more");
    }
    check_end(message.end, generation, &mut document);
    if message.server.iter().any(|server| server.told.is_some()) {
        document.report("server", "told is only valid in the state file of a front, not in a fleet file");
    }
    if document.diagnostics.is_empty() { Ok((message, document)) } else { Err(document.diagnostics) }
}

/// Checks that the text is complete: a file truncated at any byte lacks the `end` field or some of its digits.
fn check_end(end: Option<u64>, generation: u64, document: &mut Document) {
    match end {
        None => document
            .report("end", format!("file truncated: `end: {generation}` is missing as the last field")),
        Some(end) if end != generation => {
            let message =
                format!("file truncated or partly written: end is {end}, generation is {generation}");
            document.report("end", message);
        }
        Some(_) if !document.is_last_field("end") => document.report("end", "end is not the last field"),
        Some(_) => {}
    }
}

/// Creates a diagnostic for a whole file, located at its start.
fn file_diagnostic(file: &str, message: &str) -> Diagnostic {
    Diagnostic { file: file.to_owned(), line: 1, column: 1, message: message.to_owned() }
}

/// An unusual property of a fleet that does not lead to a rejection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetWarning {
    /// Only one server is ready; all others are draining.
    SingleReadyServer {
        /// The name of the server.
        server: String,
    },
    /// A ready server has less than a hundredth of the weight of all ready servers, and so is rarely drawn.
    NegligibleWeight {
        /// The name of the server.
        server: String,
    },
    /// A ready server has no dialled digits, so no called number selects it as the first choice.
    NoDialledDigits {
        /// The name of the server.
        server: String,
    },
    /// A ready server is confirmed for removal or drain.
    ConfirmedButReady {
        /// The name of the server.
        server: String,
    },
}

impl fmt::Display for FleetWarning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetWarning::SingleReadyServer { server } => {
                write!(f, "{server} is the only ready server")
            }
            FleetWarning::NegligibleWeight { server } => {
                write!(f, "{server} has less than a hundredth of the total weight of ready servers")
            }
            FleetWarning::NoDialledDigits { server } => {
                write!(f, "{server} has no dialled digits: no called number selects it as the first choice")
            }
            FleetWarning::ConfirmedButReady { server } => {
                write!(f, "{server} is confirmed as leaving, but it is listed as ready")
            }
        }
    }
}

/// Returns the warnings for a fleet.
pub fn warnings(fleet: &Fleet) -> Vec<FleetWarning> {
    let mut warnings = Vec::new();
    let ready: Vec<&ServerEndpoint> = fleet.servers.iter().filter(|server| !server.draining).collect();
    if let [single] = ready[..] {
        warnings.push(FleetWarning::SingleReadyServer { server: single.name.clone() });
    }
    let total_weight: f64 = ready.iter().map(|server| server.weight).sum();
    for server in &ready {
        if server.weight * 100.0 < total_weight {
            warnings.push(FleetWarning::NegligibleWeight { server: server.name.clone() });
        }
        if server.dialled.is_empty() {
            warnings.push(FleetWarning::NoDialledDigits { server: server.name.clone() });
        }
    }
    for name in &fleet.confirmed {
        if ready.iter().any(|server| server.name == *name) {
            warnings.push(FleetWarning::ConfirmedButReady { server: name.clone() });
        }
    }
    warnings
}
