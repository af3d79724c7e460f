//! The wire format of [`Message`]. Each encoded message fits into one part of a datagram between fronts.

use ochrelead_core::time::Span;
use prost::Message as _;

use crate::message::{Message, ZoneShare};
use crate::outcome_reporter::{OutcomeSample, ServerSample};
use crate::ramp::ShareReason;
use crate::schema::{self, message::Body};
use crate::{MAX_ZONES, ServerKey, ZoneId};

/// Longest encoded message, in bytes: the size of a datagram less its header and the header of the part.
pub const MAX_MESSAGE_BYTES: usize = 232;
/// Shares are encoded as integers in units of 1/10,000.
pub const SHARE_SCALE: f64 = 10_000.0;

/// Bytes of the field key and length of the report within its message.
const REPORT_HEADER_BYTES: usize = 4;
/// Bytes of the field key and length of one sample within its report.
const SAMPLE_HEADER_BYTES: usize = 2;

const DRAINED: u32 = 1;
const RECOVERING: u32 = 2;

/// Encodes a message as one datagram part, or as several if a report is too long for one.
pub fn encode(message: &Message) -> Vec<Vec<u8>> {
    match message {
        Message::Verdicts { zone, sequence, ttl, shares } => {
            let verdicts = schema::Verdicts {
                zone: encode_zone(*zone),
                sequence: *sequence,
                ttl_ms: u32::try_from(ttl.micros() / 1_000).unwrap_or(u32::MAX),
                shares: shares.iter().take(MAX_ZONES as usize).map(encode_share).collect(),
            };
            vec![schema::Message { body: Some(Body::Verdicts(verdicts)) }.encode_to_vec()]
        }
        Message::Report { zone, samples } => split_report(*zone, samples)
            .into_iter()
            .map(|report| schema::Message { body: Some(Body::Report(report)) }.encode_to_vec())
            .collect(),
    }
}

/// Decodes a message. Returns `None` if it is malformed, has a value out of range, or is of a kind that this version
/// does not know.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    match schema::Message::decode(bytes).ok()?.body? {
        Body::Report(report) => Some(Message::Report {
            zone: decode_zone(report.zone)?,
            samples: report.samples.iter().map(decode_sample).collect::<Option<_>>()?,
        }),
        Body::Verdicts(verdicts) => {
            if verdicts.shares.len() > MAX_ZONES as usize {
                return None;
            }
            Some(Message::Verdicts {
                zone: decode_zone(verdicts.zone)?,
                sequence: verdicts.sequence,
                ttl: Span::from_millis(u64::from(verdicts.ttl_ms)),
                shares: verdicts.shares.iter().map(decode_share).collect::<Option<_>>()?,
            })
        }
    }
}

/// Zones are encoded as their index plus one; zero means that the field is missing.
fn encode_zone(zone: ZoneId) -> u32 {
    zone.0.saturating_add(1)
}

fn decode_zone(encoded: u32) -> Option<ZoneId> {
    encoded.checked_sub(1).filter(|zone| *zone < MAX_ZONES).map(ZoneId)
}

fn encode_share(share: &ZoneShare) -> schema::Share {
    schema::Share {
        zone: encode_zone(share.zone),
        share: (share.share.clamp(0.0, 1.0) * SHARE_SCALE).round() as u32,
        reason: match share.reason {
            ShareReason::Drained => DRAINED,
            ShareReason::Recovering => RECOVERING,
        },
    }
}

fn decode_share(encoded: &schema::Share) -> Option<ZoneShare> {
    Some(ZoneShare {
        zone: decode_zone(encoded.zone)?,
        share: (f64::from(encoded.share) / SHARE_SCALE).min(1.0),
        reason: match encoded.reason {
            DRAINED => ShareReason::Drained,
            // Also any reason that a newer version adds: the share applies whatever the reason.
            _ => ShareReason::Recovering,
        },
    })
}

fn encode_sample(sample: &ServerSample) -> schema::OutcomeSample {
    let OutcomeSample { in_time, late, lost, is_alive, is_stale } = sample.outcomes.bounded();
    schema::OutcomeSample { server: u32::from(sample.server.0), in_time, late, lost, is_alive, is_stale }
}

fn decode_sample(encoded: &schema::OutcomeSample) -> Option<ServerSample> {
    let server = ServerKey(u16::try_from(encoded.server).ok()?);
    let schema::OutcomeSample { in_time, late, lost, is_alive, is_stale, .. } = *encoded;
    let outcomes = OutcomeSample { in_time, late, lost, is_alive, is_stale }.bounded();
    Some(ServerSample { server, outcomes })
}

/// Splits samples into reports that each fit into a message.
fn split_report(zone: ZoneId, samples: &[ServerSample]) -> Vec<schema::Report> {
    let empty = || schema::Report { zone: encode_zone(zone), samples: Vec::new() };
    let mut reports = Vec::new();
    let mut current = empty();
    for sample in samples {
        let sample = encode_sample(sample);
        let length = current.encoded_len() + sample.encoded_len() + SAMPLE_HEADER_BYTES;
        if length > MAX_MESSAGE_BYTES - REPORT_HEADER_BYTES {
            reports.push(std::mem::replace(&mut current, empty()));
        }
        current.samples.push(sample);
    }
    reports.push(current);
    reports
}
