//! Encoding and decoding of a voter's stored state, and the errors for state that is refused.

use ochrelead_lease::persistence::{PersistedPromise, PersistedState, PersistedVote, RestoreError};
use ochrelead_lease::{FencingToken, MemberId, TaskId, schema};
use prost::Message as _;
use test_case::test_case;

const MEMBER: MemberId = MemberId { front: 299, incarnation: 7 };

fn state() -> PersistedState {
    let highest_token = FencingToken { counter: 12, holder: MEMBER };
    let promise = PersistedPromise { candidate: MEMBER, round: 1 << 40 };
    let votes = vec![
        PersistedVote { task: TaskId(u64::MAX), promise: Some(promise), highest_token },
        PersistedVote { task: TaskId(3), promise: None, highest_token },
    ];
    PersistedState { generation: 4, votes }
}

#[test]
fn decoding_encoded_state_returns_the_same_state() {
    assert_eq!(PersistedState::decode(&state().encode(5), 5), Ok(state()));
}

#[test]
fn state_with_a_flipped_bit_or_a_missing_end_is_refused() {
    let bytes = state().encode(5);
    for index in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[index] ^= 1;
        assert_eq!(
            PersistedState::decode(&flipped, 5),
            Err(RestoreError::Corrupt),
            "bit flipped in byte {index}"
        );
        assert_eq!(
            PersistedState::decode(&bytes[..index], 5),
            Err(RestoreError::Corrupt),
            "truncated to {index} bytes"
        );
    }
}

#[test_case(2, 5, RestoreError::NewerVersion(2); "a newer version")]
#[test_case(0, 5, RestoreError::Corrupt; "no version")]
#[test_case(1, 6, RestoreError::OtherFront(6); "another front")]
fn state_of_another_version_or_front_is_refused(version: u32, front: u32, error: RestoreError) {
    let body = schema::PersistedState { version, front, generation: 4, votes: Vec::new() }.encode_to_vec();
    let bytes = [&crc32fast::hash(&body).to_le_bytes()[..], &body].concat();
    assert_eq!(PersistedState::decode(&bytes, 5), Err(error));
}
