//! The connections of callers; it only keeps them.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::index::SessionIx;
use ochrelead_core::time::Moment;
use ochrelead_platform::caller_messages::CallId;
use ochrelead_platform::line_splitter::LineSplitter;

use crate::bounds::platform;

/// A caller's connection, counted by the host; never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// One connection.
#[derive(Debug)]
pub struct Caller {
    pub lines: LineSplitter,
    pub opened: Moment,
    /// When it last brought or was sent anything.
    pub used: Moment,
    /// A call was set up for it: it is a usual caller's.
    pub proven: bool,
    /// Its set-ups that wait for an answer.
    pub open: Vec<SessionIx>,
    /// Calls that were set up on it and stand.
    pub standing: usize,
    /// Releases that were sent on it and not heard yet, with their causes.
    pub unheard: VecDeque<(CallId, u32)>,
}

/// All of them.
#[derive(Default)]
pub struct Callers(BTreeMap<CallerId, Caller>);

impl Callers {
    pub fn open(&mut self, id: CallerId, now: Moment) {
        let caller = Caller {
            lines: LineSplitter::default(),
            opened: now,
            used: now,
            proven: false,
            open: Vec::new(),
            standing: 0,
            unheard: VecDeque::new(),
        };
        self.0.insert(id, caller);
    }

    pub fn get_mut(&mut self, id: CallerId) -> Option<&mut Caller> {
        self.0.get_mut(&id)
    }

    pub fn get(&self, id: CallerId) -> Option<&Caller> {
        self.0.get(&id)
    }

    pub fn close(&mut self, id: CallerId) -> Option<Caller> {
        self.0.remove(&id)
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Where a release goes whose own connection has closed: to the usual caller that was heard last.
    /// Where no later one can come, `any` serves better than none.
    pub fn substitute(&self, any: bool) -> Option<CallerId> {
        self.0
            .iter()
            .filter(|(_, caller)| any || caller.proven)
            .max_by_key(|(_, caller)| (caller.proven, caller.used))
            .map(|(id, _)| *id)
    }

    /// Who makes room for another connection: of those without an open set-up first who never was of use, then who
    /// was not used for longest.
    pub fn dispensable(&self, count: usize, but: &[CallerId]) -> Vec<CallerId> {
        if count == 0 {
            return Vec::new();
        }
        let idle = self.0.iter().filter(|(id, caller)| caller.open.is_empty() && !but.contains(id));
        let mut idle: Vec<_> = idle.map(|(id, caller)| (caller.proven, caller.used, *id)).collect();
        idle.sort();
        idle.into_iter().take(count).map(|(_, _, id)| id).collect()
    }

    /// Those to be closed now: what said nothing of use in most of the time in which that is owed, and what is idle
    /// for longer than usual callers let it be.
    pub fn overdue(&self, now: Moment) -> Vec<CallerId> {
        let (owed, idle) = (platform::BAD_CALLER.scaled(0.8), platform::CALLER_IDLE);
        let is_overdue = |caller: &Caller| {
            if !caller.open.is_empty() {
                return false;
            }
            let rested = now.since(caller.used);
            // Usual callers take the release of a call on any connection; a call's own serves longest.
            (!caller.proven && now.since(caller.opened) >= owed)
                // One that has just been told of an end has yet to confirm it.
                || (rested >= idle.scaled(1.25) && caller.standing == 0 && caller.unheard.is_empty())
                || rested >= idle * 4
        };
        self.0.iter().filter(|(_, caller)| is_overdue(caller)).map(|(id, _)| *id).collect()
    }
}
