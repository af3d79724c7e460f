//! The messages between the engine and its host, and the identifiers in them.

use std::net::SocketAddr;

use ochrelead_platform::events::{EndpointChange, EventCursor};

/// A caller's connection. The host counts connections; an id is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// A connection to a signalling server. The engine counts connections; an id is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerConnectionId(pub u64);

/// A connection to the coordinator. The engine counts connections; an id is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchId(pub u64);

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
    /// All bytes that had arrived from the caller were reported ([`Output::DrainInput`]).
    InputDrained(CallerId),
    /// A connection to a server is established.
    ServerConnected(ServerConnectionId),
    /// Bytes arrived from a server.
    ServerData(ServerConnectionId, &'a [u8]),
    /// A connection to a server is closed, or could not be established.
    ServerDisconnected {
        /// Which connection.
        connection: ServerConnectionId,
        /// Whether the attempt was refused: no process listens at the address.
        refused: bool,
    },
    /// The connection to the coordinator is established.
    WatchConnected(WatchId),
    /// Bytes arrived from the coordinator.
    WatchData(WatchId, &'a [u8]),
    /// The connection to the coordinator is closed, or could not be established.
    WatchDisconnected(WatchId),
    /// The configuration was replaced; it holds the list of servers as of an event.
    ListReloaded {
        /// The last event in it.
        event_cursor: EventCursor,
        /// The whole list.
        list: &'a EndpointChange,
    },
    /// The coordinator has a new address.
    CoordinatorMoved(SocketAddr),
    /// Leave service: owed answers are still given.
    Shutdown,
}

/// An action that the host carries out for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write bytes to a caller.
    SendToCaller(CallerId, Vec<u8>),
    /// Report everything that has arrived from the caller by now, then [`Input::InputDrained`].
    DrainInput(CallerId),
    /// Close a caller's connection once everything written to it has left.
    CloseCaller(CallerId),
    /// Connect to a server.
    ConnectServer(ServerConnectionId, SocketAddr),
    /// Write bytes to a server.
    SendToServer(ServerConnectionId, Vec<u8>),
    /// Close a connection to a server once everything written to it has left.
    CloseServerConnection(ServerConnectionId),
    /// Shut a connection to a server down for writing once everything written to it has left, and read it until the
    /// server closes it too.
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
        /// Which connection.
        watch: WatchId,
        /// The line with its end.
        line: String,
    },
    /// Close the connection.
    Close {
        /// Which connection.
        watch: WatchId,
    },
}
