//! Checks the invariants of a fleet ten times per second, from what its parties do and what the simulation knows; and measures
//! how zones are drained and recover.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_zone::ZoneId;
use ochrelead_zone::engine::Engine as ZoneEngine;

use super::front::{Front, ReducedShare, moment, reduced_share};
use super::outcome::Outcome;
use super::scenario::{Fault, Scenario};
use super::server::{MS, Server};

/// How long shares may stay in force at a front that no longer hears their observer.
const MAX_SHARE_AGE: u64 = 2_000 * MS;
/// How long a front may take to follow its observer.
const MAX_LAG: u64 = 600 * MS;
/// A front that has just started has heard no observer yet.
const START_TIME: u64 = 3_000 * MS;
/// No INVITE goes to a failed zone after this time.
const MAX_DRAIN_TIME: u64 = 4_000 * MS;
/// INVITEs that may still go there after it.
const MAX_LATE_INVITES: u64 = 5;
/// An observer's shares are recorded at least this often.
const RECORD_INTERVAL: u64 = 100 * MS;
/// Shares are sampled for the outcome this often.
const SHARE_SAMPLE_INTERVAL: u64 = 500 * MS;

/// The state of a fleet at the time of a check.
pub(super) struct Snapshot<'a> {
    pub(super) now: u64,
    pub(super) scenario: &'a Scenario,
    pub(super) fronts: &'a [Front],
    /// Which of the scenario's faults are active.
    pub(super) active_faults: &'a [bool],
}

/// An INVITE that a front sends.
pub(super) struct SentInvite {
    pub(super) front: u32,
    pub(super) zone: u32,
    /// The share of that zone at the front, if it is not in full use.
    pub(super) share: Option<f64>,
    pub(super) server_is_up: bool,
}

/// The shares that an observer had in force.
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
    /// The shares of the observers, by their zone, within the last [`MAX_SHARE_AGE`].
    observed: BTreeMap<u32, VecDeque<ObservedShares>>,
    failed_zone: Option<FailedZone>,
    /// When each front drained the failed zone.
    drained_at: Vec<Option<u64>>,
    /// When each front sent its last INVITE to the failed zone.
    last_invite_at: Vec<Option<u64>>,
    /// When the failed zone was in full use again.
    full_use_at: Option<u64>,
    late_invites: u64,
    /// Fronts and the messages between them are in order throughout the run.
    is_undisturbed: bool,
    /// Until when each front may deviate after a fault that concerns it.
    disturbed_until: Vec<u64>,
}

impl Monitor {
    pub(super) fn new(scenario: &Scenario) -> Monitor {
        let fronts = scenario.fronts as usize;
        let disturbs = |fault: Fault| {
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
            is_undisturbed: !scenario.faults.iter().any(|scheduled| disturbs(scheduled.fault)),
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
        if self.is_undisturbed && now > failed_at + MAX_DRAIN_TIME {
            self.late_invites += 1;
            if self.late_invites > MAX_LATE_INVITES {
                outcome.report_violation(format!(
                    "INVITEs still go to zone {zone}, which failed at {failed_at} us"
                ));
            }
        }
    }

    /// A cold server failed under too many INVITEs.
    pub(super) fn on_cold_failure(
        &mut self,
        now: u64,
        scenario: &Scenario,
        server: &Server,
        outcome: &mut Outcome,
    ) {
        let no_message = Fault::MessageLoss { probability: 1.0 };
        let fronts_act_alone = scenario.faults.iter().any(|scheduled| scheduled.fault == no_message);
        if scenario.is_coordinated && !fronts_act_alone {
            outcome.report_violation(format!("a cold server of zone {} failed at {now} us", server.zone));
        }
    }

    /// Checks all fronts.
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
            while observed.front().is_some_and(|shares| shares.at + MAX_SHARE_AGE < now) {
                observed.pop_front();
            }
        }
        let violation = (0..snapshot.fronts.len()).find_map(|front| self.check_front(snapshot, front));
        if let Some(violation) = violation {
            outcome.report_violation(format!("at {} ms: {violation}", now / MS));
        }
        self.measure(snapshot, outcome);
    }

    /// Records the shares that a front has in force as an observer, if it is one.
    pub(super) fn record_observer(&mut self, now: u64, front: &Front) {
        let Some(shares) = observer_shares(front, now) else { return };
        let observed = self.observed.entry(front.zone).or_default();
        if observed.back().is_none_or(|last| last.at + RECORD_INTERVAL <= now || last.shares != shares) {
            observed.push_back(ObservedShares { at: now, shares });
        }
    }

    fn update_disturbances(&mut self, snapshot: &Snapshot<'_>) {
        let until = snapshot.now + MAX_SHARE_AGE * 2;
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

    /// The invariant that does not hold at a front, if any.
    fn check_front(&self, snapshot: &Snapshot<'_>, index: usize) -> Option<String> {
        let (now, scenario) = (snapshot.now, snapshot.scenario);
        let front = &snapshot.fronts[index];
        let is_unsettled = now < front.up_since + START_TIME || now < self.disturbed_until[index];
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
        let unfounded = shares
            .iter()
            .find(|reduced| reduced.share == 0.0 && !has_failed(scenario, front.zone, reduced.zone.0));
        if let Some(unfounded) = unfounded {
            return Some(format!("front {index} drains zone {}, which is answered", unfounded.zone.0));
        }
        self.check_shares_are_observed(now, index, front)
    }

    /// The shares at a front must be those that an observer of its zone recently had in force.
    fn check_shares_are_observed(&self, now: u64, index: usize, front: &Front) -> Option<String> {
        let max_age = if front.shares.is_empty() { MAX_LAG } else { MAX_SHARE_AGE };
        let observed = self.observed.get(&front.zone)?;
        // Nothing was in force when the observer was last heard, and nothing is while there is no observer.
        if front.shares.is_empty() && observed.back().is_none_or(|last| last.shares.is_empty()) {
            return None;
        }
        // Until there has been an observer for that long there is nothing to compare with.
        let is_known =
            observed.front().is_some_and(|first| first.at + MAX_LAG < now || first.at + max_age <= now);
        let mut recent = observed.iter().filter(|observed| observed.at + max_age >= now);
        if !is_known || recent.any(|observed| observed.shares == front.shares) {
            return None;
        }
        // Shares that were announced and changed again between two checks are not recorded.
        let verdicts =
            front.zone_engine().and_then(|engine| engine.active_verdicts(moment(now), ZoneId(front.zone)));
        let just_received = verdicts
            .is_some_and(|verdicts| verdicts.received_at.micros() + MAX_LAG / 4 > moment(now).micros());
        if just_received {
            return None;
        }
        let last = observed.back();
        Some(format!("front {index} has {:?} in force, its observer {last:?}", front.shares))
    }

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
        if now % SHARE_SAMPLE_INTERVAL == 0 {
            outcome.zone_shares.push(snapshot.fronts.first().map_or(1.0, share));
        }
    }

    /// Completes the outcome at the end of a run.
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

/// Whether a scenario has a fault for which fronts of one zone may drain another.
fn has_failed(scenario: &Scenario, front_zone: u32, zone: u32) -> bool {
    scenario.faults.iter().any(|scheduled| match scheduled.fault {
        Fault::ZoneDown { zone: failed } => failed == zone,
        Fault::Partition { from, to } => [(from, to), (to, from)].contains(&(front_zone, zone)),
        _ => false,
    })
}

/// The shares that an observer has in force; `None` for any other front.
fn observer_shares(front: &Front, now: u64) -> Option<Vec<ReducedShare>> {
    let engine: &ZoneEngine = front.zone_engine().filter(|engine| engine.is_observer())?;
    if front.is_halted {
        return None;
    }
    let share = |zone: ZoneId| ReducedShare { zone, share: engine.zone_share(moment(now), zone) };
    Some(engine.zones().into_iter().map(share).filter(|reduced| reduced.share < 1.0).collect())
}
