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
use ochrelead_platform::commission;
use tracing::{debug, info, trace, warn};

use crate::bounds::platform;
use crate::callers::CallerId;
use crate::engine::{Engine, Input, Output};
use crate::feed::{FeedId, Step};
use crate::promises::{Job, Promises};
use crate::roster::LinkId;
use crate::together::{Duty, Together};

/// A configuration that can't be read is read so many times, so far apart.
const TRIES: usize = 10;
const TRY_GAP: Duration = Duration::from_millis(50);

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Peer {
    Caller(CallerId),
    Link(LinkId),
    Feed(FeedId),
}

/// How the node ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finish {
    /// It does not.
    Stays,
    Closes,
    /// Nothing more is written; it is read until the other side ends it too.
    FallsSilent,
}

/// A connection.
struct Line {
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
struct Company {
    together: Together,
    socket: Rc<Async<UdpSocket>>,
    out: Option<std::sync::mpsc::Sender<Job>>,
}

/// What all tasks share; borrowed for moments only, never across a wait.
struct World {
    engine: Engine,
    clock: Clock,
    lines: HashMap<Peer, Line>,
    scratch: Vec<u8>,
    company: Option<Company>,
    callers: u64,
    /// Wakes the turn.
    news: Sender<()>,
}

/// The world and the tasks in it.
#[derive(Clone)]
struct Host {
    world: Rc<RefCell<World>>,
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
    let (lines, scratch) = (HashMap::new(), vec![0; LONGEST]);
    let (mut company, mut written) = (None, None);
    if let Some(Peers { together, listen: at, promises }) = peers {
        if together.watches() {
            engine.watch();
        }
        let socket = Async::<UdpSocket>::bind(at).map_err(|error| named("peers", at, &error))?;
        let (out, done) = promises.map(|promises| (promises.out, promises.written)).unzip();
        company = Some(Company { together, socket: Rc::new(socket), out });
        written = done;
    }
    let socket = company.as_ref().map(|company| company.socket.clone());
    let world = World { engine, clock, lines, scratch, company, callers: 0, news };
    let host = Host { world: Rc::new(RefCell::new(world)), tasks: Rc::new(LocalExecutor::new()) };
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

impl World {
    fn take(&mut self, input: Input<'_>) {
        self.engine.take(self.clock.now(), input);
        let _ = self.news.try_send(());
    }

    /// A turn of what it does with its peers; when the next is due.
    fn work_together(&mut self, now: Moment) -> Option<Moment> {
        let Company { together, socket, out } = self.company.as_mut()?;
        while let Some((server, highest)) = self.engine.outrun() {
            together.outrun(now, &server, highest);
        }
        while let Some(sight) = self.engine.sight() {
            together.met(now, sight);
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
            if let Some(company) = &mut self.company {
                company.together.take(now, from, &bytes[..length]);
            }
        }
        let _ = self.news.try_send(());
    }

    /// A connection has ended by itself.
    fn closed(&mut self, peer: Peer, refused: bool) {
        if self.lines.remove(&peer).is_some() {
            self.take(match peer {
                Peer::Caller(caller) => Input::CallerClosed(caller),
                Peer::Link(link) => Input::LinkClosed { link, refused },
                Peer::Feed(feed) => Input::FeedClosed(feed),
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
                    Peer::Feed(feed) => Input::FeedSaid(feed, bytes),
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
        let Some(line) = self.lines.get_mut(&peer) else { return false };
        let Some(stream) = &line.stream else { return false };
        if line.finish != Finish::Stays {
            return false;
        }
        trace!(?peer, goes = %String::from_utf8_lossy(bytes));
        let has_writer = !line.waiting.is_empty();
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
        if line.waiting.len() + left.len() > most {
            debug!(?peer, "reads too slowly");
            self.closed(peer, false);
            return false;
        }
        line.waiting.extend_from_slice(left);
        !has_writer && !line.waiting.is_empty()
    }

    fn end(&mut self, peer: Peer, finish: Finish) {
        if let Some(line) = self.lines.get_mut(&peer) {
            line.finish = finish;
            if line.waiting.is_empty() {
                self.finish(peer);
            }
        }
    }

    /// All that was to be written to a connection has left.
    fn finish(&mut self, peer: Peer) {
        let Some(line) = self.lines.get(&peer) else { return };
        match (line.finish, &line.stream) {
            (Finish::Stays, _) => {}
            // One that can't be shut down has ended: its reader sees that.
            (Finish::FallsSilent, Some(stream)) => _ = stream.get_ref().shutdown(Shutdown::Write),
            (Finish::Closes, _) | (Finish::FallsSilent, None) => _ = self.lines.remove(&peer),
        }
    }
}

impl Host {
    /// The engine's turns: when something came, and when it asked to be called.
    async fn turns(&self, told: Receiver<()>) {
        let clock = self.world.borrow().clock;
        loop {
            let alarm = {
                let mut world = self.world.borrow_mut();
                world.engine.turn(clock.now());
                while let Some(output) = world.engine.next() {
                    self.carry_out(&mut world, output);
                }
                if world.engine.is_closed() && world.lines.values().all(|line| line.waiting.is_empty()) {
                    info!("out of service");
                    return;
                }
                let wakes = [world.engine.wake(), world.work_together(clock.now())];
                while let Some(output) = world.engine.next() {
                    self.carry_out(&mut world, output);
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

    fn carry_out(&self, world: &mut World, output: Output) {
        match output {
            Output::ToCaller(caller, bytes) => self.write(world, Peer::Caller(caller), &bytes),
            Output::ToLink(link, bytes) => self.write(world, Peer::Link(link), &bytes),
            Output::CloseCaller(caller) => world.end(Peer::Caller(caller), Finish::Closes),
            Output::CloseLink(link) => world.end(Peer::Link(link), Finish::Closes),
            Output::EndLink(link) => world.end(Peer::Link(link), Finish::FallsSilent),
            Output::Dial(link, to) => self.dial(world, Peer::Link(link), to),
            Output::Feed(Step::Connect { feed, to }) => self.dial(world, Peer::Feed(feed), to),
            Output::Feed(Step::Ask { feed, line }) => self.write(world, Peer::Feed(feed), line.as_bytes()),
            Output::Feed(Step::Close { feed }) => world.end(Peer::Feed(feed), Finish::Closes),
        }
    }

    fn write(&self, world: &mut World, peer: Peer, bytes: &[u8]) {
        if world.write(peer, bytes) {
            self.tasks.spawn(self.clone().drain(peer)).detach();
        }
    }

    fn dial(&self, world: &mut World, peer: Peer, to: SocketAddr) {
        let (open, ended) = async_channel::bounded(1);
        world
            .lines
            .insert(peer, Line { stream: None, waiting: Vec::new(), finish: Finish::Stays, _open: open });
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
                self.world.borrow_mut().closed(peer, refused);
                return;
            }
        };
        let _ = stream.get_ref().set_nodelay(true);
        {
            let mut world = self.world.borrow_mut();
            let Some(line) = world.lines.get_mut(&peer) else { return };
            line.stream = Some(stream.clone());
            world.take(match peer {
                Peer::Link(link) => Input::LinkUp(link),
                Peer::Feed(feed) => Input::FeedUp(feed),
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
                let mut world = self.world.borrow_mut();
                if world.lines.get(&peer).is_none_or(|line| line.finish == Finish::Closes) {
                    return;
                }
                if !world.read(peer, &stream) {
                    world.closed(peer, false);
                    return;
                }
            }
            future::yield_now().await;
        }
    }

    /// Writes what waits for a slow reader.
    async fn drain(self, peer: Peer) {
        let stream = self.world.borrow().lines.get(&peer).and_then(|line| line.stream.clone());
        let Some(stream) = stream else { return };
        loop {
            let patience = Duration::from_micros(platform::BAD_CALLER.micros());
            let writable = future::or(async { stream.writable().await.is_ok() }, async {
                Timer::after(patience).await;
                false
            });
            let is_writable = writable.await;
            let mut world = self.world.borrow_mut();
            let Some(line) = world.lines.get_mut(&peer) else { return };
            let written = if is_writable { stream.get_ref().write(&line.waiting) } else { Ok(0) };
            match written {
                Ok(0) => return world.closed(peer, false),
                Ok(length) => {
                    line.waiting.drain(..length);
                    if line.waiting.is_empty() {
                        line.waiting = Vec::new();
                        world.finish(peer);
                        let _ = world.news.try_send(());
                        return;
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(_) => return world.closed(peer, false),
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
            let mut world = self.world.borrow_mut();
            world.callers += 1;
            let caller = CallerId(world.callers);
            let line = Line {
                stream: Some(stream.clone()),
                waiting: Vec::new(),
                finish: Finish::Stays,
                _open: open,
            };
            world.lines.insert(Peer::Caller(caller), line);
            world.take(Input::CallerOpened(caller));
            self.tasks.spawn(self.clone().listen_to(Peer::Caller(caller), stream, ended)).detach();
        }
    }

    /// What has reached the disk.
    async fn hear_disk(self, written: Receiver<u64>) {
        while let Ok(nth) = written.recv().await {
            let mut world = self.world.borrow_mut();
            if let Some(company) = &mut world.company {
                company.together.saved(nth);
            }
            let _ = world.news.try_send(());
        }
    }

    /// Datagrams of other fronts, some at a time.
    async fn hear_peers(self, socket: Rc<Async<UdpSocket>>) {
        loop {
            if socket.readable().await.is_err() {
                return;
            }
            self.world.borrow_mut().hear_peers(&socket);
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
                    let mut world = self.world.borrow_mut();
                    let now = world.clock.now();
                    if let Some(company) = &mut world.company {
                        company.together.leave(now);
                    }
                    world.take(Input::Leave);
                }
                Err(error) => warn!(%error, "a signal could not be read"),
            }
        }
    }

    /// The configuration was replaced: the coordinator may be elsewhere now. One that can't be read changes nothing.
    fn reread(&self, configuration: &Path) -> bool {
        let read = fs::read_to_string(configuration).map_err(|error| error.to_string());
        match read.and_then(|text| commission::read(&text).map_err(|error| error.to_string())) {
            Ok(commission) => {
                if let Some(coordinator) = commission.coordinator {
                    info!(%coordinator, "the configuration was read again");
                    self.world.borrow_mut().take(Input::Redirect(coordinator));
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
