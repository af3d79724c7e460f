//! The inputs and outputs of the engine, and the identifiers of connections in them.

use std::net::SocketAddr;

use ochrelead_platform::events::{EndpointChange, EventCursor};

/// Identifies a caller's connection. The host assigns the ids by counting; an id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Identifies a connection to a signalling server. The engine assigns the ids by counting; an id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerConnectionId(pub u64);

/// Identifies a connection to the coordinator. The engine assigns the ids by counting; an id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchId(pub u64);

/// How a connection to a signalling server ended, or why it could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The server closed it in order: all that it sent has been received.
    Closed,
    /// The connection was reset, or the attempt failed. What either side sent last may be lost.
    Reset,
    /// The attempt was refused: no process listens at the address.
    Refused,
}

/// An event that the host reports to the engine.
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A caller's connection was accepted.
    CallerConnected(CallerId),
    /// Bytes arrived from a caller.
    CallerData(CallerId, &'a [u8]),
    /// The caller shut its side down for writing; it may still read.
    CallerHalfClosed(CallerId),
    /// The caller's connection is closed.
    CallerDisconnected(CallerId),
    /// All bytes received from the caller before [`Output::DrainInput`] have been reported.
    InputDrained(CallerId),
    /// A connection to a server is established.
    ServerConnected(ServerConnectionId),
    /// Bytes arrived from a server.
    ServerData(ServerConnectionId, &'a [u8]),
    /// A connection to a server is closed, or could not be established.
    ServerDisconnected {
        /// The connection.
        connection: ServerConnectionId,
        /// How it ended.
        end: ConnectionEnd,
    },
    /// The connection to the coordinator is established.
    WatchConnected(WatchId),
    /// Bytes arrived from the coordinator.
    WatchData(WatchId, &'a [u8]),
    /// The connection to the coordinator is closed, or could not be established.
    WatchDisconnected(WatchId),
    /// The configuration was reloaded, with the list of servers as of `event_cursor`.
    ListReloaded {
        /// The last event that the list includes.
        event_cursor: EventCursor,
        /// The complete list.
        list: &'a EndpointChange,
    },
    /// The coordinator has a new address.
    CoordinatorMoved(SocketAddr),
    /// Shut down; pending and newly arriving set-ups are answered first.
    Shutdown,
}

/// An action that the host carries out for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write bytes to a caller.
    SendToCaller(CallerId, Vec<u8>),
    /// Report all bytes received from the caller so far, then [`Input::InputDrained`].
    DrainInput(CallerId),
    /// Close a caller's connection once all queued bytes are written.
    CloseCaller(CallerId),
    /// Connect to a server.
    ConnectServer(ServerConnectionId, SocketAddr),
    /// Write bytes to a server.
    SendToServer(ServerConnectionId, Vec<u8>),
    /// Close a connection to a server once all queued bytes are written.
    CloseServerConnection(ServerConnectionId),
    /// Shut a connection to a server down for writing once all queued bytes are written, and read it until the server
    /// closes it too.
    HalfCloseServerConnection(ServerConnectionId),
    /// An action on the connection to the coordinator.
    Watch(WatchAction),
}

/// An action on the connection to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAction {
    /// Connect to the coordinator.
    Connect {
        /// The new connection.
        watch: WatchId,
        /// The coordinator's address.
        address: SocketAddr,
    },
    /// Send a request line.
    Send {
        /// The connection.
        watch: WatchId,
        /// The line, including its line ending.
        line: String,
    },
    /// Close the connection.
    Close {
        /// The connection.
        watch: WatchId,
    },
}
