//! One datagram of each kind, as written by an earlier program: read, and written again byte for byte.

use std::fs;
use std::path::{Path, PathBuf};

use ochrelead_gossip::Who;
use ochrelead_gossip::schema::{Ack, Member, News, Ping, PingFor, part::What};
use ochrelead_gossip::wire::{Sheet, read};

const SENDER: Who = Who { front: 3, life: 0xfedc_ba98 };

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/datagrams.hex")
}

fn parts() -> Vec<What> {
    vec![
        What::Ping(Ping { nth: 5 }),
        What::Ack(Ack { nth: 5, of: 300 }),
        What::PingFor(PingFor { nth: 6, front: 299 }),
        What::Member(Member { front: 299, life: 0x0123_4567, state: 2, denial: 7, version: 2, district: 4 }),
        What::News(News {
            topic: 1,
            key: 0x0123_4567_89ab_cdef,
            count: 8,
            age_ms: 1_500,
            body: vec![1, 2, 3],
        }),
        What::Lease(vec![4, 5, 6]),
        What::District(vec![7, 8, 9]),
    ]
}

fn datagrams() -> Vec<Vec<u8>> {
    let mut all = Sheet::new(SENDER);
    let single = |part: What| {
        let mut one = Sheet::new(SENDER);
        assert!(one.add(part.clone()) && all.add(part));
        one.bytes()
    };
    let mut datagrams: Vec<Vec<u8>> = parts().into_iter().map(single).collect();
    datagrams.push(all.bytes());
    datagrams
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn each_datagram_is_read_and_written_as_it_was_stored() {
    let written: String = datagrams().iter().map(|datagram| hex(datagram) + "\n").collect();
    let stored = fs::read_to_string(fixture()).unwrap();
    assert_eq!(written, stored);
    let single = parts().into_iter().map(|part| vec![part]);
    for (line, parts) in stored.lines().zip(single.chain([parts()])) {
        let byte = |at: usize| u8::from_str_radix(&line[at..at + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        let read = read(&bytes, 3).unwrap();
        assert_eq!((read.from, read.version, read.parts, read.unknown), (SENDER, 2, parts, 0), "{line}");
    }
}
