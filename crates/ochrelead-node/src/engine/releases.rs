//! Releases of established calls towards their callers. A release is sent on the connection of its call; if that has
//! closed, on the connection of another verified caller, as soon as there is one.

use std::collections::VecDeque;

use ochrelead_core::index::SessionIx;
use ochrelead_platform::caller_messages::{self, CallId};
use tracing::debug;

use super::{CALL_END_LOG, Engine};
use crate::call_table::Call;
use crate::caller_table::{CallerTrust, Release};
use crate::io::{CallerId, Output};

/// A release that waits for a caller's connection.
#[derive(Clone, Copy, Debug)]
struct PendingRelease {
    release: Release,
    /// Numbers the pending releases in the order in which they were queued, from 1.
    number: u64,
    is_offered: bool,
}

/// Releases that wait for a caller's connection, because the connection of their call has closed.
#[derive(Default)]
pub(super) struct PendingReleases {
    queue: VecDeque<PendingRelease>,
    last_number: u64,
    /// Releases sent from the queue since the last maintenance round.
    sent_this_round: usize,
}

impl PendingReleases {
    /// Whether any release has been neither sent nor offered.
    pub(super) fn has_unoffered(&self) -> bool {
        self.queue.iter().any(|pending| !pending.is_offered)
    }

    fn push(&mut self, release: Release) {
        self.last_number += 1;
        self.queue.push_back(PendingRelease { release, number: self.last_number, is_offered: false });
    }

    /// The number of releases that wait.
    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether the release of a call waits.
    pub(super) fn contains(&self, call: CallId) -> bool {
        self.queue.iter().rev().any(|pending| pending.release.call == call)
    }

    /// Removes a release that a caller has confirmed, if the caller was offered it: it was offered all up to
    /// `last_offered`.
    pub(super) fn confirm(&mut self, call: CallId, last_offered: u64) {
        self.queue.retain(|pending| pending.release.call != call || pending.number > last_offered);
    }

    /// Removes and returns the release of a call.
    pub(super) fn take(&mut self, call: CallId) -> Option<Release> {
        let index = self.queue.iter().position(|pending| pending.release.call == call)?;
        self.queue.remove(index).map(|pending| pending.release)
    }

    pub(super) fn start_round(&mut self) {
        self.sent_this_round = 0;
    }
}

impl Engine {
    /// Removes an established call.
    pub(super) fn remove_established(&mut self, session: SessionIx) -> Option<Call> {
        let call = self.calls.remove(session)?;
        self.ended_calls.insert(call.id);
        self.reported_calls.remove(call.id);
        if let Some(caller) = self.callers.get_mut(call.caller) {
            caller.established_calls = caller.established_calls.saturating_sub(1);
        }
        Some(call)
    }

    /// Removes an established call that has ended and notifies its caller.
    pub(super) fn release(&mut self, session: SessionIx, cause: u32) {
        let Some(call) = self.remove_established(session) else { return };
        let release = Release { call: call.id, cause };
        if self.callers.get(call.caller).is_some() {
            self.send_release(call.caller, release);
        } else {
            self.queue_release(release);
        }
    }

    /// Queues a release after the connection of its call has closed; drops it if the queue is full.
    pub(super) fn queue_release(&mut self, release: Release) {
        debug!(target: CALL_END_LOG, call = ?release.call, cause = release.cause, "release waits for a caller");
        if self.pending_releases.queue.len() < self.bounds.pending_releases {
            self.pending_releases.push(release);
        }
        self.send_pending_releases();
    }

    /// Sends pending releases on the connection of a verified caller. Between two maintenance rounds, at most
    /// `releases_per_round` are sent, so that they do not overflow the queue of one slow reader. While no verified caller
    /// is connected, offers them to the plausible ones; in a shutdown to all, since there may be no later caller.
    pub(super) fn send_pending_releases(&mut self) {
        if self.pending_releases.queue.is_empty() {
            return;
        }
        let Some(caller) = self.callers.release_recipient() else { return self.offer_pending_releases() };
        while self.pending_releases.sent_this_round < self.bounds.releases_per_round
            && let Some(PendingRelease { release, .. }) = self.pending_releases.queue.pop_front()
        {
            self.pending_releases.sent_this_round += 1;
            log_other_recipient("release sent on another caller's connection", caller, release);
            self.send_release(caller, release);
        }
    }

    /// Offers each pending release once to each of these callers, within the same limit. Offered releases stay pending until
    /// a caller is verified or has confirmed them.
    fn offer_pending_releases(&mut self) {
        let trust = if self.shutdown.is_some() { CallerTrust::None } else { CallerTrust::Plausible };
        let pending = &mut self.pending_releases;
        for id in self.callers.with_trust(trust) {
            let Some(caller) = self.callers.get_mut(id) else { continue };
            let first = pending.queue.partition_point(|pending| pending.number <= caller.last_offered);
            let allowed = self.bounds.releases_per_round.saturating_sub(pending.sent_this_round);
            for PendingRelease { release, number, is_offered } in
                pending.queue.iter_mut().skip(first).take(allowed)
            {
                *is_offered = true;
                caller.last_offered = *number;
                pending.sent_this_round += 1;
                log_other_recipient("release offered to a caller", id, *release);
                let line = caller_messages::encode_down(release.call, release.cause, None);
                self.outputs.push_back(Output::SendToCaller(id, line));
            }
        }
    }

    /// Sends a release on a caller's connection. It is sent again elsewhere if the connection closes before the caller has
    /// confirmed it.
    pub(super) fn send_release(&mut self, id: CallerId, release: Release) {
        let line = caller_messages::encode_down(release.call, release.cause, None);
        self.outputs.push_back(Output::SendToCaller(id, line));
        let (now, capacity) = (self.now, self.bounds.unconfirmed_releases);
        if let Some(caller) = self.callers.get_mut(id) {
            caller.release_sent_at = now;
            // If a caller does not confirm releases, the oldest ones are treated as confirmed.
            if caller.unconfirmed_releases.len() >= capacity {
                caller.unconfirmed_releases.pop_front();
            }
            caller.unconfirmed_releases.push_back(release);
        }
    }
}

fn log_other_recipient(event: &'static str, caller: CallerId, release: Release) {
    debug!(target: CALL_END_LOG, call = ?release.call, cause = release.cause, caller = caller.0, "{event}");
}
