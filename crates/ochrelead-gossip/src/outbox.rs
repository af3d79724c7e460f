//! What waits to be sent, and the budget of datagrams that bounds it.

use std::collections::VecDeque;

use ochrelead_core::time::{Moment, Span};

use crate::config::GossipConfig;
use crate::members::MemberId;
use crate::schema::part::Kind;
use crate::stats::GossipStats;
use crate::wire::DatagramBuilder;

/// How many parts, and how many messages about zones, wait for the budget.
const MAX_QUEUED: usize = 256;
/// The budget is counted in thousandths of a datagram.
const DATAGRAM_COST: u64 = 1_000;

/// Where a datagram goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Recipient {
    /// To one front.
    Front(u32),
    /// To all other fronts.
    All,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// Where it goes.
    pub recipient: Recipient,
    /// Its bytes.
    pub datagram: Vec<u8>,
}

/// A part for one front.
#[derive(Clone, Debug)]
pub(crate) struct AddressedPart {
    pub(crate) recipient: u32,
    pub(crate) kind: Kind,
}

/// A message about zones, which goes in a datagram of its own.
#[derive(Clone, Debug)]
struct ZoneMessage {
    recipient: Recipient,
    payload: Vec<u8>,
}

/// A token bucket that holds one period's datagrams.
#[derive(Clone, Debug)]
struct SendBudget {
    period: Span,
    per_period: u64,
    available: u64,
    refilled_at: Moment,
}

impl SendBudget {
    fn new(config: GossipConfig, now: Moment) -> SendBudget {
        let per_period = u64::from(config.datagrams_per_period) * DATAGRAM_COST;
        SendBudget { period: config.protocol_period, per_period, available: per_period, refilled_at: now }
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.refilled_at).micros();
        let earned = elapsed * self.per_period / self.period.micros().max(1);
        if earned > 0 {
            self.available = (self.available + earned).min(self.per_period);
            self.refilled_at = now;
        }
    }

    fn has_datagram(&self) -> bool {
        self.available >= DATAGRAM_COST
    }

    fn spend(&mut self) {
        self.available -= DATAGRAM_COST;
    }

    /// When the next datagram is earned, at the latest.
    fn next_datagram_at(&self) -> Moment {
        self.refilled_at + self.period / (self.per_period / DATAGRAM_COST).max(1)
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    local: MemberId,
    fleet_size: u32,
    budget: SendBudget,
    parts: VecDeque<AddressedPart>,
    /// These go first.
    zone_messages: VecDeque<ZoneMessage>,
    /// Datagrams that are within the budget.
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

    /// Queues a part for another front. Where too many wait, the oldest is dropped.
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

    /// Queues a message about zones. Where too many wait, the oldest is dropped.
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

    /// Makes datagrams of what waits, as far as the budget goes. `fill_up` adds to a datagram what it has room for.
    pub(crate) fn flush(
        &mut self,
        now: Moment,
        stats: &mut GossipStats,
        mut fill_up: impl FnMut(&mut DatagramBuilder),
    ) {
        self.budget.refill(now);
        while self.budget.has_datagram()
            && let Some(ZoneMessage { recipient, payload }) = self.zone_messages.pop_front()
        {
            self.budget.spend();
            let mut datagram = DatagramBuilder::new(self.local);
            if datagram.try_push(Kind::Zone(payload)) {
                self.push_datagram(recipient, &datagram, stats);
            } else {
                stats.messages_dropped += 1;
            }
        }
        while self.budget.has_datagram()
            && let Some(AddressedPart { recipient, kind }) = self.parts.pop_front()
        {
            self.budget.spend();
            let mut datagram = DatagramBuilder::new(self.local);
            if !datagram.try_push(kind) {
                stats.messages_dropped += 1;
            }
            // What else waits for the same front goes along.
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

    /// When the budget allows for more of what waits.
    pub(crate) fn poll_timeout(&self) -> Option<Moment> {
        let is_empty = self.parts.is_empty() && self.zone_messages.is_empty();
        (!is_empty).then(|| self.budget.next_datagram_at())
    }
}
