//! The types that pass between a host and the [`Controller`](crate::controller::Controller).

use crate::index::{CalledNumberIx, ServerIx, ServiceIx, SessionIx, TenantIx};
use crate::time::{Moment, Span};

/// A caller's request for a session.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest {
    /// The service that the caller asks for.
    pub service: ServiceIx,
    /// The tenant of the caller; none where it belongs to none.
    pub tenant: Option<TenantIx>,
    /// The called number; none where the platform names none.
    pub called_number: Option<CalledNumberIx>,
    /// The number of the server of first choice.
    pub destination: i64,
    /// When the caller stops waiting: the final answer has to be sent before.
    pub deadline: Moment,
    /// Whether the caller says that it has tried before.
    pub is_redial: bool,
}

/// How an INVITE, or the call that it set up, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InviteOutcome {
    /// The call was established and has been released.
    Released,
    /// The server answered with a failure: all lines of the called number are busy, or the signalling failed.
    Failed {
        /// Whether it failed because all lines of the called number are busy.
        lines_busy: bool,
    },
    /// A full server turned the INVITE away.
    Rejected {
        /// Whether it has no free line; otherwise its processor is full.
        no_line: bool,
        /// How long the server asks not to be sent INVITEs, where it does.
        retry_after: Option<Span>,
    },
    /// No answer came before the timeout.
    TimedOut,
    /// No connection to the server could be made.
    ConnectFailed,
    /// The connection was reset while the INVITE was outstanding.
    Reset,
    /// The front cancelled the INVITE.
    Cancelled,
    /// The INVITE never left the front.
    Unsent,
}

impl InviteOutcome {
    /// Whether the server answered the INVITE.
    pub(crate) fn is_answer(self) -> bool {
        matches!(
            self,
            InviteOutcome::Released | InviteOutcome::Failed { .. } | InviteOutcome::Rejected { .. }
        )
    }

    /// Whether the server may have set the call up although no answer of it is known.
    pub fn may_have_run(self) -> bool {
        matches!(self, InviteOutcome::TimedOut | InviteOutcome::Reset | InviteOutcome::Cancelled)
    }
}

/// The lines of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LineCapacity {
    /// Lines that carry no call.
    pub free: u32,
    /// All lines that the server has; zero where that is not known.
    pub total: u32,
}

/// What a server reports of its processor load. A field is none where the report leaves it out.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// New set-ups a second that it accepts from all fronts together.
    pub accepted_rate: Option<f64>,
    /// The share of new set-ups, 0 to 1, that it asks each front to hold back.
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
    /// Its part of weighted draws against the other servers' weights; above zero, 1 by default.
    pub weight: f64,
}

/// Whether a server is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// In service.
    Ready {
        /// When it last started, where that is known.
        started: Option<Moment>,
    },
    /// It finishes its calls and takes no new ones.
    Draining,
    /// It is out of service.
    Gone,
}

/// Why a decision was made, for the event log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionReason {
    /// An INVITE is sent.
    Sent {
        /// How its server was chosen.
        choice: RoutingChoice,
        /// What the retry budget granted.
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

/// On what terms the retry budget lets an INVITE pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetGrant {
    /// A first set-up: it needs no budget.
    Free,
    /// A re-send that took a token.
    Token,
    /// A re-send without a token, for none had been sent to the server for a while.
    Floor,
}

/// Why a session is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionCause {
    /// After this outcome the INVITE must not be sent again.
    NotRetryable,
    /// The deadline would come first.
    DeadlineTooClose,
    /// All lines of the called number were busy a moment ago.
    CalledNumberBusy,
    /// The session has had all the INVITEs that it may have.
    AttemptsExhausted,
    /// No server that the session may go to can admit it.
    NoCapacity,
    /// The retry budget of the chosen server is empty.
    NoRetryBudget,
}

/// The state of a server at a moment, for the event log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerSnapshot {
    /// How many INVITEs may be in flight.
    pub in_flight_limit: f64,
    /// How many INVITEs are in flight.
    pub in_flight: u32,
    /// The present answer time.
    pub answer_time: Span,
    /// Whether outlier detection has ejected it.
    pub ejected: bool,
    /// Whether it has just started and is sent little load.
    pub warming_up: bool,
    /// Whether the last attempt at it failed.
    pub last_attempt_failed: bool,
    /// What it sets up for all fronts, in sessions a second, estimated from its lines.
    pub setup_rate: Option<f64>,
    /// Its lines, as last reported.
    pub lines: LineCapacity,
}

/// What the host is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send an INVITE.
    Invite {
        /// The session to set up.
        session: SessionIx,
        /// Where the INVITE goes.
        server: ServerIx,
        /// How long to wait for an answer; as long as the caller does where there is none.
        answer_timeout: Option<Span>,
    },
    /// Final: reject the session.
    Reject {
        /// The session to reject.
        session: SessionIx,
        /// After what time the caller may come back, where the answer names one.
        retry_after: Option<Span>,
    },
    /// Final: the session failed.
    Fail {
        /// The session that failed.
        session: SessionIx,
    },
}
