//! The main functions of the processes of a run: a front, an emulated server, and the emulated callers.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use ochrelead_config::front_config::{self, FrontConfig};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::time::Moment;
use ochrelead_emulator::Peer;
use ochrelead_emulator::callers::Callers;
use ochrelead_emulator::server::{Server, ServerConfig};
use ochrelead_front::engine::Engine;
use ochrelead_front::host::{self, FrontPaths};
use ochrelead_host::clock::Clock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;

use crate::invalid_file::InvalidFile;
use crate::loopback::MAX_DATAGRAM;
use crate::participant::server_name;
use crate::policy::PolicyKind;

/// The longest time for which an emulator waits before it checks its socket and its timers again.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// The error when a process can't start or fails.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// Its configuration is invalid.
    #[error(transparent)]
    InvalidConfig(#[from] InvalidFile),
    /// The process can't listen on its address.
    #[error("can't listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The scenario has no server with this number.
    #[error("no server with this number: the scenario has {count} servers, numbered from 0")]
    NoSuchServer {
        /// The number of servers in the scenario.
        count: usize,
    },
    /// A socket or a file failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The settings of an emulator that depend on the run.
#[derive(Clone, Debug)]
pub struct EmulatorConfig {
    /// The address on which it listens.
    pub listen: SocketAddrV4,
    /// The addresses of the fronts, by front number.
    pub fronts: Vec<SocketAddr>,
    /// When the scenario starts.
    pub start: Moment,
}

/// Runs a front like the program `ochrelead-front`, but with a selectable routing policy.
///
/// # Errors
///
/// If the configuration is invalid, or the front can't serve.
pub fn run_front(
    config_file: &Path,
    paths: FrontPaths,
    policy: PolicyKind,
    seed: u64,
) -> Result<(), ProcessError> {
    let clock = Clock::start();
    let mut config = front_config::open(config_file).map_err(InvalidFile)?;
    let level = tracing_subscriber::filter::LevelFilter::ERROR;
    tracing_subscriber::fmt().with_max_level(level).with_writer(io::stderr).init();
    let first_transaction = Pcg64Mcg::seed_from_u64(clock.now().micros() ^ seed).random();
    config.controller.seed = seed;
    let socket = Async::new(listen(config.listen)?)?;
    let new_engine = |config: FrontConfig| {
        let policy = policy.build(&config.controller, clock.now());
        Engine::new(config, policy, first_transaction, clock.now())
    };
    Ok(future::block_on(host::serve(config, new_engine, socket, clock, paths))?)
}

/// Runs an emulated server; `restarted` is true if it replaces a process that was killed.
///
/// # Errors
///
/// If the scenario has no such server, or the server can't listen.
pub fn run_server(
    scenario: &Scenario,
    server: usize,
    config: EmulatorConfig,
    restarted: bool,
) -> Result<(), ProcessError> {
    if server >= scenario.servers.len() {
        return Err(ProcessError::NoSuchServer { count: scenario.servers.len() });
    }
    let clock = Clock::start();
    let EmulatorConfig { listen, fronts, start } = config;
    let config = ServerConfig {
        scenario,
        index: server,
        name: server_name(server),
        fronts,
        scenario_start: start,
        is_cold: restarted,
    };
    run_emulator(Server::new(config, clock.now()), listen, clock)
}

/// Runs all emulated callers.
///
/// # Errors
///
/// If they can't listen.
pub fn run_callers(scenario: Scenario, config: EmulatorConfig) -> Result<(), ProcessError> {
    let clock = Clock::start();
    let EmulatorConfig { listen, fronts, start } = config;
    run_emulator(Callers::new(scenario, fronts, start, clock.now()), listen, clock)
}

/// Runs an emulator on a UDP socket and the real clock; returns only with an error.
fn run_emulator(mut peer: impl Peer, address: SocketAddrV4, clock: Clock) -> Result<(), ProcessError> {
    let socket = Async::new(listen(SocketAddr::V4(address))?)?;
    let mut buffer = vec![0; MAX_DATAGRAM];
    future::block_on(async {
        loop {
            while let Ok((length, from)) = socket.get_ref().recv_from(&mut buffer) {
                peer.handle_datagram(clock.now(), from, &buffer[..length]);
            }
            peer.process(clock.now());
            while let Some((to, bytes)) = peer.poll_datagram() {
                // A datagram that can't be sent is dropped, as on a real network.
                let _ = socket.get_ref().send_to(&bytes, to);
            }
            let timeout = clock.timer(peer.poll_timeout());
            wait_for_work(&socket, timeout).await;
        }
    })
}

/// Waits until the socket is readable, the timer expires, or [`MAX_IDLE`] has passed.
async fn wait_for_work(socket: &Async<UdpSocket>, timeout: Timer) {
    let readable = async {
        let _ = socket.readable().await;
    };
    let timers = async {
        let _ = future::or(timeout, Timer::after(MAX_IDLE)).await;
    };
    future::or(readable, timers).await;
}

fn listen(address: SocketAddr) -> Result<UdpSocket, ProcessError> {
    UdpSocket::bind(address).map_err(|source| ProcessError::Listen { address, source })
}
