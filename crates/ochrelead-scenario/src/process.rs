//! What each process of a run executes: a front, an emulated server, or all emulated callers.

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

/// An emulator looks at its socket and its clock at least so often.
const MAX_IDLE: Duration = Duration::from_secs(1);

/// Why a process can't do its work.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// Its configuration is invalid.
    #[error(transparent)]
    InvalidConfig(#[from] InvalidFile),
    /// It can't listen on its address.
    #[error("listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The scenario has no server of this number.
    #[error("there are only {count} servers")]
    NoSuchServer {
        /// How many servers it has.
        count: usize,
    },
    /// A socket or a file failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What an emulator has to know of the run it is part of.
#[derive(Clone, Debug)]
pub struct EmulatorConfig {
    /// Where it listens.
    pub listen: SocketAddrV4,
    /// Where it reaches the fronts, in their order.
    pub fronts: Vec<SocketAddr>,
    /// When the scenario begins.
    pub start: Moment,
}

/// Runs a front as its own program does, but for the policy that decides in it.
///
/// # Errors
///
/// Where the configuration is invalid, or the front can't serve.
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

/// Runs an emulated server; `restarted` where it takes the place of a former one.
///
/// # Errors
///
/// Where the scenario has no such server, or it can't listen.
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
/// Where they can't listen.
pub fn run_callers(scenario: Scenario, config: EmulatorConfig) -> Result<(), ProcessError> {
    let clock = Clock::start();
    let EmulatorConfig { listen, fronts, start } = config;
    run_emulator(Callers::new(scenario, fronts, start, clock.now()), listen, clock)
}

/// Hosts an emulator: owns its socket and its clock.
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
                // A datagram that can't leave is lost, as on any network.
                let _ = socket.get_ref().send_to(&bytes, to);
            }
            let alarm = clock.timer(peer.poll_timeout());
            wait_for_work(&socket, alarm).await;
        }
    })
}

/// Waits until the socket can be read, the alarm goes off, or the longest idle time is over.
async fn wait_for_work(socket: &Async<UdpSocket>, alarm: Timer) {
    let readable = async {
        let _ = socket.readable().await;
    };
    let timers = async {
        let _ = future::or(alarm, Timer::after(MAX_IDLE)).await;
    };
    future::or(readable, timers).await;
}

fn listen(address: SocketAddr) -> Result<UdpSocket, ProcessError> {
    UdpSocket::bind(address).map_err(|source| ProcessError::Listen { address, source })
}
