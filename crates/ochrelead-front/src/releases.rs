//! Releases that servers have not confirmed. A call that is never released occupies its server for ever. Therefore a
//! release without a response is sent again, and an INVITE that was cancelled and not answered is cancelled once more,
//! because it may reach the server after its first release. This module keeps the state only: the engine sends the
//! releases and reports their outcomes.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::message::{Endpoint, TransactionId};
use ochrelead_mgcp::transaction::TransactionConfig;

/// The number of new transactions in which a release without a response is sent again. Each of them has all
/// retransmissions of a transaction.
const MAX_RESENDS: u8 = 2;
/// The maximal number of releases that are tracked. Further releases are sent once and not tracked.
const MAX_RELEASES: usize = 16_384;

/// One release: of a connection, or of all connections of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The address of the server's process.
    pub to: SocketAddr,
    /// The endpoint, or the wildcard of a trunk group.
    pub endpoint: Endpoint,
    /// The call id, if the release names one.
    pub call: Option<String>,
    /// The connection id, if the release names one.
    pub connection: Option<String>,
    /// The INVITE that the release cancels, if any.
    pub invite: Option<TransactionId>,
    resends: u8,
}

impl Release {
    /// Creates a release that cancels no INVITE.
    pub fn new(to: SocketAddr, endpoint: Endpoint, call: Option<&str>, connection: Option<&str>) -> Release {
        let (call, connection) = (call.map(str::to_owned), connection.map(str::to_owned));
        Release { to, endpoint, call, connection, invite: None, resends: 0 }
    }

    /// Marks the release as the cancellation of this INVITE.
    pub fn of_invite(self, invite: TransactionId) -> Release {
        Release { invite: Some(invite), ..self }
    }
}

/// The releases that are not confirmed, both those that were sent and those that are scheduled to be sent again.
#[derive(Debug)]
pub struct PendingReleases {
    initial_rto: Span,
    max_rto: Span,
    sent: HashMap<TransactionId, Release>,
    scheduled: BTreeMap<(Moment, u64), Release>,
    /// INVITEs that were cancelled and not answered.
    cancelled_invites: HashSet<TransactionId>,
    last_scheduled: u64,
}

impl PendingReleases {
    /// Creates an empty set; `config` is that of the transaction layer.
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

    /// Records a release that was sent.
    pub fn on_sent(&mut self, transaction: TransactionId, release: Release) {
        if self.unconfirmed() < MAX_RELEASES {
            self.cancelled_invites.extend(release.invite);
            self.sent.insert(transaction, release);
        }
    }

    /// Handles a server's confirmation of a release.
    pub fn on_confirmed(&mut self, now: Moment, transaction: TransactionId) {
        let Some(release) = self.sent.remove(&transaction) else { return };
        if let Some(invite) = release.invite
            && self.cancelled_invites.remove(&invite)
        {
            // Datagrams may be reordered: the INVITE may arrive after its release.
            self.schedule(now + self.initial_rto, Release { invite: None, ..release });
        }
    }

    /// Handles a release that timed out without a response.
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

    /// Handles the late answer to an INVITE that was cancelled; it needs no second cancellation.
    pub fn on_invite_answered(&mut self, invite: TransactionId) {
        self.cancelled_invites.remove(&invite);
    }

    fn schedule(&mut self, due: Moment, release: Release) {
        self.last_scheduled += 1;
        self.scheduled.insert((due, self.last_scheduled), release);
    }

    /// Takes the next release that is due to be sent again.
    pub fn next_due(&mut self, now: Moment) -> Option<Release> {
        let entry = self.scheduled.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }

    /// When the next release is due to be sent again.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.scheduled.first_key_value().map(|((due, _), _)| *due)
    }

    /// The number of releases that are scheduled to be sent again.
    pub fn scheduled(&self) -> usize {
        self.scheduled.len()
    }

    /// The number of releases that are not confirmed, both sent and scheduled.
    pub fn unconfirmed(&self) -> usize {
        self.sent.len() + self.scheduled.len()
    }
}
