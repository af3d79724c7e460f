//! A voter's promises on a disk and one message of each kind, as written by an earlier program: read, and written again
//! byte for byte.

use std::fs;
use std::path::{Path, PathBuf};

use ochrelead_core::time::Span;
use ochrelead_lease::letter::{read, write};
use ochrelead_lease::voter::{Kept, KeptVote};
use ochrelead_lease::word::{Why, Word};
use ochrelead_lease::{Number, Task, Who};

const WHO: Who = Who { front: 299, life: 0xfedc_ba98 };
const NUMBER: Number = Number { count: 12, of: WHO };

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn stored(name: &str) -> Vec<u8> {
    fs::read(fixture(name)).unwrap()
}

fn promises() -> Kept {
    let votes = vec![
        KeptVote { task: Task(u64::MAX), promise: Some((WHO, 1 << 40)), known: NUMBER },
        KeptVote { task: Task(3), promise: None, known: NUMBER },
    ];
    Kept { generation: 4, votes }
}

#[test]
fn promises_are_read_and_written_as_they_were_stored() {
    let stored = stored("promises");
    assert_eq!(Kept::read(&stored, 5), Ok(promises()));
    assert_eq!(promises().bytes(5), stored);
}

fn messages() -> Vec<Word> {
    let (task, ask) = (Task(0x0123_4567_89ab_cdef), 1 << 40);
    let refused = |why| Word::Refused { task, ask, why, known: NUMBER, left: Span::from_millis(2_500) };
    vec![
        Word::Ask { task, ask, number: NUMBER, span: Span::from_secs(4), generation: 3, renews: true },
        Word::Granted { task, ask },
        refused(Why::Abstains),
        refused(Why::Promised(WHO)),
        refused(Why::Number),
        refused(Why::Generation),
        refused(Why::Span),
        Word::Withdrawn { task, ask },
        Word::Free { task },
        Word::Recall,
        Word::Known { task, number: NUMBER },
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn each_message_is_read_and_written_as_it_was_stored() {
    let written: String = messages().iter().map(|message| hex(&write(message)) + "\n").collect();
    let stored = String::from_utf8(stored("messages.hex")).unwrap();
    assert_eq!(written, stored);
    for (line, message) in stored.lines().zip(messages()) {
        let byte = |at: usize| u8::from_str_radix(&line[at..at + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        assert_eq!(read(&bytes), Some(message), "{line}");
    }
}
