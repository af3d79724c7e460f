//! The tasks that accept, establish, read and write connections.

use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use tracing::{debug, warn};

use super::connection::{Remote, WriteProgress};
use super::connections::ConnectionTable;
use super::{Host, State};
use crate::bounds::protocol;
use crate::io::{ConnectionEnd, Input};

/// The delay before the next attempt after `accept` failed, for example for want of descriptors: other connections end
/// soon.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The delay before the next attempt while the maximum number of callers is connected.
const ACCEPT_FULL_DELAY: Duration = Duration::from_millis(5);
/// How long a writer task waits until the socket accepts more bytes; then the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_micros(protocol::INVALID_CALLER_DEADLINE.micros());

impl Host {
    // ---- Accept ----

    /// Accepts connections one at a time, up to the limit on callers. Further ones stay in the system's accept queue.
    pub(super) async fn accept(self, listener: Rc<Async<TcpListener>>) {
        loop {
            let accepted = self.accept_if_room(&mut self.state.borrow_mut(), &listener);
            match accepted {
                Ok(true) => future::yield_now().await,
                Ok(false) => _ = Timer::after(ACCEPT_FULL_DELAY).await,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let _ = listener.readable().await;
                }
                Err(error) => {
                    warn!(%error, "connection not accepted");
                    Timer::after(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Accepts all connections in the accept queue, up to the limit on callers. Returns whether there were any.
    pub(super) fn accept_all(&self, state: &mut State, listener: &Async<TcpListener>) -> bool {
        let mut any_accepted = false;
        while matches!(self.accept_if_room(state, listener), Ok(true)) {
            any_accepted = true;
        }
        any_accepted
    }

    /// Accepts one connection. Returns false if the limit on callers is reached.
    fn accept_if_room(&self, state: &mut State, listener: &Async<TcpListener>) -> io::Result<bool> {
        let State { engine, connections, .. } = state;
        if !connections.make_room_for_caller(engine.engine.max_callers()) {
            return Ok(false);
        }
        let (stream, _) = listener.get_ref().accept()?;
        let stream = Rc::new(Async::new(stream)?);
        // The option only improves latency: a failure is ignored.
        let _ = stream.get_ref().set_nodelay(true);
        let (remote, closed) = connections.add_caller(engine, stream.clone());
        self.tasks.spawn(self.clone().read(remote, stream, closed)).detach();
        Ok(true)
    }

    // ---- Connect ----

    pub(super) fn connect(&self, state: &mut State, remote: Remote, address: SocketAddr) {
        let closed = state.connections.add_connecting(remote);
        self.tasks.spawn(self.clone().connect_and_read(remote, address, closed)).detach();
    }

    async fn connect_and_read(self, remote: Remote, address: SocketAddr, closed: Receiver<()>) {
        let attempt = async { Some(Async::<TcpStream>::connect(address).await) };
        let cancelled = async {
            let _ = closed.recv().await;
            None
        };
        let Some(attempt) = future::or(attempt, cancelled).await else { return };
        let stream = match attempt {
            Ok(stream) => Rc::new(stream),
            Err(error) => {
                debug!(?remote, %address, %error, "connection attempt failed");
                let refused = error.kind() == ErrorKind::ConnectionRefused;
                let end = if refused { ConnectionEnd::Refused } else { ConnectionEnd::Reset };
                self.on_disconnected(remote, end);
                return;
            }
        };
        // The option only improves latency: a failure is ignored.
        let _ = stream.get_ref().set_nodelay(true);
        if self.on_connected(remote, &stream) {
            self.read(remote, stream, closed).await;
        }
    }

    /// Reports an established connection to the engine. Returns false if it has been closed meanwhile.
    fn on_connected(&self, remote: Remote, stream: &Rc<Async<TcpStream>>) -> bool {
        let mut state = self.state.borrow_mut();
        if !state.connections.set_stream(remote, stream.clone()) {
            return false;
        }
        state.engine.handle_input(match remote {
            Remote::Server(connection) => Input::ServerConnected(connection),
            Remote::Coordinator(watch) => Input::WatchConnected(watch),
            Remote::Caller(caller) => Input::CallerConnected(caller),
        });
        true
    }

    fn on_disconnected(&self, remote: Remote, end: ConnectionEnd) {
        let mut state = self.state.borrow_mut();
        let State { engine, connections, .. } = &mut *state;
        connections.on_closed(engine, remote, end);
    }

    // ---- Read ----

    /// Reads a connection until either side closes it. Yields to the other tasks after each read.
    async fn read(self, remote: Remote, stream: Rc<Async<TcpStream>>, closed: Receiver<()>) {
        loop {
            let removed = async {
                let _ = closed.recv().await;
                false
            };
            let readable = async { stream.readable().await.is_ok() };
            if !future::or(removed, readable).await || !self.read_some(remote, &stream) {
                return;
            }
            future::yield_now().await;
        }
    }

    /// Reads once and writes the answers, so that those to all connections never wait in memory at the same time. Returns
    /// false if nothing more is to be read.
    fn read_some(&self, remote: Remote, stream: &Async<TcpStream>) -> bool {
        let mut state = self.state.borrow_mut();
        let State { engine, connections, .. } = &mut *state;
        let may_continue = connections.read(engine, remote, stream);
        self.perform_outputs(&mut state);
        may_continue
    }

    // ---- Write ----

    /// Writes bytes. Starts a writer task for those that the socket does not accept now.
    pub(super) fn write(&self, state: &mut State, remote: Remote, bytes: &[u8]) {
        let State { engine, connections, .. } = state;
        if connections.write(engine, remote, bytes) {
            self.tasks.spawn(self.clone().write_queued(remote)).detach();
        }
    }

    /// Writes the queue of a connection whenever its socket accepts more bytes.
    async fn write_queued(self, remote: Remote) {
        let Some(stream) = self.state.borrow().connections.stream(remote) else { return };
        loop {
            let writable = async { stream.writable().await.is_ok() };
            let timeout = async {
                Timer::after(WRITE_TIMEOUT).await;
                false
            };
            let is_writable = future::or(writable, timeout).await;
            let mut state = self.state.borrow_mut();
            let State { engine, connections, .. } = &mut *state;
            match write_once(connections, remote, &stream, is_writable) {
                WriteProgress::Blocked => {}
                WriteProgress::Gone => return,
                WriteProgress::Failed => return connections.on_closed(engine, remote, ConnectionEnd::Reset),
                WriteProgress::Complete => {
                    connections.on_written(engine, remote);
                    engine.wake();
                    return;
                }
            }
        }
    }
}

fn write_once(
    connections: &mut ConnectionTable,
    remote: Remote,
    stream: &Async<TcpStream>,
    is_writable: bool,
) -> WriteProgress {
    let Some(queue) = connections.write_queue_mut(remote) else { return WriteProgress::Gone };
    if !is_writable {
        return WriteProgress::Failed;
    }
    match stream.get_ref().write(queue) {
        Ok(0) => WriteProgress::Failed,
        Ok(length) => {
            queue.drain(..length);
            if !queue.is_empty() {
                return WriteProgress::Blocked;
            }
            *queue = Vec::new();
            WriteProgress::Complete
        }
        Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
            WriteProgress::Blocked
        }
        Err(_) => WriteProgress::Failed,
    }
}
