//! What the engine reports for the log and the event log. The host writes it; nothing is decided by it.

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
        /// What it announced, as the event log has it.
        state: &'static str,
    },
    /// A server sent its line capacity to all fronts.
    Lines {
        /// The name of the server.
        name: String,
        /// Its lines.
        lines: LineCapacity,
    },
    /// The list of servers has changed: what a restarted front has to know.
    EndpointsChanged(Vec<ListedServer>),
    /// A message was ignored.
    MessageIgnored {
        /// Where it came from.
        from: String,
        /// Why it was ignored.
        reason: String,
    },
    /// This front was called so much later than it had asked for.
    Stalled(Span),
}

/// An INVITE that was out when its caller hung up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AbandonedInvite {
    /// The name of the server.
    pub server: String,
    /// How long it had been out.
    pub waited: Span,
}

/// A step of a session.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionStep {
    /// An attempt of a caller was accepted as a session.
    Accepted {
        /// The place of the service in the configuration.
        service: usize,
        /// The place of the tenant in the configuration, where the caller has one.
        tenant: Option<usize>,
        /// The number of the server of first choice.
        destination: i64,
        /// The digits that the caller dialled.
        called_number: String,
        /// Whether the caller says that it has tried before.
        is_redial: bool,
    },
    /// An INVITE was sent.
    Invited {
        /// The name of the server.
        server: String,
        /// Which INVITE of the session it is, from 1.
        attempt: u32,
        /// Why it was sent there, where the policy says so.
        reason: Option<DecisionReason>,
    },
    /// An INVITE ended without an established call.
    InviteEnded {
        /// The name of the server.
        server: String,
        /// How it ended.
        outcome: InviteOutcome,
        /// How long it was out.
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
    /// The session was answered without a call.
    Rejected {
        /// The policy's cause; none where the front itself ended the session, or the policy gives no cause.
        cause: Option<RejectionCause>,
        /// Whether it was refused (busy tone); otherwise it failed (reorder tone).
        refused: bool,
        /// When the caller may come back, in milliseconds, where it was told a time.
        retry_after_ms: Option<u64>,
    },
    /// The caller hung up before the call was established.
    CallerGone {
        /// The INVITE that was out.
        invite: Option<AbandonedInvite>,
    },
    /// The server no longer has an established call.
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
    /// A call that no session holds was released at a server.
    UnclaimedCallReleased {
        /// The name of the server.
        server: String,
    },
}
