//! The program `ochrelead-sim`.

mod commands;

use std::num::ParseIntError;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use thiserror::Error;

/// Plays days with the front's own engines on a virtual clock: seeded faults, exact replay.
///
/// Exits with 0 where nothing was found, 1 where something was, 2 for usage and settings.
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
    /// Play the days of many seeds on all cores
    Explore {
        /// From, and up to but not with
        #[arg(long, value_name = "A..B", value_parser = seed_range)]
        seeds: Range<u64>,
        #[arg(long, default_value_t = 0, value_name = "COUNT", help = "Threads; 0 for one per core")]
        threads: usize,
    },
    /// Play one seed's day again, or a schedule's file, and tell what happened
    Replay {
        /// A seed, or a file
        #[arg(value_name = "OF")]
        source: String,
        /// Every event, one line each
        #[arg(long, value_name = "FILE")]
        trace: Option<PathBuf>,
        /// Stop at this event
        #[arg(long)]
        step: Option<u64>,
    },
    /// The fewest faults that still break the same thing
    Shrink {
        #[arg(value_name = "OF")]
        source: String,
        /// Where the schedule goes
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Play a scripted day with all policies
    Play {
        #[arg(value_name = "DAY")]
        scenario: PathBuf,
        /// Where the module's fronts leave their records, for report and console
        #[arg(long, value_name = "DIR")]
        records: Option<PathBuf>,
        /// Leave out the textbooks
        #[arg(long)]
        alone: bool,
    },
    /// How well the diagnosis finds what the scripts of days did, over many seeds
    Found {
        #[arg(value_name = "DAYS", required = true)]
        scenarios: Vec<PathBuf>,
        #[arg(long, value_name = "A..B", value_parser = seed_range)]
        seeds: Range<u64>,
        /// Set the fronts' clocks wrong and cut out a tenth of the records first
        #[arg(long)]
        marred: bool,
    },
    /// Play a grid of days and write what came of it
    Experiment {
        grid: PathBuf,
        /// The table; plots go beside it
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
}

/// A range of seeds that can't be read.
#[derive(Debug, Error)]
enum SeedRangeError {
    #[error("two seeds with .. between")]
    NotARange,
    #[error("{text}: {source}")]
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
