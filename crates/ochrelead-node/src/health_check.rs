//! Health checks: a signalling server that fell silent is probed by one front of the fleet, and the others learn of the
//! response with its age. Decisions without I/O.
//!
//! A probe is made under a lease and names the lease's fencing token. A front that learns that the server has responded
//! lately puts its own probe off, but never so long that a failure would be noticed too late; where it learns nothing it
//! does what it would do alone.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use ochrelead_core::time::{Moment, Span};
use ochrelead_lease::TaskId;
use ochrelead_lease::engine::Engine as LeaseEngine;

use crate::bounds::protocol;
use crate::observation::ServerActivity;

/// The topic of rumors that a probed server has responded.
pub const RUMOR_TOPIC: u32 = 1;
/// Fronts that are candidates for the lease on one server.
const MAX_CANDIDATES: usize = 3;
/// The holder of a lease probes this often.
const CHECK_INTERVAL: Span = Span::from_secs(1);

/// A health check that is due, to be sent at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueCheck {
    /// The server's id.
    pub server: String,
    /// The task of its lease.
    pub task: TaskId,
}

/// The task of probing a server: the same number at all fronts, by the server's id (FNV-1a).
pub fn task_id(server: &str) -> TaskId {
    let mut hasher = FnvHasher::default();
    hasher.write(server.as_bytes());
    TaskId(hasher.finish())
}

/// The rank of a front among the candidates for a task, of those that are not known to be dead; `None` where it is no
/// candidate. By a hash of both, so that tasks spread over the fronts and all fronts that see the same members agree.
pub fn candidate_rank(task: TaskId, front: u32, live: &[u32]) -> Option<u32> {
    let local = rendezvous_hash(task, front);
    let is_before = |other: &&u32| **other != front && rendezvous_hash(task, **other) < local;
    let before = live.iter().filter(is_before).count();
    (before < MAX_CANDIDATES).then(|| u32::try_from(before).ok()).flatten()
}

/// Mixes a task and a front as SplitMix64 does.
fn rendezvous_hash(task: TaskId, front: u32) -> u64 {
    let mut hash = task.0 ^ (u64::from(front) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The moment from which a server's silence counts, by what this front and its peers heard last.
///
/// Rumors take seconds to spread, and a server that responded then may have failed since: what is left of the time for
/// noticing that, less the front's own probes, is how old they may be. They put the front's own probe off by no more
/// than that after it last heard the server itself, whatever is rumored.
pub fn effective_last_heard(heard: Moment, heard_by_peer: Option<Moment>) -> Moment {
    let allowance = protocol::SILENT_FAILURE_DEADLINE / 8 * 3;
    heard_by_peer.map_or(heard, |by_peer| heard.max((by_peer + allowance).min(heard + allowance)))
}

#[derive(Clone, Debug)]
struct CheckState {
    server: String,
    /// When this front last sent a check.
    last_sent: Option<Moment>,
    /// When the check was sent whose response was last published.
    last_published: Option<Moment>,
}

/// Decides which silent servers this front probes.
#[derive(Clone, Debug, Default)]
pub struct HealthCheckScheduler {
    checks: BTreeMap<TaskId, CheckState>,
}

impl HealthCheckScheduler {
    /// Applies for leases on the silent servers, those without an unprompted message for a quarter of the time allowed
    /// for noticing a failure, and returns the checks that are due.
    pub fn process(
        &mut self,
        now: Moment,
        activity: &[ServerActivity],
        live: &[u32],
        leases: &mut LeaseEngine,
    ) -> Vec<DueCheck> {
        let silent: BTreeMap<TaskId, &ServerActivity> = activity
            .iter()
            .filter(|server| now.since(server.last_unprompted) >= protocol::SILENCE_THRESHOLD)
            .map(|server| (task_id(&server.server), server))
            .collect();
        self.forget_heard(now, &silent, leases);
        let front = leases.local().front;
        let mut due = Vec::new();
        for (task, server) in silent {
            let rank = candidate_rank(task, front, live);
            leases.set_candidacy(now, task, rank);
            if rank.is_none() {
                self.checks.remove(&task);
                continue;
            }
            let check = self.checks.entry(task).or_insert_with(|| CheckState {
                server: server.server.clone(),
                last_sent: None,
                last_published: None,
            });
            let is_due = check.last_sent.is_none_or(|sent| now.since(sent) >= CHECK_INTERVAL);
            if is_due && leases.permit(now, task).is_some() {
                check.last_sent = Some(now);
                due.push(DueCheck { server: check.server.clone(), task });
            }
        }
        due
    }

    /// Gives up the leases on servers that are silent no more.
    fn forget_heard(
        &mut self,
        now: Moment,
        silent: &BTreeMap<TaskId, &ServerActivity>,
        leases: &mut LeaseEngine,
    ) {
        let heard: Vec<TaskId> =
            self.checks.keys().copied().filter(|task| !silent.contains_key(task)).collect();
        for task in heard {
            self.checks.remove(&task);
            leases.set_candidacy(now, task, None);
        }
    }

    /// The servers that have responded to this front's checks: to be published, once for each check.
    pub fn poll_responses(&mut self, activity: &[ServerActivity]) -> Vec<TaskId> {
        let mut responses = Vec::new();
        for server in activity {
            let task = task_id(&server.server);
            if let Some(check) = self.checks.get_mut(&task)
                && let Some(sent) = check.last_sent.filter(|sent| server.last_heard > *sent)
                && check.last_published != Some(sent)
            {
                check.last_published = Some(sent);
                responses.push(task);
            }
        }
        responses
    }
}
