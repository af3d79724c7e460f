//! The connections of a node. Borrowed between two waits only, as all that its tasks share.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::mem;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;
use ochrelead_core::time::Moment;
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use tracing::{debug, trace};

use super::engine_handle::EngineHandle;
use crate::bounds::protocol;
use crate::io::{CallerId, Input, ServerConnectionId, WatchId};

/// Reads of one connection in a row while its input is drained: the others have their turn between.
const READS_PER_ROUND: usize = 16;

/// The other side of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Remote {
    Caller(CallerId),
    Server(ServerConnectionId),
    Coordinator(WatchId),
}

/// How the node ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// A caller's is shut down for writing first and what still arrives is discarded for a moment: closed with bytes
    /// unread it would be reset, and what was written last could be lost.
    Close,
    /// Nothing more is written; it is read until the other side ends it too.
    HalfClose,
}

/// How far the end of a connection has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// A caller has shut its side down for writing; it still reads.
    RemoteClosed,
    /// Shut down for writing once all is written.
    HalfClosing,
    /// Closed once all is written; what arrives is discarded.
    Closing {
        remote_closed: bool,
    },
    /// Shut down for writing; what arrives is discarded until it is closed.
    Lingering,
}

impl State {
    fn is_closing(self) -> bool {
        matches!(self, State::Closing { .. } | State::Lingering)
    }

    fn is_remote_closed(self) -> bool {
        matches!(self, State::RemoteClosed | State::Closing { remote_closed: true })
    }

    fn accepts_writes(self) -> bool {
        matches!(self, State::Open | State::RemoteClosed)
    }

    fn close(self, mode: CloseMode) -> State {
        match (mode, self) {
            (CloseMode::HalfClose, _) => State::HalfClosing,
            (CloseMode::Close, State::Open | State::HalfClosing) => State::Closing { remote_closed: false },
            (CloseMode::Close, State::RemoteClosed) => State::Closing { remote_closed: true },
            (CloseMode::Close, closing) => closing,
        }
    }
}

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    Bytes,
    WouldBlock,
    End,
}

/// What came of writing what is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    Complete,
    Blocked,
    Failed,
    /// The connection has been closed.
    Gone,
}

struct Connection {
    /// `None` while it is being established.
    stream: Option<Rc<Async<TcpStream>>>,
    /// What its reader has not taken yet; a task writes it while there is any.
    write_queue: Vec<u8>,
    state: State,
    /// Bytes that were read and discarded since the node began to close it.
    discarded_bytes: usize,
    /// Ends its reader task when dropped.
    _reader_guard: Sender<()>,
}

/// A connection that is closed at a moment, whatever arrives on it.
struct LingeringClose {
    until: Moment,
    remote: Remote,
}

/// All connections.
pub(super) struct ConnectionTable {
    connections: HashMap<Remote, Connection>,
    last_caller: u64,
    /// The callers' connections that are open, lingering ones included.
    caller_count: usize,
    /// Callers whose input is to be drained on.
    draining: Vec<CallerId>,
    /// Lingering connections, the first to close first.
    lingering: Vec<LingeringClose>,
    read_buffer: Vec<u8>,
}

impl ConnectionTable {
    pub(super) fn new() -> ConnectionTable {
        ConnectionTable {
            connections: HashMap::new(),
            last_caller: 0,
            caller_count: 0,
            draining: Vec::new(),
            lingering: Vec::new(),
            read_buffer: vec![0; MAX_MESSAGE_LENGTH],
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    pub(super) fn all_written(&self) -> bool {
        self.connections.values().all(|connection| connection.write_queue.is_empty())
    }

    pub(super) fn stream(&self, remote: Remote) -> Option<Rc<Async<TcpStream>>> {
        self.connections.get(&remote)?.stream.clone()
    }

    /// What is queued for a slow reader.
    pub(super) fn queue_mut(&mut self, remote: Remote) -> Option<&mut Vec<u8>> {
        self.connections.get_mut(&remote).map(|connection| &mut connection.write_queue)
    }

    // ---- Begin ----

    /// Whether another caller's connection may be open; the oldest lingering one makes room for it.
    pub(super) fn make_room(&mut self, max_callers: usize) -> bool {
        if self.caller_count >= max_callers && !self.lingering.is_empty() {
            let oldest = self.lingering.remove(0);
            self.remove(oldest.remote);
        }
        self.caller_count < max_callers
    }

    /// Adds and reports an accepted connection; the receiver ends when it is removed.
    pub(super) fn add_caller(
        &mut self,
        engine: &mut EngineHandle,
        stream: Rc<Async<TcpStream>>,
    ) -> (Remote, Receiver<()>) {
        self.last_caller += 1;
        self.caller_count += 1;
        let caller = CallerId(self.last_caller);
        let closed = self.insert(Remote::Caller(caller), Some(stream));
        engine.handle_input(Input::CallerConnected(caller));
        (Remote::Caller(caller), closed)
    }

    /// Adds a connection that is being established; the receiver ends when it is removed.
    pub(super) fn add_connecting(&mut self, remote: Remote) -> Receiver<()> {
        self.insert(remote, None)
    }

    fn insert(&mut self, remote: Remote, stream: Option<Rc<Async<TcpStream>>>) -> Receiver<()> {
        let (reader_guard, closed) = async_channel::bounded(1);
        let connection = Connection {
            stream,
            write_queue: Vec::new(),
            state: State::Open,
            discarded_bytes: 0,
            _reader_guard: reader_guard,
        };
        self.connections.insert(remote, connection);
        closed
    }

    /// A connection is established; false where it has been closed meanwhile.
    pub(super) fn set_stream(&mut self, remote: Remote, stream: Rc<Async<TcpStream>>) -> bool {
        let Some(connection) = self.connections.get_mut(&remote) else { return false };
        connection.stream = Some(stream);
        true
    }

    // ---- Read ----

    /// Reads once for its reader; false where nothing more is to be read.
    pub(super) fn read(
        &mut self,
        engine: &mut EngineHandle,
        remote: Remote,
        stream: &Async<TcpStream>,
    ) -> bool {
        match self.read_once(engine, remote, stream) {
            ReadOutcome::Bytes | ReadOutcome::WouldBlock => self.connections.contains_key(&remote),
            ReadOutcome::End => false,
        }
    }

    fn read_once(
        &mut self,
        engine: &mut EngineHandle,
        remote: Remote,
        stream: &Async<TcpStream>,
    ) -> ReadOutcome {
        let Some(connection) = self.connections.get(&remote) else { return ReadOutcome::End };
        if connection.state.is_remote_closed() {
            return ReadOutcome::End;
        }
        let is_closing = connection.state.is_closing();
        match stream.get_ref().read(&mut self.read_buffer) {
            Ok(0) => self.on_end_of_input(engine, remote, is_closing),
            Ok(length) if is_closing => self.discard(remote, length),
            Ok(length) => {
                let bytes = &self.read_buffer[..length];
                trace!(?remote, received = %String::from_utf8_lossy(bytes));
                engine.handle_input(match remote {
                    Remote::Caller(caller) => Input::CallerData(caller, bytes),
                    Remote::Server(connection) => Input::ServerData(connection, bytes),
                    Remote::Coordinator(watch) => Input::WatchData(watch, bytes),
                });
                ReadOutcome::Bytes
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                ReadOutcome::WouldBlock
            }
            Err(_) => {
                self.on_closed(engine, remote, false);
                ReadOutcome::End
            }
        }
    }

    /// The other side writes nothing more. A caller that only shut its side down still reads its answers.
    fn on_end_of_input(
        &mut self,
        engine: &mut EngineHandle,
        remote: Remote,
        is_closing: bool,
    ) -> ReadOutcome {
        if is_closing {
            self.remove(remote);
        } else if let Remote::Caller(caller) = remote {
            if let Some(connection) = self.connections.get_mut(&remote) {
                connection.state = State::RemoteClosed;
            }
            engine.handle_input(Input::CallerHalfClosed(caller));
        } else {
            self.on_closed(engine, remote, false);
        }
        ReadOutcome::End
    }

    /// Discards what arrives on a connection that the node closes; one message at the most.
    fn discard(&mut self, remote: Remote, length: usize) -> ReadOutcome {
        let Some(connection) = self.connections.get_mut(&remote) else { return ReadOutcome::End };
        connection.discarded_bytes += length;
        if connection.discarded_bytes > MAX_MESSAGE_LENGTH {
            self.remove(remote);
            return ReadOutcome::End;
        }
        ReadOutcome::Bytes
    }

    /// Reads all that has arrived from a caller before something is done that its leaving, or its message, would
    /// change. What is too much for one round goes on in the next.
    pub(super) fn drain_input(&mut self, engine: &mut EngineHandle, caller: CallerId) {
        let remote = Remote::Caller(caller);
        if let Some(stream) = self.stream(remote)
            && self.has_more_after_reading(engine, remote, &stream)
        {
            self.draining.push(caller);
            engine.wake();
            return;
        }
        engine.handle_input(Input::InputDrained(caller));
    }

    fn has_more_after_reading(
        &mut self,
        engine: &mut EngineHandle,
        remote: Remote,
        stream: &Async<TcpStream>,
    ) -> bool {
        (0..READS_PER_ROUND).all(|_| self.read_once(engine, remote, stream) == ReadOutcome::Bytes)
    }

    /// Goes on with what was too much for the last round.
    pub(super) fn resume_draining(&mut self, engine: &mut EngineHandle) {
        for caller in mem::take(&mut self.draining) {
            self.drain_input(engine, caller);
        }
    }

    /// Reads all callers' and servers' connections once; whether any had brought something.
    pub(super) fn read_all(&mut self, engine: &mut EngineHandle) -> bool {
        let streams: Vec<(Remote, Rc<Async<TcpStream>>)> = self
            .connections
            .iter()
            .filter(|(remote, _)| !matches!(remote, Remote::Coordinator(_)))
            .filter_map(|(remote, connection)| Some((*remote, connection.stream.clone()?)))
            .collect();
        let mut any = false;
        for (remote, stream) in streams {
            any |= self.read_once(engine, remote, &stream) == ReadOutcome::Bytes;
        }
        any
    }

    // ---- Write ----

    /// Writes what the socket takes now and queues the rest; whether a writer task is needed for that. Nothing is queued
    /// behind a server that does not read: it would begin when it is no longer wanted.
    pub(super) fn write(&mut self, engine: &mut EngineHandle, remote: Remote, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&remote) else { return false };
        let Some(stream) = &connection.stream else { return false };
        if !connection.state.accepts_writes() {
            return false;
        }
        trace!(?remote, sent = %String::from_utf8_lossy(bytes));
        let has_writer = !connection.write_queue.is_empty();
        let written = if has_writer { Ok(0) } else { write_now(stream, bytes) };
        let Ok(written) = written else {
            self.on_closed(engine, remote, false);
            return false;
        };
        let rest = &bytes[written..];
        let is_blocked = !rest.is_empty() && written == 0 && matches!(remote, Remote::Server(_));
        if is_blocked || connection.write_queue.len() + rest.len() > engine.engine.max_unwritten_bytes() {
            debug!(?remote, "reader too slow");
            self.on_closed(engine, remote, false);
            return false;
        }
        connection.write_queue.extend_from_slice(rest);
        !has_writer && !connection.write_queue.is_empty()
    }

    // ---- End ----

    /// Closes a connection once all that is queued has been written.
    pub(super) fn close(&mut self, engine: &EngineHandle, remote: Remote, mode: CloseMode) {
        if let Some(connection) = self.connections.get_mut(&remote) {
            connection.state = connection.state.close(mode);
            if connection.write_queue.is_empty() {
                self.on_written(engine, remote);
            }
        }
    }

    /// All that was queued for a connection has been written: what the node wants to end is ended.
    pub(super) fn on_written(&mut self, engine: &EngineHandle, remote: Remote) {
        let Some(connection) = self.connections.get_mut(&remote) else { return };
        let is_caller = matches!(remote, Remote::Caller(_));
        match (connection.state, &connection.stream) {
            (State::Open | State::RemoteClosed, _) => {}
            (State::HalfClosing, Some(stream)) => {
                // One that can't be shut down has ended: its reader sees that.
                let _ = stream.get_ref().shutdown(Shutdown::Write);
            }
            (State::Closing { remote_closed: false } | State::Lingering, Some(stream)) if is_caller => {
                if stream.get_ref().shutdown(Shutdown::Write).is_err() {
                    self.remove(remote);
                } else if connection.state != State::Lingering {
                    connection.state = State::Lingering;
                    let until = engine.clock.now() + protocol::CLOSE_RACE_WINDOW * 2;
                    self.lingering.push(LingeringClose { until, remote });
                }
            }
            (State::Closing { .. } | State::Lingering | State::HalfClosing, _) => _ = self.remove(remote),
        }
    }

    /// Removes and reports a connection that has ended by itself.
    pub(super) fn on_closed(&mut self, engine: &mut EngineHandle, remote: Remote, refused: bool) {
        if self.remove(remote) {
            engine.handle_input(match remote {
                Remote::Caller(caller) => Input::CallerDisconnected(caller),
                Remote::Server(connection) => Input::ServerDisconnected { connection, refused },
                Remote::Coordinator(watch) => Input::WatchDisconnected(watch),
            });
        }
    }

    fn remove(&mut self, remote: Remote) -> bool {
        let Some(connection) = self.connections.remove(&remote) else { return false };
        self.caller_count -= usize::from(matches!(remote, Remote::Caller(_)));
        if connection.state == State::Lingering {
            self.lingering.retain(|lingering| lingering.remote != remote);
        }
        true
    }

    /// Closes what has lingered for long enough; when the next has.
    pub(super) fn close_lingering(&mut self, now: Moment) -> Option<Moment> {
        while let Some(first) = self.lingering.first() {
            if first.until > now {
                return Some(first.until);
            }
            let remote = first.remote;
            self.remove(remote);
        }
        None
    }

    /// Drops the connections to servers and the coordinator, and closes those of callers.
    pub(super) fn close_all(&mut self, engine: &EngineHandle) {
        self.connections.retain(|remote, _| matches!(remote, Remote::Caller(_)));
        let remotes: Vec<Remote> = self.connections.keys().copied().collect();
        for remote in remotes {
            self.close(engine, remote, CloseMode::Close);
        }
    }
}

/// Writes what the socket takes now; how many bytes that were.
fn write_now(stream: &Async<TcpStream>, bytes: &[u8]) -> std::io::Result<usize> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.get_ref().write(&bytes[written..]) {
            Ok(length) => written += length,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(written)
}
