//! What each process of a world runs: a front, a stand-in server, or all callers.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, bail};
use async_io::{Async, Timer};
use futures_lite::future;
use ochrelead_config::diagnostic::Diagnostic;
use ochrelead_config::front_config::{self, FrontConfig};
use ochrelead_config::scenario::Scenario;
use ochrelead_core::controller::Controller;
use ochrelead_core::time::Moment;
use ochrelead_emulator::Peer;
use ochrelead_emulator::callers::Callers;
use ochrelead_emulator::server::{Server, ServerConfig};
use ochrelead_front::engine::Engine;
use ochrelead_front::host::{self, FrontPaths};
use ochrelead_host::clock::Clock;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::baseline::{Baseline, Policy};
use crate::world::Deciding;

/// One line a complaint, so that an operator sees all of them.
pub fn complained(complaints: Vec<Diagnostic>) -> anyhow::Error {
    let lines: Vec<String> = complaints.iter().map(ToString::to_string).collect();
    anyhow::anyhow!("{}", lines.join("\n"))
}

/// Runs a front as its program does, but for who decides.
pub fn front(settings: &Path, places: FrontPaths, deciding: Deciding, seed: u64) -> anyhow::Result<()> {
    let clock = Clock::start();
    let mut commission = front_config::open(settings).map_err(complained)?;
    let level = tracing_subscriber::filter::LevelFilter::ERROR;
    tracing_subscriber::fmt().with_max_level(level).with_writer(io::stderr).init();
    let first = Pcg64Mcg::seed_from_u64(clock.now().micros() ^ seed).random();
    commission.controller.seed = seed;
    let socket =
        UdpSocket::bind(commission.listen).with_context(|| format!("listen on {}", commission.listen))?;
    let socket = Async::new(socket)?;
    let policy = match deciding {
        Deciding::Module => {
            let engine = |commission: FrontConfig| {
                let judge = Controller::new(&commission.controller, clock.now());
                Engine::new(commission, Box::new(judge), first, clock.now())
            };
            return Ok(future::block_on(host::serve(commission, engine, socket, clock, places))?);
        }
        Deciding::Random => Policy::Random,
        Deciding::Unbounded => Policy::Unbounded,
    };
    let engine = |commission: FrontConfig| {
        let target =
            commission.controller.services.iter().map(|s| s.post_dial_target).max().unwrap_or_default();
        let judge = Baseline::new(policy, commission.controller.resend_delay, target, seed);
        Engine::new(commission, Box::new(judge), first, clock.now())
    };
    Ok(future::block_on(host::serve(commission, engine, socket, clock, places))?)
}

/// Runs the `nth` stand-in server.
pub fn server(
    day: &Scenario,
    nth: usize,
    listen: SocketAddrV4,
    fronts: &[SocketAddrV4],
    start_us: u64,
    fresh: bool,
) -> anyhow::Result<()> {
    if nth >= day.servers.len() {
        bail!("there are only {} servers", day.servers.len());
    }
    let clock = Clock::start();
    let config = ServerConfig {
        scenario: day,
        index: nth,
        name: crate::world::server_name(nth),
        fronts: fronts.iter().map(|front| SocketAddr::V4(*front)).collect(),
        scenario_start: Moment::from_micros(start_us),
        is_cold: fresh,
    };
    run(Server::new(config, clock.now()), listen, clock)
}

/// Runs all callers.
pub fn callers(
    day: Scenario,
    listen: SocketAddrV4,
    fronts: &[SocketAddrV4],
    start_us: u64,
) -> anyhow::Result<()> {
    let clock = Clock::start();
    let fronts = fronts.iter().map(|front| SocketAddr::V4(*front)).collect();
    run(Callers::new(day, fronts, Moment::from_micros(start_us), clock.now()), listen, clock)
}

/// The host of a stand-in: its socket and its clock.
fn run(mut peer: impl Peer, listen: SocketAddrV4, clock: Clock) -> anyhow::Result<()> {
    let socket = UdpSocket::bind(listen).with_context(|| format!("listen on {listen}"))?;
    let socket = Async::new(socket)?;
    let mut buffer = vec![0; 65_536];
    future::block_on(async {
        loop {
            while let Ok((length, from)) = socket.get_ref().recv_from(&mut buffer) {
                peer.handle_datagram(clock.now(), from, &buffer[..length]);
            }
            peer.process(clock.now());
            while let Some((to, bytes)) = peer.poll_datagram() {
                // What can't leave is lost, as on any network.
                let _ = socket.get_ref().send_to(&bytes, to);
            }
            let alarm = clock.timer(peer.poll_timeout());
            let idle = Timer::after(Duration::from_secs(1));
            let tick = future::or(
                async {
                    let _ = alarm.await;
                },
                async {
                    let _ = idle.await;
                },
            );
            future::or(
                async {
                    let _ = socket.readable().await;
                },
                tick,
            )
            .await;
        }
    })
}
