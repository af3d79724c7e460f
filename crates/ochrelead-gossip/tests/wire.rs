//! Encoding and decoding of datagrams: maximum size, other schema versions, wrong senders and invalid bytes.

use ochrelead_gossip::schema::{Datagram, Part, Ping, part::Kind};
use ochrelead_gossip::wire::{DatagramBuilder, DecodeError, MAX_DATAGRAM_SIZE, decode};
use ochrelead_gossip::{MemberId, VERSION};
use proptest::prelude::*;
use prost::Message as _;
use test_case::test_case;

const LOCAL: MemberId = MemberId { front: 3, incarnation: 77 };

fn datagram(version: u32, front: u32) -> Vec<u8> {
    let parts = vec![Part { kind: Some(Kind::Ping(Ping { sequence: 5 })) }];
    Datagram { version, front, incarnation: 77, parts }.encode_to_vec()
}

#[test]
fn a_built_datagram_never_exceeds_the_maximum_size() {
    let mut builder = DatagramBuilder::new(LOCAL);
    let mut added = 0;
    while builder.try_push(Kind::Lease(vec![7; added % 90])) {
        added += 1;
    }
    let bytes = builder.encode();
    assert!(bytes.len() <= MAX_DATAGRAM_SIZE && bytes.len() > 150, "{} bytes", bytes.len());
    let decoded = decode(&bytes, 3).unwrap();
    assert_eq!((decoded.sender, decoded.parts.len(), decoded.unknown_parts), (LOCAL, added, 0));
}

#[test_case(&datagram(1, 3), 4, DecodeError::WrongSender { claimed: 3, listed: 4 }; "from another sender")]
#[test_case(&datagram(0, 3), 3, DecodeError::Malformed; "of version 0")]
#[test_case(&[8; 257], 3, DecodeError::TooLong(257); "too long")]
#[test_case(&[0xff; 40], 3, DecodeError::Malformed; "not a datagram")]
fn an_invalid_datagram_is_refused(bytes: &[u8], front: u32, error: DecodeError) {
    assert_eq!(decode(bytes, front), Err(error));
}

/// A datagram of a newer schema version, with an unknown field and a part of an unknown kind, is decoded except for
/// these.
#[test]
fn a_datagram_of_a_newer_version_is_decoded_without_its_unknown_parts() {
    let mut bytes = datagram(VERSION + 1, 3);
    bytes.extend([0x22, 3, 0xfa, 0x01, 0]);
    bytes.extend([0x78, 9]);
    let decoded = decode(&bytes, 3).unwrap();
    assert_eq!((decoded.version, decoded.parts.len(), decoded.unknown_parts), (VERSION + 1, 1, 1));
}

proptest! {
    #[test]
    fn any_bytes_are_decoded_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = decode(&bytes, 3);
    }
}
