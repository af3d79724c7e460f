//! Encoding and decoding of lease messages; invalid bytes are refused.

use ochrelead_core::time::Span;
use ochrelead_lease::codec::{decode, encode};
use ochrelead_lease::message::{Message, Refusal, RefusalReason, VoteRequest};
use ochrelead_lease::token::MAX_COUNTER;
use ochrelead_lease::{FencingToken, MemberId, TaskId};
use proptest::prelude::*;
use test_case::test_case;

const MEMBER: MemberId = MemberId { front: 299, incarnation: 0xfedc_ba98 };
const TOKEN: FencingToken = FencingToken { counter: MAX_COUNTER, holder: MEMBER };
const REMAINING: Span = Span::from_secs(4);
const REQUEST: VoteRequest = VoteRequest {
    task: TaskId(7),
    round: 1 << 40,
    token: TOKEN,
    duration: REMAINING,
    generation: 3,
    is_renewal: true,
};

fn refused(reason: RefusalReason) -> Message {
    let refusal = Refusal { reason, highest_token: TOKEN, remaining: REMAINING };
    Message::VoteRefused { task: TaskId(u64::MAX), round: u64::MAX, refusal }
}

#[test_case(&Message::VoteRequest(REQUEST))]
#[test_case(&Message::VoteGranted { task: TaskId(7), round: 9 })]
#[test_case(&refused(RefusalReason::Abstaining))]
#[test_case(&refused(RefusalReason::PromisedTo(MEMBER)))]
#[test_case(&refused(RefusalReason::StaleToken))]
#[test_case(&refused(RefusalReason::GenerationMismatch))]
#[test_case(&refused(RefusalReason::DurationTooLong))]
#[test_case(&Message::VoteWithdrawn { task: TaskId(7), round: 9 })]
#[test_case(&Message::Released { task: TaskId(7) })]
#[test_case(&Message::TokenQuery)]
#[test_case(&Message::TokenReport { task: TaskId(7), token: TOKEN })]
fn decoding_an_encoded_message_returns_the_same_message(message: &Message) {
    let bytes = encode(message);
    assert_eq!(decode(&bytes).as_ref(), Some(message));
    assert!(bytes.len() <= 80, "message has {} bytes", bytes.len());
}

#[test_case(&[0x09, 7, 0, 0, 0, 0, 0, 0, 0, 0x7a, 2, 8, 1]; "unknown kind")]
#[test_case(&[0x09, 7]; "truncated")]
#[test_case(&[]; "empty")]
#[test_case(&encode(&Message::TokenReport { task: TaskId(7), token: FencingToken { counter: MAX_COUNTER + 1, holder: MEMBER } }); "token counter out of range")]
fn invalid_bytes_are_not_decoded(bytes: &[u8]) {
    assert_eq!(decode(bytes), None);
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..256)) {
        if let Some(message) = decode(&bytes) {
            encode(&message);
        }
    }
}
