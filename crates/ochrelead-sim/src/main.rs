//! The command-line program `ochrelead-sim`.

mod commands;

use std::num::ParseIntError;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use thiserror::Error;

/// Simulates scenarios with the front's engines on a virtual clock, with seeded faults and exact replay.
///
/// Exits with 0 on success, 1 if a violation or a diagnosis error was found, 2 for invalid usage or settings.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  ochrelead-sim explore --seeds 0..10000\n  ochrelead-sim replay 4711 --trace trace.txt\n  \
    ochrelead-sim shrink 4711 --out found.textproto\n  ochrelead-sim play scenarios/bad-day.textproto"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate the generated scenarios of a range of seeds
    Explore {
        /// The first seed, and the end of the range (exclusive)
        #[arg(long, value_name = "A..B", value_parser = seed_range)]
        seeds: Range<u64>,
        #[arg(long, default_value_t = 0, value_name = "COUNT", help = "Threads; 0 for one per core")]
        threads: usize,
    },
    /// Simulate the scenario of one seed or file again, and print the result
    Replay {
        /// A seed, or a scenario file
        #[arg(value_name = "OF")]
        source: String,
        /// Write every event to this file, one line each
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
        /// Print the last events up to this one
        #[arg(long)]
        step: Option<u64>,
    },
    /// Reduce a scenario to fewer faults that still violate the same invariant
    Shrink {
        #[arg(value_name = "OF")]
        source: String,
        /// The file for the reduced scenario
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Simulate a scripted scenario with all policies
    Play {
        #[arg(value_name = "DAY")]
        scenario: PathBuf,
        /// The folder for the event logs of the module's fronts, for report and console
        #[arg(long, value_name = "DIR")]
        records: Option<PathBuf>,
        /// Simulate the module only, without the baseline policies
        #[arg(long)]
        alone: bool,
    },
    /// Compare the faults that the diagnosis detects with the scripted ones, over a range of seeds
    Found {
        #[arg(value_name = "DAYS", required = true)]
        scenarios: Vec<PathBuf>,
        #[arg(long, value_name = "A..B", value_parser = seed_range)]
        seeds: Range<u64>,
        /// Before the diagnosis, offset the fronts' clocks and remove a tenth of the records
        #[arg(long)]
        marred: bool,
    },
    /// Simulate a grid of scenarios and write the results
    Experiment {
        grid: PathBuf,
        /// The file for the result table; the plot has the same name with the extension svg
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
}

/// An invalid range of seeds.
#[derive(Debug, Error)]
enum SeedRangeError {
    #[error("expected two seeds separated by .., such as 0..100")]
    NotARange,
    #[error("invalid seed {text:?}: {source}")]
    InvalidSeed { text: String, source: ParseIntError },
}

fn seed_range(text: &str) -> Result<Range<u64>, SeedRangeError> {
    let (first, end) = text.split_once("..").ok_or(SeedRangeError::NotARange)?;
    let seed = |text: &str| {
        text.parse::<u64>().map_err(|source| SeedRangeError::InvalidSeed { text: text.to_owned(), source })
    };
    Ok(seed(first)?..seed(end)?)
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command {
        Command::Explore { seeds, threads } => commands::explore::run(seeds, threads),
        Command::Replay { source, trace, step } => commands::replay::run(&source, trace.as_deref(), step),
        Command::Shrink { source, out } => commands::shrink::run(&source, &out),
        Command::Play { scenario, records, alone } => {
            commands::play::run(&scenario, records.as_deref(), alone)
        }
        Command::Found { scenarios, seeds, marred } => commands::diagnosis::run(&scenarios, seeds, marred),
        Command::Experiment { grid, out } => commands::experiment::run(&grid, &out),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ochrelead-sim: {error:#}");
            ExitCode::from(2)
        }
    }
}
