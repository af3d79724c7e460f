//! The program `ochrelead-front`.

use std::io::{self, IsTerminal};
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use async_io::Async;
use clap::Parser;
use futures_lite::future;
use ochrelead_core::rules::Controller;
use ochrelead_front::engine::Engine;
use ochrelead_front::host::{self, Clock};
use ochrelead_settings::commission::{self, Commission};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tracing_subscriber::EnvFilter;

/// A front: takes sessions from callers' gateways over MGCP and sets them up at signalling servers.
///
/// SIGTERM makes it leave service: no new sessions, each held one gets its final answer.
#[derive(Parser)]
#[command(
    version,
    after_help = "Examples:\n  ochrelead-front --settings front.textproto\n  \
    ochrelead-front --settings front.textproto --check\n  \
    ochrelead-front --settings front.textproto --list last-list.textproto --json --log info"
)]
struct Line {
    /// The settings, in protobuf text format (schema Front)
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Where the last server list is kept; it is read at the start where it is there
    #[arg(long, value_name = "FILE")]
    list: Option<PathBuf>,
    /// Check the settings and stop
    #[arg(long)]
    check: bool,
    /// The seed of chance; another at each start where none is given
    #[arg(long)]
    seed: Option<u64>,
    /// What is logged: error, warn, info, or per part as in ochrelead_front=warn
    #[arg(long, default_value = "warn")]
    log: String,
    /// Log lines as JSON
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let line = Line::parse();
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

fn read(line: &Line) -> Result<Commission, Vec<String>> {
    let told = |complaints: Vec<_>| complaints.iter().map(ToString::to_string).collect::<Vec<_>>();
    let mut commission = commission::open(&line.settings).map_err(told)?;
    // What this front last knew of its servers goes before what its settings said of them.
    if let Some(list) = line.list.as_deref().filter(|list| list.exists()) {
        commission.remember(&commission::open_roster(list).map_err(told)?);
    }
    Ok(commission)
}

fn run(mut commission: Commission, line: Line) -> anyhow::Result<()> {
    let clock = Clock::start();
    let seed = line.seed.unwrap_or(clock.now().micros());
    let first = Pcg64Mcg::seed_from_u64(seed).random();
    commission.provision.seed = seed;
    let socket =
        UdpSocket::bind(commission.listen).with_context(|| format!("listen on {}", commission.listen))?;
    let judge = Controller::new(&commission.provision, clock.now());
    let engine = Engine::new(commission, judge, first, clock.now());
    let served = host::serve(engine, Async::new(socket)?, clock, line.list);
    future::block_on(served).context("serving")
}
