//! The program `ochrelead-verify`.

mod commands;

use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use commands::soak::SoakOptions;
use ochrelead_verify::explore::Model;
use ochrelead_verify::simulation;
use ochrelead_verify::zones::scenario::Scenario;

/// Verifies what fronts do together: a lease never has two holders, whatever happens between the fronts.
///
/// Exit: 0 nothing was found, 1 something was found, 2 usage.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:
  ochrelead-verify explore --depth 13
  ochrelead-verify explore --voters 5 --candidates 3 --fronts 5 --depth 11
  ochrelead-verify seeds 0..10000
  ochrelead-verify seeds 0..20 --fronts 2000 --calm
  ochrelead-verify soak 0..50"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check every order of a few events over the engines themselves
    Explore {
        /// Fronts that vote
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=64))]
        voters: u32,
        /// Fronts that are candidates for the task
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=64))]
        candidates: u32,
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=64))]
        fronts: u32,
        /// Steps from the start
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u8).range(1..))]
        depth: u8,
        /// Steps of time, of which a lease has four
        #[arg(long, default_value_t = 6)]
        ticks: u8,
        #[arg(long, default_value_t = 1)]
        restarts: u8,
        #[arg(long, default_value_t = 1)]
        doubles: u8,
        #[arg(long, default_value_t = 1)]
        leaves: u8,
        /// The most states to go through
        #[arg(long, default_value_t = 200_000_000)]
        most: u64,
    },
    /// Measure what coordination costs, and how soon a lease is held again after each fault, on a virtual clock
    Costs {
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(2..))]
        fronts: u32,
        /// Silent servers
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..))]
        servers: u32,
        #[arg(long, default_value_t = 60)]
        secs: u64,
        /// How often each fault is simulated
        #[arg(long, default_value_t = 20)]
        times: u64,
    },
    /// Run dense trials of several processes with faults from seeds, and judge them by the platform's rules
    Soak {
        /// The seeds, as FIRST..END
        #[arg(value_parser = range)]
        seeds: Range<u64>,
        /// The program
        #[arg(long, default_value = "target/release/ochrelead-front")]
        front: PathBuf,
        /// Trials at a time
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=20))]
        parallel: u8,
        /// Where the configurations and logs of the nodes go
        #[arg(long, default_value = "target/soak")]
        folder: PathBuf,
        /// What the nodes log
        #[arg(long, default_value = "info")]
        log: String,
        /// Nodes of each trial; drawn from its seed where none is given
        #[arg(long, value_parser = clap::value_parser!(u8).range(2..=128))]
        nodes: Option<u8>,
        /// Print everything that was seen, too
        #[arg(long)]
        verbose: bool,
    },
    /// Run several processes of the program with a relay between them, and faults from a seed one after the other
    Play {
        /// The program
        #[arg(long, default_value = "target/release/ochrelead-front")]
        front: PathBuf,
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u32).range(2..=20))]
        fronts: u32,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The number of faults
        #[arg(long, default_value_t = 20)]
        faults: u32,
    },
    /// Simulate fleets with servers and callers whose zones fail and return, on a virtual clock: each scenario with and
    /// without acting together
    Districts {
        /// Which seeds, as in 0..100
        #[arg(value_parser = range)]
        seeds: Range<u64>,
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(8..))]
        fronts: u32,
        #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u32).range(8..))]
        servers: u32,
        /// Scenarios in which no zone may be drained: all slow, overload, a few bad servers, a front cut off
        #[arg(long)]
        harmless: bool,
        /// Also print a line for each half second with the service and the share in force
        #[arg(long)]
        course: bool,
    },
    /// Simulate fleets on a virtual clock, with faults drawn from seeds
    Seeds {
        /// Which seeds, as in 0..1000
        #[arg(value_parser = range)]
        seeds: Range<u64>,
        /// Fronts of each fleet; 7 to 300 by the seed where none is given
        #[arg(long, value_parser = clap::value_parser!(u32).range(2..))]
        fronts: Option<u32>,
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..))]
        tasks: u64,
        /// How long each simulation lasts, in seconds
        #[arg(long, default_value_t = 60)]
        secs: u64,
        /// Without faults, to see what it costs
        #[arg(long)]
        calm: bool,
    },
}

/// A range of seeds. The error completes the message of the argument parser.
fn range(text: &str) -> Result<Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("two numbers with .. between")?;
    let number = |text: &str| text.parse::<u64>().map_err(|error| format!("{text:?}: {error}"));
    let seeds = number(from)?..number(to)?;
    if seeds.is_empty() { Err(format!("{text}: no seed between")) } else { Ok(seeds) }
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Explore { voters, candidates, fronts, depth, ticks, restarts, doubles, leaves, most } => {
            let fronts = fronts.max(voters).max(candidates);
            let duplicates = doubles;
            let model = Model {
                voters,
                candidates,
                fronts,
                ticks,
                restarts,
                duplicates,
                leaves,
                depth,
                mutation: None,
            };
            commands::explore::run(&model, most)
        }
        Command::Costs { fronts, servers, secs, times } => commands::costs::run(fronts, servers, secs, times),
        Command::Play { front, fronts, seed, faults } => commands::cluster::run(&front, fronts, seed, faults),
        Command::Soak { seeds, front, parallel, folder, log, nodes, verbose } => commands::soak::run(
            seeds,
            &SoakOptions {
                program: front,
                parallel,
                folder,
                log_level: log,
                nodes: nodes.map(usize::from),
                verbose,
            },
        ),
        Command::Districts { seeds, fronts, servers, harmless, course } => {
            let draw = if harmless { Scenario::harmless } else { Scenario::failing };
            commands::districts::run(seeds, |seed| draw(seed, fronts, servers), course)
        }
        Command::Seeds { seeds, fronts, tasks, secs, calm } => {
            let scenario = |seed| simulation::Scenario {
                seed,
                fronts: fronts.unwrap_or_else(|| default_fleet_size(seed)),
                tasks,
                duration_secs: secs,
                without_faults: calm,
                mutation: None,
            };
            commands::seeds::run(seeds, scenario)
        }
    }
}

/// One fleet in ten is large.
fn default_fleet_size(seed: u64) -> u32 {
    if seed % 10 == 0 { 300 } else { 7 + (seed % 13) as u32 }
}
