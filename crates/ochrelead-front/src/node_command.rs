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

/// Serves until the node is told to leave service. It writes nothing but its log, unless it is given a folder for its
/// state.
pub(crate) fn run(config_path: &Path, options: &PeerOptions, log: &str) -> ExitCode {
    let Ok(filter) = EnvFilter::try_new(log) else {
        return fail(EXIT_INVALID_INPUT, format_args!("--log {log}: no such level"));
    };
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr).with_ansi(false).init();
    // Before the configuration is read: it may be replaced from then on, and a signal that says so is not lost.
    let signals = match take_signals() {
        Ok(signals) => signals,
        Err(error) => return fail(EXIT_FAILURE, format_args!("signals: {error}")),
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
            "serves alone: the settings allow no messages between fronts, or this front is not among the peers"
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

/// The coordination of a node with other fronts; `None` where the settings do not allow it.
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
            None => warn!("--districts has nothing to do: the settings name no district of this front"),
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

/// How this front acts with the others of its zone; `None` where the settings do not name its zone.
fn zone_settings(configuration: &Configuration) -> Option<ZoneSettings> {
    Some(ZoneSettings {
        local_zone: ZoneId(configuration.settings.local_zone()?),
        names: configuration.settings.zones().to_vec(),
        config: ZoneConfig::from_controller(&configuration.controller_config),
        broadcast_address: configuration.peers_all,
        seed: configuration.controller_config.seed,
    })
}

/// Opens a voter's state folder; a state that is unusable there makes the voter abstain for a while.
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
                |error| warn!(%error, "stored voter state is unusable; this front abstains for a while"),
            )
            .ok()
    });
    coordination.enable_persistence(stored.as_ref(), seed, now);
    Ok(opened.writer)
}
