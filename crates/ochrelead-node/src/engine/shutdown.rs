//! Leaving service: what a node still owes, and until when it answers.

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
    /// Every call is answered by then: the process may be killed soon after.
    answer_until: Moment,
}

impl Shutdown {
    /// A shutdown of a node whose callers wait for `longest_wait` at most; zero for no limit.
    pub(super) fn new(since: Moment, longest_wait: Span) -> Shutdown {
        let counted = protocol::SHUTDOWN_LONGEST_WAIT;
        let wait = if longest_wait > Span::ZERO { longest_wait.min(counted) } else { counted };
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
        info!(unanswered = self.calls.unanswered(), ?answer_within, "shutdown begins");
        self.send_pending_releases();
    }

    /// Until when a call with the given deadline is to be answered.
    pub(super) fn answer_deadline(&self, deadline: Moment) -> Moment {
        self.shutdown.map_or(deadline, |shutdown| deadline.min(shutdown.answer_until))
    }

    /// Whether a node that leaves service takes no set-up any more.
    pub(super) fn refuses_set_ups(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| self.now >= shutdown.answer_until)
    }

    /// Answers all calls that are still open when the node may soon be killed.
    pub(super) fn end_overdue_shutdown(&mut self) {
        if !self.refuses_set_ups() {
            return;
        }
        let unanswered: Vec<SessionIx> = self.calls.unanswered_sessions().collect();
        if unanswered.is_empty() {
            return;
        }
        info!(calls = unanswered.len(), "unanswered at the end of the shutdown");
        for session in unanswered {
            self.fail_unanswered(session);
        }
    }

    /// Ends a call that nothing has come of: its INVITE is cancelled and its caller told.
    fn fail_unanswered(&mut self, session: SessionIx) {
        let Some(call) = self.calls.get(session) else { return };
        let cause = if call.invite_count > 0 { cause::FAILED } else { cause::REFUSED };
        self.release_from_controller(session);
        self.reject(session, cause, None);
    }

    /// When the shutdown ends what is unanswered.
    pub(super) fn shutdown_timeout(&self) -> Option<Moment> {
        let is_owed = self.calls.unanswered() > 0;
        self.shutdown.filter(|_| is_owed).map(|shutdown| shutdown.answer_until)
    }

    /// Whether a node that leaves service owes nothing any more and no set-up can still arrive. A release without any
    /// caller to send it to delays this up to the deadline of an invalid caller.
    pub fn is_closed(&self) -> bool {
        let Some(elapsed) = self.time_since_shutdown() else { return false };
        let owes_release = !self.pending_releases.is_empty() && elapsed < protocol::INVALID_CALLER_DEADLINE;
        // A set-up whose first bytes have arrived is still taken, as long as it can be answered.
        let is_mid_line = self.callers.any_mid_line(self.now) && !self.refuses_set_ups();
        let owes_answer = self.calls.unanswered() > 0 || is_mid_line;
        elapsed >= protocol::SHUTDOWN_GRACE && !owes_answer && !owes_release
    }

    /// Whether a node that leaves service still reads on while lines arrive that are owed nothing: set-ups may follow.
    pub fn may_receive_set_ups(&self) -> bool {
        self.time_since_shutdown().is_none_or(|elapsed| elapsed < protocol::SHUTDOWN_GRACE * 2)
    }

    fn time_since_shutdown(&self) -> Option<Span> {
        self.shutdown.map(|shutdown| self.now.since(shutdown.since))
    }
}
