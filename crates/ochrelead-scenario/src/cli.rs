//! The command line.

use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use ochrelead_core::time::Moment;
use ochrelead_scenario::process::EmulatorConfig;

/// Runs scripted scenarios with real fronts on loopback sockets, and audits the captured datagrams.
///
/// Exit codes: 0 if all rules were kept, 1 if a rule was violated, 2 for invalid usage or settings and other errors.
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
    /// Run a scenario in real time and audit it
    Run {
        #[arg(value_name = "DAY")]
        scenario: PathBuf,
        /// Output folder for the captures and the fronts' files
        #[arg(long = "out", value_name = "DIR")]
        output: PathBuf,
        /// Run only the controller, without the textbook baselines
        #[arg(long)]
        alone: bool,
    },
    /// Audit a capture
    Audit {
        capture: PathBuf,
        #[arg(long = "day", value_name = "DAY")]
        scenario: PathBuf,
    },
    /// Compare the faults that the diagnosis detects with those of a run's script
    #[command(name = "found")]
    Detection {
        /// Output folders of runs; for more than one, a table by kind of fault is printed
        #[arg(required = true, value_name = "OUTS")]
        outputs: Vec<PathBuf>,
        /// First set some fronts' clocks wrong and remove a tenth of the records, with this random seed
        #[arg(long = "marred", value_name = "SEED")]
        corruption_seed: Option<u64>,
    },
    /// Check scenario files without running them
    Check {
        #[arg(required = true, value_name = "DAYS")]
        scenarios: Vec<PathBuf>,
    },
    /// Measure the throughput of one front on one core, compared with a plain UDP relay
    Load {
        #[arg(long = "out", value_name = "DIR")]
        output: PathBuf,
        /// Duration of each step
        #[arg(long, default_value_t = 3)]
        seconds: u64,
        /// Sessions per second of each step
        #[arg(
            long,
            value_delimiter = ',',
            default_value = "500,1000,2000,3000,4000,5000,6000,7200,8500,10000,12000,15000,20000,26000"
        )]
        rates: Vec<u32>,
    },
    /// Run one of the processes that the other subcommands start
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
