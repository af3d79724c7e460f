//! The nodes and servers of a trial: their addresses, and how they are started.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

use super::history::{Lifecycle, Recorder};
use super::node_process::{NodeConfiguration, NodeFiles, NodeProcess, NodeSettings};
use super::server::{Server, ServerConfig};
use super::server_list::ListedServer;

/// How long established calls last.
const HOLD_TIME: Duration = Duration::from_millis(700);
pub(super) const NODE_PORT: u16 = 5080;
pub(super) const COORDINATOR_PORT: u16 = 8500;
/// Offsets of the third byte of an address, one for each kind of process.
pub(super) const NODE_NET: u8 = 0;
pub(super) const SERVER_NET: u8 = 1;
pub(super) const COORDINATOR_NET: u8 = 2;
/// The number of these offsets.
const NETS: u8 = 3;
/// The number of addresses with the same first three bytes.
const HOSTS: u64 = 250;
/// The second byte of the addresses in slot 0; each trial that runs concurrently has another.
const FIRST_SUBNET: u8 = 230;
/// The number of trials that may run concurrently in one process.
pub const MAX_PARALLEL: u8 = 20;
/// Processes that run trials concurrently on one machine use different addresses if their process ids differ modulo
/// this.
const PROCESS_SLOTS: u32 = 80;

/// Why a trial could not be run.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A node, server, coordinator or file could not be set up.
    #[error("can't set up {component}: {source}")]
    Component {
        /// What could not be set up.
        component: String,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
}

/// Returns a function that turns an I/O error into a [`TrialError`] which names the component.
pub(super) fn failed(component: impl Into<String>) -> impl FnOnce(io::Error) -> TrialError {
    let component = component.into();
    move |source| TrialError::Component { component, source }
}

/// The program and the machine's resources that a trial uses.
#[derive(Clone, Debug)]
pub struct TrialConfig {
    /// The program whose nodes are tested.
    pub program: PathBuf,
    /// The folder for configurations and logs; it is emptied at the start.
    pub folder: PathBuf,
    /// The second byte of its addresses, and the lowest of the three third bytes that it uses.
    pub subnet: [u8; 2],
    /// The log level of the nodes.
    pub log_level: String,
}

pub(super) fn address(subnet: [u8; 2], net: u8, host: u64, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, subnet[0], subnet[1] + net, (host % HOSTS) as u8 + 1), port))
}

pub(super) fn start_node(
    config: &TrialConfig,
    files: &NodeFiles,
    configuration: &NodeConfiguration,
    settings: &NodeSettings,
) -> Result<NodeProcess, TrialError> {
    let name = format!("n{}", configuration.node);
    let text = configuration.to_text(settings);
    files.write_configuration(&text).map_err(failed(name.clone()))?;
    let process =
        NodeProcess::start(&config.program, files, &config.log_level).map_err(failed(name.clone()))?;
    NodeProcess::await_ready(configuration.listen).map_err(failed(name))?;
    Ok(process)
}

pub(super) fn start_server(
    config: &TrialConfig,
    settings: &NodeSettings,
    number: u64,
    recorder: &Arc<Recorder>,
) -> Result<Server, TrialError> {
    let id = format!("s-{number:08x}");
    let at = address(config.subnet, SERVER_NET, number, NODE_PORT);
    let server = ServerConfig {
        nodes: settings.nodes,
        seed: number,
        hold_time: HOLD_TIME,
        idle_limit: settings.idle_limit,
    };
    Server::start(id.clone(), at, server, recorder.clone()).map_err(failed(id))
}

pub(super) fn listed_server(
    server: &Server,
    number: usize,
    state: Lifecycle,
    started_at_ms: u128,
) -> ListedServer {
    ListedServer { id: server.id.clone(), address: server.address, number, state, started_at_ms }
}

impl TrialConfig {
    /// Returns the configuration for the trial of a seed, with its folder below `parent`. Trials that run
    /// concurrently need different slots.
    pub fn new(program: &Path, parent: &Path, seed: u64, slot: u8) -> TrialConfig {
        let process = (std::process::id() % PROCESS_SLOTS) as u8;
        TrialConfig {
            program: program.to_owned(),
            folder: parent.join(format!("seed-{seed}")),
            subnet: [FIRST_SUBNET + slot % MAX_PARALLEL, process * NETS],
            log_level: "info".to_owned(),
        }
    }
}
