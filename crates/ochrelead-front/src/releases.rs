//! PendingReleases that servers owe an answer to. What is not released stands at a server for ever: a release that nobody
//! answers is asked for again, and an INVITE that was called off and never answered may still be on its way, so it
//! is called off once more. State only; the engine asks, and says what came of it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use ochrelead_core::time::{Moment, Span};
use ochrelead_mgcp::exchange::Pace;
use ochrelead_mgcp::message::{Endpoint, TransactionId};

/// How often a release is asked for again, each time with all repeats of a transaction.
const AGAIN: u8 = 2;
/// The most that is kept at once; beyond, the newest is given up.
const MOST: usize = 16_384;

/// One release: a call's connection, or all of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    pub to: SocketAddr,
    pub endpoint: Endpoint,
    pub call: Option<String>,
    pub connection: Option<String>,
    /// The INVITE that is called off by it.
    pub invite: Option<TransactionId>,
    again: u8,
}

impl Release {
    pub fn new(to: SocketAddr, endpoint: Endpoint, call: Option<&str>, connection: Option<&str>) -> Release {
        let (call, connection) = (call.map(str::to_owned), connection.map(str::to_owned));
        Release { to, endpoint, call, connection, invite: None, again: 0 }
    }

    /// It calls this INVITE off.
    pub fn of_invite(self, invite: TransactionId) -> Release {
        Release { invite: Some(invite), ..self }
    }
}

/// All of them.
#[derive(Debug)]
pub struct PendingReleases {
    first_gap: Span,
    longest_gap: Span,
    asked: HashMap<TransactionId, Release>,
    later: BTreeMap<(Moment, u64), Release>,
    /// INVITEs that were called off and have not been answered.
    unheard: HashSet<TransactionId>,
    count: u64,
}

impl PendingReleases {
    pub fn new(pace: &Pace) -> PendingReleases {
        PendingReleases {
            first_gap: pace.first_gap,
            longest_gap: pace.longest_gap,
            asked: HashMap::new(),
            later: BTreeMap::new(),
            unheard: HashSet::new(),
            count: 0,
        }
    }

    /// A release was asked for.
    pub fn on_sent(&mut self, transaction: TransactionId, release: Release) {
        if self.asked.len() + self.later.len() < MOST {
            self.unheard.extend(release.invite);
            self.asked.insert(transaction, release);
        }
    }

    /// The server has confirmed it.
    pub fn on_confirmed(&mut self, now: Moment, transaction: TransactionId) {
        let Some(release) = self.asked.remove(&transaction) else { return };
        if let Some(invite) = release.invite
            && self.unheard.remove(&invite)
        {
            // Its order on the way is not known: the INVITE may come after its end.
            self.postpone(now + self.first_gap, Release { invite: None, ..release });
        }
    }

    /// The server has not.
    pub fn on_unanswered(&mut self, now: Moment, transaction: TransactionId) {
        let Some(release) = self.asked.remove(&transaction) else { return };
        if let Some(invite) = release.invite {
            self.unheard.remove(&invite);
        }
        if release.again < AGAIN {
            let again = release.again + 1;
            self.postpone(now + self.longest_gap, Release { again, invite: None, ..release });
        }
    }

    /// An INVITE that was called off was answered after all.
    pub fn on_invite_answered(&mut self, invite: TransactionId) {
        self.unheard.remove(&invite);
    }

    fn postpone(&mut self, until: Moment, release: Release) {
        self.count += 1;
        self.later.insert((until, self.count), release);
    }

    /// The next that is to be asked for again.
    pub fn next_due(&mut self, now: Moment) -> Option<Release> {
        let entry = self.later.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }

    pub fn poll_timeout(&self) -> Option<Moment> {
        self.later.first_key_value().map(|((at, _), _)| *at)
    }

    /// PendingReleases that will be asked for again.
    pub fn scheduled(&self) -> usize {
        self.later.len()
    }

    /// PendingReleases that are not confirmed.
    pub fn unconfirmed(&self) -> usize {
        self.asked.len() + self.later.len()
    }
}
