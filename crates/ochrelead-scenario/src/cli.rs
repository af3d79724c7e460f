//! The command line.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use ochrelead_core::time::Moment;
use ochrelead_scenario::process::EmulatorConfig;

/// Runs scripted scenarios through real fronts on loopback sockets, and judges them by what the sockets saw.
///
/// Exits with 0 where all rules were kept, 1 where one was broken, 2 for usage and settings.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  ochrelead-scenario run scenarios/bad-day.textproto --out target/day\n  \
    ochrelead-scenario audit target/day/capture.pcap --day scenarios/bad-day.textproto\n  \
    ochrelead-scenario check scenarios/bad-day.textproto"
)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Run a scenario in real time and judge it
    Run {
        #[arg(value_name = "DAY")]
        scenario: PathBuf,
        /// Where the captures and the fronts' files go
        #[arg(long = "out", value_name = "DIR")]
        output: PathBuf,
        /// Leave out the textbook baselines
        #[arg(long)]
        alone: bool,
    },
    /// Judge a capture
    Audit {
        capture: PathBuf,
        #[arg(long = "day", value_name = "DAY")]
        scenario: PathBuf,
    },
    /// How well the diagnosis detects what the script of a run did
    #[command(name = "found")]
    Detection {
        /// Output folders of runs; of more than one a table by kind is shown
        #[arg(required = true, value_name = "OUTS")]
        outputs: Vec<PathBuf>,
        /// Set the fronts' clocks wrong and remove a tenth of the records first, by this seed
        #[arg(long = "marred", value_name = "SEED")]
        corruption_seed: Option<u64>,
    },
    /// Check scenarios and stop
    Check {
        #[arg(required = true, value_name = "DAYS")]
        scenarios: Vec<PathBuf>,
    },
    /// How much one front carries on one core, beside a bare relay of the same datagrams
    Load {
        #[arg(long = "out", value_name = "DIR")]
        output: PathBuf,
        /// Of each step
        #[arg(long, default_value_t = 3)]
        seconds: u64,
        /// Sessions a second, step by step
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "500,1000,2000,3000,4000,5000,6000,7200,8500,10000,12000,15000,20000,26000"
        )]
        rates: Vec<u32>,
    },
    /// A process that this program starts for itself
    #[command(subcommand, hide = true)]
    Process(ProcessCommand),
}

#[derive(Subcommand)]
pub(crate) enum ProcessCommand {
    Front {
        #[arg(long)]
        settings: PathBuf,
        #[arg(long)]
        fleet: Option<PathBuf>,
        #[arg(long)]
        state: Option<PathBuf>,
        #[arg(long)]
        records: Option<PathBuf>,
        #[arg(long)]
        policy: String,
        #[arg(long)]
        seed: u64,
    },
    Server {
        #[command(flatten)]
        emulator: EmulatorArguments,
        #[arg(long)]
        number: usize,
        #[arg(long)]
        restarted: bool,
    },
    Callers {
        #[command(flatten)]
        emulator: EmulatorArguments,
    },
    Relay {
        #[arg(long)]
        listen: SocketAddrV4,
        #[arg(long)]
        callers: SocketAddrV4,
        #[arg(long)]
        server: SocketAddrV4,
    },
}

#[derive(Args)]
pub(crate) struct EmulatorArguments {
    #[arg(long = "day")]
    pub(crate) scenario: PathBuf,
    #[arg(long)]
    listen: SocketAddrV4,
    #[arg(long = "front")]
    fronts: Vec<SocketAddrV4>,
    #[arg(long)]
    start_us: u64,
}

impl EmulatorArguments {
    pub(crate) fn config(&self) -> EmulatorConfig {
        EmulatorConfig {
            listen: self.listen,
            fronts: self.fronts.iter().map(|front| SocketAddr::V4(*front)).collect(),
            start: Moment::from_micros(self.start_us),
        }
    }
}
