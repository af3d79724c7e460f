//! Who is there. After SWIM, with Lifeguard's care: suspicion before death, a suspicion that its front can deny, and a
//! front that stood still, or that misses many answers, doubts itself before others.

use std::collections::BTreeMap;

use ochrelead_core::time::{Moment, Span};

use crate::schema::Member;
use crate::{VERSION, Who};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    There,
    Suspected,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    pub life: u32,
    pub state: State,
    pub denial: u32,
    pub version: u32,
    pub district: Option<u32>,
    /// Since when it is in this state.
    pub since: Moment,
}

/// The fronts that were ever heard of, this one not among them.
#[derive(Clone, Debug)]
pub struct Members {
    me: Who,
    fronts: u32,
    views: BTreeMap<u32, View>,
    /// How often this front denied a suspicion.
    denial: u32,
    district: Option<u32>,
}

/// The life of a front that was never heard of: any is later.
const NO_LIFE: u32 = 0;

/// Whether a life came after another: they count up, and wrap.
fn is_later(life: u32, than: u32) -> bool {
    life != than && (than == NO_LIFE || life.wrapping_sub(than) < u32::MAX / 2)
}

impl Members {
    pub fn new(me: Who, fronts: u32, district: Option<u32>) -> Members {
        Members { me, fronts, views: BTreeMap::new(), denial: 0, district }
    }

    pub fn get(&self, front: u32) -> Option<&View> {
        self.views.get(&front)
    }

    /// Those that are there, this front among them; suspected ones are until they are gone.
    pub fn there(&self) -> Vec<u32> {
        let there = self.views.iter().filter(|(_, view)| view.state != State::Gone).map(|(front, _)| *front);
        let mut there: Vec<u32> = there.chain([self.me.front]).collect();
        there.sort_unstable();
        there
    }

    /// All listed fronts but those that are known to be gone: one that was never heard of counts as there until it
    /// does not answer. At a start all come to the same by this, and not each to its own.
    pub fn not_gone(&self) -> Vec<u32> {
        let gone = |front: &u32| self.views.get(front).is_some_and(|view| view.state == State::Gone);
        (0..self.fronts).filter(|front| !gone(front)).collect()
    }

    pub fn all(&self) -> impl Iterator<Item = (u32, &View)> {
        self.views.iter().map(|(front, view)| (*front, view))
    }

    pub fn fronts(&self) -> u32 {
        self.fronts
    }

    /// This front as it says of itself.
    pub fn own(&self) -> Member {
        Member {
            front: self.me.front,
            life: self.me.life,
            state: 0,
            denial: self.denial,
            version: VERSION,
            district: self.district.map_or(0, |district| district + 1),
        }
    }

    pub fn said(&self, front: u32) -> Option<Member> {
        if front == self.me.front {
            return Some(self.own());
        }
        let view = self.views.get(&front)?;
        Some(Member {
            front,
            life: view.life,
            state: match view.state {
                State::There => 0,
                State::Suspected => 1,
                State::Gone => 2,
            },
            denial: view.denial,
            version: view.version,
            district: view.district.map_or(0, |district| district + 1),
        })
    }

    /// A front was heard itself: whatever is said of it, in this life it is there. Whether that is news.
    pub fn heard(&mut self, who: Who, version: u32, now: Moment) -> bool {
        if who.front >= self.fronts || who.front == self.me.front {
            return false;
        }
        let fresh =
            View { life: who.life, state: State::There, denial: 0, version, district: None, since: now };
        match self.views.get_mut(&who.front) {
            Some(view) if view.life == who.life => {
                view.version = version;
                // It has to deny a suspicion itself, so that those hear it to whom it was told.
                let back = view.state == State::Gone;
                if back {
                    (view.state, view.since) = (State::Suspected, now);
                }
                back
            }
            Some(view) if is_later(who.life, view.life) || view.state == State::Gone => {
                *view = fresh;
                true
            }
            // A word of a former life that was long on its way.
            Some(_) => false,
            None => {
                self.views.insert(who.front, fresh);
                true
            }
        }
    }

    /// What another says of a front. Whether it is news; of this front itself, whether it has to be denied.
    pub fn told(&mut self, member: &Member, now: Moment) -> bool {
        let state = match member.state {
            0 => State::There,
            1 => State::Suspected,
            2 => State::Gone,
            _ => return false,
        };
        if member.front >= self.fronts {
            return false;
        }
        if member.front == self.me.front {
            let denies = member.life == self.me.life && state != State::There && member.denial >= self.denial;
            if denies {
                self.denial = member.denial + 1;
            }
            return denies;
        }
        let district = member.district.checked_sub(1);
        let view = View {
            life: member.life,
            state,
            denial: member.denial,
            version: member.version,
            district,
            since: now,
        };
        let newer = match self.views.get(&member.front) {
            None => true,
            Some(known) if known.life != member.life => is_later(member.life, known.life),
            Some(known) => (member.denial, state) > (known.denial, known.state),
        };
        if newer {
            self.views.insert(member.front, view);
        } else if let Some(known) = self.views.get_mut(&member.front)
            && known.life == member.life
        {
            known.district = known.district.or(district);
        }
        newer
    }

    /// No answer came from a front. Whether that is news.
    pub fn suspect(&mut self, front: u32, now: Moment) -> bool {
        match self.views.get_mut(&front) {
            Some(view) if view.state == State::There => {
                (view.state, view.since) = (State::Suspected, now);
                true
            }
            Some(_) => false,
            None => {
                let (state, since) = (State::Suspected, now);
                let view = View { life: NO_LIFE, state, denial: 0, version: 0, district: None, since };
                self.views.insert(front, view);
                true
            }
        }
    }

    /// Those whose suspicion nobody denied in time are gone.
    pub fn overdue(&mut self, after: Span, now: Moment) -> Vec<u32> {
        let mut gone = Vec::new();
        for (front, view) in &mut self.views {
            if view.state == State::Suspected && now.since(view.since) >= after {
                (view.state, view.since) = (State::Gone, now);
                gone.push(*front);
            }
        }
        gone
    }

    /// This front stood still: what it suspects of others dates from then, and they are given their time anew.
    pub fn forgive(&mut self, now: Moment) {
        for view in self.views.values_mut() {
            if view.state == State::Suspected {
                view.since = now;
            }
        }
    }
}
