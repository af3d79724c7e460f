//! A voter's promises as stored on disk: a CRC-32 checksum, then the schema's `PersistedState`.
//!
//! The state is written before a promise is sent, so a voter that starts with it need not abstain. State that is
//! corrupt, of a newer version or of another front is refused, and the voter abstains as it would without a disk.

use ochrelead_gossip::MemberId;
use prost::Message as _;
use thiserror::Error;

use crate::schema;
use crate::token::{FencingToken, TaskId};

/// The version that this program writes, and the newest that it reads.
pub const VERSION: u32 = 1;

/// Why stored state is refused.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum RestoreError {
    /// The checksum does not match, or the bytes are not an encoded `PersistedState`.
    #[error("voter state is truncated, corrupt, or not an encoded voter state")]
    Corrupt,
    /// The state has a newer version and may contain promises that this program cannot interpret.
    #[error("voter state has version {0}; this program reads versions up to {VERSION}")]
    NewerVersion(u32),
    /// The state was stored by this other front.
    #[error("voter state was stored by another front, front {0}")]
    OtherFront(u32),
}

/// A promise as stored, without its remaining time: after a restart it runs for a whole lease duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PersistedPromise {
    /// The candidate that the task was promised to.
    pub candidate: MemberId,
    /// The vote round in which it was promised.
    pub round: u64,
}

/// The stored state of one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PersistedVote {
    /// The task.
    pub task: TaskId,
    /// The last promise, if it was not withdrawn.
    pub promise: Option<PersistedPromise>,
    /// The highest token that the voter promised or learned from others.
    pub highest_token: FencingToken,
}

/// The stored state of a voter.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// The lowest electorate generation whose requests the voter accepts.
    pub generation: u32,
    /// The votes, by task.
    pub votes: Vec<PersistedVote>,
}

impl PersistedState {
    /// Encodes the state of front `front` for storage.
    pub fn encode(&self, front: u32) -> Vec<u8> {
        let body = schema::PersistedState {
            version: VERSION,
            front,
            generation: self.generation,
            votes: self.votes.iter().map(encode_vote).collect(),
        };
        let body = body.encode_to_vec();
        [&crc32fast::hash(&body).to_le_bytes()[..], &body].concat()
    }

    /// Decodes state that [`PersistedState::encode`] encoded for front `front`.
    ///
    /// # Errors
    ///
    /// If the bytes are corrupt, of a newer version, or encoded for another front.
    pub fn decode(bytes: &[u8], front: u32) -> Result<PersistedState, RestoreError> {
        let (checksum, body) = bytes.split_first_chunk::<4>().ok_or(RestoreError::Corrupt)?;
        if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
            return Err(RestoreError::Corrupt);
        }
        let state = schema::PersistedState::decode(body).map_err(|_| RestoreError::Corrupt)?;
        match state.version {
            0 => return Err(RestoreError::Corrupt),
            1..=VERSION => {}
            newer => return Err(RestoreError::NewerVersion(newer)),
        }
        if state.front != front {
            return Err(RestoreError::OtherFront(state.front));
        }
        let votes = state.votes.into_iter().map(decode_vote).collect();
        Ok(PersistedState { generation: state.generation, votes })
    }
}

fn encode_vote(vote: &PersistedVote) -> schema::PersistedVote {
    let candidate = vote.promise.map(|promise| promise.candidate);
    schema::PersistedVote {
        task: vote.task.0,
        is_promised: vote.promise.is_some(),
        front: candidate.map_or(0, |candidate| candidate.front),
        incarnation: candidate.map_or(0, |candidate| candidate.incarnation),
        round: vote.promise.map_or(0, |promise| promise.round),
        highest_token: Some(vote.highest_token.into()),
    }
}

fn decode_vote(vote: schema::PersistedVote) -> PersistedVote {
    let candidate = MemberId { front: vote.front, incarnation: vote.incarnation };
    PersistedVote {
        task: TaskId(vote.task),
        promise: vote.is_promised.then_some(PersistedPromise { candidate, round: vote.round }),
        highest_token: vote.highest_token.unwrap_or_default().into(),
    }
}

impl From<FencingToken> for schema::FencingToken {
    fn from(token: FencingToken) -> schema::FencingToken {
        schema::FencingToken {
            counter: token.counter,
            front: token.holder.front,
            incarnation: token.holder.incarnation,
        }
    }
}

impl From<schema::FencingToken> for FencingToken {
    fn from(token: schema::FencingToken) -> FencingToken {
        let holder = MemberId { front: token.front, incarnation: token.incarnation };
        FencingToken { counter: token.counter, holder }
    }
}
