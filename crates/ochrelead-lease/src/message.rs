//! The messages that fronts exchange about leases. Messages may be lost, delayed, duplicated and reordered. The
//! transport identifies the sender.

use std::fmt;

use ochrelead_core::time::Span;
use ochrelead_gossip::MemberId;

use crate::token::{FencingToken, TaskId};

/// Why a voter refuses a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The voter started without persisted state and may have made promises in its previous incarnation.
    Abstaining,
    /// The task is promised to this member.
    PromisedTo(MemberId),
    /// The voter knows a higher token of the task.
    StaleToken,
    /// The generation of the candidate's electorate is lower than the voter's or than one in which the voter made a
    /// promise, or more than one higher than the voter's.
    GenerationMismatch,
    /// The requested duration is longer than the lease duration of the voter.
    DurationTooLong,
}

/// The reason as shown in the status text.
impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RefusalReason::Abstaining => f.write_str("a voter has started anew"),
            RefusalReason::PromisedTo(member) => write!(f, "promised to front {}", member.front),
            RefusalReason::StaleToken => f.write_str("a higher number has been held"),
            RefusalReason::GenerationMismatch => f.write_str("the voters have changed"),
            RefusalReason::DurationTooLong => f.write_str("asked for too long"),
        }
    }
}

/// A candidate's request for a vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VoteRequest {
    /// The requested task.
    pub task: TaskId,
    /// The number of the vote round, counted over all tasks of the candidate.
    pub round: u64,
    /// The token that the candidate requests.
    pub token: FencingToken,
    /// The requested duration of the promise, on the voter's clock.
    pub duration: Span,
    /// The generation of the candidate's electorate.
    pub generation: u32,
    /// Whether the candidate already holds the lease.
    pub is_renewal: bool,
}

/// The contents of a refused vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Refusal {
    /// The reason of the refusal.
    pub reason: RefusalReason,
    /// The highest token of the task that the voter knows; [`FencingToken::NONE`] if it sends none.
    pub highest_token: FencingToken,
    /// How long the voter will refuse further requests of this candidate; zero if a higher token suffices.
    pub remaining: Span,
}

/// A message between two fronts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A candidate requests the votes of all voters.
    VoteRequest(VoteRequest),
    /// A voter promises the task to the candidate, for the requested duration from the first such request on.
    VoteGranted {
        /// The task of the request.
        task: TaskId,
        /// The round of the request.
        round: u64,
    },
    /// A voter refuses a vote request.
    VoteRefused {
        /// The task of the request.
        task: TaskId,
        /// The round of the request.
        round: u64,
        /// The reason, and for how long.
        refusal: Refusal,
    },
    /// A candidate withdraws its requests of this round and of all earlier ones; voters end the promises made on them.
    VoteWithdrawn {
        /// The task of the withdrawn requests.
        task: TaskId,
        /// The last withdrawn round.
        round: u64,
    },
    /// A voter notifies the first candidate that it refused because of a promise that the promise ended early.
    Released {
        /// The task that may be requested again.
        task: TaskId,
    },
    /// An abstaining voter queries the tokens of the other voters.
    TokenQuery,
    /// The answer to [`Message::TokenQuery`], one message for each task.
    TokenReport {
        /// The task of the token.
        task: TaskId,
        /// The highest token of the task that the sender knows.
        token: FencingToken,
    },
}
