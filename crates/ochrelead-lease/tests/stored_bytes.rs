//! Compatibility with stored bytes: a voter's state on disk and one message of each kind, as an earlier version
//! encoded them, are decoded to the expected values and encoded to the same bytes.

use std::fs;
use std::path::{Path, PathBuf};

use ochrelead_core::time::Span;
use ochrelead_lease::codec::{decode, encode};
use ochrelead_lease::message::{Message, Refusal, RefusalReason, VoteRequest};
use ochrelead_lease::persistence::{PersistedPromise, PersistedState, PersistedVote};
use ochrelead_lease::{FencingToken, MemberId, TaskId};

const MEMBER: MemberId = MemberId { front: 299, incarnation: 0xfedc_ba98 };
const TOKEN: FencingToken = FencingToken { counter: 12, holder: MEMBER };

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn stored(name: &str) -> Vec<u8> {
    fs::read(fixture(name)).unwrap()
}

fn voter_state() -> PersistedState {
    let promise = PersistedPromise { candidate: MEMBER, round: 1 << 40 };
    let votes = vec![
        PersistedVote { task: TaskId(u64::MAX), promise: Some(promise), highest_token: TOKEN },
        PersistedVote { task: TaskId(3), promise: None, highest_token: TOKEN },
    ];
    PersistedState { generation: 4, votes }
}

#[test]
fn stored_voter_state_is_decoded_and_encoded_to_the_same_bytes() {
    let stored = stored("promises");
    assert_eq!(PersistedState::decode(&stored, 5), Ok(voter_state()));
    assert_eq!(voter_state().encode(5), stored);
}

fn messages() -> Vec<Message> {
    let (task, round) = (TaskId(0x0123_4567_89ab_cdef), 1 << 40);
    let refused = |reason| {
        let refusal = Refusal { reason, highest_token: TOKEN, remaining: Span::from_millis(2_500) };
        Message::VoteRefused { task, round, refusal }
    };
    let request = VoteRequest {
        task,
        round,
        token: TOKEN,
        duration: Span::from_secs(4),
        generation: 3,
        is_renewal: true,
    };
    vec![
        Message::VoteRequest(request),
        Message::VoteGranted { task, round },
        refused(RefusalReason::Abstaining),
        refused(RefusalReason::PromisedTo(MEMBER)),
        refused(RefusalReason::StaleToken),
        refused(RefusalReason::GenerationMismatch),
        refused(RefusalReason::DurationTooLong),
        Message::VoteWithdrawn { task, round },
        Message::Released { task },
        Message::TokenQuery,
        Message::TokenReport { task, token: TOKEN },
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn each_stored_message_is_decoded_and_encoded_to_the_same_bytes() {
    let encoded: String = messages().iter().map(|message| hex(&encode(message)) + "\n").collect();
    let stored = String::from_utf8(stored("messages.hex")).unwrap();
    assert_eq!(encoded, stored);
    for (line, message) in stored.lines().zip(messages()) {
        let byte = |start: usize| u8::from_str_radix(&line[start..start + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        assert_eq!(decode(&bytes), Some(message), "{line}");
    }
}
