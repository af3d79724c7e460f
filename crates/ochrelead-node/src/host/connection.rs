//! One connection of a node: whose it is, how far its end has got, and what waits on it.

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_io::Async;

use crate::io::{CallerId, ServerConnectionId, WatchId};

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
pub(super) enum CloseState {
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

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
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

/// A connection, and what waits on it.
pub(super) struct Connection {
    /// `None` while it is being established.
    pub(super) stream: Option<Rc<Async<TcpStream>>>,
    /// What its reader has not taken yet; a task writes it while there is any.
    pub(super) write_queue: Vec<u8>,
    pub(super) state: CloseState,
    /// Bytes that were read and discarded since the node began to close it.
    pub(super) discarded_bytes: usize,
    /// Ends its reader task when dropped.
    _reader_guard: Sender<()>,
}

impl Connection {
    /// An open connection; the receiver ends when it is dropped.
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

/// Writes what the socket takes now; how many bytes that were.
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
