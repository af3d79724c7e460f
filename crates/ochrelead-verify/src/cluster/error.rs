//! What goes wrong in a cluster, and what does not hold.

use std::io;
use std::time::Duration;

use ochrelead_lease::FencingToken;
use thiserror::Error;

use super::deployment::{CallRecord, Invite};

/// Why a run of a cluster has failed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ClusterError {
    /// Nobody acted.
    #[error("no such act in {timeout:?}; {acts} acts came")]
    NoAct {
        /// How long it was waited for.
        timeout: Duration,
        /// How many acts came in all.
        acts: usize,
    },
    /// A front that was told to leave goes on.
    #[error("front {front} has not ended")]
    NotEnded {
        /// The front.
        front: u32,
    },
    /// A former holder acted for long beside its successor.
    #[error("two acted in turns for {overlap_ms} ms")]
    Overlap {
        /// For how long.
        overlap_ms: u64,
    },
    /// The acts that reached the server are out of order.
    #[error(transparent)]
    Acts(#[from] ActViolation),
    /// A process can't be started.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// What does not hold of the acts that reached a server. Acts are counted in the order in which they came.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum ActViolation {
    /// A token was accepted after a higher one.
    #[error("act {act}: {token:?} was taken after {highest:?}")]
    TokenFell {
        /// The act.
        act: usize,
        /// Its token.
        token: FencingToken,
        /// The highest token that was accepted before.
        highest: FencingToken,
    },
    /// Two members acted on one connection.
    #[error("act {act}: {token:?} came where {other:?} had")]
    ForeignConnection {
        /// The act.
        act: usize,
        /// Its token.
        token: FencingToken,
        /// The token of the other member's act.
        other: FencingToken,
    },
    /// A front goes on acting under a token though it has read that it is refused.
    #[error("act {act}: {token:?} had been refused twice")]
    RefusalIgnored {
        /// The act.
        act: usize,
        /// Its token.
        token: FencingToken,
    },
    /// A member acted under a lower token than before.
    #[error("act {act}: its front had acted under more than {token:?}")]
    WentBack {
        /// The act.
        act: usize,
        /// Its token.
        token: FencingToken,
    },
}

/// What does not hold of calls.
#[derive(Clone, Debug, Error)]
#[non_exhaustive]
pub enum CallViolation {
    /// A call has more than one final answer.
    #[error("call {call}: {record:?}")]
    SeveralAnswers {
        /// The call.
        call: String,
        /// What its caller was told.
        record: CallRecord,
    },
    /// A server got an INVITE for a call that nobody asked for.
    #[error("an INVITE that no caller asked for: {invite:?}")]
    UnknownCall {
        /// The INVITE.
        invite: Invite,
    },
}
