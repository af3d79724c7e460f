//! Sockets, clock and signals of a node. It owns them and nothing else: what they bring goes to the engine, what the
//! engine says goes out on them. One thread; a task for each connection, in turn.

mod connections;
mod peers;
mod signals;

use std::cell::RefCell;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use async_signal::Signals;
use futures_lite::future;
use ochrelead_core::time::Moment;
use ochrelead_host::clock::Clock;
use tracing::{debug, info, warn};

use crate::engine::Engine;
use crate::io::{Input, Output, WatchAction};
use connections::{Connection, Finish, Peer, State};
use peers::PeerHost;

pub use peers::Peers;
pub use signals::take_signals;

/// A connection that can't be taken is taken so much later: others end soon.
const ACCEPT_GAP: Duration = Duration::from_millis(20);

/// The state and the tasks on it.
#[derive(Clone)]
struct Host {
    state: Rc<RefCell<State>>,
    tasks: Rc<LocalExecutor<'static>>,
}

/// Runs a node until it has left service. `configuration` is read again on SIGHUP. `peers` is what it does with others,
/// and where their datagrams arrive.
///
/// # Errors
///
/// Where the listener fails for good.
pub fn serve(
    listen: SocketAddr,
    configuration: PathBuf,
    mut engine: Engine,
    peers: Option<Peers>,
    signals: Signals,
    clock: Clock,
) -> io::Result<()> {
    let (news, told) = async_channel::bounded(1);
    let (mut peer_host, mut written) = (None, None);
    if let Some(Peers { together, listen: at, promises }) = peers {
        if together.observes() {
            engine.enable_observations();
        }
        let socket = Async::<UdpSocket>::bind(at).map_err(|error| named("peers", at, &error))?;
        let (out, done) = promises.map(|promises| (promises.out, promises.written)).unzip();
        peer_host = Some(PeerHost { together, socket: Rc::new(socket), out });
        written = done;
    }
    let socket = peer_host.as_ref().map(|peer_host| peer_host.socket.clone());
    let state = State::new(engine, clock, peer_host, news);
    let host = Host { state: Rc::new(RefCell::new(state)), tasks: Rc::new(LocalExecutor::new()) };
    let listener = Async::<TcpListener>::bind(listen).map_err(|error| named("listen", listen, &error))?;
    let listener = Rc::new(listener);
    let accepting = host.tasks.spawn(host.clone().accept(listener.clone()));
    if let Some(socket) = socket {
        host.tasks.spawn(host.clone().hear_peers(socket)).detach();
    }
    if let Some(written) = written {
        host.tasks.spawn(host.clone().hear_disk(written)).detach();
    }
    host.tasks.spawn(host.clone().obey(signals, configuration)).detach();
    async_io::block_on(host.tasks.run(async {
        host.turns(&told, &listener).await;
        host.leave(&told, listener, accepting).await;
    }));
    Ok(())
}

/// What could not be bound, and where.
fn named(what: &str, at: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{what} on {at}: {error}"))
}

impl Host {
    /// The engine's turns: when something came, and when it asked to be called. Until it has left service: nothing is
    /// owed, and nothing has come that was not read.
    async fn turns(&self, told: &Receiver<()>, listener: &Async<TcpListener>) {
        let clock = self.state.borrow().clock;
        loop {
            let alarm = {
                let mut state = self.state.borrow_mut();
                state.hear_out_the_rest();
                state.engine.process(clock.now());
                self.carry_all_out(&mut state);
                if state.engine.is_closed() && state.all_written() {
                    let any = self.accept_all(&mut state, listener) | state.read_all();
                    state.engine.process(clock.now());
                    self.carry_all_out(&mut state);
                    // In the end only what is owed holds it: a flood of other lines would for ever.
                    let over = !any || !state.engine.may_receive_set_ups();
                    if over && state.engine.is_closed() && state.all_written() {
                        return;
                    }
                }
                let wakes =
                    [state.engine.poll_timeout(), state.work_together(clock.now()), state.tend(clock.now())];
                self.carry_all_out(&mut state);
                wakes.into_iter().flatten().min()
            };
            self.wait(told, clock, alarm).await;
            // What has come meanwhile on other connections belongs to the same turn.
            future::yield_now().await;
        }
    }

    async fn wait(&self, told: &Receiver<()>, clock: Clock, alarm: Option<Moment>) {
        let tick = async {
            clock.timer(alarm).await;
        };
        let news = async {
            let _ = told.recv().await;
        };
        future::or(news, tick).await;
    }

    /// Nothing is owed any more: nobody is let in, and each caller reads to its end what was written to it.
    async fn leave(&self, told: &Receiver<()>, listener: Rc<Async<TcpListener>>, accepting: Task<()>) {
        accepting.cancel().await;
        drop(listener);
        let clock = self.state.borrow().clock;
        self.state.borrow_mut().leave();
        loop {
            let until = self.state.borrow_mut().tend(clock.now());
            if self.state.borrow().connections.is_empty() {
                info!("out of service");
                return;
            }
            self.wait(told, clock, until).await;
        }
    }

    fn carry_all_out(&self, state: &mut State) {
        while let Some(output) = state.engine.poll_output() {
            self.carry_out(state, output);
        }
    }

    fn carry_out(&self, state: &mut State, output: Output) {
        match output {
            Output::SendToCaller(caller, bytes) => self.write(state, Peer::Caller(caller), &bytes),
            Output::SendToServer(link, bytes) => self.write(state, Peer::Link(link), &bytes),
            Output::DrainInput(caller) => state.hear_out(caller),
            Output::CloseCaller(caller) => state.end(Peer::Caller(caller), Finish::Closes),
            Output::CloseServerConnection(link) => state.end(Peer::Link(link), Finish::Closes),
            Output::HalfCloseServerConnection(link) => state.end(Peer::Link(link), Finish::HalfCloses),
            Output::ConnectServer(link, to) => self.dial(state, Peer::Link(link), to),
            Output::Watch(WatchAction::Connect { watch, address }) => {
                self.dial(state, Peer::Watch(watch), address)
            }
            Output::Watch(WatchAction::Send { watch, line }) => {
                self.write(state, Peer::Watch(watch), line.as_bytes())
            }
            Output::Watch(WatchAction::Close { watch }) => state.end(Peer::Watch(watch), Finish::Closes),
        }
    }

    fn write(&self, state: &mut State, peer: Peer, bytes: &[u8]) {
        if state.write(peer, bytes) {
            self.tasks.spawn(self.clone().drain(peer)).detach();
        }
    }

    fn dial(&self, state: &mut State, peer: Peer, to: SocketAddr) {
        let (open, ended) = async_channel::bounded(1);
        state.connections.insert(peer, Connection::new(None, open));
        self.tasks.spawn(self.clone().connect(peer, to, ended)).detach();
    }

    async fn connect(self, peer: Peer, to: SocketAddr, ended: Receiver<()>) {
        let connected = future::or(async { Some(Async::<TcpStream>::connect(to).await) }, async {
            let _ = ended.recv().await;
            None
        });
        let Some(connected) = connected.await else { return };
        let stream = match connected {
            Ok(stream) => Rc::new(stream),
            Err(error) => {
                debug!(?peer, %to, %error, "not connected");
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                self.state.borrow_mut().closed(peer, refused);
                return;
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        {
            let mut state = self.state.borrow_mut();
            let Some(connection) = state.connections.get_mut(&peer) else { return };
            connection.stream = Some(stream.clone());
            state.take(match peer {
                Peer::Link(link) => Input::ServerConnected(link),
                Peer::Watch(watch) => Input::WatchConnected(watch),
                Peer::Caller(caller) => Input::CallerConnected(caller),
            });
        }
        self.listen_to(peer, stream, ended).await;
    }

    /// Reads a connection until either side ends it, a little at a time: the others have their turn between.
    async fn listen_to(self, peer: Peer, stream: Rc<Async<TcpStream>>, ended: Receiver<()>) {
        loop {
            let ended = async {
                let _ = ended.recv().await;
                false
            };
            let readable = async { stream.readable().await.is_ok() };
            if !future::or(ended, readable).await || !self.state.borrow_mut().read(peer, &stream) {
                return;
            }
            future::yield_now().await;
        }
    }

    /// Writes what waits for a slow reader.
    async fn drain(self, peer: Peer) {
        let stream = self.state.borrow().connections.get(&peer).and_then(|own| own.stream.clone());
        let Some(stream) = stream else { return };
        loop {
            let writable = future::or(async { stream.writable().await.is_ok() }, async {
                Timer::after(State::patience()).await;
                false
            });
            let is_writable = writable.await;
            let mut state = self.state.borrow_mut();
            let Some(connection) = state.connections.get_mut(&peer) else { return };
            let written = if is_writable {
                std::io::Write::write(&mut stream.get_ref(), &connection.waiting)
            } else {
                Ok(0)
            };
            match written {
                Ok(0) => return state.closed(peer, false),
                Ok(length) => {
                    connection.waiting.drain(..length);
                    if connection.waiting.is_empty() {
                        connection.waiting = Vec::new();
                        state.finish(peer);
                        let _ = state.news.try_send(());
                        return;
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return state.closed(peer, false),
            }
        }
    }

    /// Takes connections one at a time, as many as may be held; others wait with the system.
    async fn accept(self, listener: Rc<Async<TcpListener>>) {
        loop {
            let taken = {
                let mut state = self.state.borrow_mut();
                if state.has_room() { self.accept_one(&mut state, &listener) } else { Ok(false) }
            };
            match taken {
                Ok(true) => future::yield_now().await,
                Ok(false) => _ = Timer::after(ACCEPT_GAP / 4).await,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let _ = listener.readable().await;
                }
                Err(error) => {
                    warn!(%error, "a connection could not be taken");
                    Timer::after(ACCEPT_GAP).await;
                }
            }
        }
    }

    fn accept_one(&self, state: &mut State, listener: &Async<TcpListener>) -> io::Result<bool> {
        let (stream, _) = listener.get_ref().accept()?;
        let stream = Rc::new(Async::new(stream)?);
        let _ = stream.get_ref().set_nodelay(true);
        let (open, ended) = async_channel::bounded(1);
        let peer = state.accepted(stream.clone(), open);
        self.tasks.spawn(self.clone().listen_to(peer, stream, ended)).detach();
        Ok(true)
    }

    /// All connections that wait to be taken and may be held; whether there was any.
    fn accept_all(&self, state: &mut State, listener: &Async<TcpListener>) -> bool {
        let mut any = false;
        while state.has_room() && self.accept_one(state, listener).is_ok() {
            any = true;
        }
        any
    }

    /// What has reached the disk.
    async fn hear_disk(self, written: Receiver<u64>) {
        while let Ok(nth) = written.recv().await {
            let mut state = self.state.borrow_mut();
            if let Some(peer_host) = &mut state.peer_host {
                peer_host.together.saved(nth);
            }
            let _ = state.news.try_send(());
        }
    }

    /// Datagrams of other fronts, some at a time.
    async fn hear_peers(self, socket: Rc<Async<UdpSocket>>) {
        loop {
            if socket.readable().await.is_err() {
                return;
            }
            self.state.borrow_mut().hear_peers(&socket);
            future::yield_now().await;
        }
    }
}
