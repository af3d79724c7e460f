//! The fronts of the fleet and their states. As in SWIM, a front is suspected before it is declared dead, and can
//! refute the suspicion.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};

use crate::schema::MemberUpdate;
use crate::wire::VERSION;

/// A front in one of its incarnations. After each start, a front is a new member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// The front's number.
    pub front: u32,
    /// Changes with each start of the front; 0 stands for no incarnation.
    pub incarnation: u32,
}

/// The state of a front as known to others. For the same incarnation and number of refutations, a later variant
/// overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// This front or another one has received a datagram from it.
    Alive,
    /// It did not answer pings.
    Suspect,
    /// It did not refute a suspicion within the suspicion timeout.
    Dead,
}

impl MemberState {
    fn from_wire(state: u32) -> Option<MemberState> {
        match state {
            0 => Some(MemberState::Alive),
            1 => Some(MemberState::Suspect),
            2 => Some(MemberState::Dead),
            _ => None,
        }
    }

    fn to_wire(self) -> u32 {
        match self {
            MemberState::Alive => 0,
            MemberState::Suspect => 1,
            MemberState::Dead => 2,
        }
    }
}

/// What this front knows about another front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The latest known incarnation.
    pub incarnation: u32,
    /// The state of that incarnation.
    pub state: MemberState,
    /// The number of suspicions that it has refuted.
    pub refutations: u32,
    /// The schema version that it uses.
    pub version: u32,
    /// The number of its zone, if known.
    pub zone: Option<u32>,
    /// When it entered this state, by this front's clock.
    pub since: Moment,
}

/// All fronts that this front knows of, except itself.
#[derive(Clone, Debug)]
pub struct Members {
    local: MemberId,
    fleet_size: u32,
    views: BTreeMap<u32, MemberView>,
    /// The number of suspicions that this front has refuted.
    refutations: u32,
    zone: Option<u32>,
}

/// The incarnation of a front without any contact; every other incarnation is later.
const NO_INCARNATION: u32 = 0;

/// Whether `incarnation` is later than `other`. Incarnations increase and wrap around, so they are compared by their
/// distance, as serial numbers are.
fn is_later(incarnation: u32, other: u32) -> bool {
    let is_ahead = incarnation.wrapping_sub(other) < u32::MAX / 2;
    incarnation != other && (other == NO_INCARNATION || is_ahead)
}

impl Members {
    /// The members that a front knows at its start: only itself. `fleet_size` is the number of listed fronts, this
    /// one included.
    pub fn new(local: MemberId, fleet_size: u32, zone: Option<u32>) -> Members {
        Members { local, fleet_size, views: BTreeMap::new(), refutations: 0, zone }
    }

    /// What is known about a front; `None` for this front and for a front without any contact.
    pub fn get(&self, front: u32) -> Option<&MemberView> {
        self.views.get(&front)
    }

    /// The known fronts that are not dead, including this one, in ascending order.
    pub fn live(&self) -> Vec<u32> {
        let live = self.views.iter().filter(|(_, view)| view.state != MemberState::Dead);
        let mut live: Vec<u32> = live.map(|(front, _)| *front).chain([self.local.front]).collect();
        live.sort_unstable();
        live
    }

    /// All listed fronts except those known to be dead. A front without any contact is included until it is declared
    /// dead, so that all fronts derive the same list when the fleet starts.
    pub fn not_dead(&self) -> Vec<u32> {
        let is_dead = |front: &u32| self.get(*front).is_some_and(|view| view.state == MemberState::Dead);
        (0..self.fleet_size).filter(|front| !is_dead(front)).collect()
    }

    /// All known fronts except this one.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &MemberView)> {
        self.views.iter().map(|(front, view)| (*front, view))
    }

    /// The number of listed fronts.
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size
    }

    /// The update that this front sends about itself.
    fn local_update(&self) -> MemberUpdate {
        MemberUpdate {
            front: self.local.front,
            incarnation: self.local.incarnation,
            state: MemberState::Alive.to_wire(),
            refutations: self.refutations,
            version: VERSION,
            zone: zone_to_wire(self.zone),
        }
    }

    /// The update that this front sends about `front`, which may be itself; `None` if it does not know that front.
    pub fn update_for(&self, front: u32) -> Option<MemberUpdate> {
        if front == self.local.front {
            return Some(self.local_update());
        }
        let view = self.views.get(&front)?;
        Some(MemberUpdate {
            front,
            incarnation: view.incarnation,
            state: view.state.to_wire(),
            refutations: view.refutations,
            version: view.version,
            zone: zone_to_wire(view.zone),
        })
    }

    /// Records a datagram from a member. Its incarnation is alive, whatever other fronts report about it. Returns
    /// whether that changes the known state.
    pub fn on_contact(&mut self, member: MemberId, version: u32, now: Moment) -> bool {
        let MemberId { front, incarnation } = member;
        if front >= self.fleet_size || front == self.local.front {
            return false;
        }
        let state = MemberState::Alive;
        let alive = MemberView { incarnation, state, refutations: 0, version, zone: None, since: now };
        match self.views.get_mut(&front) {
            Some(view) if view.incarnation == incarnation => {
                view.version = version;
                // The member must refute a suspicion itself, so that the refutation reaches all fronts that the
                // suspicion has reached.
                let was_dead = view.state == MemberState::Dead;
                if was_dead {
                    (view.state, view.since) = (MemberState::Suspect, now);
                }
                was_dead
            }
            Some(view) if is_later(incarnation, view.incarnation) || view.state == MemberState::Dead => {
                *view = alive;
                true
            }
            // A delayed datagram from an earlier incarnation.
            Some(_) => false,
            None => {
                self.views.insert(front, alive);
                true
            }
        }
    }

    /// Handles an update about a front from another one. Returns whether to disseminate that front's state: the
    /// update is newer than what is known, or it concerns this front, which has to refute it.
    pub fn on_update(&mut self, update: &MemberUpdate, now: Moment) -> bool {
        let Some(state) = MemberState::from_wire(update.state) else { return false };
        if update.front >= self.fleet_size {
            return false;
        }
        if update.front == self.local.front {
            return self.refute(update, state);
        }
        let view = MemberView {
            incarnation: update.incarnation,
            state,
            refutations: update.refutations,
            version: update.version,
            zone: update.zone.checked_sub(1),
            since: now,
        };
        let is_newer = match self.views.get(&update.front) {
            None => true,
            Some(known) if known.incarnation != view.incarnation => {
                is_later(view.incarnation, known.incarnation)
            }
            Some(known) => (view.refutations, view.state) > (known.refutations, known.state),
        };
        if is_newer {
            self.views.insert(update.front, view);
        } else if let Some(known) = self.views.get_mut(&update.front)
            && known.incarnation == view.incarnation
        {
            known.zone = known.zone.or(view.zone);
        }
        is_newer
    }

    /// Refutes an update about this front if it reports a suspicion or death that is not refuted yet.
    fn refute(&mut self, update: &MemberUpdate, state: MemberState) -> bool {
        let is_refuted = update.incarnation == self.local.incarnation
            && state != MemberState::Alive
            && update.refutations >= self.refutations;
        if is_refuted {
            self.refutations = update.refutations + 1;
        }
        is_refuted
    }

    /// Suspects a front that did not answer. Returns whether it was neither suspected nor dead before.
    pub fn suspect(&mut self, front: u32, now: Moment) -> bool {
        match self.views.get_mut(&front) {
            Some(view) if view.state == MemberState::Alive => {
                (view.state, view.since) = (MemberState::Suspect, now);
                true
            }
            Some(_) => false,
            None => {
                let view = MemberView {
                    incarnation: NO_INCARNATION,
                    state: MemberState::Suspect,
                    refutations: 0,
                    version: 0,
                    zone: None,
                    since: now,
                };
                self.views.insert(front, view);
                true
            }
        }
    }

    /// Declares all fronts dead whose suspicion was not refuted within `timeout`, and returns them.
    pub fn expire_suspicions(&mut self, timeout: Span, now: Moment) -> Vec<u32> {
        let mut dead = Vec::new();
        for (front, view) in &mut self.views {
            if view.state == MemberState::Suspect && now.since(view.since) >= timeout {
                (view.state, view.since) = (MemberState::Dead, now);
                dead.push(*front);
            }
        }
        dead
    }

    /// Restarts the time to refute all current suspicions, after a stall of this front.
    pub fn restart_suspicions(&mut self, now: Moment) {
        for view in self.views.values_mut() {
            if view.state == MemberState::Suspect {
                view.since = now;
            }
        }
    }
}

/// Encodes a zone as its number plus one; 0 stands for no zone.
fn zone_to_wire(zone: Option<u32>) -> u32 {
    zone.map_or(0, |zone| zone + 1)
}
