//! The parties of a trial: their addresses, and how each is started.

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

/// How long the calls of a trial last.
const HOLD_TIME: Duration = Duration::from_millis(700);
pub(super) const NODE_PORT: u16 = 5080;
pub(super) const COORDINATOR_PORT: u16 = 8500;
/// The third parts of addresses, from the subnet's on.
pub(super) const NODE_NET: u8 = 0;
pub(super) const SERVER_NET: u8 = 1;
pub(super) const COORDINATOR_NET: u8 = 2;
const NETS: u8 = 3;
/// Addresses of a net.
const HOSTS: u64 = 250;
/// The second parts of addresses are from here on, one for each trial that runs at a time.
const FIRST_SUBNET: u8 = 230;
/// The trials that may run at a time.
pub const MAX_PARALLEL: u8 = 20;
/// Processes that run trials at the same time on one machine are told apart by their ids, modulo this.
const PROCESS_SLOTS: u32 = 80;

/// Why a trial could not be run.
#[derive(Debug, Error)]
pub enum TrialError {
    /// A party could not be started or reached.
    #[error("{party}: {source}")]
    Party {
        /// Which.
        party: String,
        /// The system's error.
        #[source]
        source: io::Error,
    },
}

pub(super) fn failed(party: impl Into<String>) -> impl FnOnce(io::Error) -> TrialError {
    let party = party.into();
    move |source| TrialError::Party { party, source }
}

/// Where and with what a trial is run.
#[derive(Clone, Debug)]
pub struct TrialConfig {
    /// The program.
    pub program: PathBuf,
    /// For configurations and logs.
    pub folder: PathBuf,
    /// The second part of all its addresses, and the least of the three third parts that it takes.
    pub subnet: [u8; 2],
    /// What the nodes log.
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
    let party = format!("n{}", configuration.node);
    let text = configuration.to_text(settings);
    files.write_configuration(&text).map_err(failed(party.clone()))?;
    let process =
        NodeProcess::start(&config.program, files, &config.log_level).map_err(failed(party.clone()))?;
    NodeProcess::await_ready(configuration.listen).map_err(failed(party))?;
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
    /// For the trial of a seed, in a folder below `parent`; `slot` tells it from others that run at the same time.
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
