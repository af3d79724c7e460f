//! Counts the outcomes that one front observes at each server between two reports.
//!
//! An INVITE that is answered within the loss timeout counts as in time. One that is still unanswered when the timeout
//! passes counts as lost, and also as late if its answer arrives after that. So a server that answers everything late
//! has as many late INVITEs as lost ones, and a silent server has only lost ones.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};

use crate::ServerKey;

/// Limit of the INVITEs that are tracked at once; further ones are not counted.
const MAX_PENDING: usize = 4_096;
/// An answer that took more than this multiple of the loss timeout is stale.
const STALE_FACTOR: u64 = 8;
/// Highest count of each outcome that a report carries for a server; higher ones are reduced to it on both ends.
pub const MAX_REPORTED_COUNT: u32 = 15;

/// Outcomes of INVITEs to one server since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeSample {
    /// INVITEs answered within the loss timeout.
    pub in_time: u32,
    /// INVITEs answered after the loss timeout.
    pub late: u32,
    /// INVITEs that were not answered within the loss timeout, or whose connection failed.
    pub lost: u32,
    /// The server showed activity: it answered, sent any other message or accepted a connection.
    pub is_alive: bool,
    /// The server answered an INVITE more than `STALE_FACTOR` loss timeouts after it was sent. Such answers arrive when
    /// a partition heals, and do not describe the present state of the server.
    pub is_stale: bool,
}

impl OutcomeSample {
    /// Whether the sample contains nothing to report.
    pub fn is_empty(&self) -> bool {
        *self == OutcomeSample::default()
    }

    /// Whether the server answered any INVITE, in time, late or stale.
    pub fn has_answer(&self) -> bool {
        self.in_time + self.late > 0 || self.is_stale
    }

    /// The sample with each count limited to [`MAX_REPORTED_COUNT`].
    pub fn bounded(self) -> OutcomeSample {
        OutcomeSample {
            in_time: self.in_time.min(MAX_REPORTED_COUNT),
            late: self.late.min(MAX_REPORTED_COUNT),
            lost: self.lost.min(MAX_REPORTED_COUNT),
            ..self
        }
    }
}

/// The outcomes at one server since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSample {
    /// The server.
    pub server: ServerKey,
    /// The outcomes there.
    pub outcomes: OutcomeSample,
}

#[derive(Clone, Copy, Debug)]
struct PendingInvite {
    server: ServerKey,
    sent_at: Moment,
    is_lost: bool,
}

#[derive(Clone, Copy, Debug)]
struct QueuedTimeout {
    sent_at: Moment,
    invite: u64,
}

/// Tracks the INVITEs of one front and collects their outcomes for the next report.
#[derive(Clone, Debug)]
pub struct OutcomeReporter {
    loss_timeout: Span,
    pending: BTreeMap<u64, PendingInvite>,
    /// INVITEs in the order in which they were sent; may contain INVITEs that have ended.
    timeouts: VecDeque<QueuedTimeout>,
    samples: BTreeMap<ServerKey, OutcomeSample>,
}

impl OutcomeReporter {
    /// Creates a reporter that counts an INVITE as lost after `loss_timeout`.
    pub fn new(loss_timeout: Span) -> OutcomeReporter {
        OutcomeReporter {
            loss_timeout,
            pending: BTreeMap::new(),
            timeouts: VecDeque::new(),
            samples: BTreeMap::new(),
        }
    }

    /// Records that an INVITE was sent. `invite` identifies it until it ends; the number may be reused after that.
    pub fn on_invite_sent(&mut self, now: Moment, server: ServerKey, invite: u64) {
        if self.pending.len() < MAX_PENDING {
            self.pending.insert(invite, PendingInvite { server, sent_at: now, is_lost: false });
            self.timeouts.push_back(QueuedTimeout { sent_at: now, invite });
        }
    }

    /// Records that the server answered, positively or negatively.
    pub fn on_answer(&mut self, now: Moment, invite: u64) {
        let Some(pending) = self.pending.remove(&invite) else { return };
        let sample = self.samples.entry(pending.server).or_default();
        let elapsed = now.since(pending.sent_at);
        sample.is_alive = true;
        if elapsed > self.loss_timeout * STALE_FACTOR {
            sample.is_stale = true;
        } else if elapsed > self.loss_timeout {
            sample.late += 1;
        } else {
            sample.in_time += 1;
        }
    }

    /// Records that the INVITE failed without an answer: no connection, or a reset.
    pub fn on_transport_failure(&mut self, invite: u64) {
        if let Some(pending) = self.pending.remove(&invite).filter(|pending| !pending.is_lost) {
            self.samples.entry(pending.server).or_default().lost += 1;
        }
    }

    /// Stops tracking an INVITE that this front cancelled. Cancelling is no evidence about the server; a loss that was
    /// already counted stays counted.
    pub fn on_invite_cancelled(&mut self, invite: u64) {
        self.pending.remove(&invite);
    }

    /// Records that the server showed activity: it sent any message or accepted a connection.
    pub fn on_server_alive(&mut self, server: ServerKey) {
        self.samples.entry(server).or_default().is_alive = true;
    }

    /// Counts the INVITEs whose loss timeout has passed as lost. With `was_stalled` they are dropped without being
    /// counted: this front has not run for a while, and their answers may have arrived without having been read.
    pub fn process(&mut self, now: Moment, was_stalled: bool) {
        while let Some(QueuedTimeout { sent_at, invite }) = self.timeouts.front().copied() {
            let has_ended = self.pending.get(&invite).is_none_or(|pending| pending.sent_at != sent_at);
            if !has_ended && now.since(sent_at) <= self.loss_timeout {
                break;
            }
            self.timeouts.pop_front();
            if was_stalled {
                self.pending.remove(&invite);
            } else if let Some(pending) =
                self.pending.get_mut(&invite).filter(|pending| pending.sent_at == sent_at)
            {
                pending.is_lost = true;
                self.samples.entry(pending.server).or_default().lost += 1;
            }
        }
    }

    /// Whether any INVITE was lost since the last report.
    pub fn has_loss(&self) -> bool {
        self.samples.values().any(|sample| sample.lost > 0)
    }

    /// Removes and returns the outcomes since the last call, by server.
    pub fn take_samples(&mut self) -> Vec<ServerSample> {
        let samples = std::mem::take(&mut self.samples).into_iter();
        samples
            .filter(|(_, outcomes)| !outcomes.is_empty())
            .map(|(server, outcomes)| ServerSample { server, outcomes })
            .collect()
    }

    /// When the next INVITE reaches its loss timeout.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.timeouts.front().map(|timeout| timeout.sent_at + self.loss_timeout + Span::from_micros(1))
    }
}
