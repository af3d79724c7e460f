//! The connections of a node and what all its tasks share; borrowed for moments only, never across a wait.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::mem;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Async;
use ochrelead_core::time::Moment;
use ochrelead_host::clock::Clock;
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use tracing::{debug, trace};

use super::peers::PeerHost;
use crate::bounds::protocol;
use crate::engine::Engine;
use crate::io::{CallerId, Input, ServerConnectionId, WatchId};

/// So many reads of one connection in a row: the others have their turn between.
const READS: usize = 16;

/// Whose connection it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Peer {
    Caller(CallerId),
    Link(ServerConnectionId),
    Watch(WatchId),
}

/// How the node ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// It does not.
    Stays,
    /// A caller's is shut down for writing first and what still comes is passed over for a moment: closed with bytes
    /// unread it would be reset, and what was written last could be lost.
    Closes,
    /// Nothing more is written; it is read until the other side ends it too.
    HalfCloses,
}

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Came {
    Bytes,
    Nothing,
    End,
}

/// A connection.
pub struct Connection {
    /// None while it is being made.
    pub stream: Option<Rc<Async<TcpStream>>>,
    /// What its reader has not taken yet; a task writes it while there is any.
    pub waiting: Vec<u8>,
    /// What is done once that has left.
    pub finish: Finish,
    /// The other side writes nothing more.
    ended: bool,
    /// It was shut down for writing and lingers; so many bytes were passed over since.
    lingers: bool,
    passed_over: usize,
    /// Ends its reader when dropped.
    _open: Sender<()>,
}

impl Connection {
    pub fn new(stream: Option<Rc<Async<TcpStream>>>, open: Sender<()>) -> Connection {
        Connection {
            stream,
            waiting: Vec::new(),
            finish: Finish::Stays,
            ended: false,
            lingers: false,
            passed_over: 0,
            _open: open,
        }
    }
}

/// What all tasks share.
pub struct State {
    pub engine: Engine,
    pub clock: Clock,
    pub connections: HashMap<Peer, Connection>,
    pub peer_host: Option<PeerHost>,
    /// Callers' connections so far, and those that are open, lingering ones among them.
    pub counted: u64,
    pub callers: usize,
    /// Callers that wait to be read to the end of what has come.
    unread: Vec<CallerId>,
    /// Lingering connections, the oldest first.
    lingering: Vec<(Moment, Peer)>,
    scratch: Vec<u8>,
    /// Wakes the turn.
    pub news: Sender<()>,
}

impl State {
    pub fn new(engine: Engine, clock: Clock, peer_host: Option<PeerHost>, news: Sender<()>) -> State {
        State {
            engine,
            clock,
            connections: HashMap::new(),
            peer_host,
            counted: 0,
            callers: 0,
            unread: Vec::new(),
            lingering: Vec::new(),
            scratch: vec![0; MAX_MESSAGE_LENGTH],
            news,
        }
    }

    pub fn take(&mut self, input: Input<'_>) {
        self.engine.handle_input(self.clock.now(), input);
        let _ = self.news.try_send(());
    }

    /// A caller's connection was accepted.
    pub fn accepted(&mut self, stream: Rc<Async<TcpStream>>, open: Sender<()>) -> Peer {
        self.counted += 1;
        self.callers += 1;
        let caller = CallerId(self.counted);
        self.connections.insert(Peer::Caller(caller), Connection::new(Some(stream), open));
        self.take(Input::CallerConnected(caller));
        Peer::Caller(caller)
    }

    /// Whether another caller's connection may be held; the oldest that lingers makes room for it.
    pub fn has_room(&mut self) -> bool {
        if self.callers >= self.engine.max_callers() && !self.lingering.is_empty() {
            let (_, oldest) = self.lingering.remove(0);
            self.remove(oldest);
        }
        self.callers < self.engine.max_callers()
    }

    fn remove(&mut self, peer: Peer) -> bool {
        let Some(connection) = self.connections.remove(&peer) else { return false };
        self.callers -= usize::from(matches!(peer, Peer::Caller(_)));
        if connection.lingers {
            self.lingering.retain(|(_, own)| *own != peer);
        }
        true
    }

    /// A connection has ended by itself.
    pub fn closed(&mut self, peer: Peer, refused: bool) {
        if self.remove(peer) {
            self.take(match peer {
                Peer::Caller(caller) => Input::CallerDisconnected(caller),
                Peer::Link(link) => Input::ServerDisconnected { connection: link, refused },
                Peer::Watch(watch) => Input::WatchDisconnected(watch),
            });
        }
    }

    /// Reads once for its reader; false where nothing more is to be read.
    pub fn read(&mut self, peer: Peer, stream: &Async<TcpStream>) -> bool {
        match self.read_once(peer, stream) {
            Came::Bytes | Came::Nothing => self.connections.contains_key(&peer),
            Came::End => false,
        }
    }

    fn read_once(&mut self, peer: Peer, stream: &Async<TcpStream>) -> Came {
        let Some(connection) = self.connections.get(&peer) else { return Came::End };
        if connection.ended {
            return Came::End;
        }
        let closes = connection.finish == Finish::Closes;
        let mut scratch = mem::take(&mut self.scratch);
        let came = match stream.get_ref().read(&mut scratch) {
            Ok(0) => self.ended(peer, closes),
            Ok(length) if closes => self.pass_over(peer, length),
            Ok(length) => {
                let bytes = &scratch[..length];
                trace!(?peer, came = %String::from_utf8_lossy(bytes));
                self.take(match peer {
                    Peer::Caller(caller) => Input::CallerData(caller, bytes),
                    Peer::Link(link) => Input::ServerData(link, bytes),
                    Peer::Watch(watch) => Input::WatchData(watch, bytes),
                });
                Came::Bytes
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                Came::Nothing
            }
            Err(_) => {
                self.closed(peer, false);
                Came::End
            }
        };
        self.scratch = scratch;
        came
    }

    /// The other side writes nothing more. A caller that has only shut its side down still reads its answers.
    fn ended(&mut self, peer: Peer, closes: bool) -> Came {
        match (peer, self.connections.get_mut(&peer)) {
            (Peer::Caller(caller), Some(connection)) if !closes => {
                connection.ended = true;
                self.take(Input::CallerHalfClosed(caller));
            }
            _ if closes => _ = self.remove(peer),
            _ => self.closed(peer, false),
        }
        Came::End
    }

    /// What comes on a connection that the node ends; one message at the most.
    fn pass_over(&mut self, peer: Peer, length: usize) -> Came {
        let Some(connection) = self.connections.get_mut(&peer) else { return Came::End };
        connection.passed_over += length;
        if connection.passed_over > MAX_MESSAGE_LENGTH {
            self.remove(peer);
            return Came::End;
        }
        Came::Bytes
    }

    /// Reads all that has come from a caller before something is done that its leaving, or its word, would change. What
    /// is too much for one turn goes on in the next.
    pub fn hear_out(&mut self, caller: CallerId) {
        let peer = Peer::Caller(caller);
        let stream = self.connections.get(&peer).and_then(|connection| connection.stream.clone());
        if let Some(stream) = stream {
            if self.reads_on(peer, &stream) {
                self.unread.push(caller);
                let _ = self.news.try_send(());
                return;
            }
        }
        self.take(Input::InputDrained(caller));
    }

    /// Reads what has come on a connection; whether there may be more.
    fn reads_on(&mut self, peer: Peer, stream: &Async<TcpStream>) -> bool {
        (0..READS).all(|_| self.read_once(peer, stream) == Came::Bytes)
    }

    pub fn hear_out_the_rest(&mut self) {
        for caller in mem::take(&mut self.unread) {
            self.hear_out(caller);
        }
    }

    /// Reads all connections; whether any had brought something.
    pub fn read_all(&mut self) -> bool {
        let peers: Vec<(Peer, Rc<Async<TcpStream>>)> = self
            .connections
            .iter()
            .filter_map(|(peer, connection)| Some((*peer, connection.stream.clone()?)))
            .filter(|(peer, _)| !matches!(peer, Peer::Watch(_)))
            .collect();
        let mut any = false;
        for (peer, stream) in peers {
            any |= self.read_once(peer, &stream) == Came::Bytes;
        }
        any
    }

    /// Writes what the connection takes now and keeps the rest; whether a writer is needed for that. Nothing waits
    /// behind a server that does not read: it would begin when it is no longer wanted.
    pub fn write(&mut self, peer: Peer, bytes: &[u8]) -> bool {
        let most = self.engine.max_unwritten_bytes();
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
        let has_begun = left.len() < bytes.len();
        let blocked = !left.is_empty() && !has_begun && matches!(peer, Peer::Link(_));
        if blocked || connection.waiting.len() + left.len() > most {
            debug!(?peer, "reads too slowly");
            self.closed(peer, false);
            return false;
        }
        connection.waiting.extend_from_slice(left);
        !has_writer && !connection.waiting.is_empty()
    }

    pub fn end(&mut self, peer: Peer, finish: Finish) {
        if let Some(connection) = self.connections.get_mut(&peer) {
            connection.finish = finish;
            if connection.waiting.is_empty() {
                self.finish(peer);
            }
        }
    }

    /// All that was to be written to a connection has left.
    pub fn finish(&mut self, peer: Peer) {
        let Some(connection) = self.connections.get_mut(&peer) else { return };
        match (connection.finish, &connection.stream) {
            (Finish::Stays, _) => {}
            // One that can't be shut down has ended: its reader sees that.
            (Finish::HalfCloses, Some(stream)) => _ = stream.get_ref().shutdown(Shutdown::Write),
            (Finish::Closes, Some(stream)) if matches!(peer, Peer::Caller(_)) && !connection.ended => {
                if stream.get_ref().shutdown(Shutdown::Write).is_err() {
                    self.remove(peer);
                } else if !mem::replace(&mut connection.lingers, true) {
                    self.lingering.push((self.clock.now() + protocol::CLOSE_RACE_WINDOW * 2, peer));
                }
            }
            (Finish::Closes, _) | (Finish::HalfCloses, None) => _ = self.remove(peer),
        }
    }

    /// Closes what has lingered long enough; when the next has.
    pub fn tend(&mut self, now: Moment) -> Option<Moment> {
        while let Some((until, peer)) = self.lingering.first().copied() {
            if until > now {
                return Some(until);
            }
            self.remove(peer);
        }
        None
    }

    pub fn all_written(&self) -> bool {
        self.connections.values().all(|connection| connection.waiting.is_empty())
    }

    /// Out of service: nothing more is heard of servers and the coordinator, and callers' connections are closed so
    /// that each reads all that was written to it.
    pub fn leave(&mut self) {
        self.connections.retain(|peer, _| matches!(peer, Peer::Caller(_)));
        let peers: Vec<Peer> = self.connections.keys().copied().collect();
        for peer in peers {
            self.end(peer, Finish::Closes);
        }
    }

    /// How long the writer of a slow reader waits.
    pub fn patience() -> Duration {
        Duration::from_micros(protocol::INVALID_CALLER_DEADLINE.micros())
    }
}
