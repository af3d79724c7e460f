//! Releases that servers have not confirmed. A call that is never released stays at its server for ever: a release that
//! gets no response is sent again, and an INVITE that was cancelled and never answered may still be on its way, so it
//! is cancelled once more. State only; the engine sends, and reports what came of it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Endpoint, TransactionId};
use ochrelead_mgcp::transaction::TransactionConfig;

/// How often a release is sent again, each time with all repeats of a transaction.
const MAX_RESENDS: u8 = 2;
/// Releases that are tracked at once; of further ones no confirmation is awaited.
const MAX_RELEASES: usize = 16_384;

/// One release: of a connection, or of all connections of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The address of the server's process.
    pub to: SocketAddr,
    /// The endpoint, or the wildcard of a trunk group.
    pub endpoint: Endpoint,
    /// The call to release, where it is named.
    pub call: Option<String>,
    /// The connection to release, where it is named.
    pub connection: Option<String>,
    /// The INVITE that it cancels.
    pub invite: Option<TransactionId>,
    resends: u8,
}

impl Release {
    /// A release that cancels no INVITE.
    pub fn new(to: SocketAddr, endpoint: Endpoint, call: Option<&str>, connection: Option<&str>) -> Release {
        let (call, connection) = (call.map(str::to_owned), connection.map(str::to_owned));
        Release { to, endpoint, call, connection, invite: None, resends: 0 }
    }

    /// The same release, cancelling this INVITE.
    pub fn of_invite(self, invite: TransactionId) -> Release {
        Release { invite: Some(invite), ..self }
    }
}

/// All releases that are not confirmed.
#[derive(Debug)]
pub struct PendingReleases {
    initial_rto: Span,
    max_rto: Span,
    sent: HashMap<TransactionId, Release>,
    scheduled: BTreeMap<(Moment, u64), Release>,
    /// INVITEs that were cancelled and have not been answered.
    cancelled_invites: HashSet<TransactionId>,
    last_scheduled: u64,
}

impl PendingReleases {
    /// No releases; `config` is that of the transaction layer.
    pub fn new(config: &TransactionConfig) -> PendingReleases {
        PendingReleases {
            initial_rto: config.initial_rto,
            max_rto: config.max_rto,
            sent: HashMap::new(),
            scheduled: BTreeMap::new(),
            cancelled_invites: HashSet::new(),
            last_scheduled: 0,
        }
    }

    /// A release was sent.
    pub fn on_sent(&mut self, transaction: TransactionId, release: Release) {
        if self.unconfirmed() < MAX_RELEASES {
            self.cancelled_invites.extend(release.invite);
            self.sent.insert(transaction, release);
        }
    }

    /// The server has confirmed a release.
    pub fn on_confirmed(&mut self, now: Moment, transaction: TransactionId) {
        let Some(release) = self.sent.remove(&transaction) else { return };
        if let Some(invite) = release.invite
            && self.cancelled_invites.remove(&invite)
        {
            // The order on the way is not known: the INVITE may arrive after its release.
            self.schedule(now + self.initial_rto, Release { invite: None, ..release });
        }
    }

    /// The server has not responded to a release.
    pub fn on_unanswered(&mut self, now: Moment, transaction: TransactionId) {
        let Some(release) = self.sent.remove(&transaction) else { return };
        if let Some(invite) = release.invite {
            self.cancelled_invites.remove(&invite);
        }
        if release.resends < MAX_RESENDS {
            let resends = release.resends + 1;
            self.schedule(now + self.max_rto, Release { resends, invite: None, ..release });
        }
    }

    /// An INVITE that was cancelled was answered after all.
    pub fn on_invite_answered(&mut self, invite: TransactionId) {
        self.cancelled_invites.remove(&invite);
    }

    fn schedule(&mut self, due: Moment, release: Release) {
        self.last_scheduled += 1;
        self.scheduled.insert((due, self.last_scheduled), release);
    }

    /// The next release that is to be sent again now.
    pub fn next_due(&mut self, now: Moment) -> Option<Release> {
        let entry = self.scheduled.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }

    /// When the next release is to be sent again.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.scheduled.first_key_value().map(|((due, _), _)| *due)
    }

    /// Releases that will be sent again.
    pub fn scheduled(&self) -> usize {
        self.scheduled.len()
    }

    /// Releases that are not confirmed.
    pub fn unconfirmed(&self) -> usize {
        self.sent.len() + self.scheduled.len()
    }
}
