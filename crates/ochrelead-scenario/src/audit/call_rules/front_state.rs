//! The state of a front as the rules on call attempts need it, derived from the capture.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::TransactionId;

use super::SOCKET_DELAY;

/// An INVITE that has neither been answered nor cancelled nor reset.
#[derive(Clone, Copy)]
pub(super) struct OutstandingInvite {
    pub(super) server: u16,
    pub(super) transaction: TransactionId,
}

/// One call attempt that a front has accepted.
pub(super) struct Attempt {
    pub(super) accepted_at: Moment,
    pub(super) deadline: Moment,
    /// The transactions of its final answers. A retransmission has the same transaction; a second one is a violation.
    pub(super) answers: HashSet<TransactionId>,
    pub(super) answered_at: Option<Moment>,
    pub(super) hung_up_at: Option<Moment>,
    pub(super) outstanding: Option<OutstandingInvite>,
    /// When the last INVITE ended, if the next one has to wait for the release delay.
    pub(super) release_started_at: Option<Moment>,
}

impl Attempt {
    pub(super) fn new(accepted_at: Moment, deadline: Moment) -> Attempt {
        Attempt {
            accepted_at,
            deadline,
            answers: HashSet::new(),
            answered_at: None,
            hung_up_at: None,
            outstanding: None,
            release_started_at: None,
        }
    }

    /// An attempt whose hang-up arrived before the attempt itself; it needs no answer.
    pub(super) fn abandoned(time: Moment) -> Attempt {
        Attempt { hung_up_at: Some(time), ..Attempt::new(time, time) }
    }
}

/// An INVITE that a front has sent, outstanding or ended.
pub(super) struct InviteRecord {
    pub(super) attempt_id: String,
    /// The time from which it must not be retransmitted.
    pub(super) ended_at: Option<Moment>,
}

/// A server that a front's endpoint file marks as draining.
pub(super) struct FileDrain {
    pub(super) server: u16,
    /// When the file was completely written.
    pub(super) since: Moment,
    pub(super) last_invite: Option<Moment>,
}

/// The state of one front process.
#[derive(Default)]
pub(super) struct FrontState {
    pub(super) attempts: BTreeMap<String, Attempt>,
    pub(super) invites: HashMap<TransactionId, InviteRecord>,
    /// Servers that are draining or gone, with the time at which this front was notified of it.
    pub(super) leaving: BTreeMap<u16, Moment>,
    /// The servers' RSIPs that have reached the front; used to ignore retransmissions.
    pub(super) restart_commands: BTreeSet<(u16, TransactionId)>,
    pub(super) file_drain: Option<FileDrain>,
    /// Whether its process was killed and has not been restarted.
    pub(super) killed: bool,
    /// Whether its process is stopped (SIGSTOP).
    pub(super) suspended: bool,
    /// When its process last continued (SIGCONT).
    pub(super) resumed_at: Option<Moment>,
}

impl FrontState {
    /// Ends the outstanding INVITEs at a server that has reset them: that of `call`, or all of them for `None`.
    pub(super) fn reset_invites(&mut self, server: u16, call: Option<&str>, time: Moment) {
        for (attempt_id, attempt) in &mut self.attempts {
            if call.is_none_or(|call| call == attempt_id)
                && let Some(invite) = attempt.outstanding.filter(|invite| invite.server == server)
            {
                attempt.outstanding = None;
                attempt.release_started_at = Some(time);
                if let Some(record) = self.invites.get_mut(&invite.transaction) {
                    record.ended_at = Some(time + SOCKET_DELAY);
                }
            }
        }
    }

    /// Records an INVITE to a server. Returns the earliest time at which the front could know that the server is
    /// leaving, from an RSIP or its endpoint file; `None` if the server is not leaving.
    pub(super) fn record_invite_to(&mut self, server: u16, time: Moment) -> Option<Moment> {
        let notified_at = self.leaving.get(&server).copied();
        let Some(drain) = self.file_drain.as_mut().filter(|drain| drain.server == server) else {
            return notified_at;
        };
        drain.last_invite = Some(time);
        Some(notified_at.unwrap_or(drain.since).min(drain.since))
    }
}
