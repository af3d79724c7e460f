//! The table of a node's TCP connections: reading, writing and closing. As part of the state that tasks share, it is
//! never borrowed across an `await`.

mod drains;

use std::collections::HashMap;
use std::io::{ErrorKind, Read};
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
use crate::io::{CallerId, ConnectionEnd, Input, WatchId};
use drains::Drains;

/// A lingering connection and when it is closed, whatever still arrives on it.
struct LingeringClose {
    closes_at: Moment,
    remote: Remote,
}

/// All connections of the node.
pub(super) struct ConnectionTable {
    connections: HashMap<Remote, Connection>,
    last_caller: u64,
    /// The number of callers' connections, lingering ones included.
    caller_count: usize,
    /// Established connections to the coordinator.
    watches: Vec<WatchId>,
    drains: Drains,
    /// Lingering connections, earliest `closes_at` first.
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
            drains: Drains::default(),
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

    /// The bytes queued for a peer that reads slowly.
    pub(super) fn write_queue_mut(&mut self, remote: Remote) -> Option<&mut Vec<u8>> {
        self.connections.get_mut(&remote).map(|connection| &mut connection.write_queue)
    }

    // ---- Open ----

    /// Whether another caller may connect. At the limit, the oldest lingering connection is closed to make room.
    pub(super) fn make_room_for_caller(&mut self, max_callers: usize) -> bool {
        if self.caller_count >= max_callers && !self.lingering.is_empty() {
            let oldest = self.lingering.remove(0);
            self.remove(oldest.remote);
        }
        self.caller_count < max_callers
    }

    /// Adds an accepted connection and reports it to the engine. The receiver is closed when the connection is removed.
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

    /// Adds a connection that is being established. The receiver is closed when the connection is removed.
    pub(super) fn add_connecting(&mut self, remote: Remote) -> Receiver<()> {
        self.insert(remote, None)
    }

    fn insert(&mut self, remote: Remote, stream: Option<Rc<Async<TcpStream>>>) -> Receiver<()> {
        let (connection, closed) = Connection::new(stream);
        self.connections.insert(remote, connection);
        closed
    }

    /// Stores the stream of an established connection. Returns false if the connection has been removed meanwhile.
    pub(super) fn set_stream(&mut self, remote: Remote, stream: Rc<Async<TcpStream>>) -> bool {
        let Some(connection) = self.connections.get_mut(&remote) else { return false };
        connection.stream = Some(stream);
        if let Remote::Coordinator(watch) = remote {
            self.watches.push(watch);
        }
        true
    }

    // ---- Read ----

    /// Reads once, for the reader task of a connection. Returns false if nothing more is to be read.
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
                self.on_closed(engine, remote, ConnectionEnd::Reset);
                ReadOutcome::End
            }
        }
    }

    /// Handles the end of the peer's input. A caller that shut its side down for writing may still read its answers, so
    /// its connection stays open.
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
            self.on_closed(engine, remote, ConnectionEnd::Closed);
        }
        ReadOutcome::End
    }

    /// Discards input on a connection that the node is closing. Removes the connection once more than
    /// `MAX_MESSAGE_LENGTH` bytes have been discarded.
    fn discard(&mut self, remote: Remote, length: usize) -> ReadOutcome {
        let Some(connection) = self.connections.get_mut(&remote) else { return ReadOutcome::End };
        connection.discarded_bytes += length;
        if connection.discarded_bytes > MAX_MESSAGE_LENGTH {
            self.remove(remote);
            return ReadOutcome::End;
        }
        ReadOutcome::Bytes
    }

    /// Reads each caller's and server's connection once. Returns whether any data arrived.
    pub(super) fn read_all(&mut self, engine: &mut EngineHandle) -> bool {
        let streams: Vec<(Remote, Rc<Async<TcpStream>>)> = self
            .connections
            .iter()
            .filter(|(remote, _)| !matches!(remote, Remote::Coordinator(_)))
            .filter_map(|(remote, connection)| Some((*remote, connection.stream.clone()?)))
            .collect();
        let mut any_data = false;
        for (remote, stream) in streams {
            any_data |= self.read_once(engine, remote, &stream) == ReadOutcome::Bytes;
        }
        any_data
    }

    // ---- Write ----

    /// Writes what the socket accepts now and queues the remaining bytes. Returns whether a writer task must be started
    /// for them. A connection to a server whose socket accepts nothing is closed instead: a message queued there would
    /// be sent too late to be of use. The connection is closed, too, when its queue would exceed the limit.
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
            self.on_closed(engine, remote, ConnectionEnd::Reset);
            return false;
        };
        let unwritten = &bytes[written..];
        let is_blocked = !unwritten.is_empty() && written == 0 && matches!(remote, Remote::Server(_));
        if is_blocked || connection.write_queue.len() + unwritten.len() > engine.engine.max_unwritten_bytes()
        {
            debug!(?remote, "connection closed: peer reads too slowly");
            self.on_closed(engine, remote, ConnectionEnd::Reset);
            return false;
        }
        connection.write_queue.extend_from_slice(unwritten);
        !has_writer && !connection.write_queue.is_empty()
    }

    // ---- Close ----

    /// Closes a connection once its write queue is empty.
    pub(super) fn close(&mut self, engine: &EngineHandle, remote: Remote, mode: CloseMode) {
        if let Some(connection) = self.connections.get_mut(&remote) {
            connection.state = connection.state.close(mode);
            if connection.write_queue.is_empty() {
                self.on_written(engine, remote);
            }
        }
    }

    /// Carries out a requested close or half-close once the write queue is empty.
    pub(super) fn on_written(&mut self, engine: &EngineHandle, remote: Remote) {
        let Some(connection) = self.connections.get_mut(&remote) else { return };
        let is_caller = matches!(remote, Remote::Caller(_));
        match (connection.state, &connection.stream) {
            (CloseState::Open | CloseState::RemoteClosed, _) => {}
            (CloseState::HalfClosing, Some(stream)) => {
                // If the shutdown fails, the connection has ended already and its reader reports that.
                let _ = stream.get_ref().shutdown(Shutdown::Write);
            }
            (CloseState::Closing { remote_closed: false } | CloseState::Lingering, Some(stream))
                if is_caller =>
            {
                if stream.get_ref().shutdown(Shutdown::Write).is_err() {
                    self.remove(remote);
                } else if connection.state != CloseState::Lingering {
                    connection.state = CloseState::Lingering;
                    let closes_at = engine.clock.now() + protocol::CLOSE_RACE_WINDOW * 2;
                    self.lingering.push(LingeringClose { closes_at, remote });
                }
            }
            (CloseState::Closing { .. } | CloseState::Lingering | CloseState::HalfClosing, _) => {
                _ = self.remove(remote);
            }
        }
    }

    /// Removes a connection that has failed or that the peer has closed, and reports it to the engine. A connection
    /// that the node gives up counts as reset: its unread input is lost.
    pub(super) fn on_closed(&mut self, engine: &mut EngineHandle, remote: Remote, end: ConnectionEnd) {
        if self.remove(remote) {
            engine.handle_input(match remote {
                Remote::Caller(caller) => Input::CallerDisconnected(caller),
                Remote::Server(connection) => Input::ServerDisconnected { connection, end },
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

    /// Closes the lingering connections that are due. Returns when the next one is due.
    pub(super) fn close_lingering(&mut self, now: Moment) -> Option<Moment> {
        while let Some(first) = self.lingering.first() {
            if first.closes_at > now {
                return Some(first.closes_at);
            }
            let remote = first.remote;
            self.remove(remote);
        }
        None
    }

    /// Drops the connections to servers and to the coordinator, and closes those of callers once all is written.
    pub(super) fn close_all(&mut self, engine: &EngineHandle) {
        self.connections.retain(|remote, _| matches!(remote, Remote::Caller(_)));
        self.watches.clear();
        let remotes: Vec<Remote> = self.connections.keys().copied().collect();
        for remote in remotes {
            self.close(engine, remote, CloseMode::Close);
        }
    }
}
