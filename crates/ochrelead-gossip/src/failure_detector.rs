//! SWIM failure detection by direct and indirect pings, with Lifeguard's local health multiplier: a front that misses
//! answers or stalls lengthens its own timeouts, because the fault may be its own rather than that of the other
//! fronts.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::members::{MemberState, Members};
use crate::outbox::AddressedPart;
use crate::schema::{Ack, Ping, PingRequest, part::Kind};

/// How many other fronts are requested to ping a front that does not answer.
const INDIRECT_PINGS: usize = 2;
/// The maximum of the local health multiplier.
const MAX_HEALTH_MULTIPLIER: u32 = 8;
/// The maximum number of unanswered pings on behalf of other fronts.
const MAX_INDIRECT_PROBES: usize = 256;
/// The time to refute a suspicion, in protocol periods, at a front whose health multiplier is 0.
const SUSPICION_PERIODS: u64 = 4;
/// A front counts as stalled if its failure detector did not run for this number of protocol periods.
const STALL_PERIODS: u64 = 2;

/// An unanswered ping by which this front checks another.
#[derive(Clone, Copy, Debug)]
struct Probe {
    front: u32,
    sequence: u32,
    started_at: Moment,
    /// Whether other fronts were requested to ping as well.
    is_indirect: bool,
}

/// An unanswered ping that this front sent on behalf of another.
#[derive(Clone, Copy, Debug)]
struct IndirectProbe {
    requester: u32,
    /// The sequence number of the requester's ping, which the relayed answer carries.
    requester_sequence: u32,
    started_at: Moment,
}

#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    /// This front's number.
    local: u32,
    protocol_period: Span,
    rng: Pcg64Mcg,
    /// The fronts still to be pinged in this round, in random order, the next one last. In each round, all other
    /// fronts are pinged once.
    ping_order: Vec<u32>,
    next_ping_at: Moment,
    probe: Option<Probe>,
    last_sequence: u32,
    /// Keyed by the sequence number of this front's ping.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    /// Lifeguard's local health multiplier, from 0 (healthy) to [`MAX_HEALTH_MULTIPLIER`]. Timeouts are multiplied by
    /// one plus this value.
    health_multiplier: u32,
    /// A passive front sends pings only on behalf of others.
    is_passive: bool,
    last_processed_at: Moment,
}

impl FailureDetector {
    pub(crate) fn new(local: u32, protocol_period: Span, seed: u64, now: Moment) -> FailureDetector {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // A random first ping keeps fronts that start together from pinging in step.
        let first_ping = Span::from_micros(rng.random_range(0..protocol_period.micros().max(1)));
        FailureDetector {
            local,
            protocol_period,
            rng,
            ping_order: Vec::new(),
            next_ping_at: now + first_ping,
            probe: None,
            last_sequence: 0,
            indirect_probes: BTreeMap::new(),
            health_multiplier: 0,
            is_passive: false,
            last_processed_at: now,
        }
    }

    pub(crate) fn set_passive(&mut self) {
        self.is_passive = true;
    }

    /// How long a suspected front has to refute the suspicion.
    pub(crate) fn suspicion_timeout(&self) -> Span {
        self.protocol_period * (SUSPICION_PERIODS * u64::from(1 + self.health_multiplier))
    }

    /// How long a ping may remain unanswered. After half of this time other fronts are requested to ping.
    fn probe_timeout(&self) -> Span {
        self.protocol_period / 2 * u64::from(1 + self.health_multiplier)
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Handles a request to ping a front on behalf of `requester`. Returns the ping, `None` if the front is unknown or
    /// too many such pings are unanswered.
    pub(crate) fn on_ping_request(
        &mut self,
        requester: u32,
        request: PingRequest,
        fleet_size: u32,
        now: Moment,
    ) -> Option<AddressedPart> {
        let PingRequest { sequence: requester_sequence, front } = request;
        let is_known = front < fleet_size && front != self.local;
        if !is_known || self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return None;
        }
        let sequence = self.next_sequence();
        let probe = IndirectProbe { requester, requester_sequence, started_at: now };
        self.indirect_probes.insert(sequence, probe);
        Some(AddressedPart { recipient: front, kind: Kind::Ping(Ping { sequence }) })
    }

    /// Handles an answer to a ping. Returns the answer to relay if the ping was sent on behalf of another front.
    pub(crate) fn on_ack(&mut self, sender: u32, ack: Ack) -> Option<AddressedPart> {
        let indirect = self.indirect_probes.remove(&ack.sequence);
        if let Some(indirect) = indirect.filter(|_| ack.relayed_from == 0) {
            let ack = Ack { sequence: indirect.requester_sequence, relayed_from: sender + 1 };
            return Some(AddressedPart { recipient: indirect.requester, kind: Kind::Ack(ack) });
        }
        let is_answer = |probe: Probe| {
            let is_of_front = probe.front == sender || ack.relayed_from == probe.front + 1;
            probe.sequence == ack.sequence && is_of_front
        };
        if self.probe.is_some_and(is_answer) {
            self.probe = None;
            self.health_multiplier = self.health_multiplier.saturating_sub(1);
        }
        None
    }

    /// Records that the failure detector runs now. Returns whether this front stalled since the previous call. After a
    /// stall, missing answers are no evidence against other fronts: the unanswered pings are dropped, and the health
    /// multiplier is set to its maximum.
    pub(crate) fn detect_stall(&mut self, now: Moment) -> bool {
        let has_stalled = now.since(self.last_processed_at) >= self.protocol_period * STALL_PERIODS;
        self.last_processed_at = now;
        if has_stalled {
            self.probe = None;
            self.indirect_probes.clear();
            self.health_multiplier = MAX_HEALTH_MULTIPLIER;
        }
        has_stalled
    }

    /// Drops pings on behalf of others that are older than four times the probe timeout of a healthy requester.
    pub(crate) fn expire_indirect_probes(&mut self, now: Moment) {
        let lifetime = self.protocol_period / 2 * 4;
        self.indirect_probes.retain(|_, probe| now.since(probe.started_at) < lifetime);
    }

    /// Requests other fronts to ping the front that has not answered within half of the probe timeout.
    pub(crate) fn request_indirect_pings(&mut self, now: Moment, members: &Members) -> Vec<AddressedPart> {
        let half_timeout = self.probe_timeout() / 2;
        let Some(probe) = &mut self.probe else { return Vec::new() };
        if probe.is_indirect || now.since(probe.started_at) < half_timeout {
            return Vec::new();
        }
        probe.is_indirect = true;
        let Probe { front, sequence, .. } = *probe;
        let mut relays = members.live();
        relays.retain(|relay| *relay != self.local && *relay != front);
        let count = INDIRECT_PINGS.min(relays.len());
        let mut draw_relay = || relays.swap_remove(self.rng.random_range(0..relays.len()));
        let request =
            |recipient| AddressedPart { recipient, kind: Kind::PingRequest(PingRequest { sequence, front }) };
        (0..count).map(|_| request(draw_relay())).collect()
    }

    /// The front that did not answer within the probe timeout; its probe is dropped.
    pub(crate) fn expire_probe(&mut self, now: Moment) -> Option<u32> {
        let timeout = self.probe_timeout();
        let probe = self.probe.take_if(|probe| now.since(probe.started_at) >= timeout)?;
        self.health_multiplier = (self.health_multiplier + 1).min(MAX_HEALTH_MULTIPLIER);
        Some(probe.front)
    }

    /// The ping of this protocol period; `None` if it is not due, if another probe is open or if this front is
    /// passive.
    pub(crate) fn next_ping(&mut self, now: Moment, members: &Members) -> Option<AddressedPart> {
        if now < self.next_ping_at {
            return None;
        }
        self.next_ping_at = now + self.protocol_period;
        if self.probe.is_some() || self.is_passive {
            return None;
        }
        if self.ping_order.is_empty() {
            self.shuffle_ping_order(members.fleet_size());
        }
        let front = self.ping_order.pop()?;
        let sequence = self.next_sequence();
        if members.get(front).is_none_or(|view| view.state != MemberState::Dead) {
            self.probe = Some(Probe { front, sequence, started_at: now, is_indirect: false });
        }
        Some(AddressedPart { recipient: front, kind: Kind::Ping(Ping { sequence }) })
    }

    /// Starts a round over all other fronts in random order. Dead fronts and fronts without any contact are included,
    /// so that members rejoin after a partition and find each other when a fleet starts.
    fn shuffle_ping_order(&mut self, fleet_size: u32) {
        self.ping_order = (0..fleet_size).filter(|front| *front != self.local).collect();
        for last in (1..self.ping_order.len()).rev() {
            let other = self.rng.random_range(0..=last);
            self.ping_order.swap(last, other);
        }
    }

    /// When the failure detector is next due, at least once per protocol period, so that stalls are detected.
    pub(crate) fn poll_timeout(&self) -> Moment {
        let timeout = self.probe_timeout();
        let probe_due_at =
            |probe: Probe| probe.started_at + if probe.is_indirect { timeout } else { timeout / 2 };
        self.probe.map_or(self.next_ping_at, |probe| probe_due_at(probe).min(self.next_ping_at))
    }
}
