//! Events that the engine reports for the log file and the event log. The host writes them; no decision depends on
//! them.

use ochrelead_core::time::Span;
use ochrelead_core::types::{DecisionReason, InviteOutcome, LineCapacity, RejectionCause};
use ochrelead_discovery::server_table::ListedServer;

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum EngineEvent {
    /// A step of a session.
    Session {
        /// The id of the caller's attempt.
        attempt: String,
        /// What happened.
        step: SessionStep,
    },
    /// A server announced its restart, its drain or its end.
    ServerRestart {
        /// The name of the server.
        name: String,
        /// The announced state, as it is written to the event log.
        state: &'static str,
    },
    /// A server sent its line capacity to all fronts.
    Lines {
        /// The name of the server.
        name: String,
        /// Its lines.
        lines: LineCapacity,
    },
    /// The list of servers or a server's reported state has changed. It is persisted for a restart of the front.
    EndpointsChanged(Vec<ListedServer>),
    /// A message was ignored.
    MessageIgnored {
        /// The address of its sender.
        from: String,
        /// Why it was ignored.
        reason: String,
    },
    /// The engine was called later than it had requested, by this time.
    Stalled(Span),
}

/// An INVITE that was unanswered when its caller hung up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AbandonedInvite {
    /// The name of the server.
    pub server: String,
    /// The time since it was sent.
    pub waited: Span,
}

/// A step of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionStep {
    /// An attempt of a caller was accepted as a session.
    Accepted {
        /// The index of the service in the configuration.
        service: usize,
        /// The index of the tenant in the configuration, if the caller has one.
        tenant: Option<usize>,
        /// The number of the preferred server; -1 if the numbering plan does not contain the called number.
        destination: i64,
        /// The digits that the caller dialled.
        called_number: String,
        /// Whether the caller reports that it has tried before.
        is_redial: bool,
    },
    /// An INVITE was sent.
    Invited {
        /// The name of the server.
        server: String,
        /// The position of this INVITE among those of the session, from 1.
        attempt: u32,
        /// The reason for the choice of the server, if the policy gives one.
        reason: Option<DecisionReason>,
    },
    /// An INVITE ended without an established call.
    InviteEnded {
        /// The name of the server.
        server: String,
        /// The outcome of the INVITE.
        outcome: InviteOutcome,
        /// The time from the INVITE to its end.
        duration: Span,
    },
    /// The call is established.
    Established {
        /// The name of the server.
        server: String,
        /// The time since the INVITE.
        set_up_time: Span,
        /// The time since the caller's attempt.
        since_request: Span,
    },
    /// The session got a final answer without a call.
    Rejected {
        /// The policy's cause; `None` if the front itself ended the session, or the policy gives no cause.
        cause: Option<RejectionCause>,
        /// Whether it was refused (busy tone); otherwise it failed (reorder tone).
        refused: bool,
        /// The time after which the caller may try again, in milliseconds, if the answer gives one.
        retry_after_ms: Option<u64>,
    },
    /// The caller hung up before the call was established.
    CallerGone {
        /// The INVITE that was unanswered, if there was one.
        invite: Option<AbandonedInvite>,
    },
    /// The server has released or lost an established call.
    CutByServer {
        /// The name of the server.
        server: String,
    },
    /// An established call was released.
    Released {
        /// The name of the server.
        server: String,
        /// Whether the server confirmed the release.
        confirmed: bool,
    },
    /// A call that belongs to no session is released at its server.
    UnclaimedCallReleased {
        /// The name of the server.
        server: String,
    },
}
