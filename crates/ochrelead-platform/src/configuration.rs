//! The configuration file of a node: its name, addresses and resource limits, the coordinator, the initial list of
//! servers, and the settings.

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
    /// The address on which the node accepts callers.
    pub listen: SocketAddr,
    /// The resources that the node may use.
    pub limits: Limits,
    /// The address of the coordinator, if there is one.
    pub coordinator: Option<SocketAddr>,
    /// The address on which the node receives datagrams from other fronts, if there is one.
    pub peer_listen: Option<SocketAddr>,
    /// The addresses for datagrams to the fronts, including this one, indexed by front number.
    pub peers: Vec<SocketAddr>,
    /// The address to which a datagram for all fronts is sent, if there is one.
    pub peers_all: Option<SocketAddr>,
    /// The position from which to follow the coordinator's events.
    pub event_cursor: EventCursor,
    /// The changes that produce the initial list of servers.
    pub initial_changes: Vec<EndpointChange>,
    /// The configuration of the controller, derived from the settings.
    pub controller_config: ControllerConfig,
    /// The settings object.
    pub settings: Settings,
}

/// The resources that a node may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The memory, in bytes.
    pub memory: usize,
    /// The number of open sockets.
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
    /// The smallest limits that the platform sets for a node.
    fn default() -> Self {
        FileLimits { memory_mb: 32.0, sockets: 256.0 }
    }
}

/// Parses the text of a configuration file.
///
/// # Errors
///
/// If the text is not valid JSON, or a field is missing or has the wrong type.
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
            // An address that can't be parsed is replaced, not dropped: the position in the list is the front number.
            peers.iter().map(|peer| parse_address(peer).unwrap_or(UNREACHABLE)).collect()
        }),
        peers_all: parse_address(&file.peers_all),
        event_cursor,
        initial_changes,
        controller_config: settings.controller_config(parse_seed(&file.seed)),
        settings,
    })
}

/// Stands for the address of a front that can't be parsed. Nothing can be reached there.
const UNREACHABLE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Parses an address. Returns `None` if that fails: the node starts without it.
fn parse_address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Parses a seed of hexadecimal digits or a JSON integer. Any other string is hashed, any other value gives 0.
fn parse_seed(value: &Value) -> u64 {
    let hash = |text: &str| {
        text.bytes().fold(0, |seed: u64, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)))
    };
    match value {
        Value::String(text) => u64::from_str_radix(text, 16).unwrap_or_else(|_| hash(text)),
        other => other.as_u64().unwrap_or(0),
    }
}
