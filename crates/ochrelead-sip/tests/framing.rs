//! Tests that streams are split into messages or end with an error.

use ochrelead_sip::MAX_MESSAGE_LENGTH;
use ochrelead_sip::framing::{Framer, FramingError};
use ochrelead_sip::message::{Message, StartLine, encode, header};
use test_case::test_case;

const RESPONSE: &str =
    "SIP/2.0 200 OK\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nContent-Length: 4\r\n\r\nv=0\n";

fn parse_stream(bytes: &[u8], read_size: usize) -> Vec<Result<Message, FramingError>> {
    let mut framer = Framer::default();
    let mut messages = Vec::new();
    for read in bytes.chunks(read_size) {
        framer.push(read);
        while let Some(message) = framer.next_message() {
            let is_error = message.is_err();
            messages.push(message);
            if is_error {
                return messages;
            }
        }
    }
    messages
}

#[test_case(1; "byte by byte")]
#[test_case(7; "seven bytes at a time")]
#[test_case(10_000; "in one read")]
fn stream_is_split_into_complete_messages(read_size: usize) {
    let stream = format!("{RESPONSE}\r\n\r\n{RESPONSE}");
    let messages = parse_stream(stream.as_bytes(), read_size);
    assert_eq!(messages.len(), 2);
    for message in messages {
        let message = message.unwrap();
        assert_eq!(message.start, StartLine::Response { code: 200 });
        assert_eq!(message.sequence(), Some((1, "INVITE")));
        assert_eq!(message.body, b"v=0\n");
    }
}

#[test_case("HTTP/1.1 200 OK\r\n\r\n", FramingError::InvalidHead; "another protocol")]
#[test_case("\u{1}\u{2}\u{3}", FramingError::InvalidHead; "control characters")]
#[test_case("SIP/2.0 abc OK\r\nContent-Length: 0\r\n\r\n", FramingError::InvalidHead; "status code is not numeric")]
#[test_case("SIP/2.0 200 OK\r\nno header\r\nContent-Length: 0\r\n\r\n", FramingError::InvalidHead; "malformed header line")]
#[test_case("SIP/2.0 200 OK\r\nCall-ID: x\r\n\r\n", FramingError::InvalidLength; "length missing")]
#[test_case("SIP/2.0 200 OK\r\nContent-Length: -1\r\n\r\n", FramingError::InvalidLength; "negative length")]
#[test_case("SIP/2.0 200 OK\r\nContent-Length: 9999999999999999999999\r\n\r\n", FramingError::InvalidLength; "length overflows an integer")]
#[test_case("SIP/2.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", FramingError::InvalidLength; "two different lengths")]
#[test_case("SIP/2.0 200 OK\r\nContent-Length: 3221225472\r\n\r\nabc", FramingError::TooLong; "length of three gigabytes")]
fn invalid_message_ends_the_stream(bytes: &str, error: FramingError) {
    assert_eq!(parse_stream(bytes.as_bytes(), 10_000), [Err(error)]);
    assert_eq!(parse_stream(bytes.as_bytes(), 1).last(), Some(&Err(error)));
}

#[test_case(b'a'; "one long header")]
#[test_case(b'\n'; "line feeds in the header")]
fn head_without_end_is_rejected_as_too_long(byte: u8) {
    let mut framer = Framer::default();
    framer.push(b"SIP/2.0 200 OK\r\nX: ");
    let chunk = [b'a', byte].repeat(512);
    let error = (0..64).find_map(|_| {
        framer.push(&chunk);
        framer.next_message()
    });
    assert_eq!(error, Some(Err(FramingError::TooLong)));
    framer.push(&vec![b'a'; MAX_MESSAGE_LENGTH]);
    assert!(!framer.has_partial_message(), "input after an error is discarded");
}

#[test_case(2, true; "too small, the rest of the body is no message")]
#[test_case(4, false; "correct")]
fn content_length_below_body_length_is_an_error(length: usize, is_invalid: bool) {
    let stream = RESPONSE.replace("Content-Length: 4", &format!("Content-Length: {length}"));
    let messages = parse_stream(stream.as_bytes(), 10_000);
    assert_eq!(messages == [Err(FramingError::InvalidHead)], is_invalid, "{messages:?}");
}

/// A truncated response must not absorb the message after it: if the framer took the BYE for a part of the response,
/// the release would be lost without an error.
#[test]
fn truncated_response_does_not_absorb_the_next_message() {
    let release =
        "BYE sip:x@net SIP/2.0\r\nCall-ID: 5e1f03aa5c7e2d42\r\nCSeq: 9 BYE\r\nContent-Length: 0\r\n\r\n";
    for length in 1..RESPONSE.len() {
        let messages = parse_stream(format!("{}{release}", &RESPONSE[..length]).as_bytes(), 10_000);
        assert!(matches!(messages.as_slice(), [] | [Err(_)]), "truncated to {length} bytes: {messages:?}");
    }
}

#[test]
fn encoded_message_can_be_parsed() {
    let headers =
        [(header::CALL_ID, "9b1f03aa5c7e2d41"), (header::CSEQ, "2 BYE"), (header::REASON, "Q.850;cause=41")];
    let message = parse_stream(&encode("BYE sip:call@net SIP/2.0", &headers, b"body"), 5).remove(0).unwrap();
    let (method, uri) = ("BYE".to_owned(), "sip:call@net".to_owned());
    assert_eq!(message.start, StartLine::Request { method, uri });
    assert_eq!((message.cause(), message.body.as_slice()), (Some(41), b"body".as_slice()));
    assert_eq!(message.header("call-id"), Some("9b1f03aa5c7e2d41"));
}
