//! Signalling servers in settings and discovery files.

use std::net::SocketAddr;

use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::Endpoint;

use crate::digits::{is_digits, overlap};
use crate::document::Document;
use crate::fields::Fields;
use crate::schema;

/// The default for the first term of a trunk group's endpoint names.
const DEFAULT_TRUNK: &str = "trunk";

/// The smallest weight that a server may have.
pub const MIN_WEIGHT: f64 = 0.001;
/// The largest weight that a server may have.
pub const MAX_WEIGHT: f64 = 1_000.0;

/// A signalling server in settings or a discovery file.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEndpoint {
    /// The domain of the server's endpoint names.
    pub name: String,
    /// The address on which the server receives commands.
    pub address: SocketAddr,
    /// The number by which a destination names the server.
    pub number: i64,
    /// The digits in a called number that select the server as the preferred one; empty if there are none.
    pub dialled: String,
    /// The first term of the endpoint names of the server's trunk group.
    pub trunk: String,
    /// The number of lines; 0 if unknown.
    pub lines: u32,
    /// The names of the services that the server serves; empty if it serves all.
    pub services: Vec<String>,
    /// The time of the server's last start, if known.
    pub started: Option<Moment>,
    /// Whether the server is draining and accepts no new sessions.
    pub draining: bool,
    /// The weight of the server in weighted draws, relative to the other servers.
    pub weight: f64,
}

/// Checks the servers of a message. `path` is the path of the message: empty, or ending with a dot.
pub fn check_servers(servers: &[schema::Server], path: &str, document: &mut Document) -> Vec<ServerEndpoint> {
    check_servers_in(servers, &mut Fields::new(document, path))
}

/// Checks the servers of the message that `fields` refers to.
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
        let message = format!("name and trunk form {endpoint_name:?}, which is not a valid endpoint name");
        fields.report("name", message);
    }
    if !is_digits(&endpoint.dialled) {
        fields.report("dialled", format!("dialled is {:?}; it must be digits only", endpoint.dialled));
    }
    endpoint
}

/// Reports digits, number, address or name that a server shares with another one listed before it.
fn check_conflicts(endpoint: &ServerEndpoint, other: &ServerEndpoint, fields: &mut Fields<'_>) {
    let both_have_digits = !other.dialled.is_empty() && !endpoint.dialled.is_empty();
    if both_have_digits && overlap(&other.dialled, &endpoint.dialled) {
        let message = format!(
            "dialled is {:?}; it must not overlap the digits {:?} of server {}",
            endpoint.dialled, other.dialled, other.name
        );
        fields.report("dialled", message);
    }
    if other.number == endpoint.number {
        fields.report("number", format!("number {} is {}'s too", endpoint.number, other.name));
    }
    if other.address == endpoint.address {
        fields.report("address", format!("address {} is {}'s too", endpoint.address, other.name));
    }
    if other.name == endpoint.name {
        fields.report("name", format!("name {} is already used by another server", endpoint.name));
    }
}
