//! Applies the deliberate mutations to messages in transit and to shares before a front applies them.

use std::collections::BTreeMap;

use ochrelead_gossip::schema::part::Kind as PartKind;
use ochrelead_gossip::wire::{self, DatagramBuilder};
use ochrelead_zone::codec::{decode, encode};
use ochrelead_zone::message::Message;
use ochrelead_zone::outcome_reporter::{OutcomeSample, ServerSample};
use ochrelead_zone::{ServerKey, ZoneId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::front::{Front, ReducedShare, reduced_share, server_key};
use super::scenario::{Mutation, Scenario};
use super::server::Server;

/// Added to the sequence number of an old message so that it counts as the latest.
const SEQUENCE_JUMP: u32 = 1_000_000;

/// Changes a datagram from one front to another if the scenario's mutation calls for it.
pub(super) fn mutate_datagram(
    scenario: &Scenario,
    servers: &[Server],
    from: u32,
    to: u32,
    bytes: Vec<u8>,
) -> Vec<u8> {
    match scenario.mutation {
        Some(Mutation::LateAnswersOmitted) => rewrite_messages(bytes, from, |message| {
            if let Message::Report { samples, .. } = message {
                samples.iter_mut().for_each(|sample| sample.outcomes.late = 0);
            }
        }),
        Some(Mutation::LossReportedForZone) => rewrite_messages(bytes, from, |message| {
            if let Message::Report { samples, .. } = message {
                report_losses_for_zone(samples, servers);
            }
        }),
        Some(Mutation::ForeignVerdictsFollowed) => rewrite_messages(bytes, from, |message| {
            if let Message::Verdicts { zone, .. } = message {
                *zone = ZoneId(to % scenario.zones);
            }
        }),
        _ => bytes,
    }
}

/// Raises the sequence numbers of the verdicts in a datagram, so that fronts follow them again.
pub(super) fn renew_verdicts(bytes: Vec<u8>, from: u32) -> Vec<u8> {
    rewrite_messages(bytes, from, |message| {
        if let Message::Verdicts { sequence, .. } = message {
            *sequence += SEQUENCE_JUMP;
        }
    })
}

/// Changes the shares that a front is about to apply if the scenario's mutation calls for it.
pub(super) fn mutate_shares(
    mutation: Option<Mutation>,
    shares: &mut Vec<ReducedShare>,
    front: &Front,
    rng: &mut Pcg64Mcg,
) {
    match mutation {
        Some(Mutation::SharesDifferByFront) => {
            for reduced in shares.iter_mut().filter(|reduced| reduced.share > 0.0) {
                reduced.share = rng.random_range(reduced.share..1.0);
            }
        }
        Some(Mutation::RecoveryInOneStep) => shares.retain(|reduced| reduced.share == 0.0),
        Some(Mutation::StepBackIgnored) => {
            for reduced in shares.iter_mut().filter(|reduced| reduced.share > 0.0) {
                let previous = reduced_share(&front.shares, reduced.zone).unwrap_or(1.0);
                reduced.share = reduced.share.max(previous).min(1.0);
            }
        }
        Some(Mutation::VerdictsNeverExpire) => {
            for previous in &front.shares {
                if reduced_share(shares, previous.zone).is_none() {
                    shares.push(*previous);
                }
            }
        }
        Some(Mutation::RestartIgnoresShares) if front.up_since > 0 && !front.has_had_full_use => {
            shares.clear();
        }
        _ => {}
    }
}

/// Replaces the samples of every server of a zone that has losses by the losses of the whole zone.
fn report_losses_for_zone(samples: &mut Vec<ServerSample>, servers: &[Server]) {
    let find = |key: ServerKey| (0..servers.len() as u32).find(|server| server_key(*server) == key);
    let mut lost_by_zone: BTreeMap<u32, u32> = BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.outcomes.lost > 0) {
        if let Some(server) = find(sample.server) {
            *lost_by_zone.entry(servers[server as usize].zone).or_default() += sample.outcomes.lost;
        }
    }
    for (zone, lost) in lost_by_zone {
        let in_zone = (0..servers.len() as u32).filter(|server| servers[*server as usize].zone == zone);
        for server in in_zone.map(server_key) {
            samples.retain(|sample| sample.server != server);
            samples.push(ServerSample { server, outcomes: OutcomeSample { lost, ..Default::default() } });
        }
    }
    samples.sort_unstable_by_key(|sample| sample.server);
}

/// Applies `change` to all zone messages in a datagram. Datagrams and messages that cannot be decoded stay as they
/// are.
fn rewrite_messages(bytes: Vec<u8>, from: u32, change: impl Fn(&mut Message)) -> Vec<u8> {
    let Ok(datagram) = wire::decode(&bytes, from) else { return bytes };
    let mut builder = DatagramBuilder::new(datagram.sender);
    for part in datagram.parts {
        let part = match part {
            PartKind::Zone(bytes) => match decode(&bytes) {
                Some(mut message) => {
                    change(&mut message);
                    PartKind::Zone(encode(&message).swap_remove(0))
                }
                None => PartKind::Zone(bytes),
            },
            other => other,
        };
        builder.try_push(part);
    }
    builder.encode()
}
