//! The wire format: messages round-trip within the size limit, and malformed bytes yield no invalid message.

use ochrelead_core::time::Span;
use ochrelead_zone::codec::{MAX_MESSAGE_BYTES, decode, encode};
use ochrelead_zone::message::{Message, ZoneShare};
use ochrelead_zone::outcome_reporter::{OutcomeSample, ServerSample};
use ochrelead_zone::ramp::ShareReason;
use ochrelead_zone::schema::{self, message::Body};
use ochrelead_zone::{ServerKey, ZoneId};
use proptest::prelude::*;
use prost::Message as _;
use test_case::test_case;

fn share_reason() -> impl Strategy<Value = ShareReason> {
    prop_oneof![Just(ShareReason::Drained), Just(ShareReason::Recovering)]
}

fn outcome_sample() -> impl Strategy<Value = OutcomeSample> {
    (0..16_u32, 0..16_u32, 0..16_u32, any::<bool>(), any::<bool>()).prop_map(
        |(in_time, late, lost, is_alive, is_stale)| OutcomeSample { in_time, late, lost, is_alive, is_stale },
    )
}

proptest! {
    #[test]
    fn verdicts_round_trip(
        zone in 0..16_u32, sequence: u32, ttl_ms in 0..10_000_u64,
        shares in prop::collection::vec((0..16_u32, 0..=10_000_u32, share_reason()), 0..16),
    ) {
        let shares = shares.into_iter().map(|(zone, share, reason)| {
            ZoneShare { zone: ZoneId(zone), share: f64::from(share) / 10_000.0, reason }
        });
        let ttl = Span::from_millis(ttl_ms);
        let message = Message::Verdicts { zone: ZoneId(zone), sequence, ttl, shares: shares.collect() };
        let encoded = encode(&message);
        prop_assert_eq!(encoded.len(), 1);
        prop_assert!(encoded[0].len() <= MAX_MESSAGE_BYTES);
        prop_assert_eq!(decode(&encoded[0]), Some(message));
    }

    #[test]
    fn reports_round_trip_split_into_messages_within_the_size_limit(
        reporter_zone in 0..16_u32,
        samples in prop::collection::btree_map(any::<u16>(), outcome_sample(), 0..200),
    ) {
        let samples: Vec<ServerSample> =
            samples.into_iter().map(|(key, outcomes)| ServerSample { server: ServerKey(key), outcomes }).collect();
        let mut decoded = Vec::new();
        for bytes in encode(&Message::Report { zone: ZoneId(reporter_zone), samples: samples.clone() }) {
            prop_assert!(bytes.len() <= MAX_MESSAGE_BYTES, "{}", bytes.len());
            let Some(Message::Report { zone, samples }) = decode(&bytes) else { panic!("not a report") };
            prop_assert_eq!(zone, ZoneId(reporter_zone));
            decoded.extend(samples);
        }
        prop_assert_eq!(decoded, samples);
    }

    #[test]
    fn arbitrary_bytes_decode_to_shares_in_range_or_are_rejected(
        bytes in prop::collection::vec(any::<u8>(), 0..256),
    ) {
        if let Some(Message::Verdicts { shares, .. }) = decode(&bytes) {
            prop_assert!(shares.iter().all(|share| (0.0..=1.0).contains(&share.share)));
        }
    }
}

/// An encoded share: zone index plus one, share in 1/10,000, reason.
type EncodedShare = (u32, u32, u32);

#[test_case(0, &[], false; "verdicts without a zone")]
#[test_case(17, &[], false; "verdicts for a zone beyond the maximum")]
#[test_case(1, &[(17, 500, 1)], false; "share of a zone beyond the maximum")]
#[test_case(1, &[(1, 500, 9)], true; "reason of a newer version")]
#[test_case(1, &[(1, 90_000, 1)], true; "share above one")]
#[test_case(1, &[(1, 0, 1); 17], false; "more shares than the maximum number of zones")]
fn values_out_of_range_are_rejected_or_clamped(zone: u32, shares: &[EncodedShare], is_decoded: bool) {
    let shares = shares.iter().map(|&(zone, share, reason)| schema::Share { zone, share, reason }).collect();
    let body = Body::Verdicts(schema::Verdicts { zone, sequence: 1, ttl_ms: 1_000, shares });
    let message = decode(&schema::Message { body: Some(body) }.encode_to_vec());
    assert_eq!(message.is_some(), is_decoded);
    if let Some(Message::Verdicts { shares, .. }) = message {
        assert!(shares.iter().all(|share| (0.0..=1.0).contains(&share.share)));
    }
}
