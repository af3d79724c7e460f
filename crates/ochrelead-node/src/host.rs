//! Sockets, clock and signals of a node. It owns them and nothing else: what they bring goes to the engine, what the
//! engine says goes out on them. One thread; a task for each connection, in turn.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fs;
use std::io::{self, ErrorKind, Read, Write};
use std::mem;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use ochrelead_core::time::Moment;
use ochrelead_hosting::clock::Clock;
use ochrelead_platform::LONGEST;
use ochrelead_platform::configuration;
use tracing::{debug, info, trace, warn};

use crate::bounds::platform;
use crate::callers::CallerId;
use crate::engine::{Engine, Input, Output};
use crate::promises::{Job, Promises};
use crate::roster::LinkId;
use crate::together::{Duty, Together};
use crate::watch::{Step, WatchId};

/// A configuration that can't be read is read so many times, so far apart.
const TRIES: usize = 10;
const TRY_GAP: Duration = Duration::from_millis(50);

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Peer {
    Caller(CallerId),
    Link(LinkId),
    Watch(WatchId),
}

/// How the node ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finish {
    /// It does not.
    Stays,
    Closes,
    /// Nothing more is written; it is read until the other side ends it too.
    HalfCloses,
}

/// A connection.
struct Connection {
    /// None while it is being made.
    stream: Option<Rc<Async<TcpStream>>>,
    /// What its reader has not taken yet; a task writes it while there is any.
    waiting: Vec<u8>,
    /// What is done once that has left.
    finish: Finish,
    /// Ends its reader when dropped.
    _open: Sender<()>,
}

/// What a node does with its peers, where their datagrams arrive, and where it keeps its promises.
pub struct Peers {
    pub together: Together,
    pub listen: SocketAddr,
    pub promises: Option<Promises>,
}

/// The same with its socket, and the way to the disk.
struct PeerHost {
    together: Together,
    socket: Rc<Async<UdpSocket>>,
    out: Option<std::sync::mpsc::Sender<Job>>,
}

/// What all tasks share; borrowed for moments only, never across a wait.
struct State {
    engine: Engine,
    clock: Clock,
    connections: HashMap<Peer, Connection>,
    scratch: Vec<u8>,
    peer_host: Option<PeerHost>,
    callers: u64,
    /// Wakes the turn.
    news: Sender<()>,
}

/// The state and the tasks in it.
#[derive(Clone)]
struct Host {
    state: Rc<RefCell<State>>,
    tasks: Rc<LocalExecutor<'static>>,
}

/// So many datagrams are taken before the next turn.
const DATAGRAMS: usize = 64;

/// Runs a node until it has left service. `configuration` is read again on SIGHUP. `peers` is what it does with others,
/// and where their datagrams arrive.
///
/// # Errors
///
/// Where the listener or the signals fail for good.
pub fn serve(
    listen: SocketAddr,
    configuration: PathBuf,
    mut engine: Engine,
    peers: Option<Peers>,
    clock: Clock,
) -> io::Result<()> {
    let (news, told) = async_channel::bounded(1);
    let (connections, scratch) = (HashMap::new(), vec![0; LONGEST]);
    let (mut peer_host, mut written) = (None, None);
    if let Some(Peers { together, listen: at, promises }) = peers {
        if together.observes() {
            engine.observe();
        }
        let socket = Async::<UdpSocket>::bind(at).map_err(|error| named("peers", at, &error))?;
        let (out, done) = promises.map(|promises| (promises.out, promises.written)).unzip();
        peer_host = Some(PeerHost { together, socket: Rc::new(socket), out });
        written = done;
    }
    let socket = peer_host.as_ref().map(|peer_host| peer_host.socket.clone());
    let state = State { engine, clock, connections, scratch, peer_host, callers: 0, news };
    let host = Host { state: Rc::new(RefCell::new(state)), tasks: Rc::new(LocalExecutor::new()) };
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    let listener = Async::<TcpListener>::bind(listen).map_err(|error| named("listen", listen, &error))?;
    host.tasks.spawn(host.clone().accept(listener)).detach();
    if let Some(socket) = socket {
        host.tasks.spawn(host.clone().hear_peers(socket)).detach();
    }
    if let Some(written) = written {
        host.tasks.spawn(host.clone().hear_disk(written)).detach();
    }
    host.tasks.spawn(host.clone().obey(signals, configuration)).detach();
    async_io::block_on(host.tasks.run(host.turns(told)));
    Ok(())
}

/// What could not be bound, and where.
fn named(what: &str, at: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{what} on {at}: {error}"))
}

impl State {
    fn take(&mut self, input: Input<'_>) {
        self.engine.take(self.clock.now(), input);
        let _ = self.news.try_send(());
    }

    /// A turn of what it does with its peers; when the next is due.
    fn work_together(&mut self, now: Moment) -> Option<Moment> {
        let PeerHost { together, socket, out } = self.peer_host.as_mut()?;
        while let Some((server, highest)) = self.engine.outrun() {
            together.outrun(now, &server, highest);
        }
        while let Some(observation) = self.engine.observation() {
            together.met(now, observation);
        }
        together.turn(now);
        together.look(now, || (self.engine.quiet(), self.engine.places()));
        if let Some(eased) = together.shares(now) {
            self.engine.ease(eased);
        }
        while let Some(duty) = together.duty() {
            match duty {
                Duty::Sound { server, number } => self.engine.sound(&server, number),
                Duty::Vouched { server, at } => self.engine.vouched(&server, at),
            }
        }
        if let Some(out) = out {
            // The thread lives as long as its sender.
            if let Some((nth, bytes)) = together.to_save() {
                let _ = out.send(Job::Promises(nth, bytes));
            }
            if let Some((status, counters)) = together.status(now) {
                let _ = out.send(Job::Status { status, counters });
            }
        }
        while let Some((to, bytes)) = together.next() {
            // What a socket does not take is lost, as any datagram may be.
            let _ = socket.get_ref().send_to(&bytes, to);
        }
        together.wake()
    }

    fn hear_peers(&mut self, socket: &Async<UdpSocket>) {
        let now = self.clock.now();
        let mut bytes = [0; 512];
        for _ in 0..DATAGRAMS {
            let Ok((length, from)) = socket.get_ref().recv_from(&mut bytes) else { break };
            if let Some(peer_host) = &mut self.peer_host {
                peer_host.together.take(now, from, &bytes[..length]);
            }
        }
        let _ = self.news.try_send(());
    }

    /// A connection has ended by itself.
    fn closed(&mut self, peer: Peer, refused: bool) {
        if self.connections.remove(&peer).is_some() {
            self.take(match peer {
                Peer::Caller(caller) => Input::CallerClosed(caller),
                Peer::Link(link) => Input::LinkClosed { link, refused },
                Peer::Watch(watch) => Input::WatchClosed(watch),
            });
        }
    }

    /// Reads once; false where the connection has ended.
    fn read(&mut self, peer: Peer, stream: &Async<TcpStream>) -> bool {
        let mut scratch = mem::take(&mut self.scratch);
        let read = stream.get_ref().read(&mut scratch);
        let open = match read {
            Ok(0) => false,
            Ok(length) => {
                let bytes = &scratch[..length];
                trace!(?peer, came = %String::from_utf8_lossy(bytes));
                self.take(match peer {
                    Peer::Caller(caller) => Input::CallerSaid(caller, bytes),
                    Peer::Link(link) => Input::LinkSaid(link, bytes),
                    Peer::Watch(watch) => Input::WatchSaid(watch, bytes),
                });
                true
            }
            Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        };
        self.scratch = scratch;
        open
    }

    /// Writes what the connection takes now and keeps the rest; whether a writer is needed for that.
    fn write(&mut self, peer: Peer, bytes: &[u8]) -> bool {
        let most = self.engine.most_waiting();
        let Some(connection) = self.connections.get_mut(&peer) else { return false };
        let Some(stream) = &connection.stream else { return false };
        if connection.finish != Finish::Stays {
            return false;
        }
        trace!(?peer, goes = %String::from_utf8_lossy(bytes));
        let has_writer = !connection.waiting.is_empty();
        let mut left = bytes;
        while !has_writer && !left.is_empty() {
            match stream.get_ref().write(left) {
                Ok(length) => left = &left[length..],
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {
                    self.closed(peer, false);
                    return false;
                }
            }
        }
        if connection.waiting.len() + left.len() > most {
            debug!(?peer, "reads too slowly");
            self.closed(peer, false);
            return false;
        }
        connection.waiting.extend_from_slice(left);
        !has_writer && !connection.waiting.is_empty()
    }

    fn end(&mut self, peer: Peer, finish: Finish) {
        if let Some(connection) = self.connections.get_mut(&peer) {
            connection.finish = finish;
            if connection.waiting.is_empty() {
                self.finish(peer);
            }
        }
    }

    /// All that was to be written to a connection has left.
    fn finish(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get(&peer) else { return };
        match (connection.finish, &connection.stream) {
            (Finish::Stays, _) => {}
            // One that can't be shut down has ended: its reader sees that.
            (Finish::HalfCloses, Some(stream)) => _ = stream.get_ref().shutdown(Shutdown::Write),
            (Finish::Closes, _) | (Finish::HalfCloses, None) => _ = self.connections.remove(&peer),
        }
    }
}

impl Host {
    /// The engine's turns: when something came, and when it asked to be called.
    async fn turns(&self, told: Receiver<()>) {
        let clock = self.state.borrow().clock;
        loop {
            let alarm = {
                let mut state = self.state.borrow_mut();
                state.engine.turn(clock.now());
                while let Some(output) = state.engine.next() {
                    self.carry_out(&mut state, output);
                }
                if state.engine.is_closed()
                    && state.connections.values().all(|connection| connection.waiting.is_empty())
                {
                    info!("out of service");
                    return;
                }
                let wakes = [state.engine.wake(), state.work_together(clock.now())];
                while let Some(output) = state.engine.next() {
                    self.carry_out(&mut state, output);
                }
                wakes.into_iter().flatten().min()
            };
            let tick = async {
                clock.timer(alarm).await;
            };
            let news = async {
                let _ = told.recv().await;
            };
            future::or(news, tick).await;
            // What has come meanwhile on other connections belongs to the same turn.
            future::yield_now().await;
        }
    }

    fn carry_out(&self, state: &mut State, output: Output) {
        match output {
            Output::ToCaller(caller, bytes) => self.write(state, Peer::Caller(caller), &bytes),
            Output::ToLink(link, bytes) => self.write(state, Peer::Link(link), &bytes),
            Output::CloseCaller(caller) => state.end(Peer::Caller(caller), Finish::Closes),
            Output::CloseLink(link) => state.end(Peer::Link(link), Finish::Closes),
            Output::HalfCloseLink(link) => state.end(Peer::Link(link), Finish::HalfCloses),
            Output::Dial(link, to) => self.dial(state, Peer::Link(link), to),
            Output::Watch(Step::Connect { watch, to }) => self.dial(state, Peer::Watch(watch), to),
            Output::Watch(Step::Ask { watch, line }) => {
                self.write(state, Peer::Watch(watch), line.as_bytes())
            }
            Output::Watch(Step::Close { watch }) => state.end(Peer::Watch(watch), Finish::Closes),
        }
    }

    fn write(&self, state: &mut State, peer: Peer, bytes: &[u8]) {
        if state.write(peer, bytes) {
            self.tasks.spawn(self.clone().drain(peer)).detach();
        }
    }

    fn dial(&self, state: &mut State, peer: Peer, to: SocketAddr) {
        let (open, ended) = async_channel::bounded(1);
        state.connections.insert(
            peer,
            Connection { stream: None, waiting: Vec::new(), finish: Finish::Stays, _open: open },
        );
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
                Peer::Link(link) => Input::LinkUp(link),
                Peer::Watch(watch) => Input::WatchUp(watch),
                Peer::Caller(caller) => Input::CallerOpened(caller),
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
            if !future::or(ended, readable).await {
                return;
            }
            {
                let mut state = self.state.borrow_mut();
                if state.connections.get(&peer).is_none_or(|connection| connection.finish == Finish::Closes) {
                    return;
                }
                if !state.read(peer, &stream) {
                    state.closed(peer, false);
                    return;
                }
            }
            future::yield_now().await;
        }
    }

    /// Writes what waits for a slow reader.
    async fn drain(self, peer: Peer) {
        let stream =
            self.state.borrow().connections.get(&peer).and_then(|connection| connection.stream.clone());
        let Some(stream) = stream else { return };
        loop {
            let patience = Duration::from_micros(platform::BAD_CALLER.micros());
            let writable = future::or(async { stream.writable().await.is_ok() }, async {
                Timer::after(patience).await;
                false
            });
            let is_writable = writable.await;
            let mut state = self.state.borrow_mut();
            let Some(connection) = state.connections.get_mut(&peer) else { return };
            let written = if is_writable { stream.get_ref().write(&connection.waiting) } else { Ok(0) };
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

    async fn accept(self, listener: Async<TcpListener>) {
        loop {
            let stream = match listener.accept().await {
                Ok((stream, _)) => Rc::new(stream),
                Err(error) => {
                    // No descriptor is free: others end soon.
                    warn!(%error, "a connection could not be taken");
                    Timer::after(Duration::from_millis(20)).await;
                    continue;
                }
            };
            let _ = stream.get_ref().set_nodelay(true);
            let (open, ended) = async_channel::bounded(1);
            let mut state = self.state.borrow_mut();
            state.callers += 1;
            let caller = CallerId(state.callers);
            let connection = Connection {
                stream: Some(stream.clone()),
                waiting: Vec::new(),
                finish: Finish::Stays,
                _open: open,
            };
            state.connections.insert(Peer::Caller(caller), connection);
            state.take(Input::CallerOpened(caller));
            self.tasks.spawn(self.clone().listen_to(Peer::Caller(caller), stream, ended)).detach();
        }
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

    async fn obey(self, mut signals: Signals, configuration: PathBuf) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Hup) => {
                    // It may be written just now.
                    for _ in 0..TRIES {
                        if self.reread(&configuration) {
                            break;
                        }
                        Timer::after(TRY_GAP).await;
                    }
                }
                Ok(_) => {
                    info!("leaving service");
                    let mut state = self.state.borrow_mut();
                    let now = state.clock.now();
                    if let Some(peer_host) = &mut state.peer_host {
                        peer_host.together.leave(now);
                    }
                    state.take(Input::Leave);
                }
                Err(error) => warn!(%error, "a signal could not be read"),
            }
        }
    }

    /// The configuration was replaced: the coordinator may be elsewhere now. One that can't be read changes nothing.
    fn reread(&self, configuration: &Path) -> bool {
        let read = fs::read_to_string(configuration).map_err(|error| error.to_string());
        match read.and_then(|text| configuration::read(&text).map_err(|error| error.to_string())) {
            Ok(configuration) => {
                if let Some(coordinator) = configuration.coordinator {
                    info!(%coordinator, "the configuration was read again");
                    self.state.borrow_mut().take(Input::Redirect(coordinator));
                }
                true
            }
            Err(error) => {
                warn!(%error, "the configuration in force stands");
                false
            }
        }
    }
}
