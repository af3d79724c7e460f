//! Words as bytes: read as written, bounded, and nothing foreign harms.

use ochrelead_core::time::Span;
use ochrelead_zone::codec::{MAX_MESSAGE_BYTES, decode, encode};
use ochrelead_zone::message::{Message, ZoneShare};
use ochrelead_zone::outcome_reporter::OutcomeSample;
use ochrelead_zone::ramp::ShareReason;
use ochrelead_zone::schema::{self, message::Body};
use ochrelead_zone::{ServerKey, ZoneId};
use proptest::prelude::*;
use prost::Message as _;
use test_case::test_case;

fn why() -> impl Strategy<Value = ShareReason> {
    prop_oneof![Just(ShareReason::Drained), Just(ShareReason::Recovering)]
}

proptest! {
    #[test]
    fn verdicts_are_read_as_written(
        from in 0..16_u32, nth: u32, lasts in 0..10_000_u64,
        shares in prop::collection::vec((0..16_u32, 0..=10_000_u32, why()), 0..16),
    ) {
        let eased = shares.into_iter().map(|(district, share, why)| {
            ZoneShare { zone: ZoneId(district), share: f64::from(share) / 10_000.0, reason: why }
        });
        let lasts = Span::from_millis(lasts);
        let word = Message::Verdicts { zone: ZoneId(from), sequence: nth, ttl: lasts, shares: eased.collect() };
        let bytes = encode(&word);
        prop_assert_eq!(bytes.len(), 1);
        prop_assert!(bytes[0].len() <= MAX_MESSAGE_BYTES);
        prop_assert_eq!(decode(&bytes[0]), Some(word));
    }

    #[test]
    fn reports_are_read_as_written_in_as_many_words_as_it_takes(
        from in 0..16_u32,
        met in prop::collection::btree_map(any::<u16>(), (0..16_u32, 0..16_u32, 0..16_u32, any::<bool>(), any::<bool>()), 0..200),
    ) {
        let met: Vec<(ServerKey, OutcomeSample)> = met.into_iter()
            .map(|(key, (in_time, late, lost, alive, old))| (ServerKey(key), OutcomeSample { in_time, late, lost, is_alive: alive, is_stale: old }))
            .collect();
        let mut back = Vec::new();
        for bytes in encode(&Message::Report { zone: ZoneId(from), samples: met.clone() }) {
            prop_assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{}", bytes.len());
            let Some(Message::Report { zone: of, samples: met }) = decode(&bytes) else { panic!("no report") };
            prop_assert_eq!(of, ZoneId(from));
            back.extend(met);
        }
        prop_assert_eq!(back, met);
    }

    #[test]
    fn whatever_comes_is_read_or_not(bytes in prop::collection::vec(any::<u8>(), 0..256)) {
        if let Some(Message::Verdicts { shares: eased, .. }) = decode(&bytes) {
            prop_assert!(eased.iter().all(|eased| (0.0..=1.0).contains(&eased.share)));
        }
    }
}

fn share(district: u32, share: u32, why: u32) -> schema::Share {
    schema::Share { zone: district, share, reason: why }
}

#[test_case(0, &[], false; "from no district")]
#[test_case(17, &[], false; "from a district beyond the most")]
#[test_case(1, &[(17, 500, 1)], false; "of a district beyond the most")]
#[test_case(1, &[(1, 500, 9)], true; "a reason of a newer version")]
#[test_case(1, &[(1, 90_000, 1)], true; "a share out of range")]
#[test_case(1, &[(1, 0, 1); 17], false; "more districts than there can be")]
fn what_is_out_of_range(from: u32, shares: &[(u32, u32, u32)], is_read: bool) {
    let share = shares.iter().map(|(district, of, why)| share(*district, *of, *why)).collect();
    let body = Body::Verdicts(schema::Verdicts { zone: from, sequence: 1, ttl_ms: 1_000, shares: share });
    let word = decode(&schema::Message { body: Some(body) }.encode_to_vec());
    assert_eq!(word.is_some(), is_read);
    if let Some(Message::Verdicts { shares: eased, .. }) = word {
        assert!(eased.iter().all(|eased| (0.0..=1.0).contains(&eased.share)));
    }
}
