//! The zone failover engine of one front, without I/O.
//!
//! Each front reports outcomes to the observer of its zone and follows the verdicts of that observer. A front that
//! receives no verdicts of an observer for a while becomes the observer itself after a random delay. If two observers
//! of a zone receive each other's verdicts, the one with the lower front number remains. No quorum is needed: verdicts
//! are advisory, each front follows one observer at a time, all fronts that follow the same observer act alike, and a
//! partitioned part of the fleet has its own observer.
//!
//! The host passes in the outcomes of INVITEs, the servers in service and the messages of other fronts. It sends the
//! messages that [`Engine::poll_output`] returns and passes the shares to the controller.

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

/// Steps between two announcements of an observer while all zones are in full use. They tell the fronts which front to
/// report to.
const IDLE_ANNOUNCE_STEPS: u64 = 2;
/// Announcement intervals without verdicts after which the observer counts as silent.
const MAX_SILENT_ANNOUNCE_INTERVALS: u64 = 2;
/// Upper limit of the time to live of received verdicts, as a multiple of the configured one.
const MAX_TTL_FACTOR: u64 = 2;
/// Steps after which this front ignores the restriction of a zone if most servers of the zone show activity here.
const MAX_RESTRICTED_STEPS: u64 = 32;
/// Steps for which activity of a server counts as recent when the restriction of its zone is checked.
const RECENT_ACTIVITY_STEPS: u64 = 4;
/// A front with losses reports early, but at most this many times per report interval.
const MAX_REPORTS_PER_INTERVAL: u64 = 5;

/// The destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// One front, by its number.
    Front(u32),
    /// All fronts.
    All,
}

/// Received verdicts: those that this front follows, or those for the fronts of another zone.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveVerdicts {
    /// Number of the observer front that sent them.
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
    /// The zone of each server in service.
    server_zones: BTreeMap<ServerKey, ZoneId>,
    /// When each server last showed activity.
    last_activity: BTreeMap<ServerKey, Moment>,
    /// The latest verdicts, by the zone of the fronts that they are for.
    verdicts: BTreeMap<ZoneId, ActiveVerdicts>,
    /// Since when verdicts have restricted a zone at this front.
    restricted_since: BTreeMap<ZoneId, Moment>,
    sequences: SequenceFilter,
    /// Present while this front is the observer of its zone.
    observer: Option<Observer>,
    /// Sequence number of the verdicts that this front last sent in this incarnation.
    sequence: u32,
    /// When this front becomes the observer, unless verdicts of another observer arrive before.
    takeover_at: Moment,
    /// Set when this front leaves service; it then no longer becomes the observer.
    is_leaving: bool,
    next_report_at: Moment,
    last_report_at: Moment,
    last_processed_at: Moment,
    rng: Pcg64Mcg,
    outputs: VecDeque<(Recipient, Vec<u8>)>,
}

impl Engine {
    /// Creates the engine of the front `local` in the zone `local_zone`. `seed` determines its random delays.
    pub fn new(local: MemberId, local_zone: ZoneId, config: ZoneConfig, seed: u64, now: Moment) -> Engine {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let report_phase = rng.random_range(0..config.report_interval().micros().max(1));
        let mut engine = Engine {
            local,
            local_zone,
            config,
            reporter: OutcomeReporter::new(config.loss_timeout),
            server_zones: BTreeMap::new(),
            last_activity: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            restricted_since: BTreeMap::new(),
            sequences: SequenceFilter::default(),
            observer: None,
            sequence: 0,
            takeover_at: now,
            is_leaving: false,
            next_report_at: now + Span::from_micros(report_phase),
            last_report_at: now,
            last_processed_at: now,
            rng,
            outputs: VecDeque::new(),
        };
        engine.schedule_takeover(now, Span::ZERO);
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

    /// Replaces the list of servers in service, with the zone of each.
    pub fn on_server_locations(&mut self, locations: &[ServerLocation]) {
        let server_zones: BTreeMap<ServerKey, ZoneId> =
            locations.iter().map(|location| (location.server, location.zone)).collect();
        if server_zones == self.server_zones {
            return;
        }
        self.server_zones = server_zones;
        self.last_activity.retain(|server, _| self.server_zones.contains_key(server));
        if let Some(observer) = &mut self.observer {
            observer.on_server_locations(locations);
        }
    }

    /// Records that an INVITE was sent. `invite` identifies it until it ends.
    pub fn on_invite_sent(&mut self, now: Moment, server: ServerKey, invite: u64) {
        if self.server_zones.contains_key(&server) {
            self.reporter.on_invite_sent(now, server, invite);
        }
    }

    /// Records that the server answered an INVITE, positively or negatively.
    pub fn on_answer(&mut self, now: Moment, invite: u64) {
        self.reporter.on_answer(now, invite);
    }

    /// Records that an INVITE failed without an answer: no connection, or a reset.
    pub fn on_transport_failure(&mut self, invite: u64) {
        self.reporter.on_transport_failure(invite);
    }

    /// Records that this front cancelled an INVITE.
    pub fn on_invite_cancelled(&mut self, invite: u64) {
        self.reporter.on_invite_cancelled(invite);
    }

    /// Records that a server showed activity: it sent any message or accepted a connection.
    pub fn on_server_alive(&mut self, now: Moment, server: ServerKey) {
        if !self.server_zones.contains_key(&server) {
            return;
        }
        let previous = self.last_activity.insert(server, now);
        // Activity within one report interval of the previous activity is not reported.
        if previous.is_none_or(|previous| now.since(previous) >= self.config.report_interval()) {
            self.reporter.on_server_alive(server);
        }
    }

    /// Takes this front out of service. If it is the observer, it resigns and notifies the other fronts.
    pub fn leave(&mut self, now: Moment) {
        self.is_leaving = true;
        if self.observer.take().is_some() {
            self.announce(now, Span::ZERO, Vec::new());
        }
    }

    /// Handles a message of another front. Messages that cannot be decoded are dropped.
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

    /// Runs everything that is due: counts losses, sends the report, becomes the observer and, as the observer,
    /// evaluates the zones and announces the shares.
    pub fn process(&mut self, now: Moment) {
        let was_stalled = now.since(self.last_processed_at) > self.config.loss_timeout;
        self.last_processed_at = now;
        self.reporter.process(now, was_stalled);
        let min_interval = self.config.report_interval() / MAX_REPORTS_PER_INTERVAL;
        let is_urgent = self.reporter.has_loss() && now.since(self.last_report_at) >= min_interval;
        if now >= self.next_report_at || is_urgent {
            self.last_report_at = now;
            self.next_report_at = now + self.config.report_interval();
            self.report(now);
        }
        if self.may_become_observer() && now >= self.takeover_at {
            self.become_observer(now);
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

    /// When [`Engine::process`] must run next if no input arrives before.
    pub fn poll_timeout(&self) -> Option<Moment> {
        let observer_at =
            self.is_observer().then(|| self.last_processed_at + self.config.report_interval() / 2);
        let takeover_at = self.may_become_observer().then_some(self.takeover_at);
        let timeouts = [Some(self.next_report_at), self.reporter.poll_timeout(), observer_at, takeover_at];
        timeouts.into_iter().flatten().min()
    }

    /// The share of its sessions that a zone takes at this front at `now`, from 0 to 1.
    pub fn zone_share(&self, now: Moment, zone: ZoneId) -> f64 {
        let verdicts = self.active_verdicts(now, self.local_zone);
        let Some(verdicts) = verdicts.filter(|verdicts| !self.restricts_all_zones(verdicts)) else {
            return 1.0;
        };
        let share = verdicts.shares.iter().find(|share| share.zone == zone);
        share.filter(|share| !self.ignores_restriction(now, share.zone)).map_or(1.0, |share| share.share)
    }

    /// The verdicts in force for the fronts of a zone, if they have not expired.
    pub fn active_verdicts(&self, now: Moment, zone: ZoneId) -> Option<&ActiveVerdicts> {
        self.verdicts.get(&zone).filter(|verdicts| now < verdicts.expires_at)
    }

    fn may_become_observer(&self) -> bool {
        self.observer.is_none() && !self.is_leaving && !self.server_zones.is_empty()
    }

    /// Schedules the next attempt to become the observer, after `silence` and a random delay, so that not all fronts
    /// take the role at once.
    fn schedule_takeover(&mut self, now: Moment, silence: Span) {
        let delay = self.rng.random_range(0..self.config.step_duration().micros().max(1));
        self.takeover_at = now + silence + Span::from_micros(delay);
    }

    /// Stores verdicts unless unexpired ones of an observer with a lower front number are in force.
    fn apply_verdicts(&mut self, now: Moment, zone: ZoneId, verdicts: ActiveVerdicts) {
        let current = self.verdicts.get(&zone);
        if current.is_some_and(|current| verdicts.observer > current.observer && now < current.expires_at) {
            return;
        }
        if zone == self.local_zone {
            self.handle_local_verdicts(now, &verdicts);
        }
        self.verdicts.insert(zone, verdicts);
    }

    /// Updates this front's role and restrictions from verdicts for its zone.
    fn handle_local_verdicts(&mut self, now: Moment, verdicts: &ActiveVerdicts) {
        if verdicts.observer != self.local.front {
            self.observer = None;
        }
        let has_expired = verdicts.expires_at <= now;
        let interval = announce_interval(&self.config, &verdicts.shares);
        let silence = if has_expired { Span::ZERO } else { interval * MAX_SILENT_ANNOUNCE_INTERVALS };
        self.schedule_takeover(now, silence);
        self.restricted_since.retain(|zone, _| verdicts.restricts(*zone));
        for share in &verdicts.shares {
            self.restricted_since.entry(share.zone).or_insert(verdicts.received_at);
        }
    }

    /// Sends verdicts to all fronts and applies them at this front, which is or was the observer.
    fn announce(&mut self, now: Moment, ttl: Span, shares: Vec<ZoneShare>) {
        self.sequence += 1;
        let message =
            Message::Verdicts { zone: self.local_zone, sequence: self.sequence, ttl, shares: shares.clone() };
        self.outputs.extend(codec::encode(&message).into_iter().map(|bytes| (Recipient::All, bytes)));
        let observer = self.local.front;
        let verdicts = ActiveVerdicts { observer, received_at: now, expires_at: now + ttl, shares };
        self.apply_verdicts(now, self.local_zone, verdicts);
    }

    /// Makes this front the observer. It resumes the unexpired shares of the previous observer.
    fn become_observer(&mut self, now: Moment) {
        let previous = self.verdicts.remove(&self.local_zone).filter(|previous| now < previous.expires_at);
        let shares = previous.map_or_else(Vec::new, |previous| previous.shares);
        let locations: Vec<ServerLocation> = self
            .server_zones
            .iter()
            .map(|(server, zone)| ServerLocation { server: *server, zone: *zone })
            .collect();
        self.observer = Some(Observer::new(self.config, &locations, &shares, now));
    }

    /// Reports the outcomes since the last report to the observer. Without an observer they are dropped: they would be
    /// outdated when the next one starts.
    fn report(&mut self, now: Moment) {
        let grace = self.config.verdict_ttl();
        let verdicts =
            self.verdicts.get(&self.local_zone).filter(|verdicts| now < verdicts.expires_at + grace);
        let observer_front = verdicts.map(|verdicts| verdicts.observer);
        let mut samples = self.reporter.take_samples();
        // Activity is reported only for servers of a restricted zone that gave no answer: an answer implies it, and a
        // zone in full use does not need it.
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

    /// Whether verdicts restrict all zones. Such verdicts are ignored: no zone would be left for the sessions.
    fn restricts_all_zones(&self, verdicts: &ActiveVerdicts) -> bool {
        self.server_zones.values().all(|zone| verdicts.restricts(*zone))
    }

    /// Whether this front ignores the restriction of a zone: it has lasted for [`MAX_RESTRICTED_STEPS`] although most
    /// servers of the zone show activity here. This bounds the effect of an observer that is wrong.
    fn ignores_restriction(&self, now: Moment, zone: ZoneId) -> bool {
        let Some(since) = self.restricted_since.get(&zone) else { return false };
        if now.since(*since) < self.config.step_duration() * MAX_RESTRICTED_STEPS {
            return false;
        }
        let max_age = self.config.step_duration() * RECENT_ACTIVITY_STEPS;
        let is_active = |server: &ServerKey| {
            self.last_activity.get(server).is_some_and(|last_activity| now.since(*last_activity) < max_age)
        };
        let servers: Vec<&ServerKey> = self
            .server_zones
            .iter()
            .filter_map(|(server, server_zone)| (*server_zone == zone).then_some(server))
            .collect();
        servers.iter().filter(|server| is_active(server)).count() * 2 > servers.len()
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

/// Interval at which an observer repeats verdicts that have not changed.
fn announce_interval(config: &ZoneConfig, shares: &[ZoneShare]) -> Span {
    let steps = if shares.is_empty() { IDLE_ANNOUNCE_STEPS } else { 1 };
    config.step_duration() * steps
}
