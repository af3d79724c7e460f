//! Datagrams: their length, other versions, other senders, and what is none.

use ochrelead_gossip::schema::{Datagram, Part, Ping, part::What};
use ochrelead_gossip::wire::{LONGEST, Sheet, Unread, read};
use ochrelead_gossip::{VERSION, Who};
use proptest::prelude::*;
use prost::Message;
use test_case::test_case;

const ME: Who = Who { front: 3, life: 77 };

fn datagram(version: u32, front: u32) -> Vec<u8> {
    let parts = vec![Part { what: Some(What::Ping(Ping { nth: 5 })) }];
    Datagram { version, front, life: 77, parts }.encode_to_vec()
}

#[test]
fn a_sheet_is_never_longer_than_a_datagram() {
    let mut sheet = Sheet::new(ME);
    let mut added = 0;
    while sheet.add(What::Lease(vec![7; added % 90])) {
        added += 1;
    }
    let bytes = sheet.bytes();
    assert!(bytes.len() <= LONGEST && bytes.len() > 150, "{}", bytes.len());
    let read = read(&bytes, 3).unwrap();
    assert_eq!((read.from, read.parts.len(), read.unknown), (ME, added, 0));
}

#[test_case(datagram(1, 3), 4, Unread::Mistaken; "said to be another's")]
#[test_case(datagram(0, 3), 3, Unread::Unreadable; "of no version")]
#[test_case(vec![8; 257], 3, Unread::TooLong; "too long")]
#[test_case(vec![0xff; 40], 3, Unread::Unreadable; "noise")]
fn what_is_none_of_ours_is_refused(bytes: Vec<u8>, front: u32, why: Unread) {
    assert_eq!(read(&bytes, front), Err(why));
}

/// A newer front's datagram: its version, a field and a kind of part that do not exist yet.
#[test]
fn a_newer_version_is_read_as_far_as_it_is_known() {
    let mut bytes = datagram(VERSION + 1, 3);
    bytes.extend([0x22, 3, 0xfa, 0x01, 0]);
    bytes.extend([0x78, 9]);
    let read = read(&bytes, 3).unwrap();
    assert_eq!((read.version, read.parts.len(), read.unknown), (VERSION + 1, 1, 1));
}

proptest! {
    #[test]
    fn no_bytes_are_too_much(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = read(&bytes, 3);
    }
}
