//! Compatibility with earlier versions: stored messages of each kind are decoded and re-encoded byte for byte, and the
//! keys of server names are unchanged.

use std::fs;
use std::path::{Path, PathBuf};

use ochrelead_core::time::Span;
use ochrelead_zone::codec::{decode, encode};
use ochrelead_zone::message::{Message, ZoneShare};
use ochrelead_zone::outcome_reporter::{OutcomeSample, ServerSample};
use ochrelead_zone::ramp::ShareReason;
use ochrelead_zone::{ServerKey, ZoneId};

fn read_fixture(name: &str) -> String {
    let path: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    fs::read_to_string(path).unwrap()
}

fn messages() -> Vec<Message> {
    let sample = |key, [in_time, late, lost]: [u32; 3], is_alive, is_stale| ServerSample {
        server: ServerKey(key),
        outcomes: OutcomeSample { in_time, late, lost, is_alive, is_stale },
    };
    vec![
        Message::Report {
            zone: ZoneId(3),
            samples: vec![sample(7, [15, 2, 3], true, false), sample(u16::MAX, [0, 0, 1], false, true)],
        },
        Message::Verdicts {
            zone: ZoneId(3),
            sequence: 77,
            ttl: Span::from_millis(1_250),
            shares: vec![
                ZoneShare { zone: ZoneId(0), share: 0.0, reason: ShareReason::Drained },
                ZoneShare { zone: ZoneId(15), share: 0.3125, reason: ShareReason::Recovering },
            ],
        },
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn messages_of_an_earlier_version_decode_and_encode_unchanged() {
    let encoded: String = messages().iter().flat_map(encode).map(|bytes| hex(&bytes) + "\n").collect();
    let stored = read_fixture("messages.hex");
    assert_eq!(encoded, stored);
    for (line, message) in stored.lines().zip(messages()) {
        let byte = |index: usize| u8::from_str_radix(&line[index..index + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        assert_eq!(decode(&bytes), Some(message), "{line}");
    }
}

#[test]
fn server_keys_equal_those_of_an_earlier_version() {
    let names = ["", "s", "s-0", "s-1", "norte-17", "a-much-longer-name-of-a-signalling-server.example"];
    let encoded: String =
        names.iter().map(|name| format!("{name} {}\n", ServerKey::from_name(name).0)).collect();
    assert_eq!(encoded, read_fixture("server-keys.txt"));
}
