//! One front's part in zone failover, without I/O.
//!
//! Each front reports outcomes to the observer of its zone and follows the verdicts of that observer; where there is none, it
//! becomes the observer itself. A front that hears no observer for a while claims the role after a random delay; of two
//! observers that hear each other, the one with the lower front number stays. There is no quorum and none is needed: verdicts
//! are advice, each front follows one observer at a time, all that hear the same observer do the same, and a part of the
//! fleet that is cut off has an observer of its own.
//!
//! The host feeds in the outcomes of INVITEs, the servers in service and the messages of other fronts; it sends the messages
//! of [`Engine::poll_output`] and hands the shares to the controller.

mod observer;
mod sequence_filter;

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};
use ochrelead_gossip::MemberId;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::observer::Observer;
use self::sequence_filter::SequenceFilter;
use crate::codec;
use crate::message::{Message, ZoneShare};
use crate::outcome_reporter::{OutcomeReporter, ServerSample};
use crate::{ServerKey, ServerLocation, ZoneConfig, ZoneId};

/// With all zones in full use the observer announces itself once in this many steps, so that fronts know whom to report to.
const IDLE_ANNOUNCE_STEPS: u64 = 2;
/// Missing announcements after which the observer counts as silent.
const MAX_MISSED_ANNOUNCEMENTS: u64 = 2;
/// Verdicts last at most this multiple of the usual time to live, whatever their observer claims.
const MAX_TTL_FACTOR: u64 = 2;
/// A zone that this front hears is restricted for at most this many steps, whatever an observer claims.
const MAX_RESTRICTED_STEPS: u64 = 32;
/// A sign of life counts as recent for this many steps when verdicts are doubted.
const RECENT_ALIVE_STEPS: u64 = 4;
/// Losses are reported early, but at most this many times as often as usual.
const URGENT_REPORT_RATE: u64 = 5;

/// Where a message goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// One front, by its number.
    Front(u32),
    /// All fronts.
    All,
}

/// The verdicts that a front follows, or has overheard from another zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveVerdicts {
    /// Number of the front that sent them.
    pub observer: u32,
    /// When they were received.
    pub received_at: Moment,
    /// Until when they are in force.
    pub expires_at: Moment,
    /// The zones that are not in full use.
    pub shares: Vec<ZoneShare>,
}

/// The zone failover engine of one front.
#[derive(Clone, Debug)]
pub struct Engine {
    local: MemberId,
    local_zone: ZoneId,
    config: ZoneConfig,
    reporter: OutcomeReporter,
    /// The servers in service and their zones.
    server_zones: BTreeMap<ServerKey, ZoneId>,
    last_alive: BTreeMap<ServerKey, Moment>,
    /// The latest verdicts, by the zone of the fronts that they are for.
    verdicts: BTreeMap<ZoneId, ActiveVerdicts>,
    /// Since when verdicts have kept a zone from full use at this front.
    restricted_since: BTreeMap<ZoneId, Moment>,
    sequences: SequenceFilter,
    /// Present while this front is the observer of its zone.
    observer: Option<Observer>,
    /// Sequence number of the last verdicts sent in this incarnation.
    sequence: u32,
    /// When this front claims the observer's role unless another one is heard before.
    claim_at: Moment,
    /// This front leaves service and no longer claims the role.
    is_leaving: bool,
    next_report_at: Moment,
    last_report_at: Moment,
    last_processed_at: Moment,
    rng: Pcg64Mcg,
    outputs: VecDeque<(Recipient, Vec<u8>)>,
}

impl Engine {
    /// The engine of the front `local` in the zone `local_zone`. `seed` determines its random delays.
    pub fn new(local: MemberId, local_zone: ZoneId, config: ZoneConfig, seed: u64, now: Moment) -> Engine {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let report_phase = rng.random_range(0..config.report_interval().micros().max(1));
        let mut engine = Engine {
            local,
            local_zone,
            config,
            reporter: OutcomeReporter::new(config.loss_timeout),
            server_zones: BTreeMap::new(),
            last_alive: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            restricted_since: BTreeMap::new(),
            sequences: SequenceFilter::default(),
            observer: None,
            sequence: 0,
            claim_at: now,
            is_leaving: false,
            next_report_at: now + Span::from_micros(report_phase),
            last_report_at: now,
            last_processed_at: now,
            rng,
            outputs: VecDeque::new(),
        };
        engine.schedule_claim(now, Span::ZERO);
        engine
    }

    /// The zone that this front is in.
    pub fn local_zone(&self) -> ZoneId {
        self.local_zone
    }

    /// Whether this front is the observer of its zone.
    pub fn is_observer(&self) -> bool {
        self.observer.is_some()
    }

    /// The zones of the servers in service, in ascending order.
    pub fn zones(&self) -> Vec<ZoneId> {
        distinct_zones(&self.server_zones)
    }

    /// Replaces the list of servers in service that are in a zone.
    pub fn on_server_locations(&mut self, locations: &[ServerLocation]) {
        let server_zones: BTreeMap<ServerKey, ZoneId> =
            locations.iter().map(|location| (location.server, location.zone)).collect();
        if server_zones == self.server_zones {
            return;
        }
        self.server_zones = server_zones;
        self.last_alive.retain(|server, _| self.server_zones.contains_key(server));
        if let Some(observer) = &mut self.observer {
            observer.on_server_locations(locations);
        }
    }

    /// An INVITE was sent. `invite` identifies it until it ends.
    pub fn on_invite_sent(&mut self, now: Moment, server: ServerKey, invite: u64) {
        if self.server_zones.contains_key(&server) {
            self.reporter.on_invite_sent(now, server, invite);
        }
    }

    /// The server answered an INVITE, positively or negatively.
    pub fn on_answer(&mut self, now: Moment, invite: u64) {
        self.reporter.on_answer(now, invite);
    }

    /// An INVITE failed without an answer: no connection, or a reset.
    pub fn on_transport_failure(&mut self, invite: u64) {
        self.reporter.on_transport_failure(invite);
    }

    /// This side cancelled an INVITE.
    pub fn on_invite_cancelled(&mut self, invite: u64) {
        self.reporter.on_invite_cancelled(invite);
    }

    /// A server sent anything at all, or accepted a connection.
    pub fn on_server_alive(&mut self, now: Moment, server: ServerKey) {
        if !self.server_zones.contains_key(&server) {
            return;
        }
        let previous = self.last_alive.insert(server, now);
        // Once per report is enough.
        if previous.is_none_or(|previous| now.since(previous) >= self.config.report_interval()) {
            self.reporter.on_server_alive(server);
        }
    }

    /// This front leaves service: as an observer it resigns and informs the others.
    pub fn leave(&mut self, now: Moment) {
        self.is_leaving = true;
        if self.observer.take().is_some() {
            self.announce(now, Span::ZERO, Vec::new());
        }
    }

    /// Takes in a message of another front. Messages that cannot be decoded are dropped.
    pub fn handle_input(&mut self, now: Moment, from: MemberId, bytes: &[u8]) {
        match codec::decode(bytes) {
            Some(Message::Report { zone, samples }) if zone == self.local_zone => {
                if let Some(observer) = &mut self.observer {
                    observer.on_report(now, from.front, &samples);
                }
            }
            Some(Message::Verdicts { zone, sequence, ttl, shares }) => {
                if !self.sequences.accept(from, sequence) {
                    return;
                }
                let expires_at = now + ttl.min(self.config.verdict_ttl() * MAX_TTL_FACTOR);
                let verdicts = ActiveVerdicts { observer: from.front, received_at: now, expires_at, shares };
                self.apply_verdicts(now, zone, verdicts);
            }
            _ => {}
        }
    }

    /// Does everything that is due: counts losses, reports, claims the observer's role, decides as the observer.
    pub fn process(&mut self, now: Moment) {
        let was_stalled = now.since(self.last_processed_at) > self.config.loss_timeout;
        self.last_processed_at = now;
        self.reporter.process(now, was_stalled);
        let min_interval = self.config.report_interval() / URGENT_REPORT_RATE;
        let is_urgent = self.reporter.has_loss() && now.since(self.last_report_at) >= min_interval;
        if now >= self.next_report_at || is_urgent {
            self.last_report_at = now;
            self.next_report_at = now + self.config.report_interval();
            self.report(now);
        }
        if self.may_claim() && now >= self.claim_at {
            self.claim(now);
        }
        let config = self.config;
        let Some(observer) = &mut self.observer else { return };
        if let Some(shares) = observer.process(now, &distinct_zones(&self.server_zones)) {
            self.announce(now, config.verdict_ttl(), shares);
        }
    }

    /// The next encoded message to send.
    pub fn poll_output(&mut self) -> Option<(Recipient, Vec<u8>)> {
        self.outputs.pop_front()
    }

    /// When [`Engine::process`] is due even if nothing happens before.
    pub fn poll_timeout(&self) -> Option<Moment> {
        let observer_at =
            self.is_observer().then(|| self.last_processed_at + self.config.report_interval() / 2);
        let claim_at = self.may_claim().then_some(self.claim_at);
        let timeouts = [Some(self.next_report_at), self.reporter.poll_timeout(), observer_at, claim_at];
        timeouts.into_iter().flatten().min()
    }

    /// The share of its sessions that a zone takes at this front now, from 0 to 1.
    pub fn zone_share(&self, now: Moment, zone: ZoneId) -> f64 {
        let verdicts = self.active_verdicts(now, self.local_zone);
        let Some(verdicts) = verdicts.filter(|verdicts| !self.restricts_all_zones(verdicts)) else {
            return 1.0;
        };
        let share = verdicts.shares.iter().find(|share| share.zone == zone);
        share.filter(|share| !self.is_doubted(now, share.zone)).map_or(1.0, |share| share.share)
    }

    /// The verdicts in force for the fronts of a zone, if they have not expired.
    pub fn active_verdicts(&self, now: Moment, zone: ZoneId) -> Option<&ActiveVerdicts> {
        self.verdicts.get(&zone).filter(|verdicts| now < verdicts.expires_at)
    }

    fn may_claim(&self) -> bool {
        self.observer.is_none() && !self.is_leaving && !self.server_zones.is_empty()
    }

    /// Schedules the next claim of the observer's role. The delay is random, so that not all fronts claim it at once.
    fn schedule_claim(&mut self, now: Moment, silence: Span) {
        let delay = self.rng.random_range(0..self.config.step_duration().micros().max(1));
        self.claim_at = now + silence + Span::from_micros(delay);
    }

    /// Follows verdicts if they are from the present observer, or from one that takes precedence over it.
    fn apply_verdicts(&mut self, now: Moment, zone: ZoneId, verdicts: ActiveVerdicts) {
        let present = self.verdicts.get(&zone);
        if present.is_some_and(|present| verdicts.observer > present.observer && now < present.expires_at) {
            return;
        }
        if zone == self.local_zone {
            self.follow(now, &verdicts);
        }
        self.verdicts.insert(zone, verdicts);
    }

    /// Adjusts this front's role to verdicts for its own zone.
    fn follow(&mut self, now: Moment, verdicts: &ActiveVerdicts) {
        if verdicts.observer != self.local.front {
            self.observer = None;
        }
        let has_expired = verdicts.expires_at <= now;
        let interval = announce_interval(&self.config, &verdicts.shares);
        let silence = if has_expired { Span::ZERO } else { interval * MAX_MISSED_ANNOUNCEMENTS };
        self.schedule_claim(now, silence);
        self.restricted_since.retain(|zone, _| verdicts.restricts(*zone));
        for share in &verdicts.shares {
            self.restricted_since.entry(share.zone).or_insert(verdicts.received_at);
        }
    }

    /// As the observer: sends verdicts to all fronts and follows them.
    fn announce(&mut self, now: Moment, ttl: Span, shares: Vec<ZoneShare>) {
        self.sequence += 1;
        let message =
            Message::Verdicts { zone: self.local_zone, sequence: self.sequence, ttl, shares: shares.clone() };
        self.outputs.extend(codec::encode(&message).into_iter().map(|bytes| (Recipient::All, bytes)));
        let observer = self.local.front;
        let verdicts = ActiveVerdicts { observer, received_at: now, expires_at: now + ttl, shares };
        self.apply_verdicts(now, self.local_zone, verdicts);
    }

    /// Takes the observer's role. Verdicts of a former observer that have not expired are resumed.
    fn claim(&mut self, now: Moment) {
        let former = self.verdicts.remove(&self.local_zone).filter(|former| now < former.expires_at);
        let shares = former.map_or_else(Vec::new, |former| former.shares);
        let locations: Vec<ServerLocation> = self
            .server_zones
            .iter()
            .map(|(server, zone)| ServerLocation { server: *server, zone: *zone })
            .collect();
        self.observer = Some(Observer::new(self.config, &locations, &shares, now));
    }

    /// Hands the outcomes since the last report to the observer. Without an observer they are dropped: they would be outdated
    /// for the next one.
    fn report(&mut self, now: Moment) {
        let grace = self.config.verdict_ttl();
        let verdicts =
            self.verdicts.get(&self.local_zone).filter(|verdicts| now < verdicts.expires_at + grace);
        let observer_front = verdicts.map(|verdicts| verdicts.observer);
        let mut samples = self.reporter.take_samples();
        // A sign of life adds nothing to an answer, and is of no use for a zone in full use.
        for ServerSample { server, outcomes } in &mut samples {
            let zone = self.server_zones.get(server);
            let is_restricted = zone.is_some_and(|zone| self.restricted_since.contains_key(zone));
            outcomes.is_alive &= !outcomes.has_answer() && is_restricted;
        }
        samples.retain(|sample| !sample.outcomes.is_empty());
        if let Some(observer) = &mut self.observer {
            observer.on_report(now, self.local.front, &samples);
        } else if let Some(front) = observer_front.filter(|front| *front != self.local.front)
            && !samples.is_empty()
        {
            let report = codec::encode(&Message::Report { zone: self.local_zone, samples });
            self.outputs.extend(report.into_iter().map(|bytes| (Recipient::Front(front), bytes)));
        }
    }

    /// Verdicts that restrict all zones are wrong: there would be nowhere to go.
    fn restricts_all_zones(&self, verdicts: &ActiveVerdicts) -> bool {
        self.server_zones.values().all(|zone| verdicts.restricts(*zone))
    }

    /// Whether a zone has been restricted for long although this front hears most of its servers. The observer is wrong then,
    /// and must not cost more than that time.
    fn is_doubted(&self, now: Moment, zone: ZoneId) -> bool {
        let Some(since) = self.restricted_since.get(&zone) else { return false };
        if now.since(*since) < self.config.step_duration() * MAX_RESTRICTED_STEPS {
            return false;
        }
        let recent = self.config.step_duration() * RECENT_ALIVE_STEPS;
        let is_heard = |server: &ServerKey| {
            self.last_alive.get(server).is_some_and(|last_alive| now.since(*last_alive) < recent)
        };
        let servers: Vec<&ServerKey> = self
            .server_zones
            .iter()
            .filter_map(|(server, server_zone)| (*server_zone == zone).then_some(server))
            .collect();
        servers.iter().filter(|server| is_heard(server)).count() * 2 > servers.len()
    }
}

impl ActiveVerdicts {
    fn restricts(&self, zone: ZoneId) -> bool {
        self.shares.iter().any(|share| share.zone == zone)
    }
}

/// The zones of the servers, in ascending order.
fn distinct_zones(server_zones: &BTreeMap<ServerKey, ZoneId>) -> Vec<ZoneId> {
    let mut zones: Vec<ZoneId> = server_zones.values().copied().collect();
    zones.sort_unstable();
    zones.dedup();
    zones
}

/// How often an observer announces verdicts that have not changed.
fn announce_interval(config: &ZoneConfig, shares: &[ZoneShare]) -> Span {
    let steps = if shares.is_empty() { IDLE_ANNOUNCE_STEPS } else { 1 };
    config.step_duration() * steps
}
