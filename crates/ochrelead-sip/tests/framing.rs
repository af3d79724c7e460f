//! Streams cut into messages, sound and foreign.

use ochrelead_sip::LONGEST;
use ochrelead_sip::framing::{Broken, Framer};
use ochrelead_sip::message::{Message, Start, header, write};
use test_case::test_case;

const ANSWER: &str =
    "SIP/2.0 200 OK\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\nContent-Length: 4\r\n\r\nv=0\n";

fn read(bytes: &[u8], piece: usize) -> Vec<Result<Message, Broken>> {
    let mut framer = Framer::default();
    let mut all = Vec::new();
    for piece in bytes.chunks(piece) {
        framer.push(piece);
        while let Some(next) = framer.next() {
            let broken = next.is_err();
            all.push(next);
            if broken {
                return all;
            }
        }
    }
    all
}

#[test_case(1; "byte by byte")]
#[test_case(7; "in pieces")]
#[test_case(10_000; "at once")]
fn messages_come_whole_however_they_are_cut(piece: usize) {
    let stream = format!("{ANSWER}\r\n\r\n{ANSWER}");
    let all = read(stream.as_bytes(), piece);
    assert_eq!(all.len(), 2);
    for message in all {
        let message = message.unwrap();
        assert_eq!(message.start, Start::Response { code: 200 });
        assert_eq!(message.sequence(), Some((1, "INVITE")));
        assert_eq!(message.body, b"v=0\n");
    }
}

#[test_case("HTTP/1.1 200 OK\r\n\r\n", Broken::Head; "another protocol")]
#[test_case("\u{1}\u{2}\u{3}", Broken::Head; "noise")]
#[test_case("SIP/2.0 abc OK\r\nContent-Length: 0\r\n\r\n", Broken::Head; "no code")]
#[test_case("SIP/2.0 200 OK\r\nno header\r\nContent-Length: 0\r\n\r\n", Broken::Head; "a line that is no header")]
#[test_case("SIP/2.0 200 OK\r\nCall-ID: x\r\n\r\n", Broken::Length; "no length")]
#[test_case("SIP/2.0 200 OK\r\nContent-Length: -1\r\n\r\n", Broken::Length; "a negative length")]
#[test_case("SIP/2.0 200 OK\r\nContent-Length: 9999999999999999999999\r\n\r\n", Broken::Length; "beyond all numbers")]
#[test_case("SIP/2.0 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", Broken::Length; "two lengths")]
#[test_case("SIP/2.0 200 OK\r\nContent-Length: 3221225472\r\n\r\nabc", Broken::TooLong; "three gigabytes")]
fn what_is_no_message_breaks_the_stream_at_once(bytes: &str, broken: Broken) {
    assert_eq!(read(bytes.as_bytes(), 10_000), [Err(broken)]);
    assert_eq!(read(bytes.as_bytes(), 1).last(), Some(&Err(broken)));
}

#[test_case(b'a'; "a head")]
#[test_case(b'\n'; "line feeds inside")]
fn an_endless_head_is_too_long(byte: u8) {
    let mut framer = Framer::default();
    framer.push(b"SIP/2.0 200 OK\r\nX: ");
    let chunk = [b'a', byte].repeat(512);
    let broken = (0..64).find_map(|_| {
        framer.push(&chunk);
        framer.next()
    });
    assert_eq!(broken, Some(Err(Broken::TooLong)));
    framer.push(&vec![b'a'; LONGEST]);
    assert!(!framer.is_midway(), "nothing is kept of it any more");
}

#[test_case(2, true; "a short length leaves a rest that is no message")]
#[test_case(4, false; "the right one does not")]
fn a_length_that_is_too_short_spoils_the_message(length: usize, spoilt: bool) {
    let stream = ANSWER.replace("Content-Length: 4", &format!("Content-Length: {length}"));
    let all = read(stream.as_bytes(), 10_000);
    assert_eq!(all == [Err(Broken::Head)], spoilt, "{all:?}");
}

#[test]
fn what_is_written_is_read_again() {
    let headers =
        [(header::CALL_ID, "9b1f03aa5c7e2d41"), (header::CSEQ, "2 BYE"), (header::REASON, "Q.850;cause=41")];
    let message = read(&write("BYE sip:call@net SIP/2.0", &headers, b"body"), 5).remove(0).unwrap();
    let (method, uri) = ("BYE".to_owned(), "sip:call@net".to_owned());
    assert_eq!(message.start, Start::Request { method, uri });
    assert_eq!((message.cause(), message.body.as_slice()), (Some(41), b"body".as_slice()));
    assert_eq!(message.get("call-id"), Some("9b1f03aa5c7e2d41"));
}
