//! The signalling servers as they are listed.

use std::net::SocketAddr;

use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::Endpoint;

use crate::digits::{is_digits, overlap};
use crate::document::Document;
use crate::fields::Fields;
use crate::schema;

/// The first term of a trunk group's endpoint names by default.
const DEFAULT_TRUNK: &str = "trunk";

/// The least weight that a server may have.
pub const MIN_WEIGHT: f64 = 0.001;
/// The greatest weight that a server may have.
pub const MAX_WEIGHT: f64 = 1_000.0;

/// A signalling server as it is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEndpoint {
    /// The domain of its endpoint names.
    pub name: String,
    /// Where it receives commands.
    pub address: SocketAddr,
    /// The number by which destinations name it.
    pub number: i64,
    /// The digits that name it as first choice; empty where none do.
    pub dialled: String,
    /// The first term of its trunk group's endpoint names.
    pub trunk: String,
    /// How many lines it has; zero where that is not known.
    pub lines: u32,
    /// The names of the services that it serves; empty where it serves all.
    pub services: Vec<String>,
    /// When it last started, where that is known.
    pub started: Option<Moment>,
    /// Whether it takes no new sessions.
    pub draining: bool,
    /// Its part of weighted draws against the other servers' weights.
    pub weight: f64,
}

/// Checks the servers of a message; `path` leads to the message, and is empty or ends with a dot.
pub fn check_servers(servers: &[schema::Server], path: &str, document: &mut Document) -> Vec<ServerEndpoint> {
    check_servers_in(servers, &mut Fields::new(document, path))
}

/// Checks the servers of the message with these fields.
pub(crate) fn check_servers_in(servers: &[schema::Server], fields: &mut Fields<'_>) -> Vec<ServerEndpoint> {
    let mut checked: Vec<ServerEndpoint> = Vec::new();
    for (index, server) in servers.iter().enumerate() {
        let mut fields = fields.repeated("server", index);
        let endpoint = check_server(server, &mut fields);
        for other in &checked {
            check_conflicts(&endpoint, other, &mut fields);
        }
        checked.push(endpoint);
    }
    checked
}

fn check_server(server: &schema::Server, fields: &mut Fields<'_>) -> ServerEndpoint {
    let endpoint = ServerEndpoint {
        name: fields.required("name", server.name.clone()).to_ascii_lowercase(),
        address: fields.address("address", server.address.as_deref()),
        number: i64::from(fields.required("number", server.number)),
        dialled: server.dialled.clone().unwrap_or_default(),
        trunk: server.trunk.clone().unwrap_or_else(|| DEFAULT_TRUNK.to_owned()),
        lines: server.lines.unwrap_or(0),
        services: server.service.clone(),
        started: server.started_us.map(Moment::from_micros),
        draining: server.draining.unwrap_or(false),
        weight: fields.in_range("weight", server.weight.unwrap_or(1.0), MIN_WEIGHT, MAX_WEIGHT),
    };
    let endpoint_name = format!("{}/1@{}", endpoint.trunk, endpoint.name);
    if endpoint_name.parse::<Endpoint>().is_err() || endpoint.trunk.contains('/') {
        fields.report("name", format!("{endpoint_name} is no endpoint name"));
    }
    if !is_digits(&endpoint.dialled) {
        fields.report("dialled", format!("dialled is {:?}; it must be digits", endpoint.dialled));
    }
    endpoint
}

/// Reports what a server must not share with one listed before it.
fn check_conflicts(endpoint: &ServerEndpoint, other: &ServerEndpoint, fields: &mut Fields<'_>) {
    let have_digits = !other.dialled.is_empty() && !endpoint.dialled.is_empty();
    if have_digits && overlap(&other.dialled, &endpoint.dialled) {
        fields.report("dialled", format!("dialled {:?} could mean {} too", endpoint.dialled, other.name));
    }
    if other.number == endpoint.number {
        fields.report("number", format!("number {} is {}'s too", endpoint.number, other.name));
    }
    if other.address == endpoint.address {
        fields.report("address", format!("address {} is {}'s too", endpoint.address, other.name));
    }
    if other.name == endpoint.name {
        fields.report("name", format!("name {} is another server's too", endpoint.name));
    }
}
