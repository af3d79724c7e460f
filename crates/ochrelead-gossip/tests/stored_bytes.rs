//! Compatibility with stored bytes: a datagram with each kind of part, as an earlier version encoded it, is decoded
//! to the expected parts and encoded to the same bytes.

use std::fs;
use std::path::{Path, PathBuf};

use ochrelead_gossip::MemberId;
use ochrelead_gossip::schema::{Ack, MemberUpdate, Ping, PingRequest, Rumor, part::Kind};
use ochrelead_gossip::wire::{DatagramBuilder, decode};

const SENDER: MemberId = MemberId { front: 3, incarnation: 0xfedc_ba98 };

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/datagrams.hex")
}

fn parts() -> Vec<Kind> {
    vec![
        Kind::Ping(Ping { sequence: 5 }),
        Kind::Ack(Ack { sequence: 5, relayed_from: 300 }),
        Kind::PingRequest(PingRequest { sequence: 6, front: 299 }),
        Kind::Member(MemberUpdate {
            front: 299,
            incarnation: 0x0123_4567,
            state: 2,
            refutations: 7,
            version: 2,
            zone: 4,
        }),
        Kind::Rumor(Rumor {
            topic: 1,
            key: 0x0123_4567_89ab_cdef,
            revision: 8,
            age_ms: 1_500,
            body: vec![1, 2, 3],
        }),
        Kind::Lease(vec![4, 5, 6]),
        Kind::Zone(vec![7, 8, 9]),
    ]
}

/// A datagram for each part, then one with all parts.
fn datagrams() -> Vec<Vec<u8>> {
    let mut with_all_parts = DatagramBuilder::new(SENDER);
    let encode_single = |part: Kind| {
        let mut with_one_part = DatagramBuilder::new(SENDER);
        assert!(with_one_part.try_push(part.clone()) && with_all_parts.try_push(part));
        with_one_part.encode()
    };
    let mut datagrams: Vec<Vec<u8>> = parts().into_iter().map(encode_single).collect();
    datagrams.push(with_all_parts.encode());
    datagrams
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn each_stored_datagram_is_decoded_and_encoded_to_the_same_bytes() {
    let encoded: String = datagrams().iter().map(|datagram| hex(datagram) + "\n").collect();
    let stored = fs::read_to_string(fixture()).unwrap();
    assert_eq!(encoded, stored);
    let single_parts = parts().into_iter().map(|part| vec![part]);
    for (line, parts) in stored.lines().zip(single_parts.chain([parts()])) {
        let byte = |start: usize| u8::from_str_radix(&line[start..start + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        let decoded = decode(&bytes, 3).unwrap();
        assert_eq!(
            (decoded.sender, decoded.version, decoded.parts, decoded.unknown_parts),
            (SENDER, 2, parts, 0),
            "{line}"
        );
    }
}
