//! What the engine tells the log and the records. The host writes it; nothing is decided by it.

use ochrelead_config::server_endpoint::ServerEndpoint;
use ochrelead_core::time::Span;
use ochrelead_core::types::{DecisionReason, InviteOutcome, LineCapacity, RejectionCause};
use ochrelead_discovery::roster::Said;

/// One line for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// Of one session, known by the id of its caller's try.
    Session { attempt: String, step: SessionStep },
    /// A server said something of itself.
    ServerRestart { name: String, state: &'static str },
    /// A server told all fronts of its lines.
    Lines { name: String, lines: LineCapacity },
    /// The list has changed: this is what a front that starts anew should know.
    EndpointsChanged(Vec<(ServerEndpoint, Said)>),
    /// A message that was passed over, and why.
    MessageIgnored { from: String, reason: String },
    /// This front was called so much later than it had asked for.
    Stalled(Span),
}

/// A step of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionStep {
    Accepted {
        /// As in the settings, by their places.
        service: usize,
        tenant: Option<usize>,
        destination: i64,
        called_number: String,
        is_redial: bool,
    },
    Invited {
        server: String,
        attempt: u32,
        /// Where the judge tells.
        reason: Option<DecisionReason>,
    },
    InviteEnded {
        server: String,
        outcome: InviteOutcome,
        duration: Span,
    },
    Established {
        server: String,
        /// From the INVITE, and from the caller's try.
        set_up_time: Span,
        since_request: Span,
    },
    Rejected {
        /// None where the front itself gave it up, or the judge does not tell.
        cause: Option<RejectionCause>,
        refused: bool,
        retry_after_ms: Option<u64>,
    },
    CallerGone {
        /// The INVITE that was out, and since when.
        invite: Option<(String, Span)>,
    },
    CutByServer {
        server: String,
    },
    Released {
        server: String,
        /// The server confirmed it.
        confirmed: bool,
    },
    /// A call that nobody claims is taken down.
    UnclaimedCallReleased {
        server: String,
    },
}
