//! The table of callers' connections. It holds state only; the engine sends the messages and closes connections.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::index::SessionIx;
use ochrelead_core::time::Moment;
use ochrelead_platform::caller_messages::CallId;
use ochrelead_platform::line_splitter::LineSplitter;

use crate::bounds::protocol;
use crate::io::CallerId;

/// The notification to a caller that an established call has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Release {
    pub(crate) call: CallId,
    /// The Q.850 cause.
    pub(crate) cause: u32,
}

/// What a caller has shown of the protocol. Ids that only the caller vouches for do not count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CallerTrust {
    /// Nothing yet.
    #[default]
    None,
    /// It has sent a valid set-up, or has ended a call that another connection had reported and that its server knew. It is
    /// offered releases that have no better recipient.
    Plausible,
    /// A call was established for it, it has named or ended one that was set up here, or a server has released a call that
    /// it had reported. It is sent releases.
    Verified,
}

/// The connection of a caller.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) line_splitter: LineSplitter,
    pub(crate) opened_at: Moment,
    /// When bytes last arrived on the connection or the answer to a set-up was last sent on it.
    pub(crate) last_used: Moment,
    /// What the caller has shown of the protocol on this connection.
    pub(crate) trust: CallerTrust,
    /// The number of the last pending release that the caller was offered.
    pub(crate) last_offered: u64,
    /// Set-ups on the connection that have not been answered yet.
    pub(crate) pending_sessions: Vec<SessionIx>,
    /// The number of established calls that belong to the connection.
    pub(crate) established_calls: usize,
    /// When a release was last sent on the connection.
    pub(crate) release_sent_at: Moment,
    /// Releases that were sent on the connection and are not confirmed yet.
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
            trust: CallerTrust::None,
            last_offered: 0,
            pending_sessions: Vec::new(),
            established_calls: 0,
            release_sent_at: now,
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

    /// Whether any connection has received part of a line and the rest may still arrive.
    pub(crate) fn any_awaits_rest_of_line(&self, now: Moment) -> bool {
        self.0.values().any(|caller| caller.awaits_rest_of_line(now))
    }

    /// The connection for a release after the connection of its call has closed: the most recently used one of a
    /// verified caller.
    pub(crate) fn release_recipient(&self) -> Option<CallerId> {
        let verified = self.0.iter().filter(|(_, caller)| caller.is_verified());
        verified.max_by_key(|(_, caller)| caller.last_used).map(|(id, _)| *id)
    }

    /// The connections of the callers that have shown at least this much.
    pub(crate) fn with_trust(&self, trust: CallerTrust) -> Vec<CallerId> {
        self.0.iter().filter(|(_, caller)| caller.trust >= trust).map(|(id, _)| *id).collect()
    }

    /// Up to `count` connections to close in favour of new ones. Only connections without a pending set-up are
    /// candidates: unverified ones first, then those without an established call, then the least recently used.
    pub(crate) fn eviction_candidates(&self, count: usize, excluded: &[CallerId]) -> Vec<CallerId> {
        if count == 0 {
            return Vec::new();
        }
        let mut idle: Vec<_> = self
            .0
            .iter()
            .filter(|(id, caller)| caller.pending_sessions.is_empty() && !excluded.contains(id))
            .map(|(id, caller)| (caller.is_verified(), caller.established_calls > 0, caller.last_used, *id))
            .collect();
        idle.sort();
        idle.into_iter().take(count).map(|(.., id)| id).collect()
    }

    /// Connections without a call that must be closed now: unverified ones whose `INVALID_CALLER_DEADLINE` is near, and
    /// those idle for longer than callers keep an idle connection open.
    pub(crate) fn expired(&self, now: Moment) -> Vec<CallerId> {
        self.0.iter().filter(|(_, caller)| caller.is_expired(now)).map(|(id, _)| *id).collect()
    }
}

impl Caller {
    pub(crate) fn is_verified(&self) -> bool {
        self.trust == CallerTrust::Verified
    }

    /// Whether part of a line has been received and the rest may still arrive.
    pub(crate) fn awaits_rest_of_line(&self, now: Moment) -> bool {
        self.line_splitter.has_partial_line() && now.since(self.last_used) < protocol::PARTIAL_LINE_TIMEOUT
    }

    /// Whether the connection is still unverified after 80 % of `INVALID_CALLER_DEADLINE`; the rest of that time is
    /// left for closing it.
    pub(crate) fn is_verification_overdue(&self, now: Moment) -> bool {
        !self.is_verified() && now.since(self.opened_at) >= protocol::INVALID_CALLER_DEADLINE.scaled(0.8)
    }

    fn is_expired(&self, now: Moment) -> bool {
        // Callers keep a connection open while a call is established on it, and the release is sent on it.
        if !self.pending_sessions.is_empty() || self.established_calls > 0 {
            return false;
        }
        let idle_timeout = protocol::CALLER_IDLE_TIMEOUT;
        let idle = now.since(self.last_used);
        let unconfirmed = now.since(self.last_used.max(self.release_sent_at));
        // A caller gets more time to confirm the releases that it was sent.
        let all_releases_confirmed = self.unconfirmed_releases.is_empty();
        self.is_verification_overdue(now)
            || (idle >= idle_timeout.scaled(1.25) && all_releases_confirmed)
            || unconfirmed >= idle_timeout * 4
    }
}
