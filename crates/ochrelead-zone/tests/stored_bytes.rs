//! One message of each kind and servers' keys, as written by an earlier program: read, and written again byte for byte.

use std::fs;
use std::path::{Path, PathBuf};

use ochrelead_core::time::Span;
use ochrelead_zone::course::Why;
use ochrelead_zone::evidence::Met;
use ochrelead_zone::word::{Eased, Word, read, write};
use ochrelead_zone::{District, ServerKey};

fn stored(name: &str) -> String {
    let path: PathBuf = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    fs::read_to_string(path).unwrap()
}

fn messages() -> Vec<Word> {
    let met = |in_time, late, lost, alive, old| Met { in_time, late, lost, alive, old };
    vec![
        Word::Report {
            from: District(3),
            met: vec![
                (ServerKey(7), met(15, 2, 3, true, false)),
                (ServerKey(u16::MAX), met(0, 0, 1, false, true)),
            ],
        },
        Word::Verdicts {
            from: District(3),
            nth: 77,
            lasts: Span::from_millis(1_250),
            eased: vec![
                Eased { district: District(0), share: 0.0, why: Why::Gone },
                Eased { district: District(15), share: 0.3125, why: Why::Returns },
            ],
        },
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn each_message_is_read_and_written_as_it_was_stored() {
    let written: String = messages().iter().flat_map(write).map(|bytes| hex(&bytes) + "\n").collect();
    let stored = stored("messages.hex");
    assert_eq!(written, stored);
    for (line, message) in stored.lines().zip(messages()) {
        let byte = |at: usize| u8::from_str_radix(&line[at..at + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        assert_eq!(read(&bytes), Some(message), "{line}");
    }
}

#[test]
fn servers_have_the_keys_that_go_over_the_wire() {
    let names = ["", "s", "s-0", "s-1", "norte-17", "a-much-longer-name-of-a-signalling-server.example"];
    let written: String = names.iter().map(|name| format!("{name} {}\n", ServerKey::of(name).0)).collect();
    assert_eq!(written, stored("server-keys.txt"));
}
