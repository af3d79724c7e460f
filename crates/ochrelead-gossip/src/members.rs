//! The fronts of the fleet and their states: SWIM's suspicion before death, which the suspected front can refute.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};

use crate::schema::MemberUpdate;
use crate::wire::VERSION;

/// A front in one of its incarnations: after each start it is another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId {
    /// The front's number.
    pub front: u32,
    /// Differs after each start of the front; 0 is none.
    pub incarnation: u32,
}

/// What is believed of a front. A later state overrides an earlier one of the same incarnation and refutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemberState {
    /// It was heard, or somebody heard it.
    Alive,
    /// It did not answer.
    Suspect,
    /// It did not refute a suspicion in time.
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

/// What this front knows of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Its latest incarnation.
    pub incarnation: u32,
    /// What is believed of that.
    pub state: MemberState,
    /// How many suspicions it refuted.
    pub refutations: u32,
    /// The version of the schema that it speaks.
    pub version: u32,
    /// Its zone, where that is known.
    pub zone: Option<u32>,
    /// Since when it is in this state, by this front's clock.
    pub since: Moment,
}

/// All fronts that were heard of, except this one.
#[derive(Clone, Debug)]
pub struct Members {
    local: MemberId,
    fleet_size: u32,
    views: BTreeMap<u32, MemberView>,
    /// How many suspicions this front refuted.
    refutations: u32,
    zone: Option<u32>,
}

/// The incarnation of a front that was never heard of: any other is later.
const NO_INCARNATION: u32 = 0;

/// Whether an incarnation came after another. They count up, and wrap.
fn is_later(incarnation: u32, than: u32) -> bool {
    let is_ahead = incarnation.wrapping_sub(than) < u32::MAX / 2;
    incarnation != than && (than == NO_INCARNATION || is_ahead)
}

impl Members {
    /// What a front knows at its start; `fleet_size` counts all listed fronts, this one among them.
    pub fn new(local: MemberId, fleet_size: u32, zone: Option<u32>) -> Members {
        Members { local, fleet_size, views: BTreeMap::new(), refutations: 0, zone }
    }

    /// What is known of a front; `None` for this one, and for one that was never heard of.
    pub fn get(&self, front: u32) -> Option<&MemberView> {
        self.views.get(&front)
    }

    /// The fronts that were heard of and are not dead, this one among them, in order.
    pub fn live(&self) -> Vec<u32> {
        let live = self.views.iter().filter(|(_, view)| view.state != MemberState::Dead);
        let mut live: Vec<u32> = live.map(|(front, _)| *front).chain([self.local.front]).collect();
        live.sort_unstable();
        live
    }

    /// All listed fronts except those known to be dead. A front that was never heard of counts until it does not
    /// answer, so that at a start all fronts come to the same list.
    pub fn not_dead(&self) -> Vec<u32> {
        let is_dead = |front: &u32| self.get(*front).is_some_and(|view| view.state == MemberState::Dead);
        (0..self.fleet_size).filter(|front| !is_dead(front)).collect()
    }

    /// All fronts that were heard of, except this one.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &MemberView)> {
        self.views.iter().map(|(front, view)| (*front, view))
    }

    /// How many fronts are listed.
    pub fn fleet_size(&self) -> u32 {
        self.fleet_size
    }

    /// What this front says of itself.
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

    /// What this front says of a front, itself included; `None` where it knows nothing.
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

    /// A datagram came from a member: whatever is said of it, this incarnation is alive. Returns whether that is new.
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
                // It has to refute a suspicion itself, so that those hear the refutation who heard the suspicion.
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
            // A delayed datagram of an earlier incarnation.
            Some(_) => false,
            None => {
                self.views.insert(front, alive);
                true
            }
        }
    }

    /// Another front says something of a front. Returns whether it has to be sent on: it is new, or of this front
    /// itself, which has to refute it.
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

    /// Refutes what is said of this front, where it is a suspicion that was not refuted yet.
    fn refute(&mut self, update: &MemberUpdate, state: MemberState) -> bool {
        let is_refuted = update.incarnation == self.local.incarnation
            && state != MemberState::Alive
            && update.refutations >= self.refutations;
        if is_refuted {
            self.refutations = update.refutations + 1;
        }
        is_refuted
    }

    /// A front did not answer. Returns whether it was not suspected yet.
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

    /// Declares those fronts dead that did not refute a suspicion in time, and returns them.
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

    /// This front stalled: suspected fronts are given their whole time again.
    pub fn restart_suspicions(&mut self, now: Moment) {
        for view in self.views.values_mut() {
            if view.state == MemberState::Suspect {
                view.since = now;
            }
        }
    }
}

/// A zone as sent: its number plus one, 0 for none.
fn zone_to_wire(zone: Option<u32>) -> u32 {
    zone.map_or(0, |zone| zone + 1)
}
