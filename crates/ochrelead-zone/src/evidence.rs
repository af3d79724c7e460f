//! What one front met at each server since its last report.
//!
//! An INVITE is counted once as soon as it is overdue (lost), and once when its answer comes: in time, or late. So a
//! server that answers everything late has as many late ones as lost ones, and one that answers nothing only lost ones.

use std::collections::{BTreeMap, VecDeque};

use ochrelead_core::time::{Moment, Span};

use crate::ServerKey;

/// INVITEs that are watched at once; one that is sent beyond is not.
const MOST_OUT: usize = 4_096;
/// An answer that took so many times longer than what is overdue is old.
const OLD: u64 = 8;
/// The most that one report says of one server and kind: a front that says more is not believed more.
pub const MOST_SAID: u32 = 15;

/// What was met at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Met {
    pub in_time: u32,
    pub late: u32,
    pub lost: u32,
    /// It gave a sign of life of any kind.
    pub alive: bool,
    /// It answered an INVITE of long ago: a cut that heals lets such answers through, and they say nothing of the present.
    pub old: bool,
}

impl Met {
    pub fn is_nothing(&self) -> bool {
        *self == Met::default()
    }

    /// Bounded to what may be said.
    pub fn bounded(self) -> Met {
        let most = |count: u32| count.min(MOST_SAID);
        Met { in_time: most(self.in_time), late: most(self.late), lost: most(self.lost), ..self }
    }
}

#[derive(Clone, Copy, Debug)]
struct Out {
    server: ServerKey,
    sent: Moment,
    lost: bool,
}

#[derive(Clone, Debug)]
pub struct Evidence {
    overdue: Span,
    out: BTreeMap<u64, Out>,
    /// INVITEs by when they were sent; those that have ended are still in it.
    queue: VecDeque<(Moment, u64)>,
    met: BTreeMap<ServerKey, Met>,
}

impl Evidence {
    pub fn new(overdue: Span) -> Evidence {
        Evidence { overdue, out: BTreeMap::new(), queue: VecDeque::new(), met: BTreeMap::new() }
    }

    /// An INVITE has been decided on; `ask` names it until it ends.
    pub fn asked(&mut self, now: Moment, server: ServerKey, ask: u64) {
        if self.out.len() < MOST_OUT {
            self.out.insert(ask, Out { server, sent: now, lost: false });
            self.queue.push_back((now, ask));
        }
    }

    /// Its server answered, whatever it said.
    pub fn answered(&mut self, now: Moment, ask: u64) {
        let Some(out) = self.out.remove(&ask) else { return };
        let met = self.met.entry(out.server).or_default();
        met.alive = true;
        if now.since(out.sent) > self.overdue * OLD {
            met.old = true;
        } else if now.since(out.sent) > self.overdue {
            met.late += 1;
        } else {
            met.in_time += 1;
        }
    }

    /// It failed without a word of the server: no connection, a reset.
    pub fn failed(&mut self, ask: u64) {
        if let Some(out) = self.out.remove(&ask).filter(|out| !out.lost) {
            self.met.entry(out.server).or_default().lost += 1;
        }
    }

    /// It was called off by this side: that says nothing beyond what its age has said.
    pub fn called_off(&mut self, ask: u64) {
        self.out.remove(&ask);
    }

    /// The server said anything at all, or took a connection.
    pub fn alive(&mut self, server: ServerKey) {
        self.met.entry(server).or_default().alive = true;
    }

    /// Counts what is overdue. `stood_still`: this front was not called for a while, and what is overdue may lie unread.
    pub fn turn(&mut self, now: Moment, stood_still: bool) {
        while let Some((sent, ask)) = self.queue.front().copied() {
            let over = self.out.get(&ask).is_none_or(|out| out.sent != sent);
            if !over && now.since(sent) <= self.overdue {
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
    pub fn take(&mut self) -> Vec<(ServerKey, Met)> {
        std::mem::take(&mut self.met).into_iter().filter(|(_, met)| !met.is_nothing()).collect()
    }

    /// When the next INVITE is overdue.
    pub fn wake(&self) -> Option<Moment> {
        self.queue.front().map(|(sent, _)| *sent + self.overdue + Span::from_micros(1))
    }
}
