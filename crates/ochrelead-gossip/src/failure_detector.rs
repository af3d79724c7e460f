//! Pings, direct and on behalf of others, after SWIM; with Lifeguard's local health, by which a front that misses many
//! answers doubts itself before others.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::members::{MemberState, Members};
use crate::outbox::AddressedPart;
use crate::schema::{Ack, Ping, PingRequest, part::Kind};

/// How many others are asked to ping a front that does not answer.
const INDIRECT_PINGS: usize = 2;
/// The worst local health. Timeouts are one plus the local health times as long as those of a healthy front.
const WORST_LOCAL_HEALTH: u32 = 8;
/// How many pings on behalf of others may be open.
const MAX_INDIRECT_PROBES: usize = 256;
/// A suspicion can be refuted for so many protocol periods, by a healthy front's measure.
const SUSPICION_PERIODS: u64 = 4;
/// A front that was not run for so many protocol periods has stalled.
const STALL_PERIODS: u64 = 2;

/// A ping of this front's own that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Probe {
    front: u32,
    sequence: u32,
    started_at: Moment,
    /// Others were asked to ping too.
    is_indirect: bool,
}

/// A ping that this front sent on behalf of another.
#[derive(Clone, Copy, Debug)]
struct IndirectProbe {
    requester: u32,
    /// The sequence number of the requester's own ping.
    requester_sequence: u32,
    started_at: Moment,
}

#[derive(Clone, Debug)]
pub(crate) struct FailureDetector {
    /// This front's number.
    local: u32,
    protocol_period: Span,
    rng: Pcg64Mcg,
    /// Whom to ping next: all others in random order, then in another one.
    round: Vec<u32>,
    next_ping_at: Moment,
    probe: Option<Probe>,
    last_sequence: u32,
    /// By the sequence number of this front's ping.
    indirect_probes: BTreeMap<u32, IndirectProbe>,
    /// 0 is healthy.
    local_health: u32,
    /// It pings nobody of its own accord.
    is_passive: bool,
    last_processed_at: Moment,
}

impl FailureDetector {
    pub(crate) fn new(local: u32, protocol_period: Span, seed: u64, now: Moment) -> FailureDetector {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        // Fronts that start together do not ping in step.
        let first_ping = Span::from_micros(rng.random_range(0..protocol_period.micros().max(1)));
        FailureDetector {
            local,
            protocol_period,
            rng,
            round: Vec::new(),
            next_ping_at: now + first_ping,
            probe: None,
            last_sequence: 0,
            indirect_probes: BTreeMap::new(),
            local_health: 0,
            is_passive: false,
            last_processed_at: now,
        }
    }

    pub(crate) fn set_passive(&mut self) {
        self.is_passive = true;
    }

    /// How long a suspicion can be refuted.
    pub(crate) fn suspicion_timeout(&self) -> Span {
        self.protocol_period * (SUSPICION_PERIODS * u64::from(1 + self.local_health))
    }

    /// How long an answer is waited for; after half of it others are asked to ping.
    fn probe_timeout(&self) -> Span {
        self.protocol_period / 2 * u64::from(1 + self.local_health)
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Another front asks to ping a front on its behalf.
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

    /// An answer came. Returns what is passed on, where the ping was on behalf of another.
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
            self.local_health = self.local_health.saturating_sub(1);
        }
        None
    }

    /// Notes that the front runs. Returns whether it has stalled since the last time: what it missed then says nothing
    /// of other fronts.
    pub(crate) fn check_stall(&mut self, now: Moment) -> bool {
        let has_stalled = now.since(self.last_processed_at) >= self.protocol_period * STALL_PERIODS;
        self.last_processed_at = now;
        if has_stalled {
            self.probe = None;
            self.indirect_probes.clear();
            self.local_health = WORST_LOCAL_HEALTH;
        }
        has_stalled
    }

    /// Forgets pings on behalf of others that nobody waits for any more.
    pub(crate) fn drop_old_indirect_probes(&mut self, now: Moment) {
        let lifetime = self.protocol_period / 2 * 4;
        self.indirect_probes.retain(|_, probe| now.since(probe.started_at) < lifetime);
    }

    /// Asks others to ping the front whose answer is late.
    pub(crate) fn request_indirect_pings(&mut self, now: Moment, members: &Members) -> Vec<AddressedPart> {
        let half_timeout = self.probe_timeout() / 2;
        let Some(probe) = &mut self.probe else { return Vec::new() };
        if probe.is_indirect || now.since(probe.started_at) < half_timeout {
            return Vec::new();
        }
        probe.is_indirect = true;
        let Probe { front, sequence, .. } = *probe;
        let mut helpers = members.live();
        helpers.retain(|helper| *helper != self.local && *helper != front);
        let count = INDIRECT_PINGS.min(helpers.len());
        let mut draw_helper = || helpers.swap_remove(self.rng.random_range(0..helpers.len()));
        let request =
            |recipient| AddressedPart { recipient, kind: Kind::PingRequest(PingRequest { sequence, front }) };
        (0..count).map(|_| request(draw_helper())).collect()
    }

    /// The front that has not answered in time.
    pub(crate) fn expire_probe(&mut self, now: Moment) -> Option<u32> {
        let timeout = self.probe_timeout();
        let probe = self.probe.take_if(|probe| now.since(probe.started_at) >= timeout)?;
        self.local_health = (self.local_health + 1).min(WORST_LOCAL_HEALTH);
        Some(probe.front)
    }

    /// The ping of this protocol period, where it is due.
    pub(crate) fn next_ping(&mut self, now: Moment, members: &Members) -> Option<AddressedPart> {
        if now < self.next_ping_at {
            return None;
        }
        self.next_ping_at = now + self.protocol_period;
        if self.probe.is_some() || self.is_passive {
            return None;
        }
        if self.round.is_empty() {
            self.start_round(members.fleet_size());
        }
        let front = self.round.pop()?;
        let sequence = self.next_sequence();
        if members.get(front).is_none_or(|view| view.state != MemberState::Dead) {
            self.probe = Some(Probe { front, sequence, started_at: now, is_indirect: false });
        }
        Some(AddressedPart { recipient: front, kind: Kind::Ping(Ping { sequence }) })
    }

    /// Shuffles all other fronts. Those that are dead or were never heard of are pinged too, so that a partition heals
    /// and a fleet finds together.
    fn start_round(&mut self, fleet_size: u32) {
        self.round = (0..fleet_size).filter(|front| *front != self.local).collect();
        for last in (1..self.round.len()).rev() {
            let other = self.rng.random_range(0..=last);
            self.round.swap(last, other);
        }
    }

    /// When something is due: at least once a period, so that a stall shows.
    pub(crate) fn poll_timeout(&self) -> Moment {
        let timeout = self.probe_timeout();
        let probe_due =
            |probe: Probe| probe.started_at + if probe.is_indirect { timeout } else { timeout / 2 };
        self.probe.map_or(self.next_ping_at, |probe| probe_due(probe).min(self.next_ping_at))
    }
}
