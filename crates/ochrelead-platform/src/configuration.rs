//! The configuration of a node: who it is, its limits, whom it follows, what it knows, and the settings.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::Deserialize;
use serde_json::Value;

use ochrelead_core::config::ControllerConfig;

use crate::events::{Change, Followed};
use crate::facts::Facts;

/// What a node is told at its start.
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub limits: Limits,
    pub coordinator: Option<SocketAddr>,
    /// Where datagrams of other fronts arrive, and where each front of the tier is reached, this one among them.
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    /// What is sent there reaches all fronts of the tier.
    pub peers_all: Option<SocketAddr>,
    pub followed: Followed,
    /// The list at the start, as the changes that led to it.
    pub known: Vec<Change>,
    pub provision: ControllerConfig,
    pub facts: Facts,
}

/// What a node may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory: usize,
    pub sockets: usize,
}

#[derive(Deserialize)]
struct File {
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

/// Reads the configuration.
///
/// # Errors
///
/// Where it is no JSON, or a part of it has another form.
pub fn read(text: &str) -> Result<Configuration, serde_json::Error> {
    let file: File = serde_json::from_str(text)?;
    let facts = Facts::read(Some(&file.settings))?;
    let (followed, known) = Followed::start(&file.known);
    let limits = Limits {
        memory: (file.limits.memory_mb.max(1.0) * f64::from(1 << 20)) as usize,
        sockets: file.limits.sockets.max(16.0) as usize,
    };
    Ok(Configuration {
        name: file.name,
        listen: file.listen,
        limits,
        coordinator: file.coordinator,
        peer_listen: address(&file.peer_listen),
        // One that can't be read keeps its place: fronts are told by their places.
        peers: file.peers.as_array().map_or_else(Vec::new, |peers| {
            peers.iter().map(|peer| address(peer).unwrap_or(NOWHERE)).collect()
        }),
        peers_all: address(&file.peers_all),
        followed,
        known,
        provision: facts.provision(seed(&file.seed)),
        facts,
    })
}

/// Where nobody is.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// An address; what is none is no reason not to start.
fn address(value: &Value) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

/// Hex digits as a rule; whatever else is there still makes a number.
fn seed(value: &Value) -> u64 {
    match value {
        Value::String(text) => u64::from_str_radix(text, 16).unwrap_or_else(|_| {
            text.bytes().fold(0, |seed: u64, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)))
        }),
        other => other.as_u64().unwrap_or(0),
    }
}
