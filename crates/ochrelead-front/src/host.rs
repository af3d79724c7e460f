//! Sockets, clock, signals, and the files that name the servers. The host owns them and nothing else.
//!
//! One task serves: it reads what was received, lets the engine process, sends what is due, and waits for the next
//! datagram, reading of the endpoint files, signal or time-out. Two threads write beside it, the state
//! ([`crate::state_writer`]) and the event log; both end when [`serve`] returns. A third one watches the endpoint files
//! where there are any.

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

/// Datagrams that are read before the engine processes.
const MAX_DATAGRAMS_PER_TURN: usize = 512;
/// The longest datagram that UDP carries.
const MAX_DATAGRAM_LENGTH: usize = 65_536;

/// The files that a front reads and writes.
#[derive(Clone, Debug, Default)]
pub struct FrontPaths {
    /// An endpoint file or a folder of them; without, the servers of the configuration are the list.
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

/// Runs a front until it has left service. `new_engine` makes its engine from the configuration.
///
/// # Errors
///
/// Where the signals, the socket or the state folder can't be used.
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
            info!(generation = fleet.generation(), "persisted endpoints in force");
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
    info!("out of service");
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
        let mut buffer = vec![0; MAX_DATAGRAM_LENGTH];
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
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            match socket.get_ref().recv_from(buffer) {
                Ok((length, from)) => {
                    self.engine.handle_datagram(self.clock.now(), from, &buffer[..length]);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Some systems report here that an earlier datagram met a closed port; repeats deal with that.
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
                info!("draining");
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
                warn!(reason = error.to_string(), "endpoints in force stay");
            }
            None => {}
        }
    }
}

async fn send(socket: &Async<UdpSocket>, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
    match socket.get_ref().send_to(bytes, to) {
        Err(error) if error.kind() == ErrorKind::WouldBlock => socket.send_to(bytes, to).await,
        done => done,
    }
}

fn readability(socket: &Async<UdpSocket>) -> impl Stream<Item = HostEvent> + '_ {
    stream::unfold(socket, |socket| async move {
        socket.readable().await.ok()?;
        Some((HostEvent::Readable, socket))
    })
}

/// Readings of the endpoint files as a stream; one that never yields where no files are watched.
fn endpoint_readings(readings: Option<Receiver<Vec<SourceFile>>>) -> impl Stream<Item = HostEvent> {
    stream::unfold(readings, |readings| async move {
        let Some(receiver) = &readings else { return future::pending().await };
        let mut files = receiver.recv().await.ok()?;
        // Files that change faster than they can be read: only the newest reading matters.
        while let Ok(newer) = receiver.try_recv() {
            files = newer;
        }
        Some((HostEvent::EndpointFiles(files), readings))
    })
}
