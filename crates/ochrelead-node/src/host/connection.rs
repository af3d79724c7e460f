//! One TCP connection of a node: its peer, its close state and its write queue.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::io::{CallerId, ServerConnectionId, WatchId};

/// The peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Remote {
    Caller(CallerId),
    Server(ServerConnectionId),
    Coordinator(WatchId),
}

/// How the node ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseMode {
    /// Closes the connection in both directions. A caller's connection is first shut down for writing, and its input is
    /// discarded for a moment: closing a socket with unread input resets the connection, and the caller could lose the
    /// bytes written last.
    Close,
    /// Shuts the connection down for writing and reads until the peer closes too.
    HalfClose,
}

/// The close state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseState {
    Open,
    /// A caller has shut its side down for writing and still reads.
    RemoteClosed,
    /// To be shut down for writing once the write queue is empty; input is still processed.
    HalfClosing,
    /// To be closed once the write queue is empty; input is discarded.
    Closing {
        remote_closed: bool,
    },
    /// Shut down for writing; input is discarded until the connection is closed.
    Lingering,
}

impl CloseState {
    pub(super) fn is_closing(self) -> bool {
        matches!(self, CloseState::Closing { .. } | CloseState::Lingering)
    }

    pub(super) fn is_remote_closed(self) -> bool {
        matches!(self, CloseState::RemoteClosed | CloseState::Closing { remote_closed: true })
    }

    pub(super) fn accepts_writes(self) -> bool {
        matches!(self, CloseState::Open | CloseState::RemoteClosed)
    }

    pub(super) fn close(self, mode: CloseMode) -> CloseState {
        match (mode, self) {
            (CloseMode::HalfClose, _) => CloseState::HalfClosing,
            (CloseMode::Close, CloseState::Open | CloseState::HalfClosing) => {
                CloseState::Closing { remote_closed: false }
            }
            (CloseMode::Close, CloseState::RemoteClosed) => CloseState::Closing { remote_closed: true },
            (CloseMode::Close, closing) => closing,
        }
    }
}

/// The result of one read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    Bytes,
    WouldBlock,
    End,
}

/// The result of writing from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteProgress {
    Complete,
    Blocked,
    Failed,
    /// The connection is no longer in the table.
    Gone,
}

/// A connection and the bytes queued on it.
pub(super) struct Connection {
    /// `None` while the connection is being established.
    pub(super) stream: Option<Rc<Async<TcpStream>>>,
    /// Bytes that the socket has not accepted yet. While there are any, a writer task runs.
    pub(super) write_queue: Vec<u8>,
    pub(super) state: CloseState,
    /// Bytes read and discarded since the node began to close the connection.
    pub(super) discarded_bytes: usize,
    /// Ends the reader task when dropped.
    _reader_guard: Sender<()>,
}

impl Connection {
    /// Creates an open connection. The receiver is closed when the connection is dropped.
    pub(super) fn new(stream: Option<Rc<Async<TcpStream>>>) -> (Connection, Receiver<()>) {
        let (reader_guard, dropped) = async_channel::bounded(1);
        let connection = Connection {
            stream,
            write_queue: Vec::new(),
            state: CloseState::Open,
            discarded_bytes: 0,
            _reader_guard: reader_guard,
        };
        (connection, dropped)
    }
}

/// Writes as much as the socket accepts without blocking. Returns the number of bytes written.
pub(super) fn write_now(stream: &Async<TcpStream>, bytes: &[u8]) -> std::io::Result<usize> {
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

/// Whether the peer has closed the connection or its sending side, even if some of its input has not been read yet.
pub(super) fn is_closed_by_peer(stream: &Async<TcpStream>) -> bool {
    let mut polled = [PollFd::new(stream.get_ref(), PollFlags::RDHUP)];
    // If the poll fails, the next read reports the state of the connection.
    let _ = poll(&mut polled, Some(&Timespec::default()));
    polled[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}
