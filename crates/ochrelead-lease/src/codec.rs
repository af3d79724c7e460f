//! The encoding of lease messages, each of which is carried as a part of a gossip datagram.

use ochrelead_core::time::Span;
use ochrelead_gossip::MemberId;
use prost::Message as _;

use crate::message::{Message, Refusal, RefusalReason, VoteRequest};
use crate::schema::{self, message::Kind};
use crate::token::{FencingToken, TaskId};

/// The numbers of the refusal reasons in the schema; 0 is not assigned.
mod reason {
    pub(super) const ABSTAINING: u32 = 1;
    pub(super) const PROMISED_TO: u32 = 2;
    pub(super) const STALE_TOKEN: u32 = 3;
    pub(super) const GENERATION_MISMATCH: u32 = 4;
    pub(super) const DURATION_TOO_LONG: u32 = 5;
}

/// Encodes a message.
///
/// ```
/// use ochrelead_lease::TaskId;
/// use ochrelead_lease::codec::{decode, encode};
/// use ochrelead_lease::message::Message;
///
/// let message = Message::Released { task: TaskId(7) };
/// assert_eq!(decode(&encode(&message)), Some(message));
/// ```
pub fn encode(message: &Message) -> Vec<u8> {
    let (task, kind) = match *message {
        Message::VoteRequest(request) => (request.task, Kind::VoteRequest(encode_request(&request))),
        Message::VoteGranted { task, round } => (task, Kind::VoteGranted(schema::VoteGranted { round })),
        Message::VoteRefused { task, round, refusal } => {
            (task, Kind::VoteRefused(encode_refusal(round, refusal)))
        }
        Message::VoteWithdrawn { task, round } => {
            (task, Kind::VoteWithdrawn(schema::VoteWithdrawn { round }))
        }
        Message::Released { task } => (task, Kind::Released(schema::Released {})),
        Message::TokenQuery => (TaskId(0), Kind::TokenQuery(schema::TokenQuery {})),
        Message::TokenReport { task, token } => (task, Kind::TokenReport(token.into())),
    };
    schema::Message { task: task.0, kind: Some(kind) }.encode_to_vec()
}

fn encode_request(request: &VoteRequest) -> schema::VoteRequest {
    schema::VoteRequest {
        round: request.round,
        token: Some(request.token.into()),
        duration_us: request.duration.micros(),
        generation: request.generation,
        is_renewal: request.is_renewal,
    }
}

fn encode_refusal(round: u64, refusal: Refusal) -> schema::VoteRefused {
    let (reason, promised_to) = match refusal.reason {
        RefusalReason::Abstaining => (reason::ABSTAINING, None),
        RefusalReason::PromisedTo(candidate) => (reason::PROMISED_TO, Some(candidate)),
        RefusalReason::StaleToken => (reason::STALE_TOKEN, None),
        RefusalReason::GenerationMismatch => (reason::GENERATION_MISMATCH, None),
        RefusalReason::DurationTooLong => (reason::DURATION_TOO_LONG, None),
    };
    schema::VoteRefused {
        round,
        reason,
        highest_token: Some(refusal.highest_token.into()),
        remaining_us: refusal.remaining.micros(),
        front: promised_to.map_or(0, |candidate| candidate.front),
        incarnation: promised_to.map_or(0, |candidate| candidate.incarnation),
    }
}

/// Decodes a message; `None` if it is malformed, of an unknown kind, or has a token outside the accepted range.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    let message = schema::Message::decode(bytes).ok()?;
    let task = TaskId(message.task);
    Some(match message.kind? {
        Kind::VoteRequest(request) => Message::VoteRequest(decode_request(task, request)?),
        Kind::VoteGranted(granted) => Message::VoteGranted { task, round: granted.round },
        Kind::VoteRefused(refused) => {
            Message::VoteRefused { task, round: refused.round, refusal: decode_refusal(refused)? }
        }
        Kind::VoteWithdrawn(withdrawn) => Message::VoteWithdrawn { task, round: withdrawn.round },
        Kind::Released(_) => Message::Released { task },
        Kind::TokenQuery(_) => Message::TokenQuery,
        Kind::TokenReport(token) => Message::TokenReport { task, token: decode_token(Some(token))? },
    })
}

fn decode_request(task: TaskId, request: schema::VoteRequest) -> Option<VoteRequest> {
    Some(VoteRequest {
        task,
        round: request.round,
        token: decode_token(request.token)?,
        duration: Span::from_micros(request.duration_us),
        generation: request.generation,
        is_renewal: request.is_renewal,
    })
}

fn decode_refusal(refused: schema::VoteRefused) -> Option<Refusal> {
    let reason = match refused.reason {
        reason::PROMISED_TO => {
            let (front, incarnation) = (refused.front, refused.incarnation);
            RefusalReason::PromisedTo(MemberId { front, incarnation })
        }
        reason::STALE_TOKEN => RefusalReason::StaleToken,
        reason::GENERATION_MISMATCH => RefusalReason::GenerationMismatch,
        reason::DURATION_TOO_LONG => RefusalReason::DurationTooLong,
        // A reason of a newer version is unknown here, but the vote is still refused.
        _ => RefusalReason::Abstaining,
    };
    let highest_token = decode_token(refused.highest_token)?;
    Some(Refusal { reason, highest_token, remaining: Span::from_micros(refused.remaining_us) })
}

/// Decodes a received token. A missing token is [`FencingToken::NONE`]; the result is `None` if the counter is outside
/// the accepted range.
fn decode_token(token: Option<schema::FencingToken>) -> Option<FencingToken> {
    token.map_or(Some(FencingToken::NONE), |token| {
        Some(FencingToken::from(token)).filter(|token| token.is_plausible())
    })
}
