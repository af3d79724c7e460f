//! What one front met at each server since its last report.
//!
//! An INVITE is counted once as soon as it is overdue (lost), and once when its answer comes: in time, or late. So a
//! server that answers everything late has as many late ones as lost ones, and one that answers nothing only lost ones.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};

use crate::ServerKey;

/// INVITEs that are watched at once; one that is sent beyond is not.
const MAX_OUT: usize = 4_096;
/// An answer that took so many times longer than what is overdue is old.
const OLD: u64 = 8;
/// The most that one report says of one server and kind: a front that says more is not believed more.
pub const MAX_REPORTED: u32 = 15;

/// What was met at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeSample {
    pub in_time: u32,
    pub late: u32,
    pub lost: u32,
    /// It gave a sign of life of any kind.
    pub is_alive: bool,
    /// It answered an INVITE of long ago: a cut that heals lets such answers through, and they say nothing of the present.
    pub is_stale: bool,
}

impl OutcomeSample {
    pub fn is_empty(&self) -> bool {
        *self == OutcomeSample::default()
    }

    /// Bounded to what may be said.
    pub fn bounded(self) -> OutcomeSample {
        let most = |count: u32| count.min(MAX_REPORTED);
        OutcomeSample { in_time: most(self.in_time), late: most(self.late), lost: most(self.lost), ..self }
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingInvite {
    server: ServerKey,
    sent: Moment,
    lost: bool,
}

#[derive(Clone, Debug)]
pub struct OutcomeReporter {
    loss_timeout: Span,
    out: BTreeMap<u64, PendingInvite>,
    /// INVITEs by when they were sent; those that have ended are still in it.
    queue: VecDeque<(Moment, u64)>,
    met: BTreeMap<ServerKey, OutcomeSample>,
}

impl OutcomeReporter {
    pub fn new(loss_timeout: Span) -> OutcomeReporter {
        OutcomeReporter { loss_timeout, out: BTreeMap::new(), queue: VecDeque::new(), met: BTreeMap::new() }
    }

    /// An INVITE has been decided on; `ask` names it until it ends.
    pub fn on_invite_sent(&mut self, now: Moment, server: ServerKey, ask: u64) {
        if self.out.len() < MAX_OUT {
            self.out.insert(ask, PendingInvite { server, sent: now, lost: false });
            self.queue.push_back((now, ask));
        }
    }

    /// Its server answered, whatever it said.
    pub fn on_answer(&mut self, now: Moment, ask: u64) {
        let Some(out) = self.out.remove(&ask) else { return };
        let met = self.met.entry(out.server).or_default();
        met.is_alive = true;
        if now.since(out.sent) > self.loss_timeout * OLD {
            met.is_stale = true;
        } else if now.since(out.sent) > self.loss_timeout {
            met.late += 1;
        } else {
            met.in_time += 1;
        }
    }

    /// It failed without a word of the server: no connection, a reset.
    pub fn on_transport_failure(&mut self, ask: u64) {
        if let Some(out) = self.out.remove(&ask).filter(|out| !out.lost) {
            self.met.entry(out.server).or_default().lost += 1;
        }
    }

    /// It was called off by this side: that says nothing beyond what its age has said.
    pub fn on_invite_cancelled(&mut self, ask: u64) {
        self.out.remove(&ask);
    }

    /// The server said anything at all, or took a connection.
    pub fn on_server_alive(&mut self, server: ServerKey) {
        self.met.entry(server).or_default().is_alive = true;
    }

    /// Counts what is overdue. `stood_still`: this front was not called for a while, and what is overdue may lie unread.
    pub fn process(&mut self, now: Moment, stood_still: bool) {
        while let Some((sent, ask)) = self.queue.front().copied() {
            let over = self.out.get(&ask).is_none_or(|out| out.sent != sent);
            if !over && now.since(sent) <= self.loss_timeout {
                break;
            }
            self.queue.pop_front();
            if stood_still {
                self.out.remove(&ask);
            } else if let Some(out) = self.out.get_mut(&ask).filter(|out| out.sent == sent) {
                out.lost = true;
                self.met.entry(out.server).or_default().lost += 1;
            }
        }
    }

    /// Whether any INVITE was lost since then.
    pub fn has_loss(&self) -> bool {
        self.met.values().any(|met| met.lost > 0)
    }

    /// What was met since this was last asked for.
    pub fn take_samples(&mut self) -> Vec<(ServerKey, OutcomeSample)> {
        std::mem::take(&mut self.met).into_iter().filter(|(_, met)| !met.is_empty()).collect()
    }

    /// When the next INVITE is overdue.
    pub fn poll_timeout(&self) -> Option<Moment> {
        self.queue.front().map(|(sent, _)| *sent + self.loss_timeout + Span::from_micros(1))
    }
}
