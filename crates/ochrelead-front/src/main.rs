//! The program `ochrelead-front`.

use std::fs;
use std::io::{self, IsTerminal};
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use async_io::Async;
use clap::{Args, Parser, Subcommand};
use futures_lite::future;
use ochrelead_config::front_config::{self, FrontConfig};
use ochrelead_core::controller::Controller;
use ochrelead_core::time::{Moment, Span};
use ochrelead_front::engine::Engine;
use ochrelead_front::host::{self, FrontPaths};
use ochrelead_host::STATUS;
use ochrelead_host::clock::Clock;
use ochrelead_lease::electorate::{DEFAULT_SIZE, Electorate};
use ochrelead_lease::persistence::PersistedState;
use ochrelead_node::coordination::{CoordinationConfig, FleetCoordination, ZoneSettings};
use ochrelead_node::engine::Engine as Node;
use ochrelead_node::host::{HostConfig, Peers, serve, take_signals};
use ochrelead_node::persistence::PersistenceWriter;
use ochrelead_platform::configuration::{self as platform, Configuration as Platform};
use ochrelead_zone::{ZoneConfig, ZoneId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tracing::warn;
use tracing_subscriber::EnvFilter;

/// A front: takes sessions from callers' gateways over MGCP and sets them up at signalling servers.
///
/// SIGTERM makes it leave service: no new sessions, each held one gets its final answer.
#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    after_help = "Examples:
  ochrelead-front --settings front.textproto --check
  ochrelead-front --settings front.textproto --fleet fleet.d --state state --json --log info
  ochrelead-front status --state state"
)]
struct Line {
    #[command(subcommand)]
    what: Option<What>,
    /// The settings, in protobuf text format (schema Front)
    #[arg(long, value_name = "FILE", required = true)]
    settings: Option<PathBuf>,
    /// A fleet file, or a folder of them, that is watched; without, the settings' servers are the list
    #[arg(long, value_name = "PATH")]
    fleet: Option<PathBuf>,
    /// Where the last list, the status and the counters are kept
    #[arg(long, value_name = "DIR")]
    state: Option<PathBuf>,
    /// Where the event log goes
    #[arg(long, value_name = "DIR")]
    records: Option<PathBuf>,
    /// Check the settings and stop
    #[arg(long)]
    check: bool,
    /// The seed of the decisions' chance; another at each start where none is given
    #[arg(long)]
    seed: Option<u64>,
    /// What is logged: error, warn, info, or per part as in ochrelead_front=warn
    #[arg(long, default_value = "warn")]
    log: String,
    /// Log lines as JSON
    #[arg(long)]
    json: bool,
}

/// What a node does with its peers.
#[derive(Args)]
struct PeerOptions {
    /// Speak to the other fronts that the configuration lists, where its settings allow it
    #[arg(long)]
    peers: bool,
    /// Act with the fronts of its district where a district fails: leave it, and return step by step
    #[arg(long)]
    districts: bool,
    /// Where its promises as a voter are kept, and how its tasks stand is written; without, it abstains after each start
    #[arg(long, value_name = "DIR", requires = "peers")]
    state: Option<PathBuf>,
    /// Who votes, by their numbers among the peers; five spread over the fronts where none is named
    #[arg(long, value_name = "NUMBERS", value_delimiter = ',', requires = "peers")]
    voters: Vec<u32>,
    /// While it changes: who voted before
    #[arg(long, value_name = "NUMBERS", value_delimiter = ',', requires = "voters")]
    former_voters: Vec<u32>,
    /// Raised by one with each change of the voters
    #[arg(long, value_name = "N", default_value_t = 1, requires = "peers")]
    generation: u32,
}

#[derive(Subcommand)]
enum What {
    /// Print what a running front last wrote of its fleet: a line a server, its state and why
    Status {
        #[arg(long, value_name = "DIR")]
        state: PathBuf,
    },
    /// Serve as a front of the operators' platform: JSON lines from callers, SIP to signalling servers
    Node {
        /// The platform's configuration
        #[arg(long, value_name = "FILE", env = "ROUTER_CONFIG")]
        config: PathBuf,
        #[command(flatten)]
        options: PeerOptions,
        /// What is logged, as for a front
        #[arg(long, default_value = "warn")]
        log: String,
    },
}

fn main() -> ExitCode {
    let line = Line::parse();
    match &line.what {
        Some(What::Status { state }) => return status(state),
        Some(What::Node { config, options, log }) => return node(config, options, log),
        None => {}
    }
    let commission = match read(&line) {
        Ok(commission) => commission,
        Err(complaints) => {
            for complaint in complaints {
                eprintln!("ochrelead-front: {complaint}");
            }
            return ExitCode::from(2);
        }
    };
    if line.check {
        return ExitCode::SUCCESS;
    }
    let Ok(filter) = EnvFilter::try_new(&line.log) else {
        eprintln!("ochrelead-front: --log {}: no such level", line.log);
        return ExitCode::from(2);
    };
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    if line.json {
        log.json().init();
    } else {
        log.with_ansi(io::stderr().is_terminal()).init();
    }
    match run(commission, line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ochrelead-front: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn status(state: &Path) -> ExitCode {
    match fs::read_to_string(state.join(STATUS)) {
        Ok(text) => {
            let (written, rest) = text.split_once('\n').unwrap_or(("", &text));
            let then = written.strip_prefix("written_us: ").and_then(|us| us.parse().ok()).unwrap_or(0);
            let age = Clock::start().now().since(Moment::from_micros(then));
            println!("as of {:.1} s ago", age.ratio(Span::from_secs(1)));
            print!("{rest}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("ochrelead-front: {}: {error}", state.join(STATUS).display());
            ExitCode::from(2)
        }
    }
}

/// The node writes nothing but its log, unless it is given a folder for its state.
fn node(config: &Path, options: &PeerOptions, log: &str) -> ExitCode {
    let Ok(filter) = EnvFilter::try_new(log) else {
        eprintln!("ochrelead-front: --log {log}: no such level");
        return ExitCode::from(2);
    };
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr).with_ansi(false).init();
    // Before the configuration is read: it may be replaced from then on, and a signal that says so is not lost.
    let signals = match take_signals() {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("ochrelead-front: signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    let text = fs::read_to_string(config).map_err(|error| error.to_string());
    let configuration = match text.and_then(|text| platform::parse(&text).map_err(|error| error.to_string()))
    {
        Ok(configuration) => configuration,
        Err(error) => {
            eprintln!("ochrelead-front: {}: {error}", config.display());
            return ExitCode::from(2);
        }
    };
    let (clock, listen) = (Clock::start(), configuration.listen);
    let judge = Controller::new(&configuration.controller_config, clock.now());
    let peers = match coordination(&configuration, options, clock.now()) {
        Ok(peers) => peers,
        Err(error) => {
            eprintln!("ochrelead-front: {error:#}");
            return ExitCode::from(2);
        }
    };
    if (options.peers || options.districts) && peers.is_none() {
        warn!(
            "serves alone: the settings allow no messages between fronts, or this front is not among the peers"
        );
    }
    let engine = Node::new(&configuration, Box::new(judge), clock.now());
    match serve(HostConfig { listen, configuration: config.to_owned(), engine, peers, signals, clock }) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ochrelead-front: {error}");
            ExitCode::FAILURE
        }
    }
}

/// The coordination of a node with other fronts; `None` where the settings do not allow it.
fn coordination(
    configuration: &Platform,
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

fn electorate(configuration: &Platform, options: &PeerOptions) -> anyhow::Result<Electorate> {
    let fronts = u32::try_from(configuration.peers.len())?;
    if options.voters.is_empty() {
        return Ok(Electorate::evenly_spaced(options.generation, fronts, DEFAULT_SIZE));
    }
    Electorate::from_config(options.generation, &options.voters, &options.former_voters, fronts)
        .map_err(|error| anyhow::anyhow!("--voters: {error}"))
}

/// How this front acts with the others of its zone; `None` where the settings do not name its zone.
fn zone_settings(configuration: &Platform) -> Option<ZoneSettings> {
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

fn read(line: &Line) -> Result<FrontConfig, Vec<String>> {
    let settings = line.settings.as_deref().unwrap_or(Path::new(""));
    let told = |complaints: Vec<_>| complaints.iter().map(ToString::to_string).collect::<Vec<_>>();
    let commission = front_config::open(settings).map_err(told)?;
    if line.fleet.is_some() && !commission.servers.is_empty() {
        let what = "server: with --fleet the servers are said in its files alone";
        return Err(vec![format!("{}: {what}", settings.display())]);
    }
    Ok(commission)
}

fn run(mut commission: FrontConfig, line: Line) -> anyhow::Result<()> {
    let clock = Clock::start();
    // Transaction ids begin elsewhere with each process, whatever the seed: servers keep their answers to the last.
    let first = Pcg64Mcg::seed_from_u64(clock.now().micros()).random();
    commission.controller.seed = line.seed.unwrap_or(clock.now().micros());
    let socket =
        UdpSocket::bind(commission.listen).with_context(|| format!("listen on {}", commission.listen))?;
    let places = FrontPaths { fleet: line.fleet, state: line.state, event_log: line.records };
    let engine = |commission: FrontConfig| {
        let judge = Controller::new(&commission.controller, clock.now());
        Engine::new(commission, Box::new(judge), first, clock.now())
    };
    let served = host::serve(commission, engine, Async::new(socket)?, clock, places);
    future::block_on(served).context("serving")
}
