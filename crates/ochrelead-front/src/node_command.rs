//! `ochrelead-front node`: a front of the operators' platform.

use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use anyhow::Context;
use ochrelead_core::controller::Controller;
use ochrelead_core::time::Moment;
use ochrelead_host::clock::Clock;
use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};
use ochrelead_lease::persistence::PersistedState;
use ochrelead_node::coordination::{CoordinationConfig, FleetCoordination, ZoneSettings};
use ochrelead_node::engine::Engine;
use ochrelead_node::host::{HostConfig, Peers, serve, take_signals};
use ochrelead_node::persistence::PersistenceWriter;
use ochrelead_platform::configuration::{self, Configuration};
use ochrelead_zone::{ZoneConfig, ZoneId};
use tracing::warn;
use tracing_subscriber::EnvFilter;

use crate::arguments::PeerOptions;
use crate::{EXIT_FAILURE, EXIT_INVALID_INPUT, fail};

/// Serves until the node has drained after a signal. It writes only its log, and its state if a folder for it is given.
pub(crate) fn run(config_path: &Path, options: &PeerOptions, log: &str) -> ExitCode {
    let Ok(filter) = EnvFilter::try_new(log) else {
        return fail(EXIT_INVALID_INPUT, format_args!("--log {log}: not a log level or filter"));
    };
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr).with_ansi(false).init();
    // The signal handlers are installed before the configuration is read: the file may be replaced at any time after
    // that, and the signal to reload it must not be lost.
    let signals = match take_signals() {
        Ok(signals) => signals,
        Err(error) => return fail(EXIT_FAILURE, format_args!("install signal handlers: {error}")),
    };
    let configuration = match read_configuration(config_path) {
        Ok(configuration) => configuration,
        Err(error) => return fail(EXIT_INVALID_INPUT, format_args!("{}: {error}", config_path.display())),
    };
    let clock = Clock::start();
    let peers = match coordination(&configuration, options, clock.now()) {
        Ok(peers) => peers,
        Err(error) => return fail(EXIT_INVALID_INPUT, format_args!("{error:#}")),
    };
    if (options.peers || options.districts) && peers.is_none() {
        warn!(
            "no coordination: the settings allow no messages between fronts, or list no peers with this front"
        );
    }
    let controller = Controller::new(&configuration.controller_config, clock.now());
    let engine = Engine::new(&configuration, Box::new(controller), clock.now());
    let listen = configuration.listen;
    match serve(HostConfig { listen, configuration: config_path.to_owned(), engine, peers, signals, clock }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILURE, format_args!("{error}")),
    }
}

fn read_configuration(path: &Path) -> anyhow::Result<Configuration> {
    let text = fs::read_to_string(path)?;
    Ok(configuration::parse(&text)?)
}

/// The coordination of a node with other fronts; `None` if the options or the settings do not enable it.
fn coordination(
    configuration: &Configuration,
    options: &PeerOptions,
    now: Moment,
) -> anyhow::Result<Option<Peers>> {
    let is_allowed = (options.peers || options.districts) && configuration.settings.allows_peer_messages();
    let Some(listen) = configuration.peer_listen.filter(|_| is_allowed) else { return Ok(None) };
    let seed = configuration.controller_config.seed;
    let config = CoordinationConfig {
        local_address: listen,
        addresses: configuration.peers.clone(),
        front: configuration.settings.peer_number(),
        electorate: electorate(configuration, options)?,
        seed,
    };
    let Some(mut coordination) = FleetCoordination::new(config, now) else { return Ok(None) };
    if options.districts {
        match zone_settings(configuration) {
            Some(settings) => coordination.enable_zones(settings, now),
            None => warn!("--districts has no effect: the settings name no zone of this front"),
        }
    }
    if !options.peers {
        if !coordination.wants_observations() {
            return Ok(None);
        }
        coordination.set_zones_only();
    }
    let persistence = match &options.state {
        Some(folder) => Some(open_state(folder, &mut coordination, seed, now)?),
        None => None,
    };
    Ok(Some(Peers { coordination, listen, persistence }))
}

fn electorate(configuration: &Configuration, options: &PeerOptions) -> anyhow::Result<Electorate> {
    let fronts = u32::try_from(configuration.peers.len())?;
    if options.voters.is_empty() {
        return Ok(Electorate::evenly_spaced(options.generation, fronts, DEFAULT_SIZE));
    }
    Electorate::from_config(options.generation, &options.voters, &options.former_voters, fronts)
        .map_err(|error| anyhow::anyhow!("--voters: {error}"))
}

/// The settings of the coordination among zones; `None` if the settings do not name the zone of this front.
fn zone_settings(configuration: &Configuration) -> Option<ZoneSettings> {
    Some(ZoneSettings {
        local_zone: ZoneId(configuration.settings.local_zone()?),
        names: configuration.settings.zones().to_vec(),
        config: ZoneConfig::from_controller(&configuration.controller_config),
        broadcast_address: configuration.peers_all,
        seed: configuration.controller_config.seed,
    })
}

/// Opens a voter's state folder. If the stored state can't be decoded, the voter abstains for a while.
fn open_state(
    folder: &Path,
    coordination: &mut FleetCoordination,
    seed: u64,
    now: Moment,
) -> anyhow::Result<PersistenceWriter> {
    let opened = PersistenceWriter::open(folder).with_context(|| format!("--state {}", folder.display()))?;
    let stored = opened.stored.and_then(|bytes| {
        PersistedState::decode(&bytes, coordination.local_front())
            .inspect_err(
                |error| warn!(%error, "stored voter state can't be decoded; this front abstains for a while"),
            )
            .ok()
    });
    coordination.enable_persistence(stored.as_ref(), seed, now);
    Ok(opened.writer)
}
