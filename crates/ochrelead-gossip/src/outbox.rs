//! The queues of messages to send, and the budget that limits the number of datagrams.

use std::collections::VecDeque;

use ochrelead_core::time::{Moment, Span};

use crate::config::GossipConfig;
use crate::members::MemberId;
use crate::schema::part::Kind;
use crate::stats::GossipStats;
use crate::wire::DatagramBuilder;

/// The maximum number of parts, and of zone messages, queued until the budget allows them to be sent.
const MAX_QUEUED: usize = 256;
/// The units of the send budget that one datagram takes: the budget counts thousandths of a datagram.
const UNITS_PER_DATAGRAM: u64 = 1_000;

/// The recipient of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Recipient {
    /// One front.
    Front(u32),
    /// All other fronts.
    All,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The recipient.
    pub recipient: Recipient,
    /// The encoded datagram.
    pub datagram: Vec<u8>,
}

/// A part of a datagram, with the front that it is sent to.
#[derive(Clone, Debug)]
pub(crate) struct AddressedPart {
    pub(crate) recipient: u32,
    pub(crate) kind: Kind,
}

/// A zone message, which is sent in a separate datagram.
#[derive(Clone, Debug)]
struct ZoneMessage {
    recipient: Recipient,
    payload: Vec<u8>,
}

/// A token bucket for datagrams, with the capacity of one protocol period.
#[derive(Clone, Debug)]
struct SendBudget {
    period: Span,
    /// The units that are added in each period, and the capacity.
    units_per_period: u64,
    available_units: u64,
    refilled_at: Moment,
}

impl SendBudget {
    fn new(config: GossipConfig, now: Moment) -> SendBudget {
        let units_per_period = u64::from(config.datagrams_per_period) * UNITS_PER_DATAGRAM;
        SendBudget {
            period: config.protocol_period,
            units_per_period,
            available_units: units_per_period,
            refilled_at: now,
        }
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.refilled_at).micros();
        let added_units = elapsed * self.units_per_period / self.period.micros().max(1);
        if added_units > 0 {
            self.available_units = (self.available_units + added_units).min(self.units_per_period);
            self.refilled_at = now;
        }
    }

    fn allows_datagram(&self) -> bool {
        self.available_units >= UNITS_PER_DATAGRAM
    }

    fn take_datagram(&mut self) {
        self.available_units -= UNITS_PER_DATAGRAM;
    }

    /// The latest time at which the budget allows the next datagram.
    fn next_datagram_at(&self) -> Moment {
        self.refilled_at + self.period / (self.units_per_period / UNITS_PER_DATAGRAM).max(1)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    local: MemberId,
    fleet_size: u32,
    budget: SendBudget,
    parts: VecDeque<AddressedPart>,
    /// Zone messages are sent before all parts.
    zone_messages: VecDeque<ZoneMessage>,
    /// Encoded datagrams, already counted against the budget.
    ready: VecDeque<Transmit>,
}

impl Outbox {
    pub(crate) fn new(local: MemberId, fleet_size: u32, config: GossipConfig, now: Moment) -> Outbox {
        Outbox {
            local,
            fleet_size,
            budget: SendBudget::new(config, now),
            parts: VecDeque::new(),
            zone_messages: VecDeque::new(),
            ready: VecDeque::new(),
        }
    }

    /// Queues a part for another front. If the queue is full, drops the oldest part.
    pub(crate) fn push_part(&mut self, part: AddressedPart, stats: &mut GossipStats) {
        if part.recipient == self.local.front || part.recipient >= self.fleet_size {
            return;
        }
        if self.parts.len() >= MAX_QUEUED {
            self.parts.pop_front();
            stats.messages_dropped += 1;
        }
        self.parts.push_back(part);
    }

    /// Queues a zone message. If the queue is full, drops the oldest zone message.
    pub(crate) fn push_zone_message(
        &mut self,
        recipient: Recipient,
        payload: Vec<u8>,
        stats: &mut GossipStats,
    ) {
        if self.zone_messages.len() >= MAX_QUEUED {
            self.zone_messages.pop_front();
            stats.messages_dropped += 1;
        }
        self.zone_messages.push_back(ZoneMessage { recipient, payload });
    }

    /// Encodes queued messages into datagrams while the budget allows. `fill_up` adds further parts to each datagram
    /// that carries parts.
    pub(crate) fn flush(
        &mut self,
        now: Moment,
        stats: &mut GossipStats,
        mut fill_up: impl FnMut(&mut DatagramBuilder),
    ) {
        self.budget.refill(now);
        while self.budget.allows_datagram()
            && let Some(ZoneMessage { recipient, payload }) = self.zone_messages.pop_front()
        {
            self.budget.take_datagram();
            let mut datagram = DatagramBuilder::new(self.local);
            if datagram.try_push(Kind::Zone(payload)) {
                self.push_datagram(recipient, &datagram, stats);
            } else {
                stats.messages_dropped += 1;
            }
        }
        while self.budget.allows_datagram()
            && let Some(AddressedPart { recipient, kind }) = self.parts.pop_front()
        {
            self.budget.take_datagram();
            let mut datagram = DatagramBuilder::new(self.local);
            if !datagram.try_push(kind) {
                stats.messages_dropped += 1;
            }
            // Further parts for the same front share the datagram, as far as they fit.
            self.parts.retain(|part| part.recipient != recipient || !datagram.try_push(part.kind.clone()));
            fill_up(&mut datagram);
            self.push_datagram(Recipient::Front(recipient), &datagram, stats);
        }
    }

    fn push_datagram(&mut self, recipient: Recipient, datagram: &DatagramBuilder, stats: &mut GossipStats) {
        let datagram = datagram.encode();
        let copies = match recipient {
            Recipient::Front(_) => 1,
            Recipient::All => u64::from(self.fleet_size.saturating_sub(1)),
        };
        stats.datagrams_sent += copies;
        stats.bytes_sent += datagram.len() as u64 * copies;
        self.ready.push_back(Transmit { recipient, datagram });
    }

    pub(crate) fn pop_datagram(&mut self) -> Option<Transmit> {
        self.ready.pop_front()
    }

    /// When the budget allows the next datagram; `None` if no message is queued.
    pub(crate) fn poll_timeout(&self) -> Option<Moment> {
        let is_empty = self.parts.is_empty() && self.zone_messages.is_empty();
        (!is_empty).then(|| self.budget.next_datagram_at())
    }
}
