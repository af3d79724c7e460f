//! One front's part in the fleet's gossip, without I/O.
//!
//! The host hands in datagrams with the number of the front at whose listed address they came from, calls
//! [`Engine::process`] when [`Engine::poll_timeout`] says so, and sends what [`Engine::poll_output`] returns.

use std::collections::VecDeque;

use ochrelead_core::time::{Moment, Span};

use crate::config::GossipConfig;
use crate::dissemination::{Dissemination, MAX_RUMOR_SIZE, RumorId, RumorSubject};
use crate::failure_detector::FailureDetector;
use crate::members::{MemberId, MemberState, Members};
use crate::outbox::{AddressedPart, Outbox};
use crate::schema::{Ack, MemberUpdate, Ping, Rumor, part::Kind};
use crate::stats::GossipStats;
use crate::wire::{self, DecodeError, VERSION};

pub use crate::outbox::{Recipient, Transmit};

/// How many received rumors, and messages about leases, wait for the host.
const MAX_RECEIVED: usize = 256;
/// How many received messages about zones wait for the host: all fronts of a zone may write to one.
const MAX_RECEIVED_ZONE_MESSAGES: usize = 4_096;
/// An item is sent so many times the logarithm of the number of fronts: all but a few in a million hear it.
const RETRANSMIT_FACTOR: u32 = 3;

/// What an engine is made from.
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// This front, in its present incarnation.
    pub local: MemberId,
    /// How many fronts are listed, this one among them.
    pub fleet_size: u32,
    /// The number of this front's zone.
    pub zone: Option<u32>,
    /// How often this front speaks, and how much.
    pub gossip: GossipConfig,
    /// The seed of all random draws.
    pub seed: u64,
}

/// A message of another layer, as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// Who sent it.
    pub sender: MemberId,
    /// Its bytes.
    pub payload: Vec<u8>,
}

/// A rumor as known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RumorView<'a> {
    /// What it says.
    pub body: &'a [u8],
    /// How long ago it was published.
    pub age: Span,
}

/// The state machine of one front.
#[derive(Clone, Debug)]
pub struct Engine {
    local: MemberId,
    members: Members,
    failure_detector: FailureDetector,
    dissemination: Dissemination,
    outbox: Outbox,
    lease_messages: VecDeque<ReceivedMessage>,
    zone_messages: VecDeque<ReceivedMessage>,
    rumors: VecDeque<RumorId>,
    stats: GossipStats,
}

impl Engine {
    /// A front's part from its start on.
    pub fn new(config: EngineConfig, now: Moment) -> Engine {
        let EngineConfig { local, fleet_size, zone, gossip, seed } = config;
        let mut dissemination = Dissemination::default();
        dissemination.enqueue(RumorSubject::Member(local.front));
        Engine {
            local,
            members: Members::new(local, fleet_size, zone),
            failure_detector: FailureDetector::new(local.front, gossip.protocol_period, seed, now),
            dissemination,
            outbox: Outbox::new(local, fleet_size, gossip, now),
            lease_messages: VecDeque::new(),
            zone_messages: VecDeque::new(),
            rumors: VecDeque::new(),
            stats: GossipStats::default(),
        }
    }

    /// Stops pinging of this front's own accord. It still answers pings and sends what is handed in.
    pub fn set_passive(&mut self) {
        self.failure_detector.set_passive();
    }

    /// This front, in its present incarnation.
    pub fn local(&self) -> MemberId {
        self.local
    }

    /// What is known of the other fronts.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// What was sent, received and discarded.
    pub fn stats(&self) -> GossipStats {
        self.stats
    }

    // ---- Received ----

    /// Handles a datagram that came from the address at which `front` is listed.
    pub fn handle_input(&mut self, now: Moment, front: u32, bytes: &[u8]) {
        let datagram = match wire::decode(bytes, front) {
            Ok(datagram) => datagram,
            Err(error) => return self.count_refused(error),
        };
        self.stats.datagrams_received += 1;
        self.stats.newer_version += u64::from(datagram.version > VERSION);
        self.stats.unknown_parts += u64::from(datagram.unknown_parts);
        if self.members.on_contact(datagram.sender, datagram.version, now) {
            self.dissemination.enqueue(RumorSubject::Member(front));
            if self.members.get(front).is_some_and(|view| view.state == MemberState::Suspect) {
                // It was believed dead: it hears of that, and refutes it.
                self.send_member_update(front);
            }
        }
        for part in datagram.parts {
            self.handle_part(now, datagram.sender, part);
        }
    }

    fn count_refused(&mut self, error: DecodeError) {
        match error {
            DecodeError::TooLong(_) => self.stats.too_long += 1,
            DecodeError::Malformed => self.stats.malformed += 1,
            DecodeError::WrongSender { .. } => self.stats.wrong_sender += 1,
        }
    }

    fn handle_part(&mut self, now: Moment, sender: MemberId, part: Kind) {
        match part {
            Kind::Ping(Ping { sequence }) => {
                self.send_part(sender.front, Kind::Ack(Ack { sequence, relayed_from: 0 }));
            }
            Kind::PingRequest(request) => {
                let fleet_size = self.members.fleet_size();
                let ping = self.failure_detector.on_ping_request(sender.front, request, fleet_size, now);
                self.send_parts(ping);
            }
            Kind::Ack(ack) => {
                let relayed = self.failure_detector.on_ack(sender.front, ack);
                self.send_parts(relayed);
            }
            Kind::Member(update) => self.on_member_update(now, &update),
            Kind::Rumor(rumor) => self.on_rumor(now, rumor),
            Kind::Lease(payload) => {
                if self.lease_messages.len() < MAX_RECEIVED {
                    self.lease_messages.push_back(ReceivedMessage { sender, payload });
                }
            }
            Kind::Zone(payload) => {
                if self.zone_messages.len() < MAX_RECEIVED_ZONE_MESSAGES {
                    self.zone_messages.push_back(ReceivedMessage { sender, payload });
                }
            }
        }
    }

    fn on_member_update(&mut self, now: Moment, update: &MemberUpdate) {
        if self.members.on_update(update, now) {
            self.dissemination.enqueue(RumorSubject::Member(update.front));
        }
    }

    fn on_rumor(&mut self, now: Moment, rumor: Rumor) {
        let id = RumorId { topic: rumor.topic, key: rumor.key };
        if self.dissemination.accept(rumor, now) && self.rumors.len() < MAX_RECEIVED {
            self.rumors.push_back(id);
        }
    }

    /// The next message about leases that was received.
    pub fn poll_lease_message(&mut self) -> Option<ReceivedMessage> {
        self.lease_messages.pop_front()
    }

    /// The next message about zones that was received.
    pub fn poll_zone_message(&mut self) -> Option<ReceivedMessage> {
        self.zone_messages.pop_front()
    }

    /// The id of the next rumor that was received; [`Engine::rumor`] has the rumor itself.
    pub fn poll_rumor(&mut self) -> Option<RumorId> {
        self.rumors.pop_front()
    }

    /// A rumor as known here, published by this front or another.
    pub fn rumor(&self, now: Moment, id: RumorId) -> Option<RumorView<'_>> {
        let rumor = self.dissemination.get(id)?;
        Some(RumorView { body: &rumor.body, age: now.since(rumor.published_at) })
    }

    // ---- Sent ----

    /// Sends a message about leases to one front, within the budget.
    pub fn send_lease_message(&mut self, front: u32, payload: Vec<u8>) {
        self.send_part(front, Kind::Lease(payload));
    }

    /// Sends a message about zones, in a datagram of its own and before everything else, within the budget.
    pub fn send_zone_message(&mut self, recipient: Recipient, payload: Vec<u8>) {
        self.outbox.push_zone_message(recipient, payload, &mut self.stats);
    }

    /// Makes a rumor known to all fronts, with datagrams that are sent anyway. Its body has [`MAX_RUMOR_SIZE`] bytes at
    /// most.
    pub fn publish_rumor(&mut self, now: Moment, id: RumorId, body: Vec<u8>) {
        debug_assert!(body.len() <= MAX_RUMOR_SIZE);
        self.dissemination.publish(id, body, now);
    }

    fn send_part(&mut self, recipient: u32, kind: Kind) {
        self.outbox.push_part(AddressedPart { recipient, kind }, &mut self.stats);
    }

    fn send_parts(&mut self, parts: impl IntoIterator<Item = AddressedPart>) {
        for part in parts {
            self.outbox.push_part(part, &mut self.stats);
        }
    }

    /// Tells a front what is believed of it.
    fn send_member_update(&mut self, front: u32) {
        if let Some(update) = self.members.update_for(front) {
            self.send_part(front, Kind::Member(update));
        }
    }

    /// Does all that is due.
    pub fn process(&mut self, now: Moment) {
        if self.failure_detector.check_stall(now) {
            self.members.restart_suspicions(now);
        }
        self.failure_detector.drop_old_indirect_probes(now);
        self.check_probe(now);
        let ping = self.failure_detector.next_ping(now, &self.members);
        self.send_parts(ping);
        let timeout = self.failure_detector.suspicion_timeout();
        for front in self.members.expire_suspicions(timeout, now) {
            self.dissemination.enqueue(RumorSubject::Member(front));
        }
        self.flush(now);
    }

    /// Where an answer is late, others are asked to ping; where it stays away, the front is suspected.
    fn check_probe(&mut self, now: Moment) {
        let requests = self.failure_detector.request_indirect_pings(now, &self.members);
        self.send_parts(requests);
        let Some(front) = self.failure_detector.expire_probe(now) else { return };
        if self.members.suspect(front, now) {
            self.dissemination.enqueue(RumorSubject::Member(front));
            // The front hears of it first, and can refute it.
            self.send_member_update(front);
        }
    }

    /// Sends what waits, and fills each datagram up with rumors and member updates.
    fn flush(&mut self, now: Moment) {
        let Engine { outbox, dissemination, members, stats, .. } = self;
        let limit = RETRANSMIT_FACTOR * (u32::BITS - members.fleet_size().leading_zeros());
        outbox.flush(now, stats, |datagram| {
            for subject in dissemination.pending() {
                let part = match subject {
                    RumorSubject::Member(front) => members.update_for(front).map(Kind::Member),
                    RumorSubject::Rumor(id) => dissemination.message(id, now).map(Kind::Rumor),
                };
                let Some(part) = part else { continue };
                if !datagram.try_push(part) {
                    break;
                }
                dissemination.on_sent(subject, limit);
            }
        });
    }

    /// The next datagram to send.
    pub fn poll_output(&mut self) -> Option<Transmit> {
        self.outbox.pop_datagram()
    }

    /// When [`Engine::process`] is due although no datagram came.
    pub fn poll_timeout(&self) -> Option<Moment> {
        let detector_timeout = Some(self.failure_detector.poll_timeout());
        [detector_timeout, self.outbox.poll_timeout()].into_iter().flatten().min()
    }
}
