//! The command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// A front: accepts sessions from callers' gateways over MGCP and sets them up at signalling servers.
///
/// On SIGTERM the front drains: it rejects new sessions, gives each held session its final answer, and exits.
#[derive(Parser)]
#[command(
    version,
    args_conflicts_with_subcommands = true,
    after_help = "Examples:
  ochrelead-front --settings front.textproto --check
  ochrelead-front --settings front.textproto --fleet fleet.d --state state --json --log info
  ochrelead-front status --state state"
)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
    /// The settings file, in protobuf text format (schema Front)
    #[arg(long, value_name = "FILE", required = true)]
    pub(crate) settings: Option<PathBuf>,
    /// A file that lists the servers, or a folder of such files, watched for changes [default: the settings' servers]
    #[arg(long, value_name = "PATH")]
    pub(crate) fleet: Option<PathBuf>,
    /// The folder for the last server list, the status and the counters
    #[arg(long, value_name = "DIR")]
    pub(crate) state: Option<PathBuf>,
    /// The folder for the event log
    #[arg(long, value_name = "DIR")]
    pub(crate) records: Option<PathBuf>,
    /// Check the settings and exit
    #[arg(long)]
    pub(crate) check: bool,
    /// The seed of the random decisions [default: the time of the start, in microseconds]
    #[arg(long)]
    pub(crate) seed: Option<u64>,
    /// The log level: error, warn or info, or a level per module, for example ochrelead_front=warn
    #[arg(long, default_value = "warn")]
    pub(crate) log: String,
    /// Write log lines as JSON
    #[arg(long)]
    pub(crate) json: bool,
}

/// The options for a node's coordination with its peers.
#[derive(Args)]
pub(crate) struct PeerOptions {
    /// Exchange messages with the other fronts that the configuration lists, if its settings allow it
    #[arg(long)]
    pub(crate) peers: bool,
    /// Coordinate with the other fronts of its zone: move calls away from a zone that fails, and back step by step
    #[arg(long)]
    pub(crate) districts: bool,
    /// The folder for the voter's promises and the status; without it, the voter abstains after each start
    #[arg(long, value_name = "DIR", requires = "peers")]
    pub(crate) state: Option<PathBuf>,
    /// The voters, by their numbers among the peers; by default five, evenly spaced over the fronts
    #[arg(long, value_name = "NUMBERS", value_delimiter = ',', requires = "peers")]
    pub(crate) voters: Vec<u32>,
    /// The previous voters, while the set of voters is being changed
    #[arg(long, value_name = "NUMBERS", value_delimiter = ',', requires = "voters")]
    pub(crate) former_voters: Vec<u32>,
    /// The generation of the set of voters; increase it by one with each change of the voters
    #[arg(long, value_name = "N", default_value_t = 1, requires = "peers")]
    pub(crate) generation: u32,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Print the last status that a running front has written: a line per server, with its state and the reason for it
    Status {
        #[arg(long, value_name = "DIR")]
        state: PathBuf,
    },
    /// Run a front of the operators' platform: JSON lines from callers, SIP to signalling servers
    Node {
        /// The platform's configuration file
        #[arg(long, value_name = "FILE", env = "ROUTER_CONFIG")]
        config: PathBuf,
        #[command(flatten)]
        options: PeerOptions,
        /// The log level, as for a front
        #[arg(long, default_value = "info")]
        log: String,
    },
}
