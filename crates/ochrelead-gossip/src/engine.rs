//! The gossip state machine of one front, without I/O.
//!
//! The host passes in each received datagram with the number of the front that is listed at its source address, calls
//! [`Engine::process`] when [`Engine::poll_timeout`] is reached, and sends the datagrams that [`Engine::poll_output`]
//! returns.

use std::collections::VecDeque;

use ochrelead_core::time::{Moment, Span};

use crate::config::GossipConfig;
use crate::dissemination::{Dissemination, ItemId, MAX_RUMOR_SIZE, RumorId};
use crate::failure_detector::FailureDetector;
use crate::members::{MemberId, MemberState, Members};
use crate::outbox::{AddressedPart, Outbox};
use crate::schema::{Ack, MemberUpdate, Ping, Rumor, part::Kind};
use crate::stats::GossipStats;
use crate::wire::{self, DecodeError, VERSION};

pub use crate::outbox::{Recipient, Transmit};

/// The maximum number of received rumors, and of received lease messages, queued for the host. More are dropped.
const MAX_RECEIVED: usize = 256;
/// The maximum number of received zone messages queued for the host. All fronts of a zone may send to the same front.
const MAX_RECEIVED_ZONE_MESSAGES: usize = 4_096;
/// An item is sent this factor times the bit length of the number of fronts, that is, in proportion to its logarithm.
/// All but a few fronts in a million then receive it.
const RETRANSMIT_FACTOR: u32 = 3;

/// The configuration of an [`Engine`].
#[derive(Clone, Copy, Debug)]
pub struct EngineConfig {
    /// This front in its current incarnation.
    pub local: MemberId,
    /// The number of listed fronts, this one included.
    pub fleet_size: u32,
    /// The number of this front's zone, if it has one.
    pub zone: Option<u32>,
    /// The protocol period and the send budget.
    pub gossip: GossipConfig,
    /// The seed of the random generator.
    pub seed: u64,
}

/// A received message of a higher layer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedMessage {
    /// The sender.
    pub sender: MemberId,
    /// The encoded message.
    pub payload: Vec<u8>,
}

/// A rumor known to this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RumorView<'a> {
    /// The contents.
    pub body: &'a [u8],
    /// The time since it was published.
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
    /// The state of a front at its start.
    pub fn new(config: EngineConfig, now: Moment) -> Engine {
        let EngineConfig { local, fleet_size, zone, gossip, seed } = config;
        let mut dissemination = Dissemination::default();
        dissemination.enqueue(ItemId::Member(local.front));
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

    /// Stops the pings by which this front checks others. It still answers pings, relays pings that other fronts
    /// request, and sends the messages and rumors of the host.
    pub fn set_passive(&mut self) {
        self.failure_detector.set_passive();
    }

    /// This front in its current incarnation.
    pub fn local(&self) -> MemberId {
        self.local
    }

    /// What this front knows about the other fronts.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The counters of sent, received and dropped datagrams and messages.
    pub fn stats(&self) -> GossipStats {
        self.stats
    }

    // ---- Receiving ----

    /// Handles a datagram received from the address at which `front` is listed.
    pub fn handle_input(&mut self, now: Moment, front: u32, bytes: &[u8]) {
        let datagram = match wire::decode(bytes, front) {
            Ok(datagram) => datagram,
            Err(error) => return self.count_decode_error(error),
        };
        self.stats.datagrams_received += 1;
        self.stats.newer_version += u64::from(datagram.version > VERSION);
        self.stats.unknown_parts += u64::from(datagram.unknown_parts);
        if self.members.on_contact(datagram.sender, datagram.version, now) {
            self.dissemination.enqueue(ItemId::Member(front));
            if self.members.get(front).is_some_and(|view| view.state == MemberState::Suspect) {
                // The front was declared dead. It is notified so that it can refute that.
                self.send_member_update(front);
            }
        }
        for part in datagram.parts {
            self.handle_part(now, datagram.sender, part);
        }
    }

    fn count_decode_error(&mut self, error: DecodeError) {
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
            self.dissemination.enqueue(ItemId::Member(update.front));
        }
    }

    fn on_rumor(&mut self, now: Moment, rumor: Rumor) {
        let id = RumorId { topic: rumor.topic, key: rumor.key };
        if self.dissemination.accept(rumor, now) && self.rumors.len() < MAX_RECEIVED {
            self.rumors.push_back(id);
        }
    }

    /// The next received lease message.
    pub fn poll_lease_message(&mut self) -> Option<ReceivedMessage> {
        self.lease_messages.pop_front()
    }

    /// The next received zone message.
    pub fn poll_zone_message(&mut self) -> Option<ReceivedMessage> {
        self.zone_messages.pop_front()
    }

    /// The identifier of the next received rumor, to be looked up by [`Engine::rumor`].
    pub fn poll_rumor(&mut self) -> Option<RumorId> {
        self.rumors.pop_front()
    }

    /// The latest known revision of a rumor, published by this front or another.
    pub fn rumor(&self, now: Moment, id: RumorId) -> Option<RumorView<'_>> {
        let rumor = self.dissemination.get(id)?;
        Some(RumorView { body: &rumor.body, age: now.since(rumor.published_at) })
    }

    // ---- Sending ----

    /// Queues a lease message to one front, to be sent within the budget.
    pub fn send_lease_message(&mut self, front: u32, payload: Vec<u8>) {
        self.send_part(front, Kind::Lease(payload));
    }

    /// Queues a zone message, to be sent within the budget in a separate datagram, before all other queued messages.
    pub fn send_zone_message(&mut self, recipient: Recipient, payload: Vec<u8>) {
        self.outbox.push_zone_message(recipient, payload, &mut self.stats);
    }

    /// Publishes a rumor to all fronts. It is added to datagrams that are sent for other reasons. `body` has at most
    /// [`MAX_RUMOR_SIZE`] bytes.
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

    /// Sends a front the state that others know of it.
    fn send_member_update(&mut self, front: u32) {
        if let Some(update) = self.members.update_for(front) {
            self.send_part(front, Kind::Member(update));
        }
    }

    /// Runs the failure detector and queues the datagrams that are due.
    pub fn process(&mut self, now: Moment) {
        if self.failure_detector.detect_stall(now) {
            self.members.restart_suspicions(now);
        }
        self.failure_detector.expire_indirect_probes(now);
        self.check_probe(now);
        let ping = self.failure_detector.next_ping(now, &self.members);
        self.send_parts(ping);
        let timeout = self.failure_detector.suspicion_timeout();
        for front in self.members.expire_suspicions(timeout, now) {
            self.dissemination.enqueue(ItemId::Member(front));
        }
        self.flush(now);
    }

    /// Requests indirect pings if an answer is overdue, and suspects the front if the answer does not arrive in time.
    fn check_probe(&mut self, now: Moment) {
        let requests = self.failure_detector.request_indirect_pings(now, &self.members);
        self.send_parts(requests);
        let Some(front) = self.failure_detector.expire_probe(now) else { return };
        if self.members.suspect(front, now) {
            self.dissemination.enqueue(ItemId::Member(front));
            // The suspected front is notified directly so that it can refute the suspicion.
            self.send_member_update(front);
        }
    }

    /// Encodes queued messages into datagrams within the budget, and fills each datagram with pending rumors and
    /// member updates.
    fn flush(&mut self, now: Moment) {
        let Engine { outbox, dissemination, members, stats, .. } = self;
        let max_transmissions = RETRANSMIT_FACTOR * (u32::BITS - members.fleet_size().leading_zeros());
        outbox.flush(now, stats, |datagram| {
            for item in dissemination.pending() {
                let part = match item {
                    ItemId::Member(front) => members.update_for(front).map(Kind::Member),
                    ItemId::Rumor(id) => dissemination.outgoing_rumor(id, now).map(Kind::Rumor),
                };
                let Some(part) = part else { continue };
                if !datagram.try_push(part) {
                    break;
                }
                dissemination.on_sent(item, max_transmissions);
            }
        });
    }

    /// The next datagram to send.
    pub fn poll_output(&mut self) -> Option<Transmit> {
        self.outbox.pop_datagram()
    }

    /// When [`Engine::process`] is due if no datagram arrives before.
    pub fn poll_timeout(&self) -> Option<Moment> {
        let detector_timeout = Some(self.failure_detector.poll_timeout());
        [detector_timeout, self.outbox.poll_timeout()].into_iter().flatten().min()
    }
}
