//! Parsing and encoding of valid, invalid and randomly mutated datagrams.

use ochrelead_mgcp::message::{Command, Endpoint, EndpointNameError, Message, Response, Verb};
use ochrelead_mgcp::parse::{ParseError, datagram};
use ochrelead_mgcp::write;
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

#[test_case("trunk/$@s1.example", None; "any wildcard")]
#[test_case("*@s1", None; "all wildcard")]
#[test_case("trunk/5", Some(EndpointNameError::NoDomain); "no domain")]
#[test_case("trunk//5@s1", Some(EndpointNameError::EmptyTerm); "empty term")]
#[test_case("@s1", Some(EndpointNameError::EmptyTerm); "no local name")]
#[test_case("trunk/\0@s1", Some(EndpointNameError::InvalidCharacter); "nul")]
#[test_case("trunk/5*@s1", Some(EndpointNameError::WildcardInTerm); "wildcard inside a term")]
#[test_case(&format!("{}@s1", "a".repeat(256)), Some(EndpointNameError::TooLong); "local name too long")]
fn endpoint_name(name: &str, error: Option<EndpointNameError>) {
    assert_eq!(name.parse::<Endpoint>().err(), error);
}

#[test_case(b"", ParseError::Empty; "zero bytes")]
#[test_case(b"\r\n.\r\n", ParseError::Empty; "separator only")]
#[test_case(&[b'A'; 65_507], ParseError::TooLong; "64 KiB")]
#[test_case(".\nAUEP 1 a@b MGCP 1.0\n".repeat(65).as_bytes(), ParseError::TooManyMessages; "too many messages")]
fn invalid_datagram(bytes: &[u8], expected: ParseError) {
    assert_eq!(datagram(bytes), Err(expected));
}

#[test_case(b"AUEP 7 a\0b@c MGCP 1.0", 1, Some(7); "nul in endpoint name keeps the transaction id")]
#[test_case(b"AUEP 7 \xff@c MGCP 1.0", 1, None; "not UTF-8")]
#[test_case(b"AUEP 0 a@c MGCP 1.0", 1, None; "transaction zero")]
#[test_case(b"AUEP 1000000000 a@c MGCP 1.0", 1, None; "transaction too large")]
#[test_case(b"AUEP 7 a@c MGCP 0.1", 1, Some(7); "version")]
#[test_case(b"JUMP 7 a@c MGCP 1.0", 1, Some(7); "unknown verb")]
#[test_case(b"AUEP 7 a@c MGCP 1.0\nK: 1\nno colon", 3, Some(7); "parameter without colon")]
#[test_case(b"AUEP 7 a@c MGCP 1.0\nX-\xc3\x28: 1", 2, Some(7); "parameter not UTF-8")]
#[test_case(("AUEP 7 a@c MGCP 1.0\n".to_owned() + &"X-A: 1\n".repeat(600)).as_bytes(), 130, Some(7); "too many parameters")]
fn invalid_message(bytes: &[u8], line: usize, transaction: Option<u32>) {
    let messages = datagram(bytes).unwrap();
    let error = messages[0].clone().unwrap_err();
    assert_eq!((messages.len(), error.line, error.transaction), (1, line, transaction), "{error}");
}

#[test]
fn invalid_message_does_not_affect_the_next() {
    let messages = datagram(b"JUMP 7 a@c MGCP 1.0\r\nQ: x\r\n.\r\n200 8 OK\r\nI: 3\r\n\r\nv=0\r\n").unwrap();
    assert!(messages[0].is_err());
    let Ok(Message::Response(response)) = &messages[1] else { panic!("{messages:?}") };
    assert_eq!(response.parameters.get("i"), Some("3"));
    assert_eq!(response.description.as_deref(), Some(&b"v=0\r\n"[..]));
}

fn any_parameters() -> impl Strategy<Value = Vec<(String, String)>> {
    prop::collection::vec(("[A-Z][A-Za-z0-9-]{0,8}", "[!-~]([ -~]{0,30}[!-~])?"), 0..6)
}

fn any_description() -> impl Strategy<Value = Option<Vec<u8>>> {
    prop::option::of("([a-z]=[ -~]{1,30}\r\n){1,4}".prop_map(String::into_bytes))
}

fn any_message() -> impl Strategy<Value = Message> {
    let local = "([a-z0-9]{1,6}|\\*|\\$)(/([a-z0-9]{1,6}|\\*|\\$)){0,2}@[a-z0-9.]{1,12}";
    let command = (0..Verb::ALL.len(), 1..1_000_000_000u32, local, any_parameters(), any_description())
        .prop_map(|(verb, id, endpoint, parameters, description)| {
            let command = Command::new(Verb::ALL[verb], id, endpoint.parse().unwrap());
            let command =
                parameters.into_iter().fold(command, |command, (name, value)| command.with(&name, value));
            Message::Command(Command { description, ..command })
        });
    let response = (
        0..1_000u16,
        1..1_000_000_000u32,
        "([a-zA-Z]{1,8}( [a-zA-Z]{1,8}){0,2})?",
        any_parameters(),
        any_description(),
    )
        .prop_map(|(code, id, comment, parameters, description)| {
            let response = Response { comment, ..Response::new(code, id) };
            let response =
                parameters.into_iter().fold(response, |response, (name, value)| response.with(&name, value));
            Message::Response(Response { description, ..response })
        });
    prop_oneof![command, response]
}

proptest! {
    #[test]
    fn encoded_messages_are_parsed_to_equal_messages(messages in prop::collection::vec(any_message(), 1..5)) {
        let parsed: Result<Vec<Message>, _> = datagram(&write::datagram(&messages)).unwrap().into_iter().collect();
        prop_assert_eq!(parsed.unwrap(), messages);
    }
}

fn check_mutated_datagrams(rounds: u32) {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let seeds: [&[u8]; 3] = [
        b"CRCX 1204 trunk/$@s1.example MGCP 1.0\r\nC: A3C47F\r\nL: p:20\r\nM: sendrecv\r\n\r\nv=0\r\n",
        b"200 1204 OK\r\nI: FDE2\r\nZ: trunk/5@s1\r\nX-Lines: 3/40\r\nK:\r\n",
        b"250 1 OK\r\n.\r\nRSIP 12 trunk/*@s1 MGCP 1.0\r\nRM: graceful\r\nRD: 300\r\n.\r\nNTFY 5 aaln/1@g MGCP 1.0\r\nO: L/hd\r\n",
    ];
    for round in 0..rounds {
        let mut bytes = seeds[round as usize % seeds.len()].to_vec();
        for _ in 0..rng.random_range(1..6) {
            let position = rng.random_range(0..bytes.len());
            match rng.random_range(0..4) {
                0 => bytes[position] = rng.random(),
                1 => bytes.truncate(position.max(1)),
                2 => bytes.insert(position, rng.random()),
                _ => bytes.extend_from_within(position..),
            }
        }
        // A message that can be parsed keeps its kind and transaction id when it is encoded and parsed again.
        for message in datagram(&bytes).into_iter().flatten().flatten() {
            let again = datagram(&write::datagram(std::slice::from_ref(&message))).unwrap();
            assert_eq!(again[0].as_ref().ok().map(id_and_kind), Some(id_and_kind(&message)));
        }
    }
}

/// The transaction id, and whether the message is a command.
fn id_and_kind(message: &Message) -> (u32, bool) {
    match message {
        Message::Command(command) => (command.transaction, true),
        Message::Response(response) => (response.transaction, false),
    }
}

#[test]
fn mutated_datagrams_do_not_panic_and_messages_survive_re_encoding() {
    check_mutated_datagrams(100_000);
}

#[test]
#[ignore = "ten million datagrams take a while; run with --release"]
fn ten_million_mutated_datagrams_do_not_panic_and_messages_survive_re_encoding() {
    check_mutated_datagrams(10_000_000);
}
