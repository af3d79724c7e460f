//! The data exchanged between the engine and the coordination with other fronts.

use ochrelead_core::time::Moment;
use ochrelead_lease::FencingToken;
use ochrelead_zone::{ServerKey, ServerLocation, ZoneId};

/// An event of an INVITE, or a message or connection that shows a server to be alive. An INVITE is identified by the
/// index of its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The controller has decided to send an INVITE.
    InviteSent {
        /// The server that it is sent to.
        server: ServerKey,
        /// The index of its session.
        invite: u64,
    },
    /// A server accepted or refused an INVITE.
    InviteAnswered {
        /// The index of its session.
        invite: u64,
    },
    /// An INVITE failed without an answer.
    InviteFailed {
        /// The index of its session.
        invite: u64,
    },
    /// An INVITE was cancelled, timed out, or refused.
    InviteCancelled {
        /// The index of its session.
        invite: u64,
    },
    /// A message arrived from a server, or a connection to it was established.
    ServerAlive {
        /// The server.
        server: ServerKey,
    },
}

/// The refusal of a health check by a server that has seen a higher fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupersededToken {
    /// The server's id.
    pub server: String,
    /// The highest token that the server has seen.
    pub highest: FencingToken,
}

/// The share of its usual traffic that a zone takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficShare {
    /// The zone.
    pub zone: ZoneId,
    /// From 0 for no sessions to 1 for all.
    pub share: f64,
}

/// When this front last received a message from a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerActivity {
    /// The server's id.
    pub server: String,
    /// When the last message other than a response to a health check arrived.
    pub last_unprompted: Moment,
    /// When the last message of any kind arrived or the last connection was established.
    pub last_heard: Moment,
}

/// The state of the servers in service as observed by this front.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// When each server was last heard.
    pub activity: Vec<ServerActivity>,
    /// The zone of each server whose zone is known.
    pub locations: Vec<ServerLocation>,
}
