//! Checks the invariants of a fleet ten times per second, and measures how zones are drained and recover. The
//! checks compare what fronts do with the state of servers and faults, which only the simulation knows.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_zone::ZoneId;
use ochrelead_zone::engine::Engine as ZoneEngine;

use super::front::{Front, ReducedShare, moment, reduced_share};
use super::outcome::Outcome;
use super::scenario::{Fault, Scenario};
use super::server::{MS, Server};

/// A front applies shares for at most this long after it last heard the observer that announced them.
const MAX_SHARE_AGE_US: u64 = 2_000 * MS;
/// A front applies a change of its observer's shares within this time.
const MAX_APPLY_DELAY_US: u64 = 600 * MS;
/// A front hears its first observer within this time after its start.
const START_GRACE_US: u64 = 3_000 * MS;
/// All fronts have drained a failed zone within this time, apart from [`MAX_LATE_INVITES`].
const MAX_DRAIN_TIME_US: u64 = 4_000 * MS;
/// Number of INVITEs that the whole fleet may send to the failed zone after [`MAX_DRAIN_TIME_US`].
const MAX_LATE_INVITES: u64 = 5;
/// An observer's shares are recorded when they change, and otherwise at this interval.
const RECORD_INTERVAL_US: u64 = 100 * MS;
/// The share of the failed zone is sampled for the outcome at this interval.
const SHARE_SAMPLE_INTERVAL_US: u64 = 500 * MS;

/// The state of a fleet at the time of a check.
pub(super) struct Snapshot<'a> {
    pub(super) now: u64,
    pub(super) scenario: &'a Scenario,
    pub(super) fronts: &'a [Front],
    /// Which of the scenario's faults are active.
    pub(super) active_faults: &'a [bool],
}

/// An INVITE at the time when a front sends it.
pub(super) struct SentInvite {
    pub(super) front: u32,
    pub(super) zone: u32,
    /// The zone's share at the front; `None` if the zone is in full use.
    pub(super) share: Option<f64>,
    pub(super) server_is_up: bool,
}

/// The shares that an observer had in force at a time. Violations print it with `Debug`, so its names stay.
#[derive(Debug)]
struct ObservedShares {
    at: u64,
    shares: Vec<ReducedShare>,
}

/// The first zone that failed.
#[derive(Clone, Copy)]
struct FailedZone {
    zone: u32,
    failed_at: u64,
    returned_at: Option<u64>,
}

pub(super) struct Monitor {
    /// The shares that observers had in force within the last [`MAX_SHARE_AGE_US`], oldest first, by the observer's
    /// zone.
    observed: BTreeMap<u32, VecDeque<ObservedShares>>,
    failed_zone: Option<FailedZone>,
    /// When each front was first seen with a share of 0 for the failed zone.
    drained_at: Vec<Option<u64>>,
    /// When each front sent its last INVITE to the failed zone before the zone returned.
    last_invite_at: Vec<Option<u64>>,
    /// When the failed zone was first in full use at all fronts after its return.
    full_use_at: Option<u64>,
    /// INVITEs sent to the failed zone after [`MAX_DRAIN_TIME_US`].
    late_invites: u64,
    /// Whether no fault of the scenario affects fronts or the datagrams between them.
    is_undisturbed: bool,
    /// Until when an empty set of shares is not checked at each front, because of a fault that affects the front.
    disturbed_until: Vec<u64>,
}

impl Monitor {
    pub(super) fn new(scenario: &Scenario) -> Monitor {
        let fronts = scenario.fronts as usize;
        let affects_fronts = |fault: Fault| {
            !matches!(
                fault,
                Fault::ZoneDown { .. }
                    | Fault::SlowServers { .. }
                    | Fault::SilentServers { .. }
                    | Fault::Surge { .. }
            )
        };
        Monitor {
            observed: BTreeMap::new(),
            failed_zone: None,
            drained_at: vec![None; fronts],
            last_invite_at: vec![None; fronts],
            full_use_at: None,
            late_invites: 0,
            is_undisturbed: !scenario.faults.iter().any(|scheduled| affects_fronts(scheduled.fault)),
            disturbed_until: vec![0; fronts],
        }
    }

    pub(super) fn on_zone_failed(&mut self, now: u64, zone: u32) {
        self.failed_zone.get_or_insert(FailedZone { zone, failed_at: now, returned_at: None });
    }

    pub(super) fn on_zone_returned(&mut self, now: u64, zone: u32) {
        if let Some(failed) = self.failed_zone.as_mut().filter(|failed| failed.zone == zone) {
            failed.returned_at.get_or_insert(now);
        }
    }

    /// Counts INVITEs to servers that are down. Checks that a drained zone is sent none, and a failed zone few.
    pub(super) fn on_invite_sent(&mut self, now: u64, invite: &SentInvite, outcome: &mut Outcome) {
        let SentInvite { front, zone, .. } = *invite;
        if invite.share == Some(0.0) {
            outcome
                .report_violation(format!("front {front}: an INVITE to zone {zone}, which it has drained"));
        }
        if invite.server_is_up {
            return;
        }
        outcome.lost_invites += 1;
        let failed = self.failed_zone.filter(|failed| failed.zone == zone && failed.returned_at.is_none());
        let Some(FailedZone { failed_at, .. }) = failed else { return };
        self.last_invite_at[front as usize] = Some(now);
        if self.is_undisturbed && now > failed_at + MAX_DRAIN_TIME_US {
            self.late_invites += 1;
            if self.late_invites > MAX_LATE_INVITES {
                outcome.report_violation(format!(
                    "INVITEs still go to zone {zone}, which failed at {failed_at} us"
                ));
            }
        }
    }

    /// A cold server failed under overload. Coordinated fronts must prevent that, unless all their datagrams are
    /// lost.
    pub(super) fn on_cold_failure(
        &mut self,
        now: u64,
        scenario: &Scenario,
        server: &Server,
        outcome: &mut Outcome,
    ) {
        let total_loss = Fault::MessageLoss { probability: 1.0 };
        let has_total_loss = scenario.faults.iter().any(|scheduled| scheduled.fault == total_loss);
        if scenario.is_coordinated && !has_total_loss {
            outcome.report_violation(format!("a cold server of zone {} failed at {now} us", server.zone));
        }
    }

    /// Checks the invariants at all fronts, and updates the measurements.
    pub(super) fn check(&mut self, snapshot: &Snapshot<'_>, outcome: &mut Outcome) {
        let now = snapshot.now;
        if !snapshot.scenario.is_coordinated {
            return;
        }
        self.update_disturbances(snapshot);
        for front in snapshot.fronts {
            self.record_observer(now, front);
        }
        for observed in self.observed.values_mut() {
            while observed.front().is_some_and(|shares| shares.at + MAX_SHARE_AGE_US < now) {
                observed.pop_front();
            }
        }
        let violation = (0..snapshot.fronts.len()).find_map(|front| self.check_front(snapshot, front));
        if let Some(violation) = violation {
            outcome.report_violation(format!("at {} ms: {violation}", now / MS));
        }
        self.measure(snapshot, outcome);
    }

    /// Records the shares that a front has in force, if it is an observer.
    pub(super) fn record_observer(&mut self, now: u64, front: &Front) {
        let Some(shares) = observer_shares(front, now) else { return };
        let observed = self.observed.entry(front.zone).or_default();
        if observed.back().is_none_or(|last| last.at + RECORD_INTERVAL_US <= now || last.shares != shares) {
            observed.push_back(ObservedShares { at: now, shares });
        }
    }

    /// Extends `disturbed_until` at the fronts that an active fault affects.
    fn update_disturbances(&mut self, snapshot: &Snapshot<'_>) {
        let until = snapshot.now + MAX_SHARE_AGE_US * 2;
        let faults = snapshot.scenario.faults.iter().zip(snapshot.active_faults);
        for (scheduled, _) in faults.filter(|(_, is_active)| **is_active) {
            match scheduled.fault {
                Fault::MessageLoss { .. }
                | Fault::ObserversKilled
                | Fault::ObserversHalted
                | Fault::Partition { .. } => self.disturbed_until.fill(until),
                Fault::FrontCutOff { front } => self.disturbed_until[front as usize] = until,
                _ => {}
            }
        }
    }

    /// Returns a description of the first invariant that is violated at a front.
    fn check_front(&self, snapshot: &Snapshot<'_>, index: usize) -> Option<String> {
        let (now, scenario) = (snapshot.now, snapshot.scenario);
        let front = &snapshot.fronts[index];
        let is_unsettled = now < front.up_since + START_GRACE_US || now < self.disturbed_until[index];
        if front.is_halted || front.shares.is_empty() && is_unsettled {
            return None;
        }
        let shares = &front.shares;
        if !shares.is_empty() && !scenario.may_drain() {
            return Some(format!("front {index} drains {shares:?}, and no zone has failed"));
        }
        if shares.len() >= scenario.zones as usize {
            return Some(format!("front {index} drains all zones"));
        }
        let wrongly_drained = shares
            .iter()
            .find(|reduced| reduced.share == 0.0 && !has_failed(scenario, front.zone, reduced.zone.0));
        if let Some(wrongly_drained) = wrongly_drained {
            return Some(format!("front {index} drains zone {}, which is answered", wrongly_drained.zone.0));
        }
        self.check_shares_are_observed(now, index, front)
    }

    /// Checks that an observer of the front's zone recently had the front's shares in force.
    fn check_shares_are_observed(&self, now: u64, index: usize, front: &Front) -> Option<String> {
        let max_age = if front.shares.is_empty() { MAX_APPLY_DELAY_US } else { MAX_SHARE_AGE_US };
        let observed = self.observed.get(&front.zone)?;
        // A front without reduced shares is correct if its observer's last record has none, or if there is no recent
        // record.
        if front.shares.is_empty() && observed.back().is_none_or(|last| last.shares.is_empty()) {
            return None;
        }
        // The comparison needs an observer whose oldest record is old enough for the front to have followed it.
        let is_comparable = observed
            .front()
            .is_some_and(|first| first.at + MAX_APPLY_DELAY_US < now || first.at + max_age <= now);
        let mut recent = observed.iter().filter(|observed| observed.at + max_age >= now);
        if !is_comparable || recent.any(|observed| observed.shares == front.shares) {
            return None;
        }
        // An observer can announce shares and change them again between two checks. The monitor has no record of
        // these, so a front that has just received verdicts is not checked.
        let verdicts =
            front.zone_engine().and_then(|engine| engine.active_verdicts(moment(now), ZoneId(front.zone)));
        let just_received = verdicts.is_some_and(|verdicts| {
            verdicts.received_at.micros() + MAX_APPLY_DELAY_US / 4 > moment(now).micros()
        });
        if just_received {
            return None;
        }
        let last = observed.back();
        Some(format!("front {index} has {:?} in force, its observer {last:?}", front.shares))
    }

    /// Notes when each front drained the failed zone and when the zone was in full use again, and samples its
    /// share.
    fn measure(&mut self, snapshot: &Snapshot<'_>, outcome: &mut Outcome) {
        let now = snapshot.now;
        let Some(failed) = self.failed_zone else { return };
        let share = |front: &Front| reduced_share(&front.shares, ZoneId(failed.zone)).unwrap_or(1.0);
        for (front, drained_at) in snapshot.fronts.iter().zip(&mut self.drained_at) {
            if share(front) == 0.0 {
                drained_at.get_or_insert(now);
            }
        }
        let is_in_full_use = snapshot.fronts.iter().all(|front| front.is_halted || share(front) == 1.0);
        if failed.returned_at.is_some() && is_in_full_use {
            self.full_use_at.get_or_insert(now);
        }
        if now % SHARE_SAMPLE_INTERVAL_US == 0 {
            outcome.zone_shares.push(snapshot.fronts.first().map_or(1.0, share));
        }
    }

    /// Adds the measurements of the failed zone to the outcome, at the end of a run.
    pub(super) fn finish(&self, outcome: &mut Outcome) {
        let Some(failed) = self.failed_zone else { return };
        let mut drain_ms: Vec<u64> =
            self.last_invite_at.iter().flatten().map(|at| at.saturating_sub(failed.failed_at) / MS).collect();
        drain_ms.sort_unstable();
        outcome.p90_drained_ms = drain_ms.get(drain_ms.len() * 9 / 10).copied();
        outcome.last_drained_ms = drain_ms.last().copied();
        let drained_at = || self.drained_at.iter().flatten();
        outcome.verdict_spread_ms =
            drained_at().max().zip(drained_at().min()).map(|(last, first)| (last - first) / MS);
        outcome.full_use_ms = self
            .full_use_at
            .zip(failed.returned_at)
            .map(|(full_use_at, returned_at)| (full_use_at - returned_at) / MS);
    }
}

/// Whether a fault of the scenario allows fronts of `front_zone` to drain `zone`: its failure, or a partition of
/// the two.
fn has_failed(scenario: &Scenario, front_zone: u32, zone: u32) -> bool {
    scenario.faults.iter().any(|scheduled| match scheduled.fault {
        Fault::ZoneDown { zone: failed } => failed == zone,
        Fault::Partition { from, to } => [(from, to), (to, from)].contains(&(front_zone, zone)),
        _ => false,
    })
}

/// The zones that an observer does not have in full use, with their shares; `None` if the front is no observer or
/// is halted.
fn observer_shares(front: &Front, now: u64) -> Option<Vec<ReducedShare>> {
    let engine: &ZoneEngine = front.zone_engine().filter(|engine| engine.is_observer())?;
    if front.is_halted {
        return None;
    }
    let share = |zone: ZoneId| ReducedShare { zone, share: engine.zone_share(moment(now), zone) };
    Some(engine.zones().into_iter().map(share).filter(|reduced| reduced.share < 1.0).collect())
}
