//! Tests that a stream is split into lines of bounded length, whatever the sizes of the reads.

use ochrelead_platform::MAX_MESSAGE_LENGTH;
use ochrelead_platform::line_splitter::{LineSplitter, LineTooLong};
use test_case::test_case;

#[test_case(1; "byte by byte")]
#[test_case(4; "four bytes at a time")]
#[test_case(100; "in one read")]
fn stream_is_split_into_complete_lines(read_size: usize) {
    let mut splitter = LineSplitter::default();
    let mut lines = Vec::new();
    for read in b"one\r\n\ntwo\nthr".chunks(read_size) {
        let (completed, result) = splitter.push(read);
        assert_eq!(result, Ok(()));
        lines.extend(completed);
    }
    assert_eq!(lines, [b"one".to_vec(), b"two".to_vec()]);
    assert!(splitter.has_partial_line());
}

#[test_case(MAX_MESSAGE_LENGTH, true; "maximum length")]
#[test_case(MAX_MESSAGE_LENGTH + 1, false; "one byte over the maximum")]
fn line_over_maximum_length_ends_the_stream(length: usize, is_accepted: bool) {
    let mut splitter = LineSplitter::default();
    let line = [vec![b'a'; length], b"\nnext\n".to_vec()].concat();
    let results: Vec<_> = line.chunks(1_000).map(|read| splitter.push(read)).collect();
    assert_eq!(results.iter().all(|(_, result)| *result == Ok(())), is_accepted);
    let line_count: usize = results.iter().map(|(lines, _)| lines.len()).sum();
    assert_eq!(line_count, if is_accepted { 2 } else { 0 });
    assert_eq!(splitter.push(b"more\n").1 == Err(LineTooLong), !is_accepted);
}
