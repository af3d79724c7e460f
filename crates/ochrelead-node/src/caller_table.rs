//! The connections of callers. State only: the engine acts on it.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::index::SessionIx;
use ochrelead_core::time::Moment;
use ochrelead_platform::caller_messages::CallId;
use ochrelead_platform::line_splitter::LineSplitter;

use crate::bounds::protocol;
use crate::io::CallerId;

/// The end of an established call, as its caller is notified of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Release {
    pub(crate) call: CallId,
    /// The Q.850 cause.
    pub(crate) cause: u32,
}

/// One connection.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) line_splitter: LineSplitter,
    pub(crate) opened_at: Moment,
    /// When bytes last arrived on it, or an answer was last sent.
    pub(crate) last_used: Moment,
    /// A call was established on it: it belongs to a regular caller.
    pub(crate) is_verified: bool,
    /// Its set-ups that wait for an answer.
    pub(crate) pending_sessions: Vec<SessionIx>,
    /// The number of established calls that were set up on it.
    pub(crate) established_calls: usize,
    /// Releases that were sent on it and not confirmed yet.
    pub(crate) unconfirmed_releases: VecDeque<Release>,
}

/// All connections of callers.
#[derive(Default)]
pub(crate) struct CallerTable(BTreeMap<CallerId, Caller>);

impl CallerTable {
    pub(crate) fn insert(&mut self, id: CallerId, now: Moment) {
        let caller = Caller {
            line_splitter: LineSplitter::default(),
            opened_at: now,
            last_used: now,
            is_verified: false,
            pending_sessions: Vec::new(),
            established_calls: 0,
            unconfirmed_releases: VecDeque::new(),
        };
        self.0.insert(id, caller);
    }

    pub(crate) fn get_mut(&mut self, id: CallerId) -> Option<&mut Caller> {
        self.0.get_mut(&id)
    }

    pub(crate) fn get(&self, id: CallerId) -> Option<&Caller> {
        self.0.get(&id)
    }

    pub(crate) fn remove(&mut self, id: CallerId) -> Option<Caller> {
        self.0.remove(&id)
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the rest of a line is to be expected from any of them.
    pub(crate) fn any_mid_line(&self, now: Moment) -> bool {
        self.0.values().any(|caller| caller.is_mid_line(now))
    }

    /// The connection for a release whose own connection has closed: that of the verified caller used last. With
    /// `allow_unverified`, where no later one can come, any connection is better than none.
    pub(crate) fn release_recipient(&self, allow_unverified: bool) -> Option<CallerId> {
        self.0
            .iter()
            .filter(|(_, caller)| allow_unverified || caller.is_verified)
            .max_by_key(|(_, caller)| (caller.is_verified, caller.last_used))
            .map(|(id, _)| *id)
    }

    /// Up to `count` connections to close in favour of new ones: of those without a pending set-up the unverified
    /// first, then those on which no call stands, then the least recently used.
    pub(crate) fn eviction_candidates(&self, count: usize, excluded: &[CallerId]) -> Vec<CallerId> {
        if count == 0 {
            return Vec::new();
        }
        let mut idle: Vec<_> = self
            .0
            .iter()
            .filter(|(id, caller)| caller.pending_sessions.is_empty() && !excluded.contains(id))
            .map(|(id, caller)| (caller.is_verified, caller.established_calls > 0, caller.last_used, *id))
            .collect();
        idle.sort();
        idle.into_iter().take(count).map(|(.., id)| id).collect()
    }

    /// Connections to close now: those that sent nothing valid for most of the time in which a refusal is owed, and
    /// those without a call that are idle for longer than regular callers leave them open.
    pub(crate) fn expired(&self, now: Moment) -> Vec<CallerId> {
        self.0.iter().filter(|(_, caller)| caller.is_expired(now)).map(|(id, _)| *id).collect()
    }
}

impl Caller {
    /// Whether a line has begun to arrive and its rest is to be expected.
    pub(crate) fn is_mid_line(&self, now: Moment) -> bool {
        self.line_splitter.has_partial_line() && now.since(self.last_used) < protocol::PARTIAL_LINE_TIMEOUT
    }

    /// Whether it is owed a refusal, an error or a close by now, having sent nothing valid.
    pub(crate) fn is_overdue(&self, now: Moment) -> bool {
        !self.is_verified && now.since(self.opened_at) >= protocol::INVALID_CALLER_DEADLINE.scaled(0.8)
    }

    fn is_expired(&self, now: Moment) -> bool {
        // Callers leave a connection open while a call stands on it, and its release needs one that is open.
        if !self.pending_sessions.is_empty() || self.established_calls > 0 {
            return false;
        }
        let idle_timeout = protocol::CALLER_IDLE_TIMEOUT;
        let idle = now.since(self.last_used);
        // One that was just sent a release has yet to confirm it.
        let is_confirmed = self.unconfirmed_releases.is_empty();
        self.is_overdue(now)
            || (idle >= idle_timeout.scaled(1.25) && is_confirmed)
            || idle >= idle_timeout * 4
    }
}
