//! The program `ochrelead-front`.

mod arguments;
mod node_command;

use std::fmt::Display;
use std::fs;
use std::io::{self, IsTerminal};
use std::net::UdpSocket;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use async_io::Async;
use clap::Parser;
use futures_lite::future;
use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::front_config::{self, FrontConfig};
use ochrelead_core::controller::Controller;
use ochrelead_core::time::{Moment, Span};
use ochrelead_front::engine::Engine;
use ochrelead_front::host::{self, FrontPaths};
use ochrelead_host::STATUS_FILE;
use ochrelead_host::clock::Clock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use thiserror::Error;
use tracing_subscriber::EnvFilter;

use arguments::{Arguments, Command};

/// The exit code if the command line, the settings or a state folder can't be used.
const EXIT_INVALID_INPUT: u8 = 2;
/// The exit code if the program could not start to serve, or had to stop serving because of an error.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match &arguments.command {
        Some(Command::Status { state }) => print_status(state),
        Some(Command::Node { config, options, log }) => node_command::run(config, options, log),
        None => run_front(arguments),
    }
}

/// Prints the error on standard error, in one line.
fn fail(code: u8, error: impl Display) -> ExitCode {
    eprintln!("ochrelead-front: {error}");
    ExitCode::from(code)
}

fn print_status(state: &Path) -> ExitCode {
    let path = state.join(STATUS_FILE);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => return fail(EXIT_INVALID_INPUT, format_args!("{}: {error}", path.display())),
    };
    let (header, servers) = text.split_once('\n').unwrap_or(("", &text));
    let written_us = header.strip_prefix("written_us: ").and_then(|us| us.parse().ok()).unwrap_or(0);
    let age = Clock::start().now().since(Moment::from_micros(written_us));
    println!("as of {:.1} s ago", age.ratio(Span::from_secs(1)));
    print!("{servers}");
    ExitCode::SUCCESS
}

fn run_front(arguments: Arguments) -> ExitCode {
    let config = match read_settings(&arguments) {
        Ok(config) => config,
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("ochrelead-front: {error}"));
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
    };
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    let Ok(filter) = EnvFilter::try_new(&arguments.log) else {
        return fail(EXIT_INVALID_INPUT, format_args!("--log {}: not a log level or filter", arguments.log));
    };
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    if arguments.json {
        log.json().init();
    } else {
        log.with_ansi(io::stderr().is_terminal()).init();
    }
    match serve(config, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_FAILURE, format_args!("{error:#}")),
    }
}

#[derive(Debug, Error)]
enum SettingsError {
    #[error("{0}")]
    Invalid(Diagnostic),
    #[error("{}: server: the settings must list no servers if --fleet is given", .settings.display())]
    ServersWithFleetOption { settings: PathBuf },
}

fn read_settings(arguments: &Arguments) -> Result<FrontConfig, Vec<SettingsError>> {
    let path = arguments.settings.as_deref().unwrap_or(Path::new(""));
    let invalid =
        |diagnostics: Vec<_>| diagnostics.into_iter().map(SettingsError::Invalid).collect::<Vec<_>>();
    let config = front_config::open(path).map_err(invalid)?;
    if arguments.fleet.is_some() && !config.servers.is_empty() {
        return Err(vec![SettingsError::ServersWithFleetOption { settings: path.to_owned() }]);
    }
    Ok(config)
}

fn serve(mut config: FrontConfig, arguments: Arguments) -> anyhow::Result<()> {
    let clock = Clock::start();
    // The first transaction id differs in each process, even with the same seed: servers store their responses to the
    // former process by transaction id.
    let first_transaction = Pcg64Mcg::seed_from_u64(clock.now().micros()).random();
    config.controller.seed = arguments.seed.unwrap_or(clock.now().micros());
    let socket = UdpSocket::bind(config.listen).with_context(|| format!("listen on {}", config.listen))?;
    let paths = FrontPaths { fleet: arguments.fleet, state: arguments.state, event_log: arguments.records };
    let start_engine = |config: FrontConfig| {
        let controller = Controller::new(&config.controller, clock.now());
        Engine::new(config, Box::new(controller), first_transaction, clock.now())
    };
    let serving = host::serve(config, start_engine, Async::new(socket)?, clock, paths);
    future::block_on(serving).context("serving")
}
