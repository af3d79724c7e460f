//! The host of a node: sockets, clock and signals. It passes input to the engine and performs the outputs that the
//! engine returns.
//!
//! # Ownership
//!
//! All tasks run in one thread, on one [`LocalExecutor`]. `State` owns the engine, the connections and the coordination
//! with other fronts; tasks share it in a `RefCell` that is never borrowed across an `await`.
//!
//! | task | started by | ends when |
//! | --- | --- | --- |
//! | run loop ([`serve`]) | its caller | the shutdown is complete: no answer is due and all connections are closed |
//! | acceptor | [`serve`] | the run loop cancels it, once no answer is due |
//! | reader of a connection | accept or connect | the connection ends, or its `Connection` is dropped |
//! | writer of a connection | a partial write | the queue is empty, or the peer reads too slowly |
//! | receiver of datagrams | [`serve`] | the process ends |
//! | receiver of persistence reports | [`serve`] | the writer thread or the process ends |
//! | signal handler | [`serve`] | the process ends |
//! | reload of the configuration | SIGHUP | the file has been read, or another SIGHUP replaces the task |
//!
//! The only other thread writes files ([`crate::persistence`]); it ends when its sender, owned by `State`, is dropped.

mod caller_lines;
mod connection;
mod connections;
mod engine_handle;
mod peers;
mod signals;
mod sockets;

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::ops::ControlFlow;
use std::path::PathBuf;
use std::rc::Rc;

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use async_signal::Signals;
use futures_lite::future;
use ochrelead_core::time::Moment;
use ochrelead_host::clock::Clock;
use thiserror::Error;
use tracing::info;

use crate::engine::Engine;
use crate::io::{Output, WatchAction};
use caller_lines::CallerLines;
use connection::{CloseMode, Remote};
use connections::ConnectionTable;
use engine_handle::EngineHandle;
use peers::PeerHost;

pub use peers::Peers;
pub use signals::take_signals;

/// The parts that [`serve`] runs a node with.
pub struct HostConfig {
    /// The address that callers connect to.
    pub listen: SocketAddr,
    /// The path of the configuration file, which is read again on SIGHUP.
    pub configuration: PathBuf,
    /// The engine of the node.
    pub engine: Engine,
    /// The coordination with other fronts, if it is configured.
    pub peers: Option<Peers>,
    /// The signal stream, registered before the configuration was read so that no signal is missed.
    pub signals: Signals,
    /// The clock that the engine was created with.
    pub clock: Clock,
}

/// An error that prevents a node from serving.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ServeError {
    /// A socket could not be bound.
    #[error("cannot bind the {purpose} socket on {address}: {source}")]
    Bind {
        /// The purpose of the socket.
        purpose: &'static str,
        /// The address that was to be bound.
        address: SocketAddr,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
}

/// The state that all tasks share.
struct State {
    engine: EngineHandle,
    connections: ConnectionTable,
    peers: Option<PeerHost>,
}

/// The state and the executor of the tasks that share it.
#[derive(Clone)]
struct Host {
    state: Rc<RefCell<State>>,
    tasks: Rc<LocalExecutor<'static>>,
}

/// Serves a node until its shutdown is complete.
///
/// # Errors
///
/// If a socket can't be bound.
pub fn serve(config: HostConfig) -> Result<(), ServeError> {
    let HostConfig { listen, configuration, mut engine, peers, signals, clock } = config;
    let (wakeup, wakeups) = async_channel::bounded(1);
    let (peers, persisted) = match peers {
        Some(peers) => {
            if peers.coordination.wants_observations() {
                engine.enable_observations();
            }
            let (peers, persisted) = PeerHost::bind(peers)?;
            (Some(peers), persisted)
        }
        None => (None, None),
    };
    let peer_socket = peers.as_ref().map(PeerHost::socket);
    let state = State {
        engine: EngineHandle::new(engine, clock, wakeup),
        connections: ConnectionTable::new(),
        peers,
    };
    let host = Host { state: Rc::new(RefCell::new(state)), tasks: Rc::new(LocalExecutor::new()) };
    let listener = Async::<TcpListener>::bind(listen).map_err(|source| ServeError::Bind {
        purpose: "listening",
        address: listen,
        source,
    })?;
    let listener = Rc::new(listener);
    let acceptor = host.tasks.spawn(host.clone().accept(listener.clone()));
    if let Some(socket) = peer_socket {
        host.tasks.spawn(host.clone().receive_datagrams(socket)).detach();
    }
    if let Some(persisted) = persisted {
        host.tasks.spawn(host.clone().receive_persisted(persisted)).detach();
    }
    host.tasks.spawn(host.clone().handle_signals(signals, configuration)).detach();
    async_io::block_on(host.tasks.run(async {
        host.run(&wakeups, &listener).await;
        host.close_connections(&wakeups, listener, acceptor).await;
    }));
    Ok(())
}

impl Host {
    fn clock(&self) -> Clock {
        self.state.borrow().engine.clock
    }

    /// Runs the engine whenever input has arrived or a timer is due, until a shutdown leaves no answer due.
    async fn run(&self, wakeups: &Receiver<()>, listener: &Async<TcpListener>) {
        while let ControlFlow::Continue(timeout) = self.run_once(listener) {
            self.wait(wakeups, timeout).await;
            // Lets the readers report what has arrived on other connections, so that one iteration processes all of it.
            future::yield_now().await;
        }
    }

    /// Runs one iteration. Returns when the next one is due, or `Break` once the node can close its connections.
    fn run_once(&self, listener: &Async<TcpListener>) -> ControlFlow<(), Option<Moment>> {
        let clock = self.clock();
        let mut state = self.state.borrow_mut();
        state.connections.resume_postponed_drains();
        self.process(&mut state, clock.now());
        if state.is_closed() && self.has_no_pending_input(&mut state, listener) {
            return ControlFlow::Break(());
        }
        let timeouts = [
            state.engine.engine.poll_timeout(),
            state.process_peers(clock.now()),
            state.connections.close_lingering(clock.now()),
        ];
        self.perform_outputs(&mut state);
        ControlFlow::Continue(timeouts.into_iter().flatten().min())
    }

    fn process(&self, state: &mut State, now: Moment) {
        state.engine.engine.process(now);
        self.perform_outputs(state);
    }

    /// Accepts and reads all that has arrived. Returns whether the node may stop after that: no answer is due, and either
    /// nothing had arrived or the time for set-ups is over. After that time new input alone does not delay the stop, or
    /// else a flood of lines without an answer could delay it without limit.
    fn has_no_pending_input(&self, state: &mut State, listener: &Async<TcpListener>) -> bool {
        let any_accepted = self.accept_all(state, listener);
        let State { engine, connections, .. } = &mut *state;
        let any_read = connections.read_all(engine);
        let now = state.engine.clock.now();
        self.process(state, now);
        let is_input_over = !(any_accepted || any_read) || !state.engine.engine.may_receive_set_ups();
        is_input_over && state.is_closed()
    }

    async fn wait(&self, wakeups: &Receiver<()>, timeout: Option<Moment>) {
        let clock = self.clock();
        let timer = async {
            clock.timer(timeout).await;
        };
        let wakeup = async {
            let _ = wakeups.recv().await;
        };
        future::or(wakeup, timer).await;
    }

    /// Stops accepting and closes all connections once no answer is due, after each caller has been given time to read
    /// what was written to it.
    async fn close_connections(
        &self,
        wakeups: &Receiver<()>,
        listener: Rc<Async<TcpListener>>,
        acceptor: Task<()>,
    ) {
        acceptor.cancel().await;
        drop(listener);
        let clock = self.clock();
        self.state.borrow_mut().close_all();
        loop {
            let timeout = self.state.borrow_mut().connections.close_lingering(clock.now());
            if self.state.borrow().connections.is_empty() {
                info!("shutdown complete; all connections are closed");
                return;
            }
            self.wait(wakeups, timeout).await;
        }
    }

    /// Performs the outputs of the engine, and drains the input that it requests to be drained. Consecutive lines to one caller are written together, so that a caller that
    /// requests many answers costs the others no system call for each.
    fn perform_outputs(&self, state: &mut State) {
        let mut lines = CallerLines::default();
        loop {
            match state.engine.engine.poll_output() {
                Some(Output::SendToCaller(caller, bytes)) => {
                    if !lines.accepts(caller, bytes.len()) {
                        self.write_lines(state, &mut lines);
                    }
                    lines.push(caller, &bytes);
                }
                Some(output) => {
                    self.write_lines(state, &mut lines);
                    self.perform(state, output);
                }
                // A failed write closes the connection, which may lead to further outputs.
                None if !lines.is_empty() => self.write_lines(state, &mut lines),
                None => {
                    let State { engine, connections, .. } = &mut *state;
                    if !connections.continue_drain(engine) {
                        return;
                    }
                }
            }
        }
    }

    fn write_lines(&self, state: &mut State, lines: &mut CallerLines) {
        if let Some((caller, bytes)) = lines.take() {
            self.write(state, Remote::Caller(caller), &bytes);
        }
    }

    fn perform(&self, state: &mut State, output: Output) {
        let State { engine, connections, .. } = &mut *state;
        match output {
            Output::SendToCaller(caller, bytes) => self.write(state, Remote::Caller(caller), &bytes),
            Output::SendToServer(server, bytes) => self.write(state, Remote::Server(server), &bytes),
            Output::DrainInput(caller) => connections.drain_input(caller),
            Output::CloseCaller(caller) => {
                connections.close(engine, Remote::Caller(caller), CloseMode::Close);
            }
            Output::CloseServerConnection(server) => {
                connections.close(engine, Remote::Server(server), CloseMode::Close);
            }
            Output::HalfCloseServerConnection(server) => {
                connections.close(engine, Remote::Server(server), CloseMode::HalfClose);
            }
            Output::ConnectServer(server, address) => self.connect(state, Remote::Server(server), address),
            Output::Watch(WatchAction::Connect { watch, address }) => {
                self.connect(state, Remote::Coordinator(watch), address);
            }
            Output::Watch(WatchAction::Send { watch, line }) => {
                self.write(state, Remote::Coordinator(watch), line.as_bytes());
            }
            Output::Watch(WatchAction::Close { watch }) => {
                connections.close(engine, Remote::Coordinator(watch), CloseMode::Close);
            }
        }
    }

    /// Reports to the coordination which states have reached the disk.
    async fn receive_persisted(self, persisted: Receiver<u64>) {
        while let Ok(sequence) = persisted.recv().await {
            let mut state = self.state.borrow_mut();
            if let Some(peers) = &mut state.peers {
                peers.coordination.on_persisted(sequence);
            }
            state.engine.wake();
        }
    }

    /// Receives the datagrams of other fronts, a limited number at a time.
    async fn receive_datagrams(self, socket: Rc<Async<UdpSocket>>) {
        loop {
            if socket.readable().await.is_err() {
                return;
            }
            self.state.borrow_mut().receive_datagrams();
            future::yield_now().await;
        }
    }
}

impl State {
    /// Whether the engine has shut down and all output has been written.
    fn is_closed(&self) -> bool {
        self.engine.engine.is_closed() && self.connections.all_written()
    }

    fn process_peers(&mut self, now: Moment) -> Option<Moment> {
        self.peers.as_mut()?.process(&mut self.engine.engine, now)
    }

    fn receive_datagrams(&mut self) {
        let now = self.engine.clock.now();
        if let Some(peers) = &mut self.peers {
            peers.receive_datagrams(now);
        }
        self.engine.wake();
    }

    /// Drops the connections to servers and to the coordinator, and closes callers' connections so that each caller can
    /// read all that was written to it.
    fn close_all(&mut self) {
        let State { engine, connections, .. } = self;
        connections.close_all(engine);
    }
}
