//! A stream is split into lines of bounded length, however it arrives.

use ochrelead_platform::MAX_MESSAGE_LENGTH;
use ochrelead_platform::line_splitter::{LineSplitter, LineTooLong};
use test_case::test_case;

#[test_case(1; "byte by byte")]
#[test_case(4; "in pieces")]
#[test_case(100; "at once")]
fn stream_is_split_into_whole_lines(piece: usize) {
    let mut lines = LineSplitter::default();
    let mut all = Vec::new();
    for piece in b"one\r\n\ntwo\nthr".chunks(piece) {
        let (whole, sound) = lines.push(piece);
        assert_eq!(sound, Ok(()));
        all.extend(whole);
    }
    assert_eq!(all, [b"one".to_vec(), b"two".to_vec()]);
    assert!(lines.has_partial_line());
}

#[test_case(MAX_MESSAGE_LENGTH, true; "the longest")]
#[test_case(MAX_MESSAGE_LENGTH + 1, false; "one byte longer")]
fn line_longer_than_a_message_ends_the_stream(length: usize, sound: bool) {
    let mut lines = LineSplitter::default();
    let line = [vec![b'a'; length], b"\nnext\n".to_vec()].concat();
    let results: Vec<_> = line.chunks(1_000).map(|piece| lines.push(piece)).collect();
    assert_eq!(results.iter().all(|(_, result)| *result == Ok(())), sound);
    let whole: usize = results.iter().map(|(whole, _)| whole.len()).sum();
    assert_eq!(whole, if sound { 2 } else { 0 });
    assert_eq!(lines.push(b"more\n").1 == Err(LineTooLong), !sound);
}
