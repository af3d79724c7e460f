//! What the engine and the coordination with other fronts tell each other.

use ochrelead_core::time::Moment;
use ochrelead_lease::FencingToken;
use ochrelead_zone::{ServerKey, ServerLocation, ZoneId};

/// The outcome of an INVITE, or a sign of life of a server. An INVITE is identified by its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An INVITE was begun.
    InviteSent {
        /// At which server.
        server: ServerKey,
        /// Its session.
        invite: u64,
    },
    /// A server answered an INVITE, by accepting or refusing it.
    InviteAnswered {
        /// Its session.
        invite: u64,
    },
    /// An INVITE failed without an answer.
    InviteFailed {
        /// Its session.
        invite: u64,
    },
    /// An INVITE was cancelled, timed out, or refused.
    InviteCancelled {
        /// Its session.
        invite: u64,
    },
    /// A message arrived from a server, or a connection to it was established.
    ServerAlive {
        /// Which server.
        server: ServerKey,
    },
}

/// A server refused a health check, for it has seen a higher fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SupersededToken {
    /// The server's id.
    pub server: String,
    /// The highest token that it has seen.
    pub highest: FencingToken,
}

/// The share of sessions that the servers of a zone take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficShare {
    /// Which zone.
    pub zone: ZoneId,
    /// The share: 0 for none, 1 for all.
    pub share: f64,
}

/// When a server was last heard by this front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerActivity {
    /// The server's id.
    pub server: String,
    /// When its last message arrived that was not the response to a health check.
    pub last_unprompted: Moment,
    /// When its last message arrived, or the last connection to it was established.
    pub last_heard: Moment,
}

/// The servers in service, as this front sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerReport {
    /// When each was last heard.
    pub activity: Vec<ServerActivity>,
    /// The zones of those whose zones are known.
    pub locations: Vec<ServerLocation>,
}
