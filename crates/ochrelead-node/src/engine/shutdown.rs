//! Shutdown: a node keeps answering set-ups until a deadline, and closes once it owes no answer or release.

use ochrelead_core::index::SessionIx;
use ochrelead_core::time::{Moment, Span};
use ochrelead_platform::caller_messages::cause;
use tracing::info;

use super::Engine;
use crate::bounds::protocol;

/// The shutdown of a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    since: Moment,
    /// The deadline for answering all calls, shortly before the process may be killed.
    answer_until: Moment,
}

impl Shutdown {
    /// `longest_wait` is the longest time that callers wait for an answer; zero for no limit.
    pub(super) fn new(since: Moment, longest_wait: Span) -> Shutdown {
        let max_wait = protocol::SHUTDOWN_LONGEST_WAIT;
        let wait = if longest_wait > Span::ZERO { longest_wait.min(max_wait) } else { max_wait };
        let kill_time = protocol::SHUTDOWN_GRACE + wait;
        Shutdown { since, answer_until: since + (kill_time - protocol::SHUTDOWN_ANSWER_MARGIN.min(wait / 4)) }
    }
}

impl Engine {
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        let shutdown = Shutdown::new(self.now, self.catalog.longest_wait());
        self.shutdown = Some(shutdown);
        let answer_within = shutdown.answer_until.since(self.now);
        info!(unanswered = self.calls.unanswered(), ?answer_within, "shutdown started");
        self.send_pending_releases();
    }

    /// The time by which a call must be answered: its own deadline, or that of the shutdown if it is earlier.
    pub(super) fn answer_deadline(&self, deadline: Moment) -> Moment {
        self.shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.answer_until))
    }

    /// Whether the shutdown deadline has passed, so that new set-ups are refused.
    pub(super) fn refuses_set_ups(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.now >= shutdown.answer_until)
    }

    /// Fails all unanswered calls once the shutdown deadline has passed.
    pub(super) fn end_overdue_shutdown(&mut self) {
        if !self.refuses_set_ups() {
            return;
        }
        let unanswered: Vec<SessionIx> = self.calls.unanswered_sessions().collect();
        if unanswered.is_empty() {
            return;
        }
        info!(calls = unanswered.len(), "failing calls still unanswered at the shutdown deadline");
        for session in unanswered {
            self.fail_unanswered(session);
        }
    }

    /// Ends an unanswered call: cancels its INVITE and notifies its caller.
    fn fail_unanswered(&mut self, session: SessionIx) {
        let Some(call) = self.calls.get(session) else { return };
        let cause = if call.invite_count > 0 { cause::FAILED } else { cause::REFUSED };
        self.withdraw_from_controller(session);
        self.reject(session, cause, None);
    }

    /// The shutdown deadline, if any call is unanswered.
    pub(super) fn shutdown_timeout(&self) -> Option<Moment> {
        let has_unanswered = self.calls.unanswered() > 0;
        self.shutdown.filter(|_| has_unanswered).map(|shutdown| shutdown.answer_until)
    }

    /// Whether the shutdown is complete: no answer or release is owed and no further set-up can arrive. A release that
    /// cannot be sent to any caller, or to its server, delays this at most until `INVALID_CALLER_DEADLINE` after the
    /// shutdown began.
    pub fn is_closed(&self) -> bool {
        let Some(elapsed) = self.time_since_shutdown() else { return false };
        let has_pending_release = self.pending_releases.has_unoffered() || self.servers.any_pending_bye();
        let owes_release = has_pending_release && elapsed < protocol::INVALID_CALLER_DEADLINE;
        // A set-up that has arrived in part is accepted if it can be answered before the deadline.
        let awaits_rest_of_line = self.callers.any_awaits_rest_of_line(self.now) && !self.refuses_set_ups();
        let owes_answer = self.calls.unanswered() > 0 || awaits_rest_of_line;
        elapsed >= protocol::SHUTDOWN_GRACE && !owes_answer && !owes_release
    }

    /// Whether set-ups may still arrive, so that the node must keep reading even if the lines that it reads need no
    /// answer.
    pub fn may_receive_set_ups(&self) -> bool {
        self.time_since_shutdown().is_none_or(|elapsed| elapsed < protocol::SHUTDOWN_GRACE * 2)
    }

    fn time_since_shutdown(&self) -> Option<Span> {
        self.shutdown.map(|shutdown| self.now.since(shutdown.since))
    }
}
