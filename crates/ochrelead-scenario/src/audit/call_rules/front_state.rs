//! What a front has seen and done, as far as the rules need it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use ochrelead_core::time::Moment;
use ochrelead_mgcp::message::TransactionId;

use super::SOCKET_DELAY;

/// An INVITE that has neither been answered nor called off.
#[derive(Clone, Copy)]
pub(super) struct OutstandingInvite {
    pub(super) server: u16,
    pub(super) transaction: TransactionId,
}

/// One call attempt that a front has accepted.
pub(super) struct Attempt {
    pub(super) accepted_at: Moment,
    pub(super) deadline: Moment,
    /// The transactions of its final answers; more than one is a violation.
    pub(super) answers: HashSet<TransactionId>,
    pub(super) answered_at: Option<Moment>,
    pub(super) hung_up_at: Option<Moment>,
    pub(super) outstanding: Option<OutstandingInvite>,
    /// When the last INVITE ended, where its release has to be awaited.
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

    /// An attempt whose caller hung up before it came: no answer is owed.
    pub(super) fn abandoned(time: Moment) -> Attempt {
        Attempt { hung_up_at: Some(time), ..Attempt::new(time, time) }
    }
}

/// An INVITE, whether it is still outstanding or not.
pub(super) struct InviteRecord {
    pub(super) attempt_id: String,
    /// From when on it must not be repeated.
    pub(super) ended_at: Option<Moment>,
}

/// A server that a front's endpoint file has draining.
pub(super) struct FileDrain {
    pub(super) server: u16,
    /// When the file was whole on disk.
    pub(super) since: Moment,
    pub(super) last_invite: Option<Moment>,
}

/// One process of a front.
#[derive(Default)]
pub(super) struct FrontState {
    pub(super) attempts: BTreeMap<String, Attempt>,
    pub(super) invites: HashMap<TransactionId, InviteRecord>,
    /// Servers that drain or are gone, and since when this front was notified of it.
    pub(super) leaving: BTreeMap<u16, Moment>,
    /// Servers' RSIPs that have reached the front: a repeat changes nothing.
    pub(super) restart_commands: BTreeSet<(u16, TransactionId)>,
    pub(super) file_drain: Option<FileDrain>,
    /// Whether its process was killed and has not been started anew.
    pub(super) killed: bool,
    /// Whether its process is stopped by a signal.
    pub(super) suspended: bool,
    /// When it last went on after that.
    pub(super) resumed_at: Option<Moment>,
}

impl FrontState {
    /// Ends the outstanding INVITEs at a server that were reset: all of them, or that of one call.
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

    /// Notes an INVITE to a server, and says since when the front knows that the server leaves, if it does.
    pub(super) fn note_invite_to(&mut self, server: u16, time: Moment) -> Option<Moment> {
        let notified_at = self.leaving.get(&server).copied();
        let Some(drain) = self.file_drain.as_mut().filter(|drain| drain.server == server) else {
            return notified_at;
        };
        drain.last_invite = Some(time);
        Some(notified_at.unwrap_or(drain.since).min(drain.since))
    }
}
