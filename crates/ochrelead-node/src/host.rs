//! The host of a node: sockets, clock and signals. What arrives goes to the engine; what the engine returns goes out.
//!
//! # Ownership
//!
//! All runs in one thread, on one [`LocalExecutor`]. `State` owns the engine, the connections and the coordination with
//! other fronts; tasks share it by a `RefCell` that is borrowed between two waits only, never across one.
//!
//! | task | started by | ends |
//! | --- | --- | --- |
//! | run loop ([`serve`]) | the caller | out of service: the node owes nothing and all connections are closed |
//! | acceptor | [`serve`] | cancelled by the run loop once nothing is owed |
//! | reader of a connection | its accept or connect | at its end, or when `Connection` is dropped |
//! | writer of a connection | a write that its socket did not take at once | all is written, or its reader takes too long |
//! | receiver of datagrams | [`serve`] | with the process |
//! | receiver of persistence reports | [`serve`] | with the writer thread, or with the process |
//! | signal handler | [`serve`] | with the process |
//! | reload of the configuration | SIGHUP | the file is read, or after a few attempts |
//!
//! The only other thread writes files ([`crate::persistence`]); it ends when its sender, owned by `State`, is dropped.

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
use connection::{CloseMode, Remote};
use connections::ConnectionTable;
use engine_handle::EngineHandle;
use peers::PeerHost;

pub use peers::Peers;
pub use signals::take_signals;

/// What a node is served with.
pub struct HostConfig {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The configuration file, read again on SIGHUP.
    pub configuration: PathBuf,
    /// The node.
    pub engine: Engine,
    /// The coordination with other fronts, where there is any.
    pub peers: Option<Peers>,
    /// The signals taken from before the configuration was read.
    pub signals: Signals,
    /// The clock that the engine was started on.
    pub clock: Clock,
}

/// Why a node can't be served.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ServeError {
    /// A socket could not be bound.
    #[error("{purpose} on {address}: {source}")]
    Bind {
        /// What the socket is for.
        purpose: &'static str,
        /// Where.
        address: SocketAddr,
        /// The system's error.
        #[source]
        source: io::Error,
    },
}

/// What all tasks share.
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

/// Serves a node until it has left service.
///
/// # Errors
///
/// Where a socket can't be bound.
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
        purpose: "listen",
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
        host.leave(&wakeups, listener, acceptor).await;
    }));
    Ok(())
}

impl Host {
    fn clock(&self) -> Clock {
        self.state.borrow().engine.clock
    }

    /// Runs the engine when something arrived or a timer is due, until it has left service.
    async fn run(&self, wakeups: &Receiver<()>, listener: &Async<TcpListener>) {
        while let ControlFlow::Continue(timeout) = self.run_once(listener) {
            self.wait(wakeups, timeout).await;
            // What has arrived meanwhile on other connections belongs to the same round.
            future::yield_now().await;
        }
    }

    /// One round; when the next is due, or the end of service.
    fn run_once(&self, listener: &Async<TcpListener>) -> ControlFlow<(), Option<Moment>> {
        let clock = self.clock();
        let mut state = self.state.borrow_mut();
        let State { engine, connections, .. } = &mut *state;
        connections.resume_draining(engine);
        self.process(&mut state, clock.now());
        if state.is_closed() && self.has_nothing_unread(&mut state, listener) {
            return ControlFlow::Break(());
        }
        let timeouts = [
            state.engine.engine.poll_timeout(),
            state.process_peers(clock.now()),
            state.connections.close_lingering(clock.now()),
        ];
        self.carry_out_all(&mut state);
        ControlFlow::Continue(timeouts.into_iter().flatten().min())
    }

    fn process(&self, state: &mut State, now: Moment) {
        state.engine.engine.process(now);
        self.carry_out_all(state);
    }

    /// Reads all that has arrived. Whether the node still owes nothing after that, and nothing owed can follow: in the
    /// end only what is owed keeps it, for a flood of other lines would keep it for ever.
    fn has_nothing_unread(&self, state: &mut State, listener: &Async<TcpListener>) -> bool {
        let any_accepted = self.accept_all(state, listener);
        let State { engine, connections, .. } = &mut *state;
        let any_read = connections.read_all(engine);
        let now = state.engine.clock.now();
        self.process(state, now);
        let is_over = !(any_accepted || any_read) || !state.engine.engine.may_receive_set_ups();
        is_over && state.is_closed()
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

    /// Nothing is owed any more: nobody is accepted, and each caller reads to the end what was written to it.
    async fn leave(&self, wakeups: &Receiver<()>, listener: Rc<Async<TcpListener>>, acceptor: Task<()>) {
        acceptor.cancel().await;
        drop(listener);
        let clock = self.clock();
        self.state.borrow_mut().close_all();
        loop {
            let timeout = self.state.borrow_mut().connections.close_lingering(clock.now());
            if self.state.borrow().connections.is_empty() {
                info!("out of service");
                return;
            }
            self.wait(wakeups, timeout).await;
        }
    }

    fn carry_out_all(&self, state: &mut State) {
        while let Some(output) = state.engine.engine.poll_output() {
            self.carry_out(state, output);
        }
    }

    fn carry_out(&self, state: &mut State, output: Output) {
        let State { engine, connections, .. } = &mut *state;
        match output {
            Output::SendToCaller(caller, bytes) => self.write(state, Remote::Caller(caller), &bytes),
            Output::SendToServer(server, bytes) => self.write(state, Remote::Server(server), &bytes),
            Output::DrainInput(caller) => connections.drain_input(engine, caller),
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

    /// Marks what has reached the disk.
    async fn receive_persisted(self, persisted: Receiver<u64>) {
        while let Ok(sequence) = persisted.recv().await {
            let mut state = self.state.borrow_mut();
            if let Some(peers) = &mut state.peers {
                peers.coordination.on_persisted(sequence);
            }
            state.engine.wake();
        }
    }

    /// Receives the datagrams of other fronts, some at a time.
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
    /// Whether the engine owes nothing and all has been written.
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

    /// Out of service: the connections to servers and the coordinator are dropped, and callers' connections are closed
    /// so that each caller reads all that was written to it.
    fn close_all(&mut self) {
        let State { engine, connections, .. } = self;
        connections.close_all(engine);
    }
}
