//! Failures of a cluster run, and violations of what must hold for acts and calls.

use std::io;
use std::time::Duration;

use ochrelead_lease::FencingToken;
use thiserror::Error;

use super::deployment::{CallRecord, Invite};

/// The reason why a cluster run failed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ClusterError {
    /// No matching act was accepted in time.
    #[error("no matching act accepted within {timeout:?}; the server recorded {acts} acts in total")]
    NoAct {
        /// The time allowed for the act.
        timeout: Duration,
        /// Number of all acts recorded so far.
        acts: usize,
    },
    /// The process of a front that was to leave service did not exit in time.
    #[error("front {front} did not exit within {limit:?} of SIGTERM", limit = super::MAX_LEAVE_TIME)]
    LeaveTimedOut {
        /// The front's number.
        front: u32,
    },
    /// A former holder still acted too long after the first act of its successor.
    #[error(
        "a former holder acted until {overlap_ms} ms after the first act of its successor; {limit} ms are allowed",
        limit = super::fault_run::MAX_OVERLAP_MS
    )]
    Overlap {
        /// Time from the successor's first act to the former holder's last, in milliseconds.
        overlap_ms: u64,
    },
    /// The recorded acts violate a rule.
    #[error(transparent)]
    Acts(#[from] ActViolation),
    /// Starting a process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A violated rule for the acts that a server recorded. `act` is the index of the act in the order of decision.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ActViolation {
    /// A token was accepted after a higher one.
    #[error("act {act}: token {token:?} was accepted after the higher token {highest:?}")]
    AcceptedTokenDecreased {
        /// The act.
        act: usize,
        /// Its token.
        token: FencingToken,
        /// The highest token accepted before.
        highest: FencingToken,
    },
    /// Two members acted on one connection.
    #[error(
        "act {act}: token {token:?} arrived on a connection that had carried token {other:?} of another member"
    )]
    SharedConnection {
        /// The act.
        act: usize,
        /// Its token.
        token: FencingToken,
        /// The token of the other member's act.
        other: FencingToken,
    },
    /// A front continued to act under a token after it had read that the token is refused.
    #[error("act {act}: two acts under token {token:?} arrived after its refusal; one is allowed")]
    RefusalIgnored {
        /// The act.
        act: usize,
        /// Its token.
        token: FencingToken,
    },
    /// A member acted under a lower token than before.
    #[error("act {act}: token {token:?} is lower than an earlier token of the same member")]
    MemberTokenDecreased {
        /// The act.
        act: usize,
        /// Its token.
        token: FencingToken,
    },
}

/// A violated rule for calls.
#[derive(Clone, Debug, Error)]
#[non_exhaustive]
pub enum CallViolation {
    /// A call has more than one final answer.
    #[error("call {call} has more than one final answer: {record:?}")]
    MultipleFinalAnswers {
        /// The call's id.
        call: String,
        /// The messages that its caller received.
        record: CallRecord,
    },
    /// A server received an INVITE for a call that no caller requested.
    #[error("INVITE for a call that no caller requested: {invite:?}")]
    UnknownCall {
        /// The INVITE.
        invite: Invite,
    },
}
