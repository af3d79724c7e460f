//! The inputs and outputs of a [`Controller`](crate::controller::Controller).

use crate::index::{CalledNumberIx, ServerIx, ServiceIx, SessionIx, TenantIx};
use crate::time::{Moment, Span};

/// A caller's request for a session.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest {
    /// The requested service.
    pub service: ServiceIx,
    /// The tenant of the caller, if it belongs to one.
    pub tenant: Option<TenantIx>,
    /// The called number, if the platform names one.
    pub called_number: Option<CalledNumberIx>,
    /// The number of the server of first choice.
    pub destination: i64,
    /// When the caller stops waiting; the final answer must be sent before this time.
    pub deadline: Moment,
    /// Whether the caller marks the request as a redial.
    pub is_redial: bool,
}

/// How an INVITE, or the call that it set up, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InviteOutcome {
    /// The call was established and has been released.
    Released,
    /// The server answered with a failure: the lines of the called number are busy, or the signalling failed.
    Failed {
        /// Whether all lines of the called number were busy.
        lines_busy: bool,
    },
    /// The server rejected the INVITE because it is full.
    Rejected {
        /// Whether the server has no free line; otherwise its processor is full.
        no_line: bool,
        /// The time for which the server asks not to be sent INVITEs, if it names one.
        retry_after: Option<Span>,
    },
    /// No answer came before the timeout.
    TimedOut,
    /// No connection to the server could be established.
    ConnectFailed,
    /// The connection was reset while the INVITE was outstanding.
    Reset,
    /// The front cancelled the INVITE.
    Cancelled,
    /// The INVITE was not sent.
    Unsent,
}

impl InviteOutcome {
    /// Returns whether the server answered the INVITE.
    pub(crate) fn is_answer(self) -> bool {
        matches!(
            self,
            InviteOutcome::Released | InviteOutcome::Failed { .. } | InviteOutcome::Rejected { .. }
        )
    }

    /// Returns whether the server may have set up the call although the front has no answer.
    pub fn may_have_set_up_call(self) -> bool {
        matches!(self, InviteOutcome::TimedOut | InviteOutcome::Reset | InviteOutcome::Cancelled)
    }
}

/// The lines of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LineCapacity {
    /// Number of lines without a call.
    pub free: u32,
    /// Number of all lines; zero if it is not known.
    pub total: u32,
}

/// A server's report of its processor load. A field that the report leaves out is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Set-ups per second that the server accepts from all fronts together.
    pub accepted_rate: Option<f64>,
    /// Share of the set-ups, from 0 to 1, that the server asks each front not to send.
    pub hold_back_share: Option<f64>,
}

/// One endpoint of a discovery update.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate {
    /// The index of the server.
    pub server: ServerIx,
    /// The number by which destinations name the server.
    pub number: i64,
    /// Whether the server is in service.
    pub state: EndpointState,
    /// Relative weight in draws among servers; above zero, 1 by default.
    pub weight: f64,
}

/// Whether a server is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready {
        /// When the server last started, if known.
        started: Option<Moment>,
    },
    /// The server finishes its calls and is sent no new ones.
    Draining,
    /// Out of service.
    Gone,
}

/// The reason for a decision, for the event log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionReason {
    /// An INVITE is sent.
    Sent {
        /// How its server was chosen.
        choice: RoutingChoice,
        /// How the retry budget granted it.
        grant: BudgetGrant,
    },
    /// The session is rejected.
    Rejected(RejectionCause),
}

/// How the server of an INVITE was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingChoice {
    /// The server of first choice.
    Destination,
    /// A weighted draw among the other servers that can admit the session.
    WeightedDraw,
}

/// How the retry budget granted an INVITE.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetGrant {
    /// The first INVITE of a session, which needs no budget.
    Free,
    /// A re-send that took a token.
    Token,
    /// A re-send without a token, as none was granted for the server within the floor interval of 1 s.
    Floor,
}

/// The cause of a rejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// The outcome of the last INVITE does not allow a re-send.
    NotRetryable,
    /// The next INVITE could not be sent before the deadline.
    DeadlineTooClose,
    /// The lines of the called number were busy recently.
    CalledNumberBusy,
    /// The maximum number of INVITEs for the session has been sent.
    AttemptsExhausted,
    /// No server that is allowed for the session can admit it.
    NoCapacity,
    /// The retry budget of the chosen server is empty.
    NoRetryBudget,
}

/// The state of a server at one point in time, for the event log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// The maximum number of INVITEs in flight.
    pub in_flight_limit: f64,
    /// The number of INVITEs in flight.
    pub in_flight: u32,
    /// The present answer time.
    pub answer_time: Span,
    /// Whether outlier detection has ejected the server.
    pub ejected: bool,
    /// Whether the server is in slow start.
    pub warming_up: bool,
    /// Whether the last attempt at the server failed.
    pub last_attempt_failed: bool,
    /// Sessions per second that the server sets up for all fronts, estimated from its lines.
    pub setup_rate: Option<f64>,
    /// The lines last reported, with free lines reduced by the INVITEs sent since.
    pub lines: LineCapacity,
}

/// An action for the host to carry out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send an INVITE.
    Invite {
        /// The session to set up.
        session: SessionIx,
        /// The server to which the INVITE is sent.
        server: ServerIx,
        /// How long to wait for an answer; until the session's deadline if `None`.
        answer_timeout: Option<Span>,
    },
    /// Reject the session; this is its final answer.
    Reject {
        /// The session to reject.
        session: SessionIx,
        /// The time after which the caller may try again, if the answer names one.
        retry_after: Option<Span>,
    },
    /// Fail the session; this is its final answer.
    Fail {
        /// The session that failed.
        session: SessionIx,
    },
}
