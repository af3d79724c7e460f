//! The connections of a node. Borrowed between two waits only, as all that its tasks share.

use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::mem;
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

use async_channel::Receiver;
use async_io::Async;
use ochrelead_core::time::Moment;
use ochrelead_platform::MAX_MESSAGE_LENGTH;
use tracing::{debug, trace};

use super::connection::{CloseMode, CloseState, Connection, ReadOutcome, Remote, write_now};
use super::engine_handle::EngineHandle;
use crate::bounds::protocol;
use crate::io::{CallerId, Input, WatchId};

/// Reads of one connection in a row while its input is drained: the others have their turn between.
const READS_PER_ROUND: usize = 16;

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
    /// Open connections to the coordinator.
    watches: Vec<WatchId>,
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
            watches: Vec::new(),
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
        let (connection, closed) = Connection::new(stream);
        self.connections.insert(remote, connection);
        closed
    }

    /// A connection is established; false where it has been closed meanwhile.
    pub(super) fn set_stream(&mut self, remote: Remote, stream: Rc<Async<TcpStream>>) -> bool {
        let Some(connection) = self.connections.get_mut(&remote) else { return false };
        connection.stream = Some(stream);
        if let Remote::Coordinator(watch) = remote {
            self.watches.push(watch);
        }
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
                connection.state = CloseState::RemoteClosed;
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

    /// Reads all that has arrived from the coordinator and a caller before something is done that a change of the list,
    /// the caller's leaving or its message would change. What is too much for one round goes on in the next.
    pub(super) fn drain_input(&mut self, engine: &mut EngineHandle, caller: CallerId) {
        self.read_watches(engine);
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

    /// Reads what the coordinator has sent: a node that stood still learns of a drain before it sends INVITEs.
    fn read_watches(&mut self, engine: &mut EngineHandle) {
        for watch in self.watches.clone() {
            let remote = Remote::Coordinator(watch);
            if let Some(stream) = self.stream(remote) {
                self.has_more_after_reading(engine, remote, &stream);
            }
        }
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
            (CloseState::Open | CloseState::RemoteClosed, _) => {}
            (CloseState::HalfClosing, Some(stream)) => {
                // One that can't be shut down has ended: its reader sees that.
                let _ = stream.get_ref().shutdown(Shutdown::Write);
            }
            (CloseState::Closing { remote_closed: false } | CloseState::Lingering, Some(stream))
                if is_caller =>
            {
                if stream.get_ref().shutdown(Shutdown::Write).is_err() {
                    self.remove(remote);
                } else if connection.state != CloseState::Lingering {
                    connection.state = CloseState::Lingering;
                    let until = engine.clock.now() + protocol::CLOSE_RACE_WINDOW * 2;
                    self.lingering.push(LingeringClose { until, remote });
                }
            }
            (CloseState::Closing { .. } | CloseState::Lingering | CloseState::HalfClosing, _) => {
                _ = self.remove(remote);
            }
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
        if let Remote::Coordinator(watch) = remote {
            self.watches.retain(|other| *other != watch);
        }
        if connection.state == CloseState::Lingering {
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
        self.watches.clear();
        let remotes: Vec<Remote> = self.connections.keys().copied().collect();
        for remote in remotes {
            self.close(engine, remote, CloseMode::Close);
        }
    }
}
