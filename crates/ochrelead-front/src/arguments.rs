//! The command line.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

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
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
    /// The settings, in protobuf text format (schema Front)
    #[arg(long, value_name = "FILE", required = true)]
    pub(crate) settings: Option<PathBuf>,
    /// A fleet file, or a folder of them, that is watched; without, the settings' servers are the list
    #[arg(long, value_name = "PATH")]
    pub(crate) fleet: Option<PathBuf>,
    /// Where the last list, the status and the counters are kept
    #[arg(long, value_name = "DIR")]
    pub(crate) state: Option<PathBuf>,
    /// Where the event log goes
    #[arg(long, value_name = "DIR")]
    pub(crate) records: Option<PathBuf>,
    /// Check the settings and stop
    #[arg(long)]
    pub(crate) check: bool,
    /// The seed of the decisions' chance; another at each start where none is given
    #[arg(long)]
    pub(crate) seed: Option<u64>,
    /// What is logged: error, warn, info, or per part as in ochrelead_front=warn
    #[arg(long, default_value = "warn")]
    pub(crate) log: String,
    /// Log lines as JSON
    #[arg(long)]
    pub(crate) json: bool,
}

/// What a node does with its peers.
#[derive(Args)]
pub(crate) struct PeerOptions {
    /// Speak to the other fronts that the configuration lists, where its settings allow it
    #[arg(long)]
    pub(crate) peers: bool,
    /// Act with the fronts of its district where a district fails: leave it, and return step by step
    #[arg(long)]
    pub(crate) districts: bool,
    /// Where its promises as a voter are kept, and how its tasks stand is written; without, it abstains after each start
    #[arg(long, value_name = "DIR", requires = "peers")]
    pub(crate) state: Option<PathBuf>,
    /// Who votes, by their numbers among the peers; five spread over the fronts where none is named
    #[arg(long, value_name = "NUMBERS", value_delimiter = ',', requires = "peers")]
    pub(crate) voters: Vec<u32>,
    /// While it changes: who voted before
    #[arg(long, value_name = "NUMBERS", value_delimiter = ',', requires = "voters")]
    pub(crate) former_voters: Vec<u32>,
    /// Raised by one with each change of the voters
    #[arg(long, value_name = "N", default_value_t = 1, requires = "peers")]
    pub(crate) generation: u32,
}

#[derive(Subcommand)]
pub(crate) enum Command {
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
        #[arg(long, default_value = "info")]
        log: String,
    },
}
