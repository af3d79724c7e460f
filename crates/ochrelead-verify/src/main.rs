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

/// Verifies how fronts cooperate under faults of processes and networks: no lease has two holders, fleets leave
/// failing zones together, and calls keep the platform's rules.
///
/// Exit: 0 no violation was found, 1 a violation was found, 2 usage.
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
    /// Check every interleaving of a bounded set of events over the lease engines
    Explore {
        /// Number of voters
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=64))]
        voters: u32,
        /// Number of candidates for the task
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..=64))]
        candidates: u32,
        /// Number of fronts; raised to the number of voters or candidates if lower
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=64))]
        fronts: u32,
        /// Maximum number of steps from the initial state
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u8).range(1..))]
        depth: u8,
        /// Maximum number of ticks of time; a lease lasts four
        #[arg(long, default_value_t = 6)]
        ticks: u8,
        /// Maximum number of restarts
        #[arg(long, default_value_t = 1)]
        restarts: u8,
        /// Maximum number of duplicated messages
        #[arg(long = "doubles", value_name = "DOUBLES", default_value_t = 1)]
        duplicates: u8,
        /// Maximum number of times a holder leaves service
        #[arg(long, default_value_t = 1)]
        leaves: u8,
        /// Number of states after which the search stops
        #[arg(long = "most", value_name = "MOST", default_value_t = 200_000_000)]
        max_states: u64,
    },
    /// Measure the cost of coordination, and the time without a lease holder after each fault, on a virtual clock
    Costs {
        /// Number of fronts
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u32).range(2..))]
        fronts: u32,
        /// Number of silent servers
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u32).range(1..))]
        servers: u32,
        /// Duration of each simulation, in seconds
        #[arg(long = "secs", value_name = "SECS", default_value_t = 60)]
        duration_secs: u64,
        /// Number of simulations of each fault
        #[arg(long = "times", value_name = "TIMES", default_value_t = 20)]
        repetitions: u64,
    },
    /// Run trials of several processes with many faults drawn from seeds, and check them against the platform's rules
    Soak {
        /// The seeds, as FIRST..END; END is excluded
        #[arg(value_parser = range)]
        seeds: Range<u64>,
        /// Path of the program ochrelead-front
        #[arg(long = "front", value_name = "FRONT", default_value = "target/release/ochrelead-front")]
        binary: PathBuf,
        /// Number of concurrent trials
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u8).range(1..=20))]
        parallel: u8,
        /// Folder for the configurations and logs of the nodes
        #[arg(long, default_value = "target/soak")]
        folder: PathBuf,
        /// Log level of the nodes
        #[arg(long = "log", value_name = "LOG", default_value = "info")]
        log_level: String,
        /// Number of nodes in each trial; without it, drawn from the trial's seed
        #[arg(long, value_parser = clap::value_parser!(u8).range(2..=128))]
        nodes: Option<u8>,
        /// Also print the scenario and the history of each trial
        #[arg(long)]
        verbose: bool,
    },
    /// Run several front processes with a relay between them, and inject faults drawn from a seed one after the other
    #[command(name = "play")]
    Cluster {
        /// Path of the program ochrelead-front
        #[arg(long = "front", value_name = "FRONT", default_value = "target/release/ochrelead-front")]
        binary: PathBuf,
        /// Number of fronts
        #[arg(long, default_value_t = 7, value_parser = clap::value_parser!(u32).range(2..=20))]
        fronts: u32,
        /// Seed of the faults
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of faults
        #[arg(long, default_value_t = 20)]
        faults: u32,
    },
    /// Simulate fleets with servers and callers whose zones fail and return, on a virtual clock: each scenario with
    /// and without coordination among the fronts
    #[command(name = "districts")]
    Zones {
        /// The seeds, as in 0..100
        #[arg(value_parser = range)]
        seeds: Range<u64>,
        /// Number of fronts
        #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u32).range(8..))]
        fronts: u32,
        /// Number of servers
        #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u32).range(8..))]
        servers: u32,
        /// Only scenarios in which no zone may be drained: all servers slow, overload, a few failed servers, a front
        /// cut off
        #[arg(long)]
        harmless: bool,
        /// Also print, for each half second, the served share and the share of traffic that the failed zone may get
        #[arg(long = "course")]
        prints_time_series: bool,
    },
    /// Simulate fleets on a virtual clock, with faults drawn from seeds
    Seeds {
        /// The seeds, as in 0..1000
        #[arg(value_parser = range)]
        seeds: Range<u64>,
        /// Number of fronts; without it, 7 to 300 depending on the seed
        #[arg(long, value_parser = clap::value_parser!(u32).range(2..))]
        fronts: Option<u32>,
        /// Number of tasks with a lease
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..))]
        tasks: u64,
        /// Duration of each simulation, in seconds
        #[arg(long = "secs", value_name = "SECS", default_value_t = 60)]
        duration_secs: u64,
        /// Inject no faults, to measure the messages of normal operation
        #[arg(long = "calm")]
        without_faults: bool,
    },
}

/// Parses a range of seeds. The argument parser puts the rejected value in front of the error.
fn range(text: &str) -> Result<Range<u64>, String> {
    let (from, to) = text.split_once("..").ok_or("expected FIRST..END, such as 0..100")?;
    let number = |text: &str| text.parse::<u64>().map_err(|error| format!("{text:?}: {error}"));
    let seeds = number(from)?..number(to)?;
    if seeds.is_empty() {
        Err("the range is empty: END must be greater than FIRST".to_owned())
    } else {
        Ok(seeds)
    }
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Explore {
            voters,
            candidates,
            fronts,
            depth,
            ticks,
            restarts,
            duplicates,
            leaves,
            max_states,
        } => {
            let fronts = fronts.max(voters).max(candidates);
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
            commands::explore::run(&model, max_states)
        }
        Command::Costs { fronts, servers, duration_secs, repetitions } => {
            commands::costs::run(fronts, servers, duration_secs, repetitions)
        }
        Command::Cluster { binary, fronts, seed, faults } => {
            commands::cluster::run(&binary, fronts, seed, faults)
        }
        Command::Soak { seeds, binary, parallel, folder, log_level, nodes, verbose } => commands::soak::run(
            seeds,
            &SoakOptions {
                program: binary,
                parallel,
                folder,
                log_level,
                nodes: nodes.map(usize::from),
                verbose,
            },
        ),
        Command::Zones { seeds, fronts, servers, harmless, prints_time_series } => {
            let draw = if harmless { Scenario::harmless } else { Scenario::failing };
            commands::zones::run(seeds, |seed| draw(seed, fronts, servers), prints_time_series)
        }
        Command::Seeds { seeds, fronts, tasks, duration_secs, without_faults } => {
            let scenario = |seed| simulation::Scenario {
                seed,
                fronts: fronts.unwrap_or_else(|| default_fleet_size(seed)),
                tasks,
                duration_secs,
                without_faults,
                mutation: None,
            };
            commands::seeds::run(seeds, scenario)
        }
    }
}

/// The number of fronts if none is given: one fleet in ten is large.
fn default_fleet_size(seed: u64) -> u32 {
    if seed % 10 == 0 { 300 } else { 7 + (seed % 13) as u32 }
}
