//! The host: connects the engine to the socket, the clock, the signals and the endpoint files, which list the servers.
//!
//! One task runs the event loop. Each iteration reads the received datagrams, calls [`Engine::process`], sends the
//! engine's datagrams, and waits for the next datagram, change of the endpoint files, signal or time-out. Two threads
//! write the state ([`crate::state_writer`]) and the event log; both end when [`serve`] returns. A third thread watches
//! the endpoint files, if there are any.

mod output;

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;

use async_channel::Receiver;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::stream::Stream;
use futures_lite::{StreamExt, future, stream};
use ochrelead_config::front_config::FrontConfig;
use ochrelead_core::time::Moment;
use ochrelead_discovery::persistence::PersistedEndpoints;
use ochrelead_discovery::reloader::{EndpointReloader, ReloadOutcome};
use ochrelead_discovery::source_file::SourceFile;
use ochrelead_discovery::store;
use ochrelead_discovery::watch;
use ochrelead_host::clock::Clock;
use ochrelead_host::state_folder::StateFolder;
use tracing::{info, warn};

use crate::engine::Engine;
use output::Output;

/// The maximal number of datagrams that are read in one iteration of the event loop.
const MAX_DATAGRAMS_PER_ITERATION: usize = 512;
/// The size of the receive buffer in bytes: a UDP datagram is shorter.
const RECEIVE_BUFFER_LENGTH: usize = 65_536;

/// The files that a front reads and writes.
#[derive(Clone, Debug, Default)]
pub struct FrontPaths {
    /// An endpoint file or a folder of endpoint files; without it, the servers of the configuration are used.
    pub fleet: Option<PathBuf>,
    /// The folder of the state, the status and the counters.
    pub state: Option<PathBuf>,
    /// The folder of the event log.
    pub event_log: Option<PathBuf>,
}

enum HostEvent {
    Readable,
    EndpointFiles(Vec<SourceFile>),
    Terminate,
    TimedOut,
}

/// Runs a front until it has drained. `new_engine` creates its engine from the configuration.
///
/// # Errors
///
/// If the signals, the socket, the state folder or the event log's folder can't be used.
pub async fn serve(
    config: FrontConfig,
    new_engine: impl FnOnce(FrontConfig) -> Engine,
    socket: Async<UdpSocket>,
    clock: Clock,
    paths: FrontPaths,
) -> io::Result<()> {
    let persisted = load_state(&paths)?;
    let (services, name) = (config.service_names.clone(), config.name.clone());
    let mut engine = new_engine(config);
    let reloader = paths.fleet.is_some().then(|| {
        let fleet = persisted.as_ref().and_then(PersistedEndpoints::fleet);
        if let Some(fleet) = &fleet {
            info!(
                generation = fleet.generation(),
                "using persisted endpoints until the endpoint files are read"
            );
            engine.update_endpoints(clock.now(), &fleet.servers);
        }
        EndpointReloader::new(services, fleet)
    });
    let readings = paths.fleet.clone().map(watch::start).transpose()?;
    if let Some(persisted) = &persisted {
        engine.restore_self_reports(clock.now(), &persisted.servers);
    }
    let output = Output::start(&paths, &name, clock)?;
    let mut host = Host { engine, reloader, output, clock };
    host.run(&socket, readings).await?;
    host.output.close();
    info!("drained; front stopped");
    Ok(())
}

fn load_state(paths: &FrontPaths) -> io::Result<Option<PersistedEndpoints>> {
    let Some(path) = &paths.state else { return Ok(None) };
    let loaded = store::load(&StateFolder::open(path)?)?;
    for rejected in loaded.rejected {
        warn!(reason = rejected.to_string(), "state file ignored");
    }
    Ok(loaded.endpoints)
}

struct Host {
    engine: Engine,
    reloader: Option<EndpointReloader>,
    output: Output,
    clock: Clock,
}

impl Host {
    async fn run(
        &mut self,
        socket: &Async<UdpSocket>,
        readings: Option<Receiver<Vec<SourceFile>>>,
    ) -> io::Result<()> {
        let signals = Signals::new([Signal::Term, Signal::Int])?.map(|_| HostEvent::Terminate);
        let events = stream::or(signals, stream::or(endpoint_readings(readings), readability(socket)));
        futures_lite::pin!(events);
        let mut buffer = vec![0; RECEIVE_BUFFER_LENGTH];
        while !self.engine.is_drained() {
            self.receive_all(socket, &mut buffer);
            self.engine.process(self.clock.now());
            self.send_all(socket).await;
            while let Some(event) = self.engine.poll_event() {
                self.output.write_event(event, self.reloader.as_ref());
            }
            self.output.write_status(self.clock.now(), &self.engine, self.reloader.as_ref());
            let timer = self.clock.timer(self.earliest_timeout());
            let timed_out = async {
                timer.await;
                Some(HostEvent::TimedOut)
            };
            let event = future::or(events.next(), timed_out).await;
            self.handle(event);
        }
        Ok(())
    }

    fn earliest_timeout(&self) -> Option<Moment> {
        let reloader = self.reloader.as_ref().and_then(EndpointReloader::poll_timeout);
        [self.engine.poll_timeout(), reloader, self.output.poll_timeout()].into_iter().flatten().min()
    }

    fn receive_all(&mut self, socket: &Async<UdpSocket>, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match socket.get_ref().recv_from(buffer) {
                Ok((length, from)) => {
                    self.engine.handle_datagram(self.clock.now(), from, &buffer[..length]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Some systems report here that the port of an earlier datagram was closed. Retransmissions handle
                // that.
                Err(_) => {}
            }
        }
    }

    async fn send_all(&mut self, socket: &Async<UdpSocket>) {
        while let Some((to, bytes)) = self.engine.poll_datagram() {
            if let Err(error) = send(socket, &bytes, to).await {
                warn!(%to, %error, "datagram could not be sent");
                self.engine.on_send_failed(self.clock.now(), to);
            }
        }
    }

    fn handle(&mut self, event: Option<HostEvent>) {
        let now = self.clock.now();
        let outcome = match (event, self.reloader.as_mut()) {
            (Some(HostEvent::Terminate), _) => {
                info!("signal received; draining");
                self.output.record_lifecycle("drain");
                self.engine.drain(now);
                None
            }
            (Some(HostEvent::EndpointFiles(files)), Some(reloader)) => reloader.handle_files(now, files),
            (_, Some(reloader)) => reloader.poll_report(now),
            _ => None,
        };
        match outcome {
            Some(ReloadOutcome::Adopted { servers, generation, changes }) => {
                self.engine.update_endpoints(self.clock.now(), &servers);
                let changes: Vec<String> = changes
                    .iter()
                    .map(|change| format!("{} {}", change.server, change.kind.name()))
                    .collect();
                info!(generation, changes = changes.join(", "), "endpoints adopted");
            }
            Some(ReloadOutcome::Rejected(error)) => {
                warn!(reason = error.to_string(), "endpoint files rejected; endpoints unchanged");
            }
            None => {}
        }
    }
}

async fn send(socket: &Async<UdpSocket>, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
    match socket.get_ref().send_to(bytes, to) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => socket.send_to(bytes, to).await,
        result => result,
    }
}

fn readability(socket: &Async<UdpSocket>) -> impl Stream<Item = HostEvent> + '_ {
    stream::unfold(socket, |socket| async move {
        socket.readable().await.ok()?;
        Some((HostEvent::Readable, socket))
    })
}

/// The changes of the endpoint files as a stream, which never yields if no files are watched.
fn endpoint_readings(readings: Option<Receiver<Vec<SourceFile>>>) -> impl Stream<Item = HostEvent> {
    stream::unfold(readings, |readings| async move {
        let Some(receiver) = &readings else { return future::pending().await };
        let mut files = receiver.recv().await.ok()?;
        // Skips superseded contents: only the newest reading matters.
        while let Ok(newer) = receiver.try_recv() {
            files = newer;
        }
        Some((HostEvent::EndpointFiles(files), readings))
    })
}
