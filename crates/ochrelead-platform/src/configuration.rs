//! The configuration file of a node: its name, addresses and limits, the coordinator, what is known of the servers, and
//! the settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::Deserialize;
use serde_json::Value;

use ochrelead_core::config::ControllerConfig;

use crate::events::{EndpointChange, EventCursor};
use crate::settings::Settings;

/// The configuration of a node.
pub struct Configuration {
    /// The name of the node.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// What the node may use of its machine.
    pub limits: Limits,
    /// The coordinator, where there is one.
    pub coordinator: Option<SocketAddr>,
    /// Where the datagrams of other fronts arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Where each front of the tier is reached, this one among them, by their numbers.
    pub peers: Vec<SocketAddr>,
    /// An address whose datagrams reach all fronts of the tier.
    pub peers_all: Option<SocketAddr>,
    /// From where to follow the coordinator's events.
    pub event_cursor: EventCursor,
    /// The list of servers at the start, as the changes that led to it.
    pub initial_changes: Vec<EndpointChange>,
    /// The configuration of the decisions, derived from the settings.
    pub controller_config: ControllerConfig,
    /// The settings object.
    pub settings: Settings,
}

/// What a node may use of its machine.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory, in bytes.
    pub memory: usize,
    /// Open sockets.
    pub sockets: usize,
}

const BYTES_PER_MEGABYTE: f64 = (1 << 20) as f64;
const MIN_MEMORY_MEGABYTES: f64 = 1.0;
const MIN_SOCKETS: f64 = 16.0;

#[derive(Deserialize)]
struct ConfigurationFile {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    seed: Value,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    coordinator: Option<SocketAddr>,
    #[serde(default)]
    peer_listen: Value,
    #[serde(default)]
    peers: Value,
    #[serde(default)]
    peers_all: Value,
    #[serde(default)]
    known: Value,
    #[serde(default)]
    settings: Value,
}

#[derive(Deserialize)]
#[serde(default)]
struct FileLimits {
    memory_mb: f64,
    sockets: f64,
}

impl Default for FileLimits {
    /// The least that the platform gives to a node.
    fn default() -> Self {
        FileLimits { memory_mb: 32.0, sockets: 256.0 }
    }
}

/// Parses the text of a configuration file.
///
/// # Errors
///
/// Where it is no JSON, or a part of it has another form.
pub fn parse(text: &str) -> Result<Configuration, serde_json::Error> {
    let file: ConfigurationFile = serde_json::from_str(text)?;
    let settings = Settings::parse(Some(&file.settings))?;
    let (event_cursor, initial_changes) = EventCursor::from_known_events(&file.known);
    let limits = Limits {
        memory: (file.limits.memory_mb.max(MIN_MEMORY_MEGABYTES) * BYTES_PER_MEGABYTE) as usize,
        sockets: file.limits.sockets.max(MIN_SOCKETS) as usize,
    };
    Ok(Configuration {
        name: file.name,
        listen: file.listen,
        limits,
        coordinator: file.coordinator,
        peer_listen: parse_address(&file.peer_listen),
        peers: file.peers.as_array().map_or_else(Vec::new, |peers| {
            // An address that can't be parsed keeps its place: fronts are numbered by their places.
            peers.iter().map(|peer| parse_address(peer).unwrap_or(UNREACHABLE)).collect()
        }),
        peers_all: parse_address(&file.peers_all),
        event_cursor,
        initial_changes,
        controller_config: settings.controller_config(parse_seed(&file.seed)),
        settings,
    })
}

/// An address at which nobody is.
const UNREACHABLE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// An address; none where it can't be parsed, which is no reason not to start.
fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// A seed in hex digits; any other text still makes a number.
fn parse_seed(value: &Value) -> u64 {
    let hash = |text: &str| {
        text.bytes().fold(0, |seed: u64, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)))
    };
    match value {
        Value::String(text) => u64::from_str_radix(text, 16).unwrap_or_else(|_| hash(text)),
        other => other.as_u64().unwrap_or(0),
    }
}
