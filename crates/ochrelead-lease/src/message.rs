//! The messages that fronts exchange about leases. They may be lost, delayed, duplicated and reordered; the transport
//! adds which member sent one.

use std::fmt;

use ochrelead_core::time::Span;
use ochrelead_gossip::MemberId;

use crate::token::{FencingToken, TaskId};

/// Why a voter does not grant its vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The voter has started without persisted state and may have made promises before.
    Abstaining,
    /// The task is promised to that member.
    PromisedTo(MemberId),
    /// A higher token is known.
    StaleToken,
    /// The candidate's electorate is not the one in force.
    GenerationMismatch,
    /// The requested duration is longer than any that is granted.
    DurationTooLong,
}

/// A few words for operators; part of the status text.
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
    /// The task that the candidate wants to hold.
    pub task: TaskId,
    /// The vote round, counted over all rounds of one incarnation.
    pub round: u64,
    /// The token that the candidate would act under.
    pub token: FencingToken,
    /// How long the promise is to run, on the voter's clock.
    pub duration: Span,
    /// The generation of the candidate's electorate.
    pub generation: u32,
    /// Whether the candidate holds the lease already.
    pub is_renewal: bool,
}

/// What a voter says when it does not grant its vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Refusal {
    /// Why the vote is refused.
    pub reason: RefusalReason,
    /// The highest token of the task that the voter knows.
    pub highest_token: FencingToken,
    /// How long asking again is of no use.
    pub remaining: Span,
}

/// A message between two fronts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// From a candidate to all voters.
    VoteRequest(VoteRequest),
    /// From a voter: promised, from now on, for the duration that was requested.
    VoteGranted {
        /// The task of the request.
        task: TaskId,
        /// The round of the request.
        round: u64,
    },
    /// From a voter: not promised.
    VoteRefused {
        /// The task of the request.
        task: TaskId,
        /// The round of the request.
        round: u64,
        /// Why, and for how long.
        refusal: Refusal,
    },
    /// From a candidate: promises of this round and of earlier ones are no longer needed.
    VoteWithdrawn {
        /// The task of the withdrawn requests.
        task: TaskId,
        /// The last withdrawn round.
        round: u64,
    },
    /// From a voter, to the first candidate that it refused for another: that promise has ended before its time.
    Released {
        /// The task that may be requested again.
        task: TaskId,
    },
    /// From a voter that abstains: which tokens are known?
    TokenQuery,
    /// The answer to [`Message::TokenQuery`], one for each task.
    TokenReport {
        /// The task of the token.
        task: TaskId,
        /// The highest token known.
        token: FencingToken,
    },
}
